"""Orders, what engines say, and the events and actions of the reconciler."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from galenadrum._internal.models.resources import Fencing, ModelSpec

ROLE_BOTH = "both"
ROLE_PREFILL = "prefill"
ROLE_DECODE = "decode"


class OrderAction(StrEnum):
    """What an engine is to do; the value travels."""

    LOAD = "load"
    UNLOAD = "unload"
    SWITCH = "switch"
    CHANGE_ROLE = "change_role"


class OrderProgress(StrEnum):
    """What an engine says of the last order that it took."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderOutcome(StrEnum):
    """How an order ended; a lost one never reached its engine."""

    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        order_id: Unique; the engine carries out an order once.
        fencing: Term of the leader that gives it.
        previous_version: What the engine held before a switch.
        role: The new role, for a change of role.
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
    """What an engine holds.

    Attributes:
        order_id: Last order that it took, empty when it doesn't say.
        progress: How far that order is.
        message: Why it failed.
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
        load: Calls running and queued.
    """

    engine_id: str
    address: str
    zone: str
    stages: tuple[str, ...]
    contents: EngineContents
    checks_fencing: bool | None = None
    load: int = 0


@dataclass(frozen=True, slots=True)
class Failure:
    """Loads of one version of a model that failed since the last success.

    Attributes:
        previous_version: Held before the switch that failed, or empty.
        engine_id: The engine on which the last one failed.
    """

    model: str
    version: str
    previous_version: str
    engine_id: str
    count: int
    message: str


@dataclass(frozen=True, slots=True)
class Declared:
    """What is declared about models.

    Attributes:
        model_by_stage: Name of the model that a stage needs.
        fencing_by_stage: What operators say of the engines of a stage.
        fencing_by_engine: What they say of single engines.
    """

    models_by_name: dict[str, ModelSpec] = field(default_factory=dict)
    model_by_stage: dict[str, str] = field(default_factory=dict)
    loads_per_minute: int = 12
    fencing_by_stage: dict[str, Fencing] = field(default_factory=dict)
    fencing_by_engine: dict[str, Fencing] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RecordedOrders:
    """What the replicated state holds about orders.

    Attributes:
        open_orders: Orders without a recorded outcome, one an engine at most.
        recent_loads: Loads that were recorded within the last minute.
    """

    open_orders: tuple[Order, ...] = ()
    failures: tuple[Failure, ...] = ()
    recent_loads: int = 0


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This member leads, and its state holds all earlier orders.

    Attributes:
        lease_s: Longest lease that an earlier leader may still hold.
    """

    term: int
    lease_s: float
    recorded: RecordedOrders


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This member doesn't lead any more."""


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
class RecordUnknown:
    """Whether the order, or its outcome, is committed isn't known."""

    order_id: str


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """The order was certainly not sent."""

    order_id: str


@dataclass(frozen=True, slots=True)
class OrderSent:
    """The order may have reached the engine.

    Attributes:
        refusal: Why the engine certainly didn't take it now, or empty.
        failure: Why the engine never can carry it out, or empty.
    """

    order_id: str
    refusal: str = ""
    failure: str = ""


@dataclass(frozen=True, slots=True)
class EngineAnswered:
    """An engine said what it holds; None when it didn't answer.

    Attributes:
        asked_at: Loop time in seconds at which it was asked.
    """

    engine_id: str
    asked_at: float
    contents: EngineContents | None


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome of the order is committed."""

    order_id: str


Event = (
    LeadershipGained
    | LeadershipLost
    | Declared
    | EnginesReported
    | OrderRecorded
    | RecordUnknown
    | OrderNotSent
    | OrderSent
    | EngineAnswered
    | OutcomeRecorded
)


@dataclass(frozen=True, slots=True)
class RecordOrder:
    """Commit the order."""

    order: Order


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send the order, if the lease allows it at that moment."""

    order: Order
    address: str


@dataclass(frozen=True, slots=True)
class QueryEngine:
    """Ask an engine what it holds."""

    engine_id: str
    address: str
    fencing: int


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Commit how the order ended."""

    order: Order
    outcome: OrderOutcome
    message: str


Action = RecordOrder | SendOrder | QueryEngine | RecordOutcome
