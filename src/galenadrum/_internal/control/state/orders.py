"""Engine orders in the replicated state."""

from __future__ import annotations

from collections import deque

from galenadrum._internal.control.orders.events import (
    LoadFailureSummary,
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
MAX_LOAD_FAILURES = 1_000
LOAD_RATE_WINDOW_MS = 60_000
_MAX_RECENT_LOADS = 10_000
_FAILURE_MESSAGE_MAX_CHARACTERS = 500
_LOADING_ACTIONS = frozenset((OrderAction.LOAD, OrderAction.SWITCH))
_ACTIONS = frozenset(action.value for action in OrderAction)


class OrderTable:
    """Open orders by engine, failed loads and times of recent loads."""

    def __init__(self) -> None:
        self._open_order_by_engine: dict[str, EngineOrder] = {}
        self._failure_by_version: dict[tuple[str, str], LoadFailure] = {}
        self._load_times_ms: deque[int] = deque(maxlen=_MAX_RECENT_LOADS)

    def record_order(self, message: EngineOrder, time_ms: int) -> OrderResult:
        """Record an order before it is sent; a repeat is accepted again.

        An engine has at most one open order.

        Args:
            message: The order.
            time_ms: Current time of the state in milliseconds.
        """
        current = self._open_order_by_engine.get(message.engine_id)
        if message.action not in _ACTIONS:
            return OrderResult(message=f"no action {message.action[:32]!r}")
        if current is not None:
            is_repeat = current.order_id == message.order_id
            return OrderResult(
                accepted=is_repeat, message="" if is_repeat else current.order_id
            )
        if len(self._open_order_by_engine) >= MAX_OPEN_ORDERS:
            return OrderResult(message=f"{MAX_OPEN_ORDERS} orders are open")
        order = EngineOrder()
        order.CopyFrom(message)
        self._open_order_by_engine[message.engine_id] = order
        if message.action in _LOADING_ACTIONS:
            self._load_times_ms.append(time_ms)
        return OrderResult(accepted=True)

    def close_order(self, message: OrderClosing) -> OrderResult:
        """Close an order and record its outcome; a repeat changes nothing."""
        order = self._open_order_by_engine.get(message.engine_id)
        if order is None or order.order_id != message.order_id:
            return OrderResult(accepted=True, message="not open")
        del self._open_order_by_engine[message.engine_id]
        if order.action in _LOADING_ACTIONS:
            self._record_load_outcome(order, message)
        return OrderResult(accepted=True)

    def expire(self, time_ms: int) -> None:
        """Remove load times that are outside the window of the load rate."""
        times = self._load_times_ms
        while times and times[0] + LOAD_RATE_WINDOW_MS <= time_ms:
            times.popleft()

    def recorded(self) -> RecordedOrders:
        """Return the orders, failures and load count for a new leader."""
        return RecordedOrders(
            open_orders=tuple(
                _parse_order(row) for row in self._open_order_by_engine.values()
            ),
            failures=tuple(
                _parse_failure(row) for row in self._failure_by_version.values()
            ),
            recent_load_count=len(self._load_times_ms),
        )

    def snapshot(self) -> OrdersSnapshot:
        """Return the whole table; equal tables give equal messages."""
        sorted_orders = sorted(self._open_order_by_engine.items())
        return OrdersSnapshot(
            open=[order for _, order in sorted_orders],
            failures=list(self._failure_by_version.values()),
            load_times_ms=self._load_times_ms,
        )

    def restore(self, snapshot: OrdersSnapshot) -> None:
        """Replace the whole table with a snapshot."""
        self._open_order_by_engine = {row.engine_id: row for row in snapshot.open}
        self._failure_by_version = {
            (row.model, row.version): row for row in snapshot.failures
        }
        self._load_times_ms = deque(snapshot.load_times_ms, maxlen=_MAX_RECENT_LOADS)

    def _record_load_outcome(self, order: EngineOrder, message: OrderClosing) -> None:
        key = (order.model, order.version)
        earlier = self._failure_by_version.pop(key, None)
        if message.outcome == OrderOutcome.LOST and earlier is not None:
            self._failure_by_version[key] = earlier
        if message.outcome != OrderOutcome.FAILED:
            return
        while len(self._failure_by_version) >= MAX_LOAD_FAILURES:
            self._failure_by_version.pop(next(iter(self._failure_by_version)))
        previous = earlier.previous_version if earlier else ""
        self._failure_by_version[key] = LoadFailure(
            model=order.model,
            version=order.version,
            previous_version=order.previous_version or previous,
            engine_id=order.engine_id,
            count=earlier.count + 1 if earlier else 1,
            message=message.message[:_FAILURE_MESSAGE_MAX_CHARACTERS],
        )


def build_order_message(order: Order) -> EngineOrder:
    """Return the protobuf message for ``order``."""
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


def _parse_order(message: EngineOrder) -> Order:
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


def _parse_failure(message: LoadFailure) -> LoadFailureSummary:
    return LoadFailureSummary(
        model=message.model,
        version=message.version,
        previous_version=message.previous_version,
        engine_id=message.engine_id,
        count=message.count,
        message=message.message,
    )
