"""Decides which orders the leader sends to engines, and when.

The reconciler performs no I/O: its caller passes events with the loop time and
executes the actions that `tick` returns. Everything that a new leader needs is in
the replicated state: an order is recorded there before it is sent, and removed
when its outcome is recorded.
"""

from __future__ import annotations

import logging
import random
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.control.orders.engine_table import Engine, EngineTable
from galenadrum._internal.control.orders.events import (
    Action,
    CommitUnconfirmed,
    EnginesReported,
    Event,
    LeadershipGained,
    LeadershipLost,
    LoadFailureSummary,
    ModelDeclarations,
    Order,
    OrderAction,
    OrderNotSent,
    OrderOutcome,
    OrderProgress,
    OrderRecorded,
    OrderSent,
    OutcomeRecorded,
    QueryCompleted,
    QueryEngine,
    RecordOrder,
    RecordOutcome,
    SendOrder,
)
from galenadrum._internal.control.orders.fencing import resolve_fencing
from galenadrum._internal.control.orders.planning import (
    DISRUPTIVE_ACTIONS,
    PlanningContext,
    WantedOrder,
    find_affected_models,
    find_candidates,
    find_serving_ids,
    plan_orders,
)
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.resources import Fencing

logger = logging.getLogger(__name__)

# A sent order reaches its engine within this time or never.
DELIVERY_TIMEOUT_S = 20.0
MAX_ORDER_RUN_S = 900.0
RETRY_DELAY_MIN_S = 30.0
RETRY_DELAY_MAX_S = 1_800.0
LOAD_WINDOW_S = 60.0
_MAX_OPEN_ORDERS = 500
_IDLE_PLAN_INTERVAL_S = 5.0
_MAX_PENDING_QUERIES = 32
_RETRY_INTERVAL_S = 1.0
_MAX_SEND_ATTEMPTS = 10
_ORDER_ID_BITS = 64


class WaitReason(StrEnum):
    """Reason why a wanted order is not opened yet; shown in the status."""

    OPEN_ORDER_LIMIT = "too many orders are open"
    EARLIER_LEADER = "an order of an earlier leader may still come"
    LOAD_RATE = "the rate of the weight store"
    NO_RECENT_ANSWER = "an answer of the engine"
    LAST_REPLICA = "another engine that serves what this one holds"


class Phase(StrEnum):
    """Phase of an open order; shown in the status."""

    RECORDING = "recording"
    RECORDED = "recorded"
    SENDING = "sending"
    UNDER_WAY = "under way"
    CLOSING = "closing"


@dataclass(slots=True)
class OpenOrder:
    """An order without a recorded outcome.

    Attributes:
        started_at: Loop time in seconds at which the order was created or last
            passed on for sending, or at which this member's term began if an
            earlier leader created it.
        undeliverable_from: Loop time in seconds from which the order can no longer
            reach its engine: a later answer that doesn't name the order shows that
            it is lost. None before the order is sent.
        next_attempt_at: Loop time in seconds of the next attempt to record or send
            the order or to record its outcome.
        send_attempts: Number of attempts to send the order.
    """

    order: Order
    phase: Phase
    started_at: float
    undeliverable_from: float | None = None
    next_attempt_at: float = float("-inf")
    send_attempts: int = 0
    outcome: OrderOutcome | None = None
    message: str = ""


@dataclass(slots=True)
class _RetryDelay:
    """A load failure and the loop time in seconds from which a retry is allowed."""

    failure: LoadFailureSummary
    retry_at: float


