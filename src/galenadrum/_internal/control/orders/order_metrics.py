"""Counts orders for the metrics of a control host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from galenadrum._internal.control.orders.events import (
    Order,
    OrderAction,
    OrderOutcome,
)
from galenadrum._internal.control.orders.reconciler import (
    Phase,
    Reconciler,
    WaitReason,
)
from galenadrum._internal.observability.metrics import Metrics


class OrderState(StrEnum):
    """State of an order without an outcome; a label of the gauge."""

    WAITING_FOR_RATE = "waiting_for_rate"
    WAITING = "waiting"
    QUEUED = "queued"
    UNDER_WAY = "under_way"


_QUEUED_PHASES = frozenset((Phase.RECORDING, Phase.RECORDED))


class OrderMetrics:
    """Counts orders by action.

    Args:
        metrics: Metrics of the control host.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Never modified in place, because other threads read it.
        self._open_counts: Counter[tuple[OrderState, OrderAction]] = Counter()
        for state in OrderState:
            for action in OrderAction:
                metrics.register_gauge(
                    "orders_open",
                    self._build_reader(state, action),
                    state=state.value,
                    action=action.value,
                )

    def count_sent(self, order: Order, is_answered: bool) -> None:
        """Count an order that may have reached its engine."""
        self._metrics.increment("orders_sent_total", action=order.action.value)
        if not is_answered:
            self._metrics.increment("orders_unknown_total", action=order.action.value)

    def count_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        """Count an order whose outcome is recorded."""
        self._metrics.increment(
            "orders_ended_total", action=order.action.value, outcome=outcome.value
        )

    def update_open_orders(self, reconciler: Reconciler) -> None:
        """Update the counts of open and waiting orders."""
        counts: Counter[tuple[OrderState, OrderAction]] = Counter()
        for order in reconciler.orders_by_engine.values():
            is_queued = order.phase in _QUEUED_PHASES
            state = OrderState.QUEUED if is_queued else OrderState.UNDER_WAY
            counts[state, order.order.action] += 1
        for wanted, reason in reconciler.waiting_by_engine.values():
            is_rate = reason is WaitReason.LOAD_RATE
            state = OrderState.WAITING_FOR_RATE if is_rate else OrderState.WAITING
            counts[state, wanted.action] += 1
        self._open_counts = counts

    def _build_reader(
        self, state: OrderState, action: OrderAction
    ) -> Callable[[], float]:
        return lambda: self._open_counts[state, action]
