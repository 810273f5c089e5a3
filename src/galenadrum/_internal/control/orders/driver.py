"""Executes the actions of the reconciler while this member leads."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from galenadrum._internal.control.orders.events import (
    Action,
    CommitUnconfirmed,
    EngineContents,
    EnginesReported,
    Event,
    LeadershipGained,
    LeadershipLost,
    ModelDeclarations,
    Order,
    OrderNotSent,
    OrderRecorded,
    OrderSent,
    OutcomeRecorded,
    QueryCompleted,
    QueryEngine,
    RecordOrder,
    RecordOutcome,
    SendOrder,
)
from galenadrum._internal.control.orders.lease import Lease, compute_send_timeout_s
from galenadrum._internal.control.orders.order_metrics import OrderMetrics
from galenadrum._internal.control.orders.reconciler import Reconciler
from galenadrum._internal.control.orders.status import ModelStatus, describe_model
from galenadrum._internal.control.proposer import Log, Proposer
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.orders import build_order_message
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
    OrderNotSentError,
    OrderResponse,
    query_engine,
    send_order,
)
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.commands_pb2 import CommandResult
from galenadrum._internal.protocol.engines_pb2 import OrderClosing

logger = logging.getLogger(__name__)

SendCall = Callable[[str, Order, Callable[[], float]], OrderResponse]
QueryCall = Callable[[str, int, float], EngineContents]

_EVENT_WAIT_TIMEOUT_S = 1.0
_MIN_TICK_INTERVAL_S = 0.1
_PROPOSE_TIMEOUT_S = 5.0
_BARRIER_TIMEOUT_S = 5.0
_QUERY_TIMEOUT_S = 1.5
_QUERY_THREADS = 8
_SEND_THREADS = 4


class OrdersDriver:
    """Drives the reconciler of one control host.

    Args:
        log: The replicated log.
        state: The replicated state of this member.
        proposer: Proposes commands while this member leads.
        lease_s: Longest time in seconds for which a leader without a quorum
            keeps its lease.
        rng: Generates the ids of orders.
        metrics: Metrics of the control host.
        send: Sends an order; blocks.
        query: Queries the contents of an engine; blocks.
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
        self._send = send
        self._query = query
        self._reconciler = Reconciler(rng)
        self._lease: Lease | None = None
        self._events: deque[Event] = deque()
        self._reports_by_zone: dict[str, EnginesReported] = {}
        self._tick_due = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._declared_revision = -1

    def update_lease(self, term: int, lease_expires_at: float | None) -> None:
        """Update the lease of this member; called by the log.

        Args:
            term: Current term of this member.
            lease_expires_at: Loop time in seconds at which the lease ends; None
                without a lease.
        """
        had_lease = self._lease is not None
        self._lease = (
            Lease(term, lease_expires_at) if lease_expires_at is not None else None
        )
        if had_lease != (self._lease is not None):
            self._tick_due.set()

    def record_engine_report(self, event: EnginesReported) -> None:
        """Store the latest report of a zone's engines for the next tick."""
        self._reports_by_zone[event.zone] = event

    def status(self, model: str) -> ModelStatus | None:
        """Return the status of a model; None unless this member leads."""
        if self._reconciler.term is None:
            return None
        now = asyncio.get_running_loop().time()
        return describe_model(self._reconciler, model, now)

    async def run(self) -> None:
        """Send orders whenever this member leads, until cancelled.

        Raises:
            InvariantError: An invariant is broken.
        """
        self._reconciler = Reconciler(self._rng)
        self._events.clear()
        self._declared_revision = -1
        self._send_executor = ThreadPoolExecutor(_SEND_THREADS, "order-sender")
        self._query_executor = ThreadPoolExecutor(_QUERY_THREADS, "engine-query")
        try:
            while True:
                await self._run_tick()
                await self._wait_until_tick_due()
        finally:
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for executor in (self._send_executor, self._query_executor):
                executor.shutdown(wait=False, cancel_futures=True)

    async def _run_tick(self) -> None:
        await self._update_leadership()
        now = asyncio.get_running_loop().time()
        if self._reconciler.term is not None:
            self._update_declarations(now)
        while self._events:
            self._reconciler.apply_event(self._events.popleft(), now)
        while self._reports_by_zone:
            _, report = self._reports_by_zone.popitem()
            self._reconciler.apply_event(report, now)
        for action in self._reconciler.tick(now):
            self._start_action(action)
        self._metrics.update_open_orders(self._reconciler)

    async def _wait_until_tick_due(self) -> None:
        """Wait for an event or the timeout; events in quick succession share a tick."""
        await asyncio.sleep(_MIN_TICK_INTERVAL_S)
        try:
            async with asyncio.timeout(_EVENT_WAIT_TIMEOUT_S):
                await self._tick_due.wait()
        except TimeoutError:
            pass
        self._tick_due.clear()

    async def _update_leadership(self) -> None:
        """Pass the start or end of this member's leadership to the reconciler.

        A new leader first waits on the read barrier, so that its state holds all
        orders of earlier leaders.
        """
        loop = asyncio.get_running_loop()
        lease = self._lease
        is_leader = self._log.is_leader and lease is not None
        if self._reconciler.term is not None and (
            not is_leader or lease.term != self._reconciler.term
        ):
            self._reconciler.apply_event(LeadershipLost(), loop.time())
            logger.info(
                "stopped sending orders to engines: this host is no longer the leader"
            )
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
        self._reconciler.apply_event(event, loop.time())
        logger.info(
            "started sending orders to engines as leader of term %d", lease.term
        )

    def _update_declarations(self, now: float) -> None:
        if self._declared_revision == self._state.revision:
            return
        self._declared_revision = self._state.revision
        self._reconciler.apply_event(collect_declarations(self._state), now)

    def _start_action(self, action: Action) -> None:
        match action:
            case RecordOrder(order):
                coroutine = self._record_order(order)
            case RecordOutcome():
                coroutine = self._record_outcome(action)
            case SendOrder(order, address):
                coroutine = self._send_order(order, address)
            case QueryEngine():
                coroutine = self._query_engine(action)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _record_order(self, order: Order) -> None:
        if self._lease is None or self._lease.term != order.fencing:
            # Recorded in a later term, the order would stay open, because no leader
            # tracks it.
            self._enqueue_event(CommitUnconfirmed(order.order_id))
            return
        message = build_order_message(order)
        proposal = self._proposer.propose_order(message, _PROPOSE_TIMEOUT_S)
        is_recorded = await _await_acceptance(proposal, order)
        if is_recorded:
            logger.info(
                "recorded order %s: %s %s %s on engine %s",
                order.order_id,
                order.action,
                order.model,
                order.version or order.role,
                order.engine_id,
            )
        event_type = OrderRecorded if is_recorded else CommitUnconfirmed
        self._enqueue_event(event_type(order.order_id))

    async def _record_outcome(self, action: RecordOutcome) -> None:
        order = action.order
        closing = OrderClosing(
            order_id=order.order_id,
            engine_id=order.engine_id,
            outcome=action.outcome.value,
            message=action.message,
        )
        proposal = self._proposer.propose_order_closing(closing, _PROPOSE_TIMEOUT_S)
        is_recorded = await _await_acceptance(proposal, order)
        if is_recorded:
            logger.info(
                "order %s ended with outcome %s: %s",
                order.order_id,
                action.outcome,
                action.message,
            )
            self._metrics.count_outcome(order, action.outcome)
        event_type = OutcomeRecorded if is_recorded else CommitUnconfirmed
        self._enqueue_event(event_type(order.order_id))

    async def _send_order(self, order: Order, address: str) -> None:
        loop = asyncio.get_running_loop()

        def remaining_s() -> float:
            return compute_send_timeout_s(order.fencing, self._lease, loop.time())

        try:
            answer = await loop.run_in_executor(
                self._send_executor, self._send, address, order, remaining_s
            )
        except OrderNotSentError as error:
            logger.info(
                "could not send order %s, will retry: %s", order.order_id, error
            )
            self._enqueue_event(OrderNotSent(order.order_id))
        except EngineUnreachableError as error:
            logger.warning(
                "no valid answer to order %s, which the engine may have received: %s",
                order.order_id,
                error,
            )
            self._metrics.count_sent(order, is_answered=False)
            self._enqueue_event(OrderSent(order.order_id))
        else:
            self._metrics.count_sent(order, is_answered=True)
            self._enqueue_event(
                OrderSent(order.order_id, answer.refusal, answer.failure)
            )

    async def _query_engine(self, action: QueryEngine) -> None:
        loop = asyncio.get_running_loop()
        query_sent_at = loop.time()
        contents = None
        try:
            contents = await loop.run_in_executor(
                self._query_executor,
                self._query,
                action.address,
                action.fencing,
                _QUERY_TIMEOUT_S,
            )
        except EngineUnreachableError as error:
            logger.debug("query of engine %s failed: %s", action.engine_id, error)
        self._enqueue_event(QueryCompleted(action.engine_id, query_sent_at, contents))

    def _enqueue_event(self, event: Event) -> None:
        self._events.append(event)
        self._tick_due.set()


