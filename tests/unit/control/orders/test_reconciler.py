import os
from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import seed, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from galenadrum._internal.control.orders.reconciler import WaitReason
from galenadrum._internal.control.orders.status import describe_model
from galenadrum._internal.models.resources import Fencing
from lib.engine_simulation import (
    DELIVERY_S,
    LEASE_S,
    MODEL,
    EngineSimulation,
    FakeEngine,
    build_declared,
)

INDEX = st.integers(0, 7)
HOST = st.integers(0, 1)
VERSION = st.sampled_from(("1", "2", "3"))
FAULT = st.sampled_from(("", "", "", "lost", "unanswered"))


def build_engines(kinds, version=None):
    versions = {MODEL: version} if version else {}
    return [
        FakeEngine(f"e{number}", f"z{number % 2}", checks_fencing, dict(versions))
        for number, checks_fencing in enumerate(kinds)
    ]


class OrdersMachine(RuleBasedStateMachine):
    """Two control hosts and five engines in two zones, with random faults."""

    @initialize(kinds=st.lists(st.booleans(), min_size=5, max_size=5))
    def start(self, kinds):
        self.world = EngineSimulation(
            build_engines(kinds), build_declared("1", 6, z0=2, z1=1)
        )
        self.old_reports = [self.world.build_zone_report("z0")]
        self.world.elect(self.world.hosts[0])
        self.world.run_for(4)

    @rule(host=HOST)
    def elect(self, host):
        self.world.elect(self.world.hosts[host])

    @rule(host=HOST)
    def freeze(self, host):
        self.world.hosts[host].is_frozen = True

    @rule(host=HOST)
    def thaw(self, host):
        self.world.hosts[host].is_frozen = False

    @rule(host=HOST)
    def kill(self, host):
        killed = self.world.hosts[host]
        other = self.world.hosts[1 - host]
        if killed is self.world.leader:
            other.is_frozen = False
            self.world.elect(other)
        killed.restart()

    @rule(host=HOST)
    def tick(self, host):
        self.world.tick(self.world.hosts[host])

    @rule(host=HOST, position=INDEX, fault=FAULT)
    def carry_out(self, host, position, fault):
        self.world.carry_out(self.world.hosts[host], position, fault)

    @rule(host=HOST)
    def carry_out_all(self, host):
        chosen = self.world.hosts[host]
        self.world.tick(chosen)
        while chosen.pending and not chosen.is_frozen:
            self.world.carry_out(chosen, 0)

    @rule(position=INDEX, doubled=st.booleans())
    def deliver(self, position, doubled):
        self.world.deliver(position, doubled)

    @rule(seconds=st.sampled_from((0.1, 1.0, 4.0, 12.0)))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(number=st.integers(0, 4), failing=st.one_of(st.none(), VERSION))
    def finish(self, number, failing):
        self.world.engines[f"e{number}"].finish(failing)

    @rule(number=st.integers(0, 4))
    def slow_down(self, number):
        self.world.slow_engine_ids ^= {f"e{number}"}

    @rule(failing=st.one_of(st.none(), VERSION))
    def fail_loads(self, failing):
        self.world.failing_version = failing

    @rule(
        number=st.integers(0, 4),
        version=st.one_of(st.none(), VERSION),
        checks_fencing=st.booleans(),
    )
    def restart_engine(self, number, version, checks_fencing):
        engine = self.world.engines[f"e{number}"]
        engine.checks_fencing = checks_fencing
        versions = {MODEL: version} if version else {"other": "1"}
        self.world.restart_engine(engine, versions)

    @rule(zone=st.sampled_from(("z0", "z1")))
    def report(self, zone):
        event = self.world.build_zone_report(zone)
        self.old_reports.append(event)
        self.world.report(event)

    @rule(position=INDEX)
    def report_late(self, position):
        self.world.report(self.old_reports[-1 - position % len(self.old_reports)])

    @rule(zone=st.sampled_from(("z0", "z1")))
    def cut(self, zone):
        self.world.partitioned_zones ^= {zone}

    @rule(
        version=VERSION,
        in_place=st.booleans(),
        z0=st.integers(1, 2),
        z1=st.integers(1, 2),
    )
    def declare(self, version, in_place, z0, z1):
        self.world.declare(build_declared(version, 6, in_place, z0=z0, z1=z1))

    @rule(numbers=st.sets(st.integers(0, 4)))
    def declare_fencing(self, numbers):
        fencing_by_engine = {f"e{number}": Fencing.IGNORED for number in numbers}
        self.world.declare(
            replace(self.world.declared, fencing_by_engine=fencing_by_engine)
        )

    @rule(seconds=st.sampled_from((1, 3, 8, 15)))
    def work(self, seconds):
        self.world.run_for(seconds)

    @invariant()
    def check_world(self):
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """Check that the engines reach the declared versions once all faults end."""
        if not hasattr(self, "world"):
            return
        self.world.partitioned_zones.clear()
        self.world.slow_engine_ids.clear()
        self.world.failing_version = None
        for host in self.world.hosts:
            host.is_frozen = False
        self.world.run_for(60)
        for _ in range(40):
            if not self.world.find_mismatches() and not self.open_orders():
                break
            self.world.run_for(60)
        assert not self.world.find_mismatches()
        assert not self.open_orders()

    def open_orders(self):
        return self.world.table.recorded().open_orders


