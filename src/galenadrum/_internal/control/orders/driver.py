"""Carries out what the reconciler decides, while this member leads."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from galenadrum._internal.control.orders.lease import Lease, send_time_s
from galenadrum._internal.control.orders.messages import (
    Action,
    Declared,
    EngineAnswered,
    EngineContents,
    EnginesReported,
    Event,
    LeadershipGained,
    LeadershipLost,
    Order,
    OrderNotSent,
    OrderRecorded,
    OrderSent,
    OutcomeRecorded,
    QueryEngine,
    RecordOrder,
    RecordOutcome,
    RecordUnknown,
    SendOrder,
)
from galenadrum._internal.control.orders.order_metrics import OrderMetrics
from galenadrum._internal.control.orders.reconciler import Reconciler
from galenadrum._internal.control.orders.status import ModelStatus, describe_model
from galenadrum._internal.control.proposals import Log, Proposer
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.orders import message_of
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    LogBusyError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.resources import (
    Fencing,
    Kind,
    ModelSpec,
    PolicySpec,
    StageSpec,
)
from galenadrum._internal.network.engine_client import (
    EngineUnreachableError,
    OrderAnswer,
    OrderNotSentError,
    query_engine,
    send_order,
)
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.commands_pb2 import CommandResult
from galenadrum._internal.protocol.engines_pb2 import OrderClosing

logger = logging.getLogger(__name__)

SendCall = Callable[[str, Order, Callable[[], float]], OrderAnswer]
QueryCall = Callable[[str, int, float], EngineContents]

_TICK_S = 1.0
_TICK_MIN_S = 0.1
_PROPOSE_TIMEOUT_S = 5.0
_BARRIER_TIMEOUT_S = 5.0
_QUERY_TIMEOUT_S = 1.5
_QUERY_THREADS = 8
_SEND_THREADS = 4


class OrdersDriver:
    """Drives the reconciler of one control host.

    Args:
        log: The replicated log.
        state: The state of this member.
        proposer: Proposes commands while this member leads.
        lease_s: Longest lease that any leader holds without a quorum, in seconds.
        rng: Draws the ids of orders.
        metrics: Counts orders.
        send: Sends an order; blocks.
        query: Asks an engine what it holds; blocks.
    """

    def __init__(
        self,
        log: Log,
        state: ControlState,
        proposer: Proposer,
        lease_s: float,
        rng: random.Random,
        metrics: Metrics,
        send: SendCall = send_order,
        query: QueryCall = query_engine,
    ) -> None:
        self._log = log
        self._state = state
        self._proposer = proposer
        self._lease_s = lease_s
        self._rng = rng
        self._metrics = OrderMetrics(metrics)
        self._send_call = send
        self._query_call = query
        self._reconciler = Reconciler(rng)
        self._lease: Lease | None = None
        self._events: deque[Event] = deque()
        self._reports_by_zone: dict[str, EnginesReported] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._declared_revision = -1

    def note_leadership(self, term: int, lease_until: float | None) -> None:
        """Take over the lease of this member; the log calls this."""
        had_lease = self._lease is not None
        self._lease = Lease(term, lease_until) if lease_until is not None else None
        if had_lease != (self._lease is not None):
            self._wake.set()

    def take_report(self, event: EnginesReported) -> None:
        """Take what a zone reports of its engines."""
        self._reports_by_zone[event.zone] = event

    def status(self, model: str) -> ModelStatus | None:
        """Return how the engines run a model; None when this doesn't lead."""
        if self._reconciler.term is None:
            return None
        now = asyncio.get_running_loop().time()
        return describe_model(self._reconciler, model, now)

    async def run(self) -> None:
        """Give orders whenever this member leads, until cancelled.

        Raises:
            InvariantError: An invariant is broken.
        """
        self._reconciler = Reconciler(self._rng)
        self._events.clear()
        self._declared_revision = -1
        self._senders = ThreadPoolExecutor(_SEND_THREADS, "order-sender")
        self._askers = ThreadPoolExecutor(_QUERY_THREADS, "engine-query")
        try:
            while True:
                await self._run_once()
                await self._wait()
        finally:
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for executor in (self._senders, self._askers):
                executor.shutdown(wait=False, cancel_futures=True)

    async def _run_once(self) -> None:
        await self._follow_leadership()
        now = asyncio.get_running_loop().time()
        if self._reconciler.term is not None:
            self._follow_declarations(now)
        while self._events:
            self._reconciler.receive(self._events.popleft(), now)
        while self._reports_by_zone:
            _, report = self._reports_by_zone.popitem()
            self._reconciler.receive(report, now)
        for action in self._reconciler.tick(now):
            self._start(action)
        self._metrics.take(self._reconciler)

    async def _wait(self) -> None:
        """Wait for the next tick; events that come close together share one."""
        await asyncio.sleep(_TICK_MIN_S)
        try:
            async with asyncio.timeout(_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _follow_leadership(self) -> None:
        """Tell the reconciler of a term that began or ended."""
        loop = asyncio.get_running_loop()
        lease = self._lease
        is_leader = self._log.is_leader and lease is not None
        if self._reconciler.term is not None and (
            not is_leader or lease.term != self._reconciler.term
        ):
            self._reconciler.receive(LeadershipLost(), loop.time())
            logger.info("orders to engines stop: this host doesn't lead")
        if not is_leader or self._reconciler.term is not None:
            return
        try:
            await self._log.read_barrier(_BARRIER_TIMEOUT_S)
        except (NotLeaderError, LogBusyError, ControlUnreachableError):
            return
        if self._lease is None or self._lease.term != lease.term:
            return
        event = LeadershipGained(
            lease.term, self._lease_s, self._state.orders.recorded()
        )
        self._reconciler.receive(event, loop.time())
        logger.info("orders to engines begin in term %d", lease.term)

    def _follow_declarations(self, now: float) -> None:
        if self._declared_revision == self._state.revision:
            return
        self._declared_revision = self._state.revision
        self._reconciler.receive(declared_in(self._state), now)

    def _start(self, action: Action) -> None:
        match action:
            case RecordOrder(order):
                coroutine = self._record(order)
            case RecordOutcome():
                coroutine = self._record_outcome(action)
            case SendOrder(order, address):
                coroutine = self._send(order, address)
            case QueryEngine():
                coroutine = self._query(action)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _record(self, order: Order) -> None:
        message = message_of(order)
        proposal = self._proposer.propose_order(message, _PROPOSE_TIMEOUT_S)
        is_recorded = await _is_accepted(proposal, order)
        if is_recorded:
            logger.info(
                "order %s: %s %s %s on %s",
                order.order_id,
                order.action,
                order.model,
                order.version or order.role,
                order.engine_id,
            )
        event = OrderRecorded if is_recorded else RecordUnknown
        self._take(event(order.order_id))

    async def _record_outcome(self, action: RecordOutcome) -> None:
        order = action.order
        closing = OrderClosing(
            order_id=order.order_id,
            engine_id=order.engine_id,
            outcome=action.outcome.value,
            message=action.message,
        )
        proposal = self._proposer.propose_order_closing(closing, _PROPOSE_TIMEOUT_S)
        is_recorded = await _is_accepted(proposal, order)
        if is_recorded:
            logger.info(
                "order %s ended: %s %s",
                order.order_id,
                action.outcome,
                action.message,
            )
            self._metrics.count_outcome(order, action.outcome)
        event = OutcomeRecorded if is_recorded else RecordUnknown
        self._take(event(order.order_id))

    async def _send(self, order: Order, address: str) -> None:
        loop = asyncio.get_running_loop()

        def remaining_s() -> float:
            return send_time_s(order.fencing, self._lease, loop.time())

        try:
            answer = await loop.run_in_executor(
                self._senders, self._send_call, address, order, remaining_s
            )
        except OrderNotSentError as error:
            logger.info("order %s was not sent: %s", order.order_id, error)
            self._take(OrderNotSent(order.order_id))
        except EngineUnreachableError as error:
            logger.warning("order %s may have been lost: %s", order.order_id, error)
            self._metrics.count_sent(order, is_answered=False)
            self._take(OrderSent(order.order_id))
        else:
            self._metrics.count_sent(order, is_answered=True)
            self._take(OrderSent(order.order_id, answer.refusal, answer.failure))

    async def _query(self, action: QueryEngine) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        contents = None
        try:
            contents = await loop.run_in_executor(
                self._askers,
                self._query_call,
                action.address,
                action.fencing,
                _QUERY_TIMEOUT_S,
            )
        except EngineUnreachableError as error:
            logger.debug("engine %s doesn't answer: %s", action.engine_id, error)
        self._take(EngineAnswered(action.engine_id, asked_at, contents))

    def _take(self, event: Event) -> None:
        self._events.append(event)
        self._wake.set()


def declared_in(state: ControlState) -> Declared:
    """Return what the state declares about models."""
    models: dict[str, ModelSpec] = {}
    stages: dict[str, StageSpec] = {}
    policies: list[PolicySpec] = []
    for resource in state.resources():
        match resource.key.kind, resource.spec:
            case Kind.MODEL, ModelSpec():
                models[resource.key.name] = resource.spec
            case Kind.STAGE, StageSpec():
                stages[resource.key.name] = resource.spec
            case Kind.POLICY, PolicySpec():
                policies.append(resource.spec)
    # All operators load from one store: the most careful of them counts.
    rates = [policy.loads_per_minute for policy in policies]
    return Declared(
        models,
        {name: spec.model for name, spec in stages.items() if spec.model is not None},
        min(rates, default=PolicySpec().loads_per_minute),
        {name: spec.fencing for name, spec in stages.items() if spec.fencing},
        _merge_fencing(policies),
    )


def _merge_fencing(policies: Iterable[PolicySpec]) -> dict[str, Fencing]:
    """Return what operators say of single engines, the most careful of each."""
    merged: dict[str, Fencing] = {}
    for policy in policies:
        for engine_id, word in policy.fencing_by_engine.items():
            if merged.get(engine_id) is not Fencing.IGNORED:
                merged[engine_id] = word
    return merged


async def _is_accepted(proposal: Awaitable[CommandResult], order: Order) -> bool:
    """Return whether the command is certainly in the replicated state."""
    try:
        result = await proposal
    except (NotLeaderError, OutcomeUnknownError, LogBusyError) as error:
        logger.info("order %s is not recorded yet: %s", order.order_id, error)
        return False
    if not result.order.accepted:
        logger.warning(
            "order %s was not recorded: %s",
            order.order_id,
            result.order.message or result.error.message,
        )
    return result.order.accepted
