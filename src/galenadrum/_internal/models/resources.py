"""Resources declared by operators, and their specifications."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Kind of a resource; the value is written in declarations."""

    ORGANISATION = "organisation"
    STAGE = "stage"
    PIPELINE = "pipeline"
    MODEL = "model"
    POLICY = "policy"


class Objective(StrEnum):
    """Main objective of the routing policy."""

    ATTAINMENT = "attainment"
    COST = "cost"


class Fencing(StrEnum):
    """Whether engines refuse orders with an outdated fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, order=True)
class ResourceKey:
    """Unique key of a resource in a deployment."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class OrganisationSpec:
    """A customer whose callers send requests.

    Attributes:
        key_sha256: Hex SHA-256 digests of the API keys of its callers.
        weight: Share of capacity relative to other organisations, above 0.
        priority: Priority passed to engines, 0 to 9; higher numbers go first.
        pipelines: Names of the pipelines it may call; empty allows all.
    """

    key_sha256: tuple[str, ...]
    weight: float = 1.0
    priority: int = 0
    pipelines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StageSpec:
    """One step of a pipeline, served by a pool of backend servers.

    Attributes:
        repeatable: True if a call may be retried after an unknown outcome.
        streams: True if the reply is a stream of server-sent events.
        model: Name of the model that must be loaded, for engine stages.
        adapter: Name of the adapter that must be loaded with the model.
        expected_service_ms: Service time assumed until calls are observed.
        fencing: Whether its engines check fencing numbers, or None if unknown.
    """

    repeatable: bool = True
    streams: bool = False
    model: str | None = None
    adapter: str | None = None
    expected_service_ms: int = 100
    fencing: Fencing | None = None


@dataclass(frozen=True, slots=True)
class PipelineSpec:
    """A chain of stages under one deadline.

    Attributes:
        stages: Names of the stages, in order; the output of one is the input
            of the next.
        deadline_ms: Default deadline, and upper limit of the deadline that a
            caller may set.
        claim_retention_s: Seconds for which the claim of an idempotency key is
            kept after its request has ended.
    """

    stages: tuple[str, ...]
    deadline_ms: int
    claim_retention_s: int = 86_400


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that engines load.

    Attributes:
        version: Desired version.
        adapters: Names of the adapters to load with the model.
        replicas_by_zone: Desired number of loaded replicas by zone name. Empty
            leaves the engines unchanged.
        prefill_replicas: Number of replicas per zone that only prefill.
        decode_replicas: Number of replicas per zone that only decode; the
            remaining replicas do both.
        switch_in_place: True if a change of version may stop the last serving
            replica, so that the model is unavailable until the switch is done.
    """

    version: str
    adapters: tuple[str, ...] = ()
    replicas_by_zone: dict[str, int] = field(default_factory=dict)
    prefill_replicas: int = 0
    decode_replicas: int = 0
    switch_in_place: bool = False


@dataclass(frozen=True, slots=True)
class PolicySpec:
    """Serving policy of one operator's pipelines; an operator has at most one.

    Attributes:
        objective: Main objective of the routing policy.
        loads_per_minute: Loads of model weights that the weight store allows
            in any minute, for all engines together.
        fencing_by_engine: Whether single engines check fencing numbers, by
            engine id.
    """

    objective: Objective = Objective.ATTAINMENT
    loads_per_minute: int = 12
    fencing_by_engine: dict[str, Fencing] = field(default_factory=dict)


Spec = OrganisationSpec | StageSpec | PipelineSpec | ModelSpec | PolicySpec

SPEC_CLASS_BY_KIND: dict[Kind, type] = {
    Kind.ORGANISATION: OrganisationSpec,
    Kind.STAGE: StageSpec,
    Kind.PIPELINE: PipelineSpec,
    Kind.MODEL: ModelSpec,
    Kind.POLICY: PolicySpec,
}


@dataclass(frozen=True, slots=True)
class Declaration:
    """A resource as declared by an operator, without a revision."""

    key: ResourceKey
    spec: Spec


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource in the replicated state.

    Attributes:
        owner: Name of the operator who created it.
        revision: Revision of the whole state at its last change.
        generation: Number of changes of its specification, from 1.
    """

    key: ResourceKey
    owner: str
    revision: int
    generation: int
    spec: Spec