def collect_declarations(state: ControlState) -> ModelDeclarations:
    """Collect the declarations about models from the replicated state."""
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
    # All policies share one weight store, so the lowest load rate applies.
    load_rates = [policy.loads_per_minute for policy in policies]
    return ModelDeclarations(
        models,
        {name: spec.model for name, spec in stages.items() if spec.model is not None},
        min(load_rates, default=PolicySpec().loads_per_minute),
        {name: spec.fencing for name, spec in stages.items() if spec.fencing},
        _merge_fencing(policies),
    )


def _merge_fencing(policies: Iterable[PolicySpec]) -> dict[str, Fencing]:
    """Merge the declared fencing by engine; IGNORED overrides CHECKED."""
    merged: dict[str, Fencing] = {}
    for policy in policies:
        for engine_id, fencing in policy.fencing_by_engine.items():
            if merged.get(engine_id) is not Fencing.IGNORED:
                merged[engine_id] = fencing
    return merged


async def _await_acceptance(proposal: Awaitable[CommandResult], order: Order) -> bool:
    """Wait for a proposal and return whether it was committed and accepted.

    False also if the outcome of the proposal is unknown.
    """
    try:
        result = await proposal
    except (NotLeaderError, OutcomeUnknownError, LogBusyError) as error:
        logger.info(
            "commit for order %s is unconfirmed, will retry: %s", order.order_id, error
        )
        return False
    if not result.order.accepted:
        logger.warning(
            "replicated state rejected the command for order %s: %s",
            order.order_id,
            result.order.message or result.error.message,
        )
    return result.order.accepted
