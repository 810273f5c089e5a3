from galenadrum._internal.control.orders.events import Order, OrderAction
from galenadrum._internal.control.orders.report_service import EngineReportsService
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.orders import build_order_message
from galenadrum._internal.entry.engine_reports import build_report
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.protocol.commands_pb2 import (
    Command,
    CommandResult,
    StateSnapshot,
)
from galenadrum._internal.protocol.engines_pb2 import EngineReport, OrderClosing

ORDER = Order("1-a", 1, "e", OrderAction.LOAD, "m", "2", adapters=("x",))
CLOSING = OrderClosing(order_id="1-a", engine_id="e", outcome="failed", message="no")


def apply(state, time_ms=1_000, **body):
    command = Command(time_ms=time_ms, **body).SerializeToString()
    result = state.apply(state.applied_index + 1, command)
    return CommandResult.FromString(result).order


class TestOrderTable:
    def test_engine_has_one_open_order_and_repeats_change_nothing(self):
        state = ControlState()
        other = Order("1-b", 1, "e", OrderAction.LOAD, "m", "2")
        for _ in range(2):
            assert apply(state, record_order=build_order_message(ORDER)).accepted
        assert not apply(state, record_order=build_order_message(other)).accepted
        assert state.orders.recorded().open_orders == (ORDER,)
        assert state.orders.recorded().recent_load_count == 1
        for _ in range(2):
            assert apply(state, close_order=CLOSING).accepted
        [failure] = state.orders.recorded().failures
        assert (failure.count, failure.message) == (1, "no")
        assert not state.orders.recorded().open_orders

    def test_snapshot_restores_orders_and_may_lack_them(self):
        state = ControlState()
        apply(state, record_order=build_order_message(ORDER))
        restored = ControlState()
        restored.restore(state.snapshot())
        assert restored.orders.recorded() == state.orders.recorded()
        assert restored.snapshot() == state.snapshot()
        older = StateSnapshot.FromString(state.snapshot())
        older.ClearField("orders")
        restored.restore(older.SerializeToString())
        assert not restored.orders.recorded().open_orders


class TestEngineReports:
    def test_records_are_sent_once_and_loads_each_time(self):
        received = []
        service = EngineReportsService(None, received.append)
        stages = {"generate": StageSpec(model="m"), "encode": StageSpec()}
        servers = [
            Announcement(name, 1, 1, "10.0.0.1:1", "z", (stage,), 1, 3.0)
            for name, stage in (("e", "generate"), ("plain", "encode"))
        ]
        report = build_report("z", servers, stages)
        short_report = EngineReport(zone="z", digest=report.digest, loads=[7])
        assert service.handle_report(short_report).wants_full
        assert not received
        assert not service.handle_report(report).wants_full
        assert not service.handle_report(short_report).wants_full
        assert [engine.engine_id for engine in received[-1].engines] == ["e"]
        assert received[-1].engines[0].load == 7
