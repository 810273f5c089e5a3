"""Resources that operators declare, and their specifications."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """The kinds of resource; the value is the word used in declarations."""

    ORGANISATION = "organisation"
    STAGE = "stage"
    PIPELINE = "pipeline"
    MODEL = "model"
    POLICY = "policy"


class Objective(StrEnum):
    """What the routing policy weighs first."""

    ATTAINMENT = "attainment"
    COST = "cost"


class Fencing(StrEnum):
    """Whether engines refuse orders with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, order=True)
class ResourceKey:
    """The identity of a resource, unique in a deployment."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class OrganisationSpec:
    """A customer whose callers send requests.

    Attributes:
        key_sha256: Hex SHA-256 digests of the keys its callers present.
        weight: Share of capacity relative to other organisations, above 0.
        priority: Passed to engines; a higher number goes first. 0 to 9.
        pipelines: Names of pipelines it may call; empty means all.
    """

    key_sha256: tuple[str, ...]
    weight: float = 1.0
    priority: int = 0
    pipelines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StageSpec:
    """One step of a pipeline, served by a pool of backend servers.

    Attributes:
        repeatable: Whether a call may be sent again after an unknown outcome.
        streams: Whether the reply is a stream of server-sent events.
        model: Name of the model that must be loaded, for engine stages.
        adapter: Name of the adapter that must be loaded beside it.
        expected_service_ms: Service time assumed until calls were observed.
        fencing: What its engines do with old fencing numbers, if it is known.
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
        deadline_ms: Deadline for callers that name none, and the upper limit
            for those that do.
        claim_retention_s: For how many seconds after its end a request that
            may not be repeated is remembered.
    """

    stages: tuple[str, ...]
    deadline_ms: int
    claim_retention_s: int = 86_400


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that engines load.

    Attributes:
        version: The version that should serve.
        adapters: Names of adapters that should be loaded beside it.
        replicas_by_zone: Desired number of loaded replicas by zone name. Empty
            leaves the engines as they are.
        prefill_replicas: Replicas of each zone that only prefill.
        decode_replicas: Replicas of each zone that only decode; those that are
            left do both.
        switch_in_place: Whether a change of version may take the last serving
            replica, so that none serves meanwhile.
    """

    version: str
    adapters: tuple[str, ...] = ()
    replicas_by_zone: dict[str, int] = field(default_factory=dict)
    prefill_replicas: int = 0
    decode_replicas: int = 0
    switch_in_place: bool = False


@dataclass(frozen=True, slots=True)
class PolicySpec:
    """How the pipelines of one operator are served; each has at most one policy.

    Attributes:
        loads_per_minute: Loads of model weights that the weight store allows
            in any minute, for all engines together.
        fencing_by_engine: What single engines do with old fencing numbers.
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
    """A resource as an operator writes it: no revision yet."""

    key: ResourceKey
    spec: Spec


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource as the replicated state holds it.

    Attributes:
        owner: Name of the operator that created it.
        revision: Revision of the whole state at its last change.
        generation: Number of changes of its specification, from 1.
    """

    key: ResourceKey
    owner: str
    revision: int
    generation: int
    spec: Spec
