"""Placement of streams that must go on at the version that began them."""

import pytest

from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementOutcome,
    PlacementRefusal,
)
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from galenadrum._internal.models.announcements import ServerState
from lib.routing_values import entry, request, services


def engine(server_id, software_version, **changes):
    return entry(server_id, "generate", software_version=software_version, **changes)


@pytest.fixture
def dispatcher():
    built = ZoneDispatcher("")
    built.configure(services())
    return built


def submit(dispatcher, request_id, now=0.0, **changes):
    dispatcher.submit(request(request_id, (), now, (), **changes), now)
    return dispatcher.collect_actions()


class TestBoundStream:
    def test_is_placed_at_an_engine_of_its_version_only(self, dispatcher):
        for number in range(4):
            version = "v1" if number == 3 else "v2"
            dispatcher.put_server(engine(f"s{number}", version, concurrency=64))
        for number in range(8):
            (placed,) = submit(dispatcher, f"r{number}", software_version="v1")
            assert (placed.server_id, placed.software_version) == ("s3", "v1")

    def test_without_an_engine_of_its_version_is_refused_at_once(self, dispatcher):
        dispatcher.put_server(engine("s0", "v2"))
        (refusal,) = submit(dispatcher, "r0", software_version="v1")
        assert isinstance(refusal, PlacementRefusal)
        assert refusal.reason == "no_server_of_version"

    def test_is_refused_when_the_last_engine_leaves_while_it_waits(self, dispatcher):
        dispatcher.put_server(engine("s0", "v1"))
        dispatcher.put_server(engine("s1", "v2", concurrency=2))
        assert submit(dispatcher, "r0", software_version="v1")
        assert submit(dispatcher, "r1", software_version="v1") == ()
        gone = engine("s0", "v1", state=ServerState.GONE, sequence=2)
        dispatcher.put_server(gone)
        dispatcher.tick(0.1)
        (refusal,) = dispatcher.collect_actions()
        assert (refusal.request_id, refusal.reason) == ("r1", "no_server_of_version")

    def test_that_waits_holds_nothing_up_behind_it(self, dispatcher):
        dispatcher.put_server(engine("s0", "v1"))
        dispatcher.put_server(engine("s1", "v2", concurrency=2))
        submit(dispatcher, "r0", software_version="v1")
        assert submit(dispatcher, "r1", software_version="v1") == ()
        (placed,) = submit(dispatcher, "r2")
        assert isinstance(placed, Placement)
        assert placed.server_id == "s1"

    def test_waits_for_a_paused_engine_of_its_version(self, dispatcher):
        dispatcher.put_server(engine("s0", "v1"))
        dispatcher.put_server(engine("s1", "v2"))
        (placed,) = submit(dispatcher, "r0", software_version="v1")
        assert placed.server_id == "s0"
        dispatcher.report("r0", "s0", PlacementOutcome.FAILED, 0.0)
        assert submit(dispatcher, "r1", software_version="v1") == ()
        dispatcher.tick(0.2)
        (placed,) = dispatcher.collect_actions()
        assert (placed.request_id, placed.server_id) == ("r1", "s0")

    def test_goes_on_after_its_objective_has_passed(self, dispatcher):
        dispatcher.put_server(engine("s0", "v1"))
        (placed,) = submit(
            dispatcher, "r0", 5.0, objective_at=4.0, software_version="v1"
        )
        assert isinstance(placed, Placement)

    def test_is_placed_before_new_ones_that_wait(self, dispatcher):
        dispatcher.put_server(engine("s0", "v1"))
        submit(dispatcher, "r0")
        assert submit(dispatcher, "r1") == ()
        assert submit(dispatcher, "r2", software_version="v1") == ()
        dispatcher.report("r0", "s0", PlacementOutcome.FINISHED, 0.1)
        (placed,) = dispatcher.collect_actions()
        assert placed.request_id == "r2"