TestOrders = OrdersMachine.TestCase
# Set for long runs; without a seed all runs draw the same examples.
if "ORDERS_SEED" in os.environ:
    seed(int(os.environ["ORDERS_SEED"]))(OrdersMachine)
TestOrders.settings = settings(
    max_examples=int(os.environ.get("ORDERS_EXAMPLES", "60")),
    stateful_step_count=int(os.environ.get("ORDERS_STEPS", "50")),
)


def build_world(kinds, version, wanted, **replicas):
    """Build engines that hold ``version`` while ``wanted`` is declared."""
    return EngineSimulation(
        build_engines(kinds, version), build_declared(wanted, **replicas)
    )


def run_until_sent(world):
    """Run until an order to a slow engine is in flight."""
    for _ in range(30):
        if world.in_flight:
            return
        world.run_for(1)
    raise AssertionError("no order was sent within 30 s")


class TestTwoLeaders:
    @pytest.mark.parametrize("checks_fencing", [False, True])
    def test_late_order_of_old_leader_never_overlaps_one_of_new(self, checks_fencing):
        world = build_world([checks_fencing] * 3, None, "1", z0=2)
        world.slow_engine_ids = set(world.engines)
        world.elect(world.hosts[0])
        run_until_sent(world)
        late = list(world.in_flight)
        world.hosts[0].is_frozen = True
        world.elect(world.hosts[1])
        world.declare(build_declared("2", z0=2))
        world.slow_engine_ids = {message.order.engine_id for message in late}
        elected_at = world.now
        world.run_for(LEASE_S + DELIVERY_S - 2)
        world.hosts[0].is_frozen = False
        orders = world.table.recorded().open_orders
        is_new_term = [order.fencing == 2 for order in orders]
        assert all(is_new_term) if checks_fencing else not any(is_new_term)
        assert world.now < elected_at + LEASE_S + DELIVERY_S
        while any(message in late for message in world.in_flight):
            world.deliver(world.in_flight.index(late.pop()))
        world.slow_engine_ids.clear()
        world.run_for(120)
        assert not world.find_mismatches()

    @pytest.mark.parametrize("checks_fencing", [False, True])
    @pytest.mark.parametrize("step", range(24))
    def test_new_leader_completes_change_from_any_step(self, checks_fencing, step):
        world = build_world([checks_fencing] * 5, "1", "2", z0=2, z1=2)
        world.elect(world.hosts[0])
        while step > 0:
            done = world.run_step(max_actions=step)
            step -= done or 1
            world.advance(1.0)
        world.hosts[0].is_frozen = True
        world.elect(world.hosts[1])
        world.run_for(45)
        world.hosts[0].is_frozen = False
        world.run_for(75)
        assert not world.find_mismatches()

    def test_new_leader_keeps_load_rate(self):
        world = EngineSimulation(
            build_engines([True] * 5), build_declared("1", 1, z0=3, z1=2)
        )
        world.elect(world.hosts[0])
        world.run_for(20)
        world.elect(world.hosts[1])
        world.run_for(320)
        assert not world.find_mismatches()


class TestLostOrder:
    def test_is_not_replaced_while_it_may_arrive(self):
        world = build_world([False] * 2, None, "1", z0=1)
        world.slow_engine_ids = {"e0"}
        world.elect(world.hosts[0])
        run_until_sent(world)
        [late] = world.in_flight
        world.run_for(DELIVERY_S - 2)
        assert world.table.recorded().open_orders == (late.order,)
        world.deliver(0, doubled=True)
        world.slow_engine_ids.clear()
        world.run_for(10)
        assert not world.find_mismatches()
        assert len(world.load_times) == 1


