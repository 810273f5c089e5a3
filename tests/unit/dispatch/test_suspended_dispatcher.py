"""A dispatcher whose process was suspended serves as before once it runs again."""

import pytest

from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceResult,
    PlacementOutcome,
    PlacementRefusal,
    StageCall,
)
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from lib.dispatch_simulation import DispatchSimulation
from lib.routing_values import entry, request, services

ENGINES = [entry(f"g-{i}", "generate", "abc"[i], concurrency=64) for i in range(3)]
ENCODERS = [entry(f"e-{zone}", "encode", zone) for zone in "abc"]
SUSPENDED_AT = 2.0
LENGTH_S = 6.0
RESUMED_AT = SUSPENDED_AT + LENGTH_S
INTERVAL_S = 0.06


def simulate_suspension():
    """Simulate half the capacity of the stages, and the loss of links meanwhile.

    Returns:
        The simulation, and the time of each request that came after the suspension.
    """
    simulation = DispatchSimulation(services(), [*ENGINES, *ENCODERS])
    for number in range(round(SUSPENDED_AT / INTERVAL_S)):
        now = number * INTERVAL_S
        simulation.submit_at(now, request(f"before-{number}", (2,), now))
    simulation.suspend_at(SUSPENDED_AT, LENGTH_S)

    def abandon():
        for number in range(round(SUSPENDED_AT / INTERVAL_S)):
            simulation.dispatcher.abandon(f"before-{number}", simulation.now)

    simulation.schedule_at(RESUMED_AT + 0.1, abandon)
    submitted = {}
    for number in range(40):
        now = RESUMED_AT + 0.15 + number * INTERVAL_S
        submitted[f"after-{number}"] = now
        simulation.submit_at(now, request(f"after-{number}", (2,), now))
    simulation.run(RESUMED_AT + 8.0)
    return simulation, submitted


class TestLoadAfterSuspension:
    """The load that was served before comes back with the links."""

    def test_no_request_is_refused_while_servers_are_idle(self):
        simulation, submitted = simulate_suspension()
        assert not submitted.keys() & simulation.refused_at.keys()

    def test_requests_are_placed_in_time(self):
        simulation, submitted = simulate_suspension()
        late = [
            request_id
            for request_id, at in submitted.items()
            if simulation.placed_at[request_id] > at + 1.0
        ]
        assert not late


def start_call():
    """Return a dispatcher with a running stage call, and the call."""
    dispatcher = ZoneDispatcher("")
    dispatcher.configure(services())
    for known in [*ENGINES, ENCODERS[0]]:
        dispatcher.put_server(known)
    dispatcher.submit(request("r1", (1,), 0.0, give_up_at=60.0), 0.0)
    (call,) = dispatcher.collect_actions()
    assert isinstance(call, StageCall)
    dispatcher.tick(0.02)
    return dispatcher, call


class TestRunningCalls:
    @pytest.mark.parametrize("event", ["tick", "timeout", "response"])
    def test_server_is_called_again_at_once(self, event):
        dispatcher, call = start_call()
        if event == "timeout":
            dispatcher.fail_stage_call("encode", 1, CallFailure.TIMED_OUT, 7.0)
        elif event == "response":
            results = tuple(PieceResult("10.0.0.1:80/1") for _ in call.pieces)
            dispatcher.complete_stage_call("encode", 1, results, 7.0)
        dispatcher.tick(7.0)
        dispatcher.submit(request("r2", (1,), 7.0), 7.0)
        dispatcher.tick(7.3)
        actions = dispatcher.collect_actions()
        assert not any(isinstance(action, PlacementRefusal) for action in actions)
        if event != "tick":
            assert any(isinstance(action, StageCall) for action in actions)

    def test_lost_call_is_overdue_later(self):
        dispatcher, _ = start_call()
        now = 7.0
        while now < 9.0:
            dispatcher.tick(now)
            now += 0.05
        actions = dispatcher.collect_actions()
        assert [type(action) for action in actions] == [StageCall]


class TestPlacedRequests:
    def test_engine_whose_first_event_is_reported_late_is_not_slow(self):
        dispatcher = ZoneDispatcher("")
        dispatcher.configure(services())
        dispatcher.put_server(ENGINES[0])
        dispatcher.submit(request("r1", (), 0.0, ()), 0.0)
        dispatcher.tick(0.02)
        dispatcher.report("r1", "g-0", PlacementOutcome.STARTED, 7.0)
        dispatcher.collect_actions()
        dispatcher.submit(request("r2", (), 7.0, ()), 7.0)
        (answer,) = dispatcher.collect_actions()
        assert not isinstance(answer, PlacementRefusal)


class TestIdleDispatcher:
    """Nothing ticks while there is no work, so a gap is no suspension."""

    def test_time_without_requests_is_no_suspension(self, caplog):
        dispatcher = ZoneDispatcher("")
        dispatcher.configure(services())
        dispatcher.put_server(ENGINES[0])
        dispatcher.submit(request("r1", (), 0.0, ()), 0.0)
        dispatcher.report("r1", "g-0", PlacementOutcome.FINISHED, 0.2)
        dispatcher.tick(0.22)
        dispatcher.submit(request("r2", (), 60.0, ()), 60.0)
        dispatcher.tick(60.02)
        assert "no event for" not in caplog.text
