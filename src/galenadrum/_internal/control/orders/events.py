"""Orders, engine contents, and the events and actions of the reconciler."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from galenadrum._internal.models.resources import Fencing, ModelSpec

ROLE_BOTH = "both"
ROLE_PREFILL = "prefill"
ROLE_DECODE = "decode"


class OrderAction(StrEnum):
    """Action of an order; the values are sent to engines and stored."""

    LOAD = "load"
    UNLOAD = "unload"
    SWITCH = "switch"
    CHANGE_ROLE = "change_role"


class OrderProgress(StrEnum):
    """Progress of the last order that an engine accepted, as the engine states it."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderOutcome(StrEnum):
    """Final outcome of an order; the engine never executes a LOST one."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        order_id: Unique id; the engine executes an order once.
        fencing: Term of the leader that created the order.
        previous_version: Version loaded before a switch.
        role: New role, for CHANGE_ROLE.
    """

    order_id: str
    fencing: int
    engine_id: str
    action: OrderAction
    model: str
    version: str = ""
    previous_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineContents:
    """Loaded models, adapters, role and last order of an engine.

    Attributes:
        order_id: Last order that the engine accepted; empty if it names none.
        progress: Progress of that order.
        message: Reason why that order failed.
    """

    versions_by_model: dict[str, str] = field(default_factory=dict)
    adapters: frozenset[str] = frozenset()
    role: str = ROLE_BOTH
    order_id: str = ""
    progress: OrderProgress | None = None
    message: str = ""


@dataclass(frozen=True, slots=True)
class ReportedEngine:
    """An engine as its zone reports it.

    Attributes:
        checks_fencing: True if the engine announces that it refuses orders of
            earlier terms; None if it announces nothing.
        load: Number of running and queued calls.
    """

    engine_id: str
    address: str
    zone: str
    stages: tuple[str, ...]
    contents: EngineContents
    checks_fencing: bool | None = None
    load: int = 0


@dataclass(frozen=True, slots=True)
class LoadFailureSummary:
    """Failed loads of one version of a model since its last successful load.

    Attributes:
        previous_version: Version loaded before the failed switch, or empty.
        engine_id: Engine of the latest failure.
        count: Number of failures.
        message: Reason of the latest failure.
    """

    model: str
    version: str
    previous_version: str
    engine_id: str
    count: int
    message: str


@dataclass(frozen=True, slots=True)
class ModelDeclarations:
    """Declarations about models and engines.

    Attributes:
        model_by_stage: Name of the model that each stage needs.
        loads_per_minute: Highest number of loads from the weight store per minute.
        fencing_by_stage: Fencing declared for the engines of a stage.
        fencing_by_engine: Fencing declared for single engines.
    """

    models_by_name: dict[str, ModelSpec] = field(default_factory=dict)
    model_by_stage: dict[str, str] = field(default_factory=dict)
    loads_per_minute: int = 12
    fencing_by_stage: dict[str, Fencing] = field(default_factory=dict)
    fencing_by_engine: dict[str, Fencing] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RecordedOrders:
    """Orders and failures in the replicated state.

    Attributes:
        open_orders: Orders without a recorded outcome, at most one per engine.
        recent_load_count: Number of loads recorded within the last minute.
    """

    open_orders: tuple[Order, ...] = ()
    failures: tuple[LoadFailureSummary, ...] = ()
    recent_load_count: int = 0


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This member leads, and its state holds all earlier orders.

    Attributes:
        lease_s: Longest time in seconds for which an earlier leader may still hold
            a lease.
    """

    term: int
    lease_s: float
    recorded: RecordedOrders


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This member is no longer the leader."""


@dataclass(frozen=True, slots=True)
class EnginesReported:
    """All live engines of one zone."""

    zone: str
    engines: tuple[ReportedEngine, ...]


@dataclass(frozen=True, slots=True)
class OrderRecorded:
    """The order is committed."""

    order_id: str


@dataclass(frozen=True, slots=True)
class CommitUnconfirmed:
    """The commit of the order, or of its outcome, is not confirmed."""

    order_id: str


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Nothing of the order was sent."""

    order_id: str


@dataclass(frozen=True, slots=True)
class OrderSent:
    """The order may have reached the engine.

    Attributes:
        refusal: Reason why the engine refused the order for now, or empty.
        failure: Reason why the engine can never execute the order, or empty.
    """

    order_id: str
    refusal: str = ""
    failure: str = ""


@dataclass(frozen=True, slots=True)
class QueryCompleted:
    """A query of an engine was answered or has failed.

    Attributes:
        query_sent_at: Loop time in seconds at which the query was sent.
        contents: Contents of the engine; None if the query failed.
    """

    engine_id: str
    query_sent_at: float
    contents: EngineContents | None


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome of the order is committed."""

    order_id: str


Event = (
    LeadershipGained
    | LeadershipLost
    | ModelDeclarations
    | EnginesReported
    | OrderRecorded
    | CommitUnconfirmed
    | OrderNotSent
    | OrderSent
    | QueryCompleted
    | OutcomeRecorded
)


@dataclass(frozen=True, slots=True)
class RecordOrder:
    """Commit the order to the replicated log."""

    order: Order


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send the order, unless the lease has ended by then."""

    order: Order
    address: str


@dataclass(frozen=True, slots=True)
class QueryEngine:
    """Query the contents of an engine.

    Attributes:
        fencing: Term of this leader; a fencing engine then refuses earlier ones.
    """

    engine_id: str
    address: str
    fencing: int


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Commit the outcome of the order to the replicated log."""

    order: Order
    outcome: OrderOutcome
    message: str


Action = RecordOrder | SendOrder | QueryEngine | RecordOutcome