class Reconciler:
    """Decides on orders to engines while this member leads.

    Args:
        rng: Generates the ids of orders; must be seeded differently at each start.

    Attributes:
        engines: Latest state of all reported engines.
        orders_by_engine: Open orders, at most one per engine.
        waiting_by_engine: Wanted orders that wait, with the reason, at most one per
            engine.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.engines = EngineTable()
        self.orders_by_engine: dict[str, OpenOrder] = {}
        self.waiting_by_engine: dict[str, tuple[WantedOrder, WaitReason]] = {}
        self._declared = ModelDeclarations()
        self._term: int | None = None
        self._hold_until_by_engine: dict[str, float] = {}
        self._retry_delays: dict[tuple[str, str], _RetryDelay] = {}
        self._load_times: deque[float] = deque()
        self._next_plan_at = float("-inf")

    @property
    def term(self) -> int | None:
        """Term in which this member leads, or None."""
        return self._term

    @property
    def declared(self) -> ModelDeclarations:
        """Current declarations about models."""
        return self._declared

    def get_retry_delay(
        self, model: str, version: str
    ) -> tuple[LoadFailureSummary, float] | None:
        """Return the failure of a version and the loop time of its retry, or None."""
        delay = self._retry_delays.get((model, version))
        return (delay.failure, delay.retry_at) if delay is not None else None

    def apply_event(self, event: Event, now: float) -> None:
        """Apply an event; the next `tick` returns the resulting actions.

        Args:
            event: Event to apply.
            now: Loop time in seconds.

        Raises:
            InvariantError: An invariant is broken.
        """
        match event:
            case LeadershipGained():
                self._start_term(event, now)
            case LeadershipLost():
                self._term = None
                self.orders_by_engine.clear()
                self.waiting_by_engine.clear()
            case ModelDeclarations():
                self._declared = event
            case EnginesReported():
                if not self.engines.apply_report(event, now):
                    return
            case QueryCompleted():
                self._handle_answer(event, now)
            case _:
                self._handle_order_event(event, now)
        self._next_plan_at = now

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return the actions to execute at loop time ``now`` in seconds.

        Raises:
            InvariantError: An invariant is broken.
        """
        self.engines.remove_expired(frozenset(self.orders_by_engine), now)
        if self._term is None:
            return ()
        actions: list[Action] = []
        for open_order in self.orders_by_engine.values():
            actions.extend(self._advance_order(open_order, now))
        actions.extend(self._open_wanted_orders(now))
        actions.extend(self._build_queries(now))
        return tuple(actions)

    def _start_term(self, event: LeadershipGained, now: float) -> None:
        """Start a term; orders of earlier leaders stay open until engines answer."""
        if self._term is not None and event.term <= self._term:
            raise InvariantError(
                f"new term {event.term} must be greater than current {self._term}"
            )
        self._term = event.term
        # Answers from an earlier term don't reflect orders that were sent since.
        for engine in self.engines.by_id.values():
            engine.confirmed_at = None
        recorded = event.recorded
        hold_until = now + event.lease_s + DELIVERY_TIMEOUT_S
        self._hold_until_by_engine = {
            order.engine_id: hold_until for order in recorded.open_orders
        }
        self.orders_by_engine = {
            order.engine_id: OpenOrder(order, Phase.UNDER_WAY, now, hold_until)
            for order in recorded.open_orders
        }
        self._load_times = deque([now] * recorded.recent_load_count)
        self._retry_delays = {
            (failure.model, failure.version): _build_retry_delay(failure, now)
            for failure in recorded.failures
        }

    def _handle_answer(self, event: QueryCompleted, now: float) -> None:
        engine = self.engines.apply_answer(event)
        open_order = self.orders_by_engine.get(event.engine_id)
        if (
            engine is None
            or open_order is None
            or open_order.phase is not Phase.UNDER_WAY
        ):
            return
        if event.query_sent_at < open_order.started_at:
            return
        contents = engine.contents
        if contents.order_id == open_order.order.order_id:
            self._handle_progress(open_order, engine, now)
        elif self._is_lost(open_order, engine, now):
            self._set_outcome(
                open_order, OrderOutcome.LOST, "the engine never got the order"
            )

    def _handle_progress(
        self, open_order: OpenOrder, engine: Engine, now: float
    ) -> None:
        """Handle the progress of the order that its engine reports in an answer."""
        contents = engine.contents
        if contents.progress is OrderProgress.RUNNING:
            if now >= open_order.started_at + MAX_ORDER_RUN_S:
                self._set_outcome(open_order, OrderOutcome.FAILED, "it took too long")
            return
        self._hold_until_by_engine.pop(open_order.order.engine_id, None)
        mismatch = _describe_mismatch(open_order.order, engine)
        if contents.progress is OrderProgress.DONE and not mismatch:
            self._set_outcome(open_order, OrderOutcome.DONE, "")
        else:
            self._set_outcome(
                open_order, OrderOutcome.FAILED, contents.message or mismatch
            )

    def _is_lost(self, open_order: OpenOrder, engine: Engine, now: float) -> bool:
        """Return whether the engine will never execute an order that it doesn't name.

        An engine that checks fencing received the current term with the query and
        has refused orders of earlier terms since then.
        """
        is_earlier_term = open_order.order.fencing < self._term
        if is_earlier_term and self._checks_fencing(engine):
            return True
        return (
            open_order.undeliverable_from is not None
            and engine.confirmed_at >= open_order.undeliverable_from
        )

    def _set_outcome(
        self, open_order: OpenOrder, outcome: OrderOutcome, message: str
    ) -> None:
        open_order.phase = Phase.CLOSING
        open_order.outcome = outcome
        open_order.message = message
        open_order.next_attempt_at = float("-inf")

    def _handle_order_event(self, event: Event, now: float) -> None:
        open_order = next(
            (
                candidate
                for candidate in self.orders_by_engine.values()
                if candidate.order.order_id == event.order_id
            ),
            None,
        )
        if open_order is None:
            return
        match event:
            case OrderRecorded() if open_order.phase is Phase.RECORDING:
                open_order.phase = Phase.RECORDED
                open_order.next_attempt_at = now
            case CommitUnconfirmed():
                open_order.next_attempt_at = now + _RETRY_INTERVAL_S
            case OrderNotSent() if open_order.phase is Phase.SENDING:
                open_order.phase = Phase.RECORDED
                open_order.next_attempt_at = now + _RETRY_INTERVAL_S
            case OrderSent() if open_order.phase is Phase.SENDING:
                self._handle_sent(open_order, event, now)
            case OutcomeRecorded() if open_order.phase is Phase.CLOSING:
                self._remove_order(open_order, now)

    def _handle_sent(self, open_order: OpenOrder, event: OrderSent, now: float) -> None:
        if event.failure:
            self._set_outcome(open_order, OrderOutcome.FAILED, event.failure)
            return
        if event.refusal:
            self._set_outcome(open_order, OrderOutcome.LOST, event.refusal)
            return
        open_order.phase = Phase.UNDER_WAY
        open_order.undeliverable_from = now + DELIVERY_TIMEOUT_S

    def _remove_order(self, open_order: OpenOrder, now: float) -> None:
        order = open_order.order
        del self.orders_by_engine[order.engine_id]
        engine = self.engines.by_id.get(order.engine_id)
        if engine is not None:
            engine.confirmed_at = None
        if order.action not in (OrderAction.LOAD, OrderAction.SWITCH):
            return
        key = (order.model, order.version)
        if open_order.outcome is OrderOutcome.DONE:
            self._retry_delays.pop(key, None)
        elif open_order.outcome is OrderOutcome.FAILED:
            self._record_failure(open_order, key, now)

    def _record_failure(
        self, open_order: OpenOrder, key: tuple[str, str], now: float
    ) -> None:
        order = open_order.order
        earlier = self._retry_delays.get(key)
        failure = LoadFailureSummary(
            order.model,
            order.version,
            order.previous_version
            or (earlier.failure.previous_version if earlier else ""),
            order.engine_id,
            earlier.failure.count + 1 if earlier else 1,
            open_order.message,
        )
        self._retry_delays[key] = _build_retry_delay(failure, now)
        logger.warning(
            "engine %s failed to load model %s version %s, will retry later: %s",
            order.engine_id,
            order.model,
            order.version,
            open_order.message,
        )

    def _advance_order(self, open_order: OpenOrder, now: float) -> list[Action]:
        """Return the actions of the order's next step, if it is due."""
        if now < open_order.next_attempt_at:
            return []
        order = open_order.order
        match open_order.phase:
            case Phase.RECORDING:
                open_order.next_attempt_at = float("inf")
                return [RecordOrder(order)]
            case Phase.RECORDED:
                return self._send_order(open_order, now)
            case Phase.CLOSING:
                open_order.next_attempt_at = float("inf")
                return [RecordOutcome(order, open_order.outcome, open_order.message)]
            case Phase.UNDER_WAY:
                self._end_if_engine_gone(open_order, now)
        return []

    def _send_order(self, open_order: OpenOrder, now: float) -> list[Action]:
        order = open_order.order
        engine = self.engines.by_id.get(order.engine_id)
        if engine is None or not engine.is_live(now):
            self._set_outcome(open_order, OrderOutcome.LOST, "the engine went away")
            return []
        if open_order.send_attempts >= _MAX_SEND_ATTEMPTS:
            self._set_outcome(open_order, OrderOutcome.LOST, "it could not be sent")
            return []
        hold_until = self._get_hold_until(engine, now)
        if now < hold_until:
            open_order.next_attempt_at = hold_until
            return []
        open_order.send_attempts += 1
        self._check_no_earlier_order(order, engine, now)
        open_order.phase = Phase.SENDING
        open_order.next_attempt_at = float("inf")
        open_order.started_at = now
        return [SendOrder(order, engine.reported.address)]

    def _check_no_earlier_order(self, order: Order, engine: Engine, now: float) -> None:
        """Check that the order is of this term and no earlier one can still arrive.

        Raises:
            InvariantError: The order is of another term, or an order of an earlier
                term can still arrive.
        """
        if order.fencing != self._term:
            raise InvariantError(
                f"order {order.order_id} is of term {order.fencing}, expected current"
                f" term {self._term}"
            )
        if now < self._get_hold_until(engine, now):
            raise InvariantError(
                f"engine {order.engine_id} ignores fencing and may still receive an"
                " order of an earlier term"
            )

    def _checks_fencing(self, engine: Engine) -> bool:
        return resolve_fencing(self._declared, engine.reported) is Fencing.CHECKED

    def _get_hold_until(self, engine: Engine, now: float) -> float:
        """Return the loop time from which no earlier term's order can take effect.

        Evaluated at each call, because the announced and the declared fencing of an
        engine may change during the wait.
        """
        if self._checks_fencing(engine):
            return now
        return self._hold_until_by_engine.get(engine.reported.engine_id, now)

    def _end_if_engine_gone(self, open_order: OpenOrder, now: float) -> None:
        engine = self.engines.by_id.get(open_order.order.engine_id)
        is_gone = engine is None or not engine.is_live(now)
        if is_gone and now >= open_order.started_at + MAX_ORDER_RUN_S:
            self._set_outcome(open_order, OrderOutcome.LOST, "the engine went away")

    def _open_wanted_orders(self, now: float) -> list[Action]:
        """Open as many wanted orders as the limits allow."""
        if now < self._next_plan_at:
            return []
        actions: list[Action] = []
        found = plan_orders(self._build_context(now))
        self._next_plan_at = now if found else now + _IDLE_PLAN_INTERVAL_S
        self.waiting_by_engine.clear()
        for wanted in found:
            if wanted.engine_id in self.orders_by_engine:
                continue
            reason = self._find_wait_reason(wanted, now)
            if reason is not None:
                waiting = (wanted, reason)
                self.waiting_by_engine.setdefault(wanted.engine_id, waiting)
                continue
            self.waiting_by_engine.pop(wanted.engine_id, None)
            open_order = self._create_order(wanted, now)
            actions.extend(self._advance_order(open_order, now))
        return actions

    def _find_wait_reason(self, wanted: WantedOrder, now: float) -> WaitReason | None:
        engine = self.engines.by_id[wanted.engine_id]
        if len(self.orders_by_engine) >= _MAX_OPEN_ORDERS:
            return WaitReason.OPEN_ORDER_LIMIT
        if now < self._get_hold_until(engine, now):
            return WaitReason.EARLIER_LEADER
        if wanted.loads_weights and not self._is_load_allowed(now):
            return WaitReason.LOAD_RATE
        if not engine.is_fresh(now):
            engine.confirmed_at = None
            return WaitReason.NO_RECENT_ANSWER
        if not self._keeps_replicas(wanted, now):
            return WaitReason.LAST_REPLICA
        return None

    def _keeps_replicas(self, wanted: WantedOrder, now: float) -> bool:
        """Return whether each model that the order affects keeps another replica.

        The engine of that replica must have answered a recent query itself, because
        reports arrive late.
        """
        context = self._build_context(now)
        for model in find_affected_models(context, wanted):
            others = find_serving_ids(context, model) - {wanted.engine_id}
            engines = [self.engines.by_id[engine_id] for engine_id in sorted(others)]
            if any(engine.is_fresh(now) for engine in engines):
                continue
            for engine in engines[:1]:
                engine.confirmed_at = None
            return False
        return True

    def _is_load_allowed(self, now: float) -> bool:
        times = self._load_times
        while times and times[0] + LOAD_WINDOW_S <= now:
            times.popleft()
        return len(times) < self._declared.loads_per_minute

    def _create_order(self, wanted: WantedOrder, now: float) -> OpenOrder:
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
            raise InvariantError(f"engine {order.engine_id} already has an open order")
        self._check_single_disruption(order)
        if wanted.loads_weights:
            self._load_times.append(now)
        open_order = OpenOrder(order, Phase.RECORDING, now)
        self.orders_by_engine[order.engine_id] = open_order
        return open_order

    def _check_single_disruption(self, order: Order) -> None:
        """Check that a zone interrupts at most one replica of a model at a time.

        Raises:
            InvariantError: Another disruptive order of the model is open there.
        """
        if order.action not in DISRUPTIVE_ACTIONS:
            return
        zone = self.engines.by_id[order.engine_id].reported.zone
        for engine_id, open_order in self.orders_by_engine.items():
            other = self.engines.by_id.get(engine_id)
            if (
                other is not None
                and other.reported.zone == zone
                and open_order.order.model == order.model
                and open_order.order.action in DISRUPTIVE_ACTIONS
            ):
                raise InvariantError(
                    f"{order.model} would lose two replicas at once in zone {zone}"
                )

    def _build_context(self, now: float) -> PlanningContext:
        failures = {
            name: self._retry_delays[name, spec.version].failure
            for name, spec in self._declared.models_by_name.items()
            if (name, spec.version) in self._retry_delays
            and now < self._retry_delays[name, spec.version].retry_at
        }
        engines_by_id = {
            engine_id: engine
            for engine_id, engine in self.engines.by_id.items()
            if engine.is_live(now)
        }
        return PlanningContext(
            declared=self._declared,
            engines_by_id=engines_by_id,
            candidates_by_model=find_candidates(self._declared, engines_by_id.values()),
            orders_by_engine={
                engine_id: open_order.order
                for engine_id, open_order in self.orders_by_engine.items()
            },
            failures_by_model=failures,
            failed_models=frozenset(
                name
                for name, spec in self._declared.models_by_name.items()
                if (name, spec.version) in self._retry_delays
            ),
        )

    def _build_queries(self, now: float) -> list[Action]:
        """Query engines with an order under way, and those without a valid answer."""
        actions: list[Action] = []
        pending_count = sum(
            engine.is_query_pending for engine in self.engines.by_id.values()
        )
        for engine_id, engine in self.engines.by_id.items():
            open_order = self.orders_by_engine.get(engine_id)
            is_query_needed = (
                open_order.phase is Phase.UNDER_WAY
                if open_order is not None
                else engine.confirmed_at is None or engine.is_running_order()
            )
            if not is_query_needed or not engine.is_query_due(now):
                continue
            if pending_count + len(actions) >= _MAX_PENDING_QUERIES:
                break
            engine.last_query_at = now
            engine.is_query_pending = True
            actions.append(QueryEngine(engine_id, engine.reported.address, self._term))
        return actions


def _build_retry_delay(failure: LoadFailureSummary, now: float) -> _RetryDelay:
    doublings = min(failure.count - 1, 16)
    delay_s = min(RETRY_DELAY_MIN_S * 2**doublings, RETRY_DELAY_MAX_S)
    return _RetryDelay(failure, now + delay_s)


def _describe_mismatch(order: Order, engine: Engine) -> str:
    """Describe how the engine's contents differ from the order; empty if they match."""
    held = engine.contents.versions_by_model.get(order.model)
    match order.action:
        case OrderAction.LOAD | OrderAction.SWITCH if held != order.version:
            return f"the engine holds version {held or 'none'}"
        case OrderAction.UNLOAD if held is not None:
            return f"the engine still holds version {held}"
        case OrderAction.CHANGE_ROLE if engine.contents.role != order.role:
            return f"the engine has the role {engine.contents.role}"
    return ""