class TestLastReplica:
    def test_change_waits_while_other_zone_is_partitioned(self):
        world = build_world([False] * 2, "1", "1", z0=1, z1=1)
        world.elect(world.hosts[0])
        world.run_for(5)
        world.partitioned_zones = {"z1"}
        world.run_for(20)
        world.declare(build_declared("2", z0=1, z1=1))
        world.run_for(60)
        assert world.engines["e0"].versions == {MODEL: "1"}
        world.partitioned_zones.clear()
        world.run_for(60)
        assert not world.find_mismatches()

    def test_outdated_report_does_not_count_as_replica(self):
        world = build_world([False] * 2, "1", "2", z0=1, z1=1)
        report = world.build_zone_report("z1")
        world.engines["e1"].restart({})
        world.slow_engine_ids = {"e1"}
        world.elect(world.hosts[0])
        for _ in range(40):
            world.report(report)
            world.report(world.build_zone_report("z0"))
            world.tick(world.leader)
            while world.leader.pending:
                world.carry_out(world.leader, 0)
            world.advance(1.0)
        assert world.engines["e0"].versions == {MODEL: "1"}

    def test_the_only_replica_is_replaced_by_a_spare_engine(self):
        world = build_world([False] * 3, None, "2", z0=1)
        world.engines["e0"].versions = {MODEL: "1"}
        world.elect(world.hosts[0])
        world.run_for(30)
        assert world.engines["e0"].versions == {}
        assert world.engines["e2"].versions == {MODEL: "2"}

    def test_unreachable_engine_is_skipped(self):
        world = build_world([False] * 3, None, "1", z0=1)
        world.unreachable_engine_ids = {"e0"}
        world.elect(world.hosts[0])
        world.run_for(30)
        assert world.engines["e2"].versions == {MODEL: "1"}


class TestOnlyReplica:
    def test_keeps_version_and_status_gives_reason(self):
        world = build_world([False], "1", "2", z0=1)
        world.elect(world.hosts[0])
        world.run_for(60)
        assert world.engines["e0"].versions == {MODEL: "1"}
        [engine] = describe_model(world.leader.reconciler, MODEL, world.now).engines
        assert engine.waits_for == f"switch 2: {WaitReason.LAST_REPLICA}"

    def test_switches_in_place_if_declared(self):
        world = build_world([False], "1", "2", in_place=True, z0=1)
        world.elect(world.hosts[0])
        world.run_for(60)
        assert world.engines["e0"].versions == {MODEL: "2"}

    def test_failed_switch_in_place_is_rolled_back(self):
        world = build_world([False], "1", "2", in_place=True, z0=1)
        world.failing_version = "2"
        world.elect(world.hosts[0])
        world.run_for(25)
        assert world.engines["e0"].versions == {MODEL: "1"}
        [engine] = describe_model(world.leader.reconciler, MODEL, world.now).engines
        assert engine.waits_for == "2: another attempt after a failed load"


class TestWaitReason:
    def test_status_shows_loads_that_wait_for_the_rate(self):
        world = EngineSimulation(
            build_engines([True] * 3), build_declared("1", 1, z0=2, z1=1)
        )
        world.elect(world.hosts[0])
        world.run_for(20)
        engines = describe_model(world.leader.reconciler, MODEL, world.now).engines
        wait_reasons = [engine.waits_for for engine in engines]
        assert (
            sorted(wait_reasons, key=str)
            == [None] + [f"load 1: {WaitReason.LOAD_RATE}"] * 2
        )


class TestVersionChange:
    def test_version_is_tried_on_one_engine_and_rolled_back_on_failure(self):
        world = build_world([True] * 5, "1", "1", z0=3, z1=2)
        world.elect(world.hosts[0])
        world.run_for(5)
        world.failing_version = "2"
        world.declare(build_declared("2", z0=3, z1=2))
        world.run_for(28)
        assert all(e.versions == {MODEL: "1"} for e in world.engines.values())
        failure, retry_at = world.leader.reconciler.get_retry_delay(MODEL, "2")
        assert failure.count == 1
        assert retry_at > world.now
        # The new leader has the recorded failure and waits as long.
        world.elect(world.hosts[1])
        world.run_for(25)
        assert world.leader.reconciler.get_retry_delay(MODEL, "2")[0].count == 1
        world.run_for(30)
        failure, retry_at = world.leader.reconciler.get_retry_delay(MODEL, "2")
        assert failure.count == 2
        assert retry_at - world.now > 30
        world.failing_version = None
        world.run_for(120)
        assert not world.find_mismatches()
