"""A whole routing configuration: routes, their stages, services, organisations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class StageSpec:
    """Work that is done before the request itself is sent.

    Attributes:
        after: Indexes of the stages whose results it takes in.
        result_bytes: Approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they are due.

    Attributes:
        timeout_s: Longest time that a request is kept waiting.
        objective_s: Latency within which an answer earns its full worth.
        max_attempts: Backend servers to which one request may be sent.
        priority: Rank; 0 is the most urgent.
        is_resumable: Whether a stream may go on at another backend server.
        has_prompt: Whether requests carry a prompt for a model engine.
        event_gap_objective_s: Longest pause between two events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    backends: tuple[WeightedService, ...]
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    event_gap_objective_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class StageLimits:
    """What one backend server of a stage's service takes.

    Attributes:
        concurrency: Calls in progress at the same time.
        queue_limit: Calls that may wait.
        batch_size: Pieces in one call.
        call_s: Fixed time of a call.
        piece_s: Approximate further time of each piece.
        room_bytes: Memory for results.
        result_ttl_s: Time for which a result is kept after its call.
    """

    concurrency: int
    queue_limit: int
    batch_size: int
    call_s: float
    piece_s: float
    room_bytes: float
    result_ttl_s: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one model engine of a service takes.

    Attributes:
        concurrency: Requests that it runs at once.
        kv_capacity_tokens: Tokens that its cache holds.
        tokens_per_event: Tokens that one event of a stream holds.
    """

    concurrency: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers.

    Attributes:
        max_connections: Of all callers together, to one backend server.
        stage: Set where it makes pieces of stages.
        engine: Set where it runs a model.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    stage: StageLimits | None = None
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class OrganisationKeys:
    """An organisation and the keys of its callers.

    Attributes:
        priority: Goes before the route's own; None where it has none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """All that entry hosts serve from, under one version.

    Attributes:
        version: The highest version that was accepted is in force.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: IngressLimits = IngressLimits()
    organisations: tuple[OrganisationKeys, ...] = ()
    requires_key: bool = field(default=False)
