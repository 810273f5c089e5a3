"""Pauses of engines whose requests fail."""

from galenadrum._internal.dispatch.messages import PlacementOutcome, PlacementRefusal
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from lib.routing_values import entry, request, services

STREAMS = 8


class TestPausedEngine:
    # A host that was cut off broke several streams, each of which doubled the pause.
    def test_streams_that_break_together_pause_their_engine_once(self):
        dispatcher = ZoneDispatcher("")
        dispatcher.configure(services())
        dispatcher.put_server(entry("s0", "generate", concurrency=64))
        for number in range(STREAMS):
            dispatcher.submit(request(f"r{number}", (), 0.0, ()), 0.0)
        for number in range(STREAMS):
            dispatcher.report(f"r{number}", "s0", PlacementOutcome.FAILED, 1.0)
        dispatcher.collect_actions()
        dispatcher.submit(request("next", (), 1.2, ()), 1.2)
        (answer,) = dispatcher.collect_actions()
        assert not isinstance(answer, PlacementRefusal)
