"""Orders to engines as the replicated state holds them."""

from __future__ import annotations

from collections import deque

from galenadrum._internal.control.orders.messages import (
    Failure,
    Order,
    OrderAction,
    OrderOutcome,
    RecordedOrders,
)
from galenadrum._internal.protocol.engines_pb2 import (
    EngineOrder,
    LoadFailure,
    OrderClosing,
    OrderResult,
    OrdersSnapshot,
)

MAX_OPEN_ORDERS = 2_000
MAX_FAILURES = 1_000
LOAD_WINDOW_MS = 60_000
_MAX_LOAD_TIMES = 10_000
_MESSAGE_MAX_CHARACTERS = 500
_WEIGHT_ACTIONS = frozenset((OrderAction.LOAD, OrderAction.SWITCH))
_ACTIONS = frozenset(action.value for action in OrderAction)


class OrderTable:
    """Open orders by engine, failed loads, and times of recent loads."""

    def __init__(self) -> None:
        self._open_by_engine: dict[str, EngineOrder] = {}
        self._failures: dict[tuple[str, str], LoadFailure] = {}
        self._load_times_ms: deque[int] = deque(maxlen=_MAX_LOAD_TIMES)

    def record(self, message: EngineOrder, time_ms: int) -> OrderResult:
        """Record an order before it is sent; the same one may come again."""
        current = self._open_by_engine.get(message.engine_id)
        if message.action not in _ACTIONS:
            return OrderResult(message=f"no action {message.action[:32]!r}")
        if current is not None:
            same = current.order_id == message.order_id
            return OrderResult(accepted=same, message="" if same else current.order_id)
        if len(self._open_by_engine) >= MAX_OPEN_ORDERS:
            return OrderResult(message=f"{MAX_OPEN_ORDERS} orders are open")
        order = EngineOrder()
        order.CopyFrom(message)
        self._open_by_engine[message.engine_id] = order
        if message.action in _WEIGHT_ACTIONS:
            self._load_times_ms.append(time_ms)
        return OrderResult(accepted=True)

    def close(self, message: OrderClosing) -> OrderResult:
        """Record how an order ended; a repeat changes nothing."""
        order = self._open_by_engine.get(message.engine_id)
        if order is None or order.order_id != message.order_id:
            return OrderResult(accepted=True, message="not open")
        del self._open_by_engine[message.engine_id]
        if order.action in _WEIGHT_ACTIONS:
            self._note_load(order, message)
        return OrderResult(accepted=True)

    def expire(self, time_ms: int) -> None:
        """Forget loads that are older than the window of the rate."""
        times = self._load_times_ms
        while times and times[0] + LOAD_WINDOW_MS <= time_ms:
            times.popleft()

    def recorded(self) -> RecordedOrders:
        """Return what a new leader needs to know."""
        return RecordedOrders(
            open_orders=tuple(_order_of(row) for row in self._open_by_engine.values()),
            failures=tuple(_failure_of(row) for row in self._failures.values()),
            recent_loads=len(self._load_times_ms),
        )

    def snapshot(self) -> OrdersSnapshot:
        """Return everything; equal tables give equal messages."""
        opened = sorted(self._open_by_engine.items())
        return OrdersSnapshot(
            open=[order for _, order in opened],
            failures=list(self._failures.values()),
            load_times_ms=self._load_times_ms,
        )

    def restore(self, snapshot: OrdersSnapshot) -> None:
        """Take over a snapshot in place of everything held so far."""
        self._open_by_engine = {row.engine_id: row for row in snapshot.open}
        self._failures = {(row.model, row.version): row for row in snapshot.failures}
        self._load_times_ms = deque(snapshot.load_times_ms, maxlen=_MAX_LOAD_TIMES)

    def _note_load(self, order: EngineOrder, message: OrderClosing) -> None:
        key = (order.model, order.version)
        earlier = self._failures.pop(key, None)
        if message.outcome == OrderOutcome.LOST and earlier is not None:
            self._failures[key] = earlier
        if message.outcome != OrderOutcome.FAILED:
            return
        while len(self._failures) >= MAX_FAILURES:
            self._failures.pop(next(iter(self._failures)))
        previous = earlier.previous_version if earlier else ""
        self._failures[key] = LoadFailure(
            model=order.model,
            version=order.version,
            previous_version=order.previous_version or previous,
            engine_id=order.engine_id,
            count=earlier.count + 1 if earlier else 1,
            message=message.message[:_MESSAGE_MAX_CHARACTERS],
        )


def message_of(order: Order) -> EngineOrder:
    """Return the message that holds ``order``."""
    return EngineOrder(
        order_id=order.order_id,
        fencing=order.fencing,
        engine_id=order.engine_id,
        action=order.action.value,
        model=order.model,
        version=order.version,
        previous_version=order.previous_version,
        adapters=order.adapters,
        role=order.role,
    )


def _order_of(message: EngineOrder) -> Order:
    return Order(
        order_id=message.order_id,
        fencing=message.fencing,
        engine_id=message.engine_id,
        action=OrderAction(message.action),
        model=message.model,
        version=message.version,
        previous_version=message.previous_version,
        adapters=tuple(message.adapters),
        role=message.role,
    )


def _failure_of(message: LoadFailure) -> Failure:
    return Failure(
        model=message.model,
        version=message.version,
        previous_version=message.previous_version,
        engine_id=message.engine_id,
        count=message.count,
        message=message.message,
    )
