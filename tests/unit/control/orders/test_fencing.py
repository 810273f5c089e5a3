from types import SimpleNamespace

import pytest

from galenadrum._internal.control.orders.driver import collect_declarations
from galenadrum._internal.control.orders.fencing import resolve_fencing
from galenadrum._internal.control.orders.lease import MAX_SEND_TIMEOUT_S
from galenadrum._internal.control.orders.messages import (
    Declared,
    EngineContents,
    ReportedEngine,
)
from galenadrum._internal.control.orders.status import describe_model
from galenadrum._internal.models.resources import (
    Fencing,
    Kind,
    PolicySpec,
    Resource,
    ResourceKey,
)
from galenadrum._internal.network.write_guard import GUARD_LIMIT_S
from lib.engine_world import DELIVERY_S, LEASE_S, MODEL, EngineWorld, FakeEngine
from lib.engine_world import declared as declared_world

CHECKED, IGNORED = Fencing.CHECKED, Fencing.IGNORED


class TestFencingOfAnEngine:
    @pytest.mark.parametrize(
        ("announced", "by_engine", "by_stage", "expected"),
        [
            (False, {}, {}, IGNORED),
            (True, {}, {}, CHECKED),
            (True, {"e": IGNORED}, {}, IGNORED),
            (True, {}, {"s": IGNORED}, IGNORED),
            (True, {"e": CHECKED}, {"s": IGNORED}, IGNORED),
            (True, {"e": CHECKED}, {}, CHECKED),
            (False, {"e": CHECKED}, {"s": CHECKED}, IGNORED),
            (True, {"other": IGNORED}, {"other": IGNORED}, CHECKED),
            (None, {}, {}, IGNORED),
            (None, {"e": CHECKED}, {}, CHECKED),
            (None, {}, {"s": CHECKED}, CHECKED),
            (None, {"e": CHECKED}, {"s": IGNORED}, IGNORED),
        ],
    )
    def test_the_more_careful_word_wins(self, announced, by_engine, by_stage, expected):
        engine = ReportedEngine(
            "e", "127.0.0.1:1", "z", ("s",), EngineContents(), announced
        )
        declared = Declared(fencing_by_stage=by_stage, fencing_by_engine=by_engine)
        assert resolve_fencing(declared, engine) is expected


def take_over(world):
    """Let a new leader settle the order that the old one had sent."""
    world.elect(world.hosts[0])
    world.slow_ids = {"e0"}
    for _ in range(30):
        if world.in_flight:
            break
        world.run_fairly(1)
    assert world.in_flight
    world.hosts[0].is_frozen = True
    world.elect(world.hosts[1])


def test_a_stopped_leader_is_ended_before_a_new_one_sends():
    assert GUARD_LIMIT_S + MAX_SEND_TIMEOUT_S < DELIVERY_S


class TestChangedWord:
    def test_an_engine_declared_to_ignore_fencing_is_waited_for(self):
        declared = declared_world("1", z0=1)
        declared.fencing_by_engine["e0"] = IGNORED
        world = EngineWorld([FakeEngine("e0", "z0", True)], declared)
        take_over(world)
        world.run_fairly(LEASE_S + DELIVERY_S - 2)
        [opened] = world.table.recorded().open_orders
        assert opened.fencing == 1
        status = describe_model(world.leader.reconciler, MODEL, world.now)
        assert status.engines[0].fencing is IGNORED
        assert status.engines[0].announces_fencing

    @pytest.mark.parametrize("way", ["announced", "declared"])
    def test_a_word_that_changes_after_the_order_was_given_up_waits_too(self, way):
        world = EngineWorld([FakeEngine("e0", "z0", True)], declared_world("1", z0=1))
        take_over(world)
        while world.table.recorded().open_orders[0].fencing == 1:
            world.run_step(max_actions=1)
            world.advance(0.1)
            if not world.table.recorded().open_orders:
                break
        if way == "announced":
            world.engines["e0"].checks_fencing = False
        else:
            world.declared.fencing_by_engine["e0"] = IGNORED
        world.run_fairly(LEASE_S + DELIVERY_S - 4)
        assert world.load_times == world.load_times[:1]
        world.slow_ids.clear()
        world.run_fairly(30)
        assert not world.unsettled()


def test_of_several_operators_the_more_careful_one_counts():
    policies = [
        Resource(
            ResourceKey(Kind.POLICY, name),
            name,
            1,
            1,
            PolicySpec(fencing_by_engine={"e": word, name: CHECKED}),
        )
        for name, word in (("a", CHECKED), ("b", IGNORED), ("c", CHECKED))
    ]
    declared = collect_declarations(SimpleNamespace(resources=lambda: policies))
    expected = {"e": IGNORED, "a": CHECKED, "b": CHECKED, "c": CHECKED}
    assert declared.fencing_by_engine == expected
