from types import SimpleNamespace

import pytest

from galenadrum._internal.control.orders.driver import collect_declarations
from galenadrum._internal.control.orders.events import (
    EngineContents,
    ModelDeclarations,
    ReportedEngine,
)
from galenadrum._internal.control.orders.fencing import resolve_fencing
from galenadrum._internal.control.orders.lease import MAX_SEND_TIMEOUT_S
from galenadrum._internal.control.orders.status import describe_model
from galenadrum._internal.models.resources import (
    Fencing,
    Kind,
    PolicySpec,
    Resource,
    ResourceKey,
)
from galenadrum._internal.network.write_guard import GUARD_LIMIT_S
from lib.engine_simulation import (
    DELIVERY_S,
    LEASE_S,
    MODEL,
    EngineSimulation,
    FakeEngine,
    build_declared,
)

CHECKED, IGNORED = Fencing.CHECKED, Fencing.IGNORED


class TestResolveFencing:
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
    def test_ignored_overrides_checked(self, announced, by_engine, by_stage, expected):
        engine = ReportedEngine(
            "e", "127.0.0.1:1", "z", ("s",), EngineContents(), announced
        )
        declared = ModelDeclarations(
            fencing_by_stage=by_stage, fencing_by_engine=by_engine
        )
        assert resolve_fencing(declared, engine) is expected


def change_leader_during_delivery(world):
    """Elect a new leader while an order of the frozen old one is in flight."""
    world.elect(world.hosts[0])
    world.slow_engine_ids = {"e0"}
    for _ in range(30):
        if world.in_flight:
            break
        world.run_for(1)
    assert world.in_flight
    world.hosts[0].is_frozen = True
    world.elect(world.hosts[1])


def test_write_guard_ends_frozen_leader_before_new_one_sends():
    assert GUARD_LIMIT_S + MAX_SEND_TIMEOUT_S < DELIVERY_S


class TestFencingAcrossTerms:
    def test_order_of_old_term_blocks_engine_that_ignores_fencing(self):
        declared = build_declared("1", z0=1)
        declared.fencing_by_engine["e0"] = IGNORED
        world = EngineSimulation([FakeEngine("e0", "z0", True)], declared)
        change_leader_during_delivery(world)
        world.run_for(LEASE_S + DELIVERY_S - 2)
        [open_order] = world.table.recorded().open_orders
        assert open_order.fencing == 1
        status = describe_model(world.leader.reconciler, MODEL, world.now)
        assert status.engines[0].fencing is IGNORED
        assert status.engines[0].announces_fencing

    @pytest.mark.parametrize("source", ["announced", "declared"])
    def test_waits_if_fencing_changes_after_order_is_closed(self, source):
        world = EngineSimulation(
            [FakeEngine("e0", "z0", True)], build_declared("1", z0=1)
        )
        change_leader_during_delivery(world)
        while world.table.recorded().open_orders[0].fencing == 1:
            world.run_step(max_actions=1)
            world.advance(0.1)
            if not world.table.recorded().open_orders:
                break
        if source == "announced":
            world.engines["e0"].checks_fencing = False
        else:
            world.declared.fencing_by_engine["e0"] = IGNORED
        world.run_for(LEASE_S + DELIVERY_S - 4)
        assert world.load_times == world.load_times[:1]
        world.slow_engine_ids.clear()
        world.run_for(30)
        assert not world.find_mismatches()


def test_ignored_overrides_checked_across_policies():
    policies = [
        Resource(
            ResourceKey(Kind.POLICY, name),
            name,
            1,
            1,
            PolicySpec(fencing_by_engine={"e": fencing, name: CHECKED}),
        )
        for name, fencing in (("a", CHECKED), ("b", IGNORED), ("c", CHECKED))
    ]
    declared = collect_declarations(SimpleNamespace(resources=lambda: policies))
    expected = {"e": IGNORED, "a": CHECKED, "b": CHECKED, "c": CHECKED}
    assert declared.fencing_by_engine == expected
