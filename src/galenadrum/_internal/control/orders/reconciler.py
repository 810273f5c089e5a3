"""Decides which orders the leader gives to engines, and when.

Feed it events with the loop's time and carry out the actions that `tick`
returns. It holds nothing that a new leader needs: that is in the replicated
state, which an order enters before it is sent and leaves with its outcome.
"""

from __future__ import annotations

import logging
import random
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.control.orders.engines import Engine, EngineTable
from galenadrum._internal.control.orders.fencing import fencing_of
from galenadrum._internal.control.orders.messages import (
    Action,
    Declared,
    EngineAnswered,
    EnginesReported,
    Event,
    Failure,
    LeadershipGained,
    LeadershipLost,
    Order,
    OrderAction,
    OrderNotSent,
    OrderOutcome,
    OrderProgress,
    OrderRecorded,
    OrderSent,
    OutcomeRecorded,
    QueryEngine,
    RecordOrder,
    RecordOutcome,
    RecordUnknown,
    SendOrder,
)
from galenadrum._internal.control.orders.planning import (
    DISRUPTIVE_ACTIONS,
    Situation,
    Wanted,
    find_candidates,
    plan,
    serving_ids,
    touched_models,
)
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.resources import Fencing

logger = logging.getLogger(__name__)

# An order that was sent reaches its engine within this time or never.
DELIVERY_TIMEOUT_S = 20.0
RUN_LIMIT_S = 900.0
RETRY_DELAY_MIN_S = 30.0
RETRY_DELAY_MAX_S = 1_800.0
LOAD_WINDOW_S = 60.0
_MAX_OPEN_ORDERS = 500
_SETTLED_PLAN_INTERVAL_S = 5.0
_MAX_QUERIES = 32
_RECORD_RETRY_S = 1.0
_MAX_SEND_ATTEMPTS = 10
_ORDER_ID_BITS = 64


class WaitReason(StrEnum):
    """Why an order that would help isn't given yet."""

    LIMIT = "too many orders are open"
    FENCING = "an order of an earlier leader may still come"
    RATE = "the rate of the weight store"
    SILENT = "an answer of the engine"
    LAST_REPLICA = "another engine that serves what this one holds"


class Phase(StrEnum):
    """How far an order is."""

    RECORDING = "recording"
    RECORDED = "recorded"
    SENDING = "sending"
    UNDER_WAY = "under way"
    CLOSING = "closing"


@dataclass(slots=True)
class OpenOrder:
    """An order without a recorded outcome.

    Attributes:
        since: Loop time at which it was given, or found, in seconds.
        lost_from: Loop time from which an engine that doesn't name the order
            will never get it; None before it was sent.
        due_at: Loop time of the next attempt to record or send it.
        attempts: Times that it was to be sent.
    """

    order: Order
    phase: Phase
    since: float
    lost_from: float | None = None
    due_at: float = float("-inf")
    attempts: int = 0
    outcome: OrderOutcome | None = None
    message: str = ""


@dataclass(slots=True)
class _Delay:
    """A failure and the loop time at which the version may be tried again."""

    failure: Failure
    retry_at: float


