"""Routing configuration: routes, their stages, services and organisations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Retry semantics of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route with its relative share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RouteStage:
    """A stage that is run before the request itself is sent.

    Attributes:
        after: Indexes of the stages whose results are its inputs.
        result_bytes: Approximate size of the result of one piece, in bytes.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Backends, limits and objectives of requests by host and path prefix.

    Attributes:
        timeout_s: Longest time that a request waits for its response.
        objective_s: Latency objective of a response.
        max_attempts: Maximum number of backend servers to which one request is
            sent.
        priority: Priority of its requests; 0 is the most urgent.
        is_resumable: True if a stream can be resumed at another backend server.
        has_prompt: True if requests contain a prompt for a model engine.
        event_gap_objective_s: Objective for the longest gap between two events
            of a stream, in seconds.
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
    stages: tuple[RouteStage, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    event_gap_objective_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """True if a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class StageLimits:
    """Limits and call times of one backend server of a stage's service.

    Attributes:
        concurrency: Maximum number of concurrent calls.
        queue_limit: Maximum number of queued calls.
        batch_size: Maximum number of pieces in one call.
        call_s: Fixed time of a call, in seconds.
        piece_s: Approximate additional time per piece, in seconds.
        result_memory_bytes: Memory for results, in bytes.
        result_ttl_s: Seconds for which a result is kept after its call.
    """

    concurrency: int
    queue_limit: int
    batch_size: int
    call_s: float
    piece_s: float
    result_memory_bytes: float
    result_ttl_s: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits of one model engine of a service.

    Attributes:
        concurrency: Maximum number of concurrent requests.
        kv_capacity_tokens: Capacity of its KV cache, in tokens.
        tokens_per_event: Number of tokens in one event of a stream.
        cache_token_bytes: Size of one token in its KV cache, in bytes.
        cache_link_bytes_per_s: Speed at which an engine fetches from another one's
            cache, in bytes per second; 0 if it can't.
    """

    concurrency: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1
    cache_token_bytes: float = 0.0
    cache_link_bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers.

    Attributes:
        max_connections: Maximum number of connections to one backend server, of
            all hosts together.
        stage: Limits of its servers if it runs a stage, or None.
        engine: Limits of its servers if they are model engines, or None.
        warm_up_s: Time in seconds for which a server that has started is cold.
        warm_up_per_s: Requests per second that a cold server accepts; 0 if they
            aren't limited.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    stage: StageLimits | None = None
    engine: EngineLimits | None = None
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Size limits and timeouts of caller connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class OrganisationKeys:
    """An organisation and the API keys of its callers.

    Attributes:
        priority: Overrides the priority of the route; None to keep it.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """The complete, versioned configuration that entry hosts serve.

    Attributes:
        version: Version number; the highest accepted version is in force.
        requires_key: True if requests to routes that aren't public must carry a key of
            an organisation.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    limits: IngressLimits = IngressLimits()
    organisations: tuple[OrganisationKeys, ...] = ()
    requires_key: bool = field(default=False)
