from galenadrum._internal.control.orders.events import (
    Order,
    OrderAction,
    OrderOutcome,
)
from galenadrum._internal.control.orders.order_metrics import OrderMetrics
from galenadrum._internal.observability.metrics import Metrics
from lib.engine_simulation import EngineSimulation, FakeEngine, build_declared

ORDER = Order("1-a", 1, "e", OrderAction.SWITCH, "m", "2")


def read_metric(metrics, name):
    rows = metrics.snapshot()
    return {
        tuple(row["labels"].values()): row["value"]
        for row in [*rows["counters"], *rows["gauges"]]
        if row["name"] == name and row["value"]
    }


class TestOrderMetrics:
    def test_orders_are_counted_by_action_and_outcome(self):
        metrics = Metrics()
        order_metrics = OrderMetrics(metrics)
        order_metrics.count_sent(ORDER, is_answered=True)
        order_metrics.count_sent(ORDER, is_answered=False)
        order_metrics.count_outcome(ORDER, OrderOutcome.LOST)
        assert read_metric(metrics, "orders_sent_total") == {("switch",): 2}
        assert read_metric(metrics, "orders_unknown_total") == {("switch",): 1}
        assert read_metric(metrics, "orders_ended_total") == {("switch", "lost"): 1}

    def test_gauge_counts_open_and_waiting_orders(self):
        metrics = Metrics()
        order_metrics = OrderMetrics(metrics)
        engines = [FakeEngine(f"e{number}", "z0", True) for number in range(3)]
        world = EngineSimulation(engines, build_declared("1", 1, z0=3))
        world.elect(world.hosts[0])
        reconciler = world.leader.reconciler
        world.slow_engine_ids = set(world.engines)
        while not world.in_flight:
            world.run_step(max_actions=1)
            world.advance(0.1)
        order_metrics.update_open_orders(reconciler)
        assert read_metric(metrics, "orders_open") == {
            ("load", "under_way"): 1,
            ("load", "waiting_for_rate"): 2,
        }