class Reconciler:
    """Orders to engines while this member leads.

    Args:
        rng: Draws the ids of orders; seeded differently at each start.

    Attributes:
        engines: What is known of engines.
        orders_by_engine: Open orders, one an engine.
        waiting_by_engine: Orders that would help and wait, one an engine.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.engines = EngineTable()
        self.orders_by_engine: dict[str, OpenOrder] = {}
        self.waiting_by_engine: dict[str, tuple[Wanted, WaitReason]] = {}
        self._declared = Declared()
        self._term: int | None = None
        self._hold_until_by_engine: dict[str, float] = {}
        self._delays: dict[tuple[str, str], _Delay] = {}
        self._load_times: deque[float] = deque()
        self._plan_at = float("-inf")

    @property
    def term(self) -> int | None:
        """The term in which this member leads; None when it doesn't."""
        return self._term

    @property
    def declared(self) -> Declared:
        """What is declared about models."""
        return self._declared

    def delay(self, model: str, version: str) -> tuple[Failure, float] | None:
        """Return the failure of a version and when it may be tried again."""
        delay = self._delays.get((model, version))
        return (delay.failure, delay.retry_at) if delay is not None else None

    def receive(self, event: Event, now: float) -> None:
        """Take an event; `tick` returns what follows from it.

        Args:
            event: What happened.
            now: Loop time in seconds.

        Raises:
            InvariantError: An invariant is broken.
        """
        match event:
            case LeadershipGained():
                self._gain(event, now)
            case LeadershipLost():
                self._term = None
                self.orders_by_engine.clear()
                self.waiting_by_engine.clear()
            case Declared():
                self._declared = event
            case EnginesReported():
                if not self.engines.take_report(event, now):
                    return
            case EngineAnswered():
                self._take_answer(event, now)
            case _:
                self._take_progress(event, now)
        self._plan_at = now

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return what is to be done now.

        Raises:
            InvariantError: An invariant is broken.
        """
        self.engines.drop_gone(frozenset(self.orders_by_engine), now)
        if self._term is None:
            return ()
        actions: list[Action] = []
        for opened in self.orders_by_engine.values():
            actions.extend(self._advance(opened, now))
        actions.extend(self._give_orders(now))
        actions.extend(self._queries(now))
        return tuple(actions)

    def _gain(self, event: LeadershipGained, now: float) -> None:
        """Start a term: earlier orders are open until their engines say more."""
        if self._term is not None and event.term <= self._term:
            raise InvariantError(f"term {event.term} begins after {self._term}")
        self._term = event.term
        # Answers to an earlier term say nothing of what was sent since.
        for engine in self.engines.by_id.values():
            engine.answered_at = None
        recorded = event.recorded
        hold_until = now + event.lease_s + DELIVERY_TIMEOUT_S
        self._hold_until_by_engine = {
            order.engine_id: hold_until for order in recorded.open_orders
        }
        self.orders_by_engine = {
            order.engine_id: OpenOrder(order, Phase.UNDER_WAY, now, hold_until)
            for order in recorded.open_orders
        }
        self._load_times = deque([now] * recorded.recent_loads)
        self._delays = {
            (failure.model, failure.version): _delay_of(failure, now)
            for failure in recorded.failures
        }

    def _take_answer(self, event: EngineAnswered, now: float) -> None:
        engine = self.engines.take_answer(event)
        opened = self.orders_by_engine.get(event.engine_id)
        if engine is None or opened is None or opened.phase is not Phase.UNDER_WAY:
            return
        if event.asked_at < opened.since:
            return
        contents = engine.contents
        if contents.order_id == opened.order.order_id:
            self._follow(opened, engine, now)
        elif self._is_lost(opened, engine, now):
            self._end(opened, OrderOutcome.LOST, "the engine never got the order")

    def _follow(self, opened: OpenOrder, engine: Engine, now: float) -> None:
        """Act on what the engine says of the order."""
        contents = engine.contents
        if contents.progress is OrderProgress.RUNNING:
            if now >= opened.since + RUN_LIMIT_S:
                self._end(opened, OrderOutcome.FAILED, "it took too long")
            return
        self._hold_until_by_engine.pop(opened.order.engine_id, None)
        problem = _check_result(opened.order, engine)
        if contents.progress is OrderProgress.DONE and not problem:
            self._end(opened, OrderOutcome.DONE, "")
        else:
            self._end(opened, OrderOutcome.FAILED, contents.message or problem)

    def _is_lost(self, opened: OpenOrder, engine: Engine, now: float) -> bool:
        """Return whether the engine will never carry out the order.

        An engine that checks fencing has heard the new term with the query, so
        that it refuses the orders of earlier ones.
        """
        is_earlier = opened.order.fencing < self._term
        if is_earlier and self._checks_fencing(engine):
            return True
        return opened.lost_from is not None and engine.answered_at >= opened.lost_from

    def _end(self, opened: OpenOrder, outcome: OrderOutcome, message: str) -> None:
        opened.phase = Phase.CLOSING
        opened.outcome = outcome
        opened.message = message
        opened.due_at = float("-inf")

    def _take_progress(self, event: Event, now: float) -> None:
        opened = next(
            (
                candidate
                for candidate in self.orders_by_engine.values()
                if candidate.order.order_id == event.order_id
            ),
            None,
        )
        if opened is None:
            return
        match event:
            case OrderRecorded() if opened.phase is Phase.RECORDING:
                opened.phase = Phase.RECORDED
                opened.due_at = now
            case RecordUnknown():
                opened.due_at = now + _RECORD_RETRY_S
            case OrderNotSent() if opened.phase is Phase.SENDING:
                opened.phase = Phase.RECORDED
                opened.due_at = now + _RECORD_RETRY_S
            case OrderSent() if opened.phase is Phase.SENDING:
                self._note_sent(opened, event, now)
            case OutcomeRecorded() if opened.phase is Phase.CLOSING:
                self._close(opened, now)

    def _note_sent(self, opened: OpenOrder, event: OrderSent, now: float) -> None:
        if event.failure:
            self._end(opened, OrderOutcome.FAILED, event.failure)
            return
        if event.refusal:
            self._end(opened, OrderOutcome.LOST, event.refusal)
            return
        opened.phase = Phase.UNDER_WAY
        opened.lost_from = now + DELIVERY_TIMEOUT_S

    def _close(self, opened: OpenOrder, now: float) -> None:
        order = opened.order
        del self.orders_by_engine[order.engine_id]
        engine = self.engines.by_id.get(order.engine_id)
        if engine is not None:
            engine.answered_at = None
        if order.action not in (OrderAction.LOAD, OrderAction.SWITCH):
            return
        key = (order.model, order.version)
        if opened.outcome is OrderOutcome.DONE:
            self._delays.pop(key, None)
        elif opened.outcome is OrderOutcome.FAILED:
            self._note_failure(opened, key, now)

    def _note_failure(
        self, opened: OpenOrder, key: tuple[str, str], now: float
    ) -> None:
        order = opened.order
        earlier = self._delays.get(key)
        failure = Failure(
            order.model,
            order.version,
            order.previous_version
            or (earlier.failure.previous_version if earlier else ""),
            order.engine_id,
            earlier.failure.count + 1 if earlier else 1,
            opened.message,
        )
        self._delays[key] = _delay_of(failure, now)
        logger.warning(
            "engine %s failed to load %s %s: %s",
            order.engine_id,
            order.model,
            order.version,
            opened.message,
        )

    def _advance(self, opened: OpenOrder, now: float) -> list[Action]:
        """Return the next step of an order."""
        if now < opened.due_at:
            return []
        order = opened.order
        match opened.phase:
            case Phase.RECORDING:
                opened.due_at = float("inf")
                return [RecordOrder(order)]
            case Phase.RECORDED:
                return self._send(opened, now)
            case Phase.CLOSING:
                opened.due_at = float("inf")
                return [RecordOutcome(order, opened.outcome, opened.message)]
            case Phase.UNDER_WAY:
                self._give_up_on_gone(opened, now)
        return []

    def _send(self, opened: OpenOrder, now: float) -> list[Action]:
        order = opened.order
        engine = self.engines.by_id.get(order.engine_id)
        if engine is None or not engine.is_live(now):
            self._end(opened, OrderOutcome.LOST, "the engine went away")
            return []
        if opened.attempts >= _MAX_SEND_ATTEMPTS:
            self._end(opened, OrderOutcome.LOST, "it could not be sent")
            return []
        held_until = self._held_until(engine, now)
        if now < held_until:
            opened.due_at = held_until
            return []
        opened.attempts += 1
        self._check_alone(order, engine, now)
        opened.phase = Phase.SENDING
        opened.due_at = float("inf")
        opened.since = now
        return [SendOrder(order, engine.reported.address)]

    def _check_alone(self, order: Order, engine: Engine, now: float) -> None:
        """Check that no order of an earlier term can still be under way."""
        if order.fencing != self._term:
            raise InvariantError(
                f"order {order.order_id} of term {order.fencing} in {self._term}"
            )
        if now < self._held_until(engine, now):
            raise InvariantError(
                f"engine {order.engine_id} ignores fencing and may still get an"
                " order of an earlier term"
            )

    def _checks_fencing(self, engine: Engine) -> bool:
        return fencing_of(self._declared, engine.reported) is Fencing.CHECKED

    def _held_until(self, engine: Engine, now: float) -> float:
        """Return when no order of an earlier term can reach the engine any more.

        What is announced and declared of an engine may change meanwhile.
        """
        if self._checks_fencing(engine):
            return now
        return self._hold_until_by_engine.get(engine.reported.engine_id, now)

    def _give_up_on_gone(self, opened: OpenOrder, now: float) -> None:
        engine = self.engines.by_id.get(opened.order.engine_id)
        is_gone = engine is None or not engine.is_live(now)
        if is_gone and now >= opened.since + RUN_LIMIT_S:
            self._end(opened, OrderOutcome.LOST, "the engine went away")

    def _give_orders(self, now: float) -> list[Action]:
        """Take on as many wanted orders as the limits allow."""
        if now < self._plan_at:
            return []
        actions: list[Action] = []
        found = plan(self._situation(now))
        self._plan_at = now if found else now + _SETTLED_PLAN_INTERVAL_S
        self.waiting_by_engine.clear()
        for wanted in found:
            if wanted.engine_id in self.orders_by_engine:
                continue
            reason = self._reason_to_wait(wanted, now)
            if reason is not None:
                waiting = (wanted, reason)
                self.waiting_by_engine.setdefault(wanted.engine_id, waiting)
                continue
            self.waiting_by_engine.pop(wanted.engine_id, None)
            opened = self._open(wanted, now)
            actions.extend(self._advance(opened, now))
        return actions

    def _reason_to_wait(self, wanted: Wanted, now: float) -> WaitReason | None:
        engine = self.engines.by_id[wanted.engine_id]
        if len(self.orders_by_engine) >= _MAX_OPEN_ORDERS:
            return WaitReason.LIMIT
        if now < self._held_until(engine, now):
            return WaitReason.FENCING
        if wanted.takes_weights and not self._has_load_left(now):
            return WaitReason.RATE
        if not engine.is_fresh(now):
            engine.answered_at = None
            return WaitReason.SILENT
        if not self._leaves_replicas(wanted, now):
            return WaitReason.LAST_REPLICA
        return None

    def _leaves_replicas(self, wanted: Wanted, now: float) -> bool:
        """Return whether each model that the order touches goes on elsewhere.

        The other replica must have answered lately itself: reports come late.
        """
        situation = self._situation(now)
        for model in touched_models(situation, wanted):
            others = serving_ids(situation, model) - {wanted.engine_id}
            engines = [self.engines.by_id[engine_id] for engine_id in sorted(others)]
            if any(engine.is_fresh(now) for engine in engines):
                continue
            for engine in engines[:1]:
                engine.answered_at = None
            return False
        return True

    def _has_load_left(self, now: float) -> bool:
        times = self._load_times
        while times and times[0] + LOAD_WINDOW_S <= now:
            times.popleft()
        return len(times) < self._declared.loads_per_minute

    def _open(self, wanted: Wanted, now: float) -> OpenOrder:
        order = Order(
            order_id=f"{self._term}-{self._rng.getrandbits(_ORDER_ID_BITS):016x}",
            fencing=self._term,
            engine_id=wanted.engine_id,
            action=wanted.action,
            model=wanted.model,
            version=wanted.version,
            previous_version=wanted.previous_version,
            adapters=wanted.adapters,
            role=wanted.role,
        )
        if order.engine_id in self.orders_by_engine:
            raise InvariantError(f"engine {order.engine_id} has an order already")
        self._check_alone_in_zone(order)
        if wanted.takes_weights:
            self._load_times.append(now)
        opened = OpenOrder(order, Phase.RECORDING, now)
        self.orders_by_engine[order.engine_id] = opened
        return opened

    def _check_alone_in_zone(self, order: Order) -> None:
        """Check that a zone loses one replica of a model at a time."""
        if order.action not in DISRUPTIVE_ACTIONS:
            return
        zone = self.engines.by_id[order.engine_id].reported.zone
        for engine_id, opened in self.orders_by_engine.items():
            other = self.engines.by_id.get(engine_id)
            if (
                other is not None
                and other.reported.zone == zone
                and opened.order.model == order.model
                and opened.order.action in DISRUPTIVE_ACTIONS
            ):
                raise InvariantError(
                    f"{order.model} would lose two replicas at once in {zone}"
                )

    def _situation(self, now: float) -> Situation:
        failures = {
            name: self._delays[name, spec.version].failure
            for name, spec in self._declared.models_by_name.items()
            if (name, spec.version) in self._delays
            and now < self._delays[name, spec.version].retry_at
        }
        engines_by_id = {
            engine_id: engine
            for engine_id, engine in self.engines.by_id.items()
            if engine.is_live(now)
        }
        return Situation(
            declared=self._declared,
            engines_by_id=engines_by_id,
            candidates_by_model=find_candidates(self._declared, engines_by_id.values()),
            orders_by_engine={
                engine_id: opened.order
                for engine_id, opened in self.orders_by_engine.items()
            },
            failures_by_model=failures,
            failed_models=frozenset(
                name
                for name, spec in self._declared.models_by_name.items()
                if (name, spec.version) in self._delays
            ),
        )

    def _queries(self, now: float) -> list[Action]:
        """Ask engines that have an order, or that haven't answered yet."""
        actions: list[Action] = []
        asked = sum(engine.is_asked for engine in self.engines.by_id.values())
        for engine_id, engine in self.engines.by_id.items():
            opened = self.orders_by_engine.get(engine_id)
            is_wanted = (
                opened.phase is Phase.UNDER_WAY
                if opened is not None
                else engine.answered_at is None or engine.is_running_order()
            )
            if not is_wanted or not engine.may_be_asked(now):
                continue
            if asked + len(actions) >= _MAX_QUERIES:
                break
            engine.asked_at = now
            engine.is_asked = True
            actions.append(QueryEngine(engine_id, engine.reported.address, self._term))
        return actions


def _delay_of(failure: Failure, now: float) -> _Delay:
    doublings = min(failure.count - 1, 16)
    delay_s = min(RETRY_DELAY_MIN_S * 2**doublings, RETRY_DELAY_MAX_S)
    return _Delay(failure, now + delay_s)


def _check_result(order: Order, engine: Engine) -> str:
    """Return how what the engine holds differs from the order, or nothing."""
    held = engine.contents.versions_by_model.get(order.model)
    match order.action:
        case OrderAction.LOAD | OrderAction.SWITCH if held != order.version:
            return f"the engine holds version {held or 'none'}"
        case OrderAction.UNLOAD if held is not None:
            return f"the engine still holds version {held}"
        case OrderAction.CHANGE_ROLE if engine.contents.role != order.role:
            return f"the engine has the role {engine.contents.role}"
    return ""
