"""Simulation of control hosts and engines around the reconciler, with faults."""

import random
from dataclasses import dataclass, field

from galenadrum._internal.control.orders import events as m
from galenadrum._internal.control.orders import lease as lease_module
from galenadrum._internal.control.orders.lease import Lease
from galenadrum._internal.control.orders.reconciler import Reconciler
from galenadrum._internal.control.state.orders import OrderTable, build_order_message
from galenadrum._internal.models.resources import ModelSpec
from galenadrum._internal.protocol.engines_pb2 import OrderClosing

MODEL = "m"
LEASE_S = 0.9
# Not imported, so that a wrong DELIVERY_TIMEOUT_S can't hide a fault.
DELIVERY_S = 20.0
DISRUPTIVE = ("switch", "unload", "change_role")


@dataclass
class FakeEngine:
    """Engine that records violations of the order protocol."""

    engine_id: str
    zone: str
    checks_fencing: bool
    versions: dict = field(default_factory=dict)
    adapters: frozenset = frozenset()
    role: str = "both"
    orders: dict = field(default_factory=dict)
    running: list = field(default_factory=list)
    highest_fencing: int = 0
    highest_started_term: int = 0
    violations: list = field(default_factory=list)

    def contents(self):
        last = next(reversed(self.orders), "")
        return m.EngineContents(
            dict(self.versions),
            self.adapters,
            self.role,
            last,
            self.orders.get(last),
        )

    def update_fencing(self, fencing):
        """Record a fencing number; return whether its orders are accepted."""
        is_current = fencing >= self.highest_fencing
        self.highest_fencing = max(fencing, self.highest_fencing)
        return is_current or not self.checks_fencing

    def accept_order(self, order):
        """Start the order; return the reason if it is refused, else an empty string."""
        if not self.update_fencing(order.fencing):
            return "old fencing number"
        if order.order_id in self.orders:
            return ""
        if self.running:
            self.violations.append(f"{order} while {self.running} ran")
        if order.fencing < self.highest_started_term:
            self.violations.append(f"{order} after term {self.highest_started_term}")
        self.highest_started_term = max(self.highest_started_term, order.fencing)
        self.orders[order.order_id] = m.OrderProgress.RUNNING
        self.running.append(order)
        return ""

    def finish(self, failing_version=None):
        """Finish all running orders; those of ``failing_version`` fail."""
        for order in self.running:
            succeeds = order.version != failing_version
            state = m.OrderProgress.DONE if succeeds else m.OrderProgress.FAILED
            self.orders[order.order_id] = state
            self._change(order, succeeds)
        self.running.clear()

    def _change(self, order, succeeds):
        if order.action in ("load", "switch"):
            if succeeds:
                self.versions[order.model] = order.version
                self.adapters |= set(order.adapters)
            elif order.action == "switch":
                del self.versions[order.model]
        elif succeeds and order.action == "unload":
            self.versions.pop(order.model, None)
        elif succeeds:
            self.role = order.role

    def restart(self, versions):
        self.versions = dict(versions)
        self.orders.clear()
        self.running.clear()


@dataclass
class Host:
    """Control host with its reconciler, lease and pending actions."""

    rng: random.Random
    reconciler: Reconciler = None
    lease: Lease | None = None
    is_frozen: bool = False
    pending: list = field(default_factory=list)

    def restart(self):
        self.reconciler = Reconciler(self.rng)
        self.lease = None
        self.is_frozen = False
        self.pending.clear()


@dataclass
class InFlight:
    """Order that was sent and is not yet delivered; times in seconds."""

    order: m.Order
    sent_at: float


class EngineSimulation:
    """Two control hosts with one replicated order table, and engines in two zones."""

    def __init__(self, engines, declared, seed=7):
        self.now = 1_000.0
        self.table = OrderTable()
        self.engines = {engine.engine_id: engine for engine in engines}
        self.declared = declared
        self.term = 0
        self.leader = None
        self.hosts = [Host(random.Random(seed + number)) for number in range(2)]
        self.in_flight = []
        self.partitioned_zones = set()
        self.slow_engine_ids = set()
        self.unreachable_engine_ids = set()
        self.failing_version = None
        self.load_times = []
        self.restarted_at = float("-inf")
        for host in self.hosts:
            host.restart()

    def elect(self, host):
        """Make ``host`` the leader after the lease of the old leader has expired."""
        if host.is_frozen or host is self.leader:
            return
        old_leader, self.leader = self.leader, None
        if old_leader is not None:
            # The old leader no longer renews its lease, even if it isn't frozen.
            self.advance(max(0.0, old_leader.lease.expires_at - self.now))
        self.term += 1
        self.leader = host
        host.lease = Lease(self.term, self.now + LEASE_S)
        if host.reconciler.term is not None:
            host.reconciler.apply_event(m.LeadershipLost(), self.now)
        self.table.expire(round(self.now * 1_000))
        event = m.LeadershipGained(self.term, LEASE_S, self.table.recorded())
        host.reconciler.apply_event(event, self.now)
        host.reconciler.apply_event(self.declared, self.now)

    def advance(self, seconds):
        """Advance the time; a leader that isn't frozen renews its lease."""
        self.now += seconds
        for host in self.hosts:
            if host is self.leader and not host.is_frozen:
                host.lease = Lease(host.lease.term, self.now + LEASE_S)
        self.in_flight = [
            message
            for message in self.in_flight
            if self.now < message.sent_at + DELIVERY_S
        ]

    def declare(self, declared):
        self.declared = declared
        if self.leader is not None:
            self.leader.reconciler.apply_event(declared, self.now)

    def tick(self, host):
        """Run one iteration of the driver's loop."""
        if host.is_frozen:
            return
        if host is not self.leader and host.reconciler.term is not None:
            host.reconciler.apply_event(m.LeadershipLost(), self.now)
        host.pending.extend(host.reconciler.tick(self.now))

    def carry_out(self, host, position, fault=""):
        """Carry out a pending action.

        A message with ``fault`` "lost" doesn't arrive, with "unanswered" only its
        answer doesn't; an empty string is no fault.
        """
        if host.is_frozen or not host.pending:
            return
        action = host.pending.pop(position % len(host.pending))
        match action:
            case m.RecordOrder(order):
                event = m.OrderRecorded(order.order_id)
                self._propose(host, order, build_order_message(order), event, fault)
            case m.RecordOutcome(order, outcome, message):
                closing = OrderClosing(
                    order_id=order.order_id,
                    engine_id=order.engine_id,
                    outcome=outcome.value,
                    message=message,
                )
                event = m.OutcomeRecorded(order.order_id)
                self._propose(host, order, closing, event, fault)
            case m.SendOrder(order, _):
                self._send(host, order, fault)
            case m.QueryEngine(engine_id, _, fencing):
                self._query(host, engine_id, fencing, fault)

    def _propose(self, host, order, message, event, fault):
        accepted = False
        if host is self.leader and order.fencing <= self.term and fault != "lost":
            if isinstance(message, OrderClosing):
                accepted = self.table.close_order(message).accepted
            elif order.fencing == host.lease.term:
                # As in the driver, orders of earlier terms aren't proposed.
                accepted = self._record(order, message)
        if not accepted or fault:
            event = m.CommitUnconfirmed(order.order_id)
        host.reconciler.apply_event(event, self.now)

    def _record(self, order, message):
        before = len(self.table.recorded().open_orders)
        accepted = self.table.record_order(message, round(self.now * 1_000)).accepted
        is_new = len(self.table.recorded().open_orders) > before
        if is_new and order.action in ("load", "switch"):
            self.load_times.append(self.now)
        return accepted

    def _send(self, host, order, fault):
        timeout_s = lease_module.compute_send_timeout_s(
            order.fencing, host.lease, self.now
        )
        if timeout_s <= 0:
            host.reconciler.apply_event(m.OrderNotSent(order.order_id), self.now)
            return
        assert host is self.leader, "an order was sent by a host without a valid lease"
        assert self.now + timeout_s <= host.lease.expires_at
        open_orders = self.table.recorded().open_orders
        assert order in open_orders, (
            "an order was sent that isn't recorded in the replicated table"
        )
        if fault != "lost" and self._is_reachable(order.engine_id):
            self.in_flight.append(InFlight(order, self.now))
        host.reconciler.apply_event(m.OrderSent(order.order_id), self.now)

    def _query(self, host, engine_id, fencing, fault):
        contents = None
        if not fault and self._is_reachable(engine_id):
            engine = self.engines[engine_id]
            engine.update_fencing(fencing)
            contents = engine.contents()
        event = m.QueryCompleted(engine_id, self.now, contents)
        host.reconciler.apply_event(event, self.now)

    def _is_reachable(self, engine_id):
        is_partitioned = self.engines[engine_id].zone in self.partitioned_zones
        return not is_partitioned and engine_id not in self.unreachable_engine_ids

    def deliver(self, position, doubled=False):
        """Deliver an order in flight; if ``doubled``, it stays for another delivery."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        message = self.in_flight[position]
        if not doubled:
            del self.in_flight[position]
        engine = self.engines[message.order.engine_id]
        was_started = message.order.order_id in engine.orders
        self._check_replicas(engine, message.order, was_started)
        engine.accept_order(message.order)

    def _check_replicas(self, engine, order, was_started):
        # After an engine restarts, the leader doesn't know at once what it lost.
        leader_knows_contents = self.now > self.restarted_at + 60.0
        if was_started or not leader_knows_contents or order.action not in DISRUPTIVE:
            return
        if not any(self.declared.models_by_name[MODEL].replicas_by_zone.values()):
            return
        allows_gap = self.declared.models_by_name[MODEL].switch_in_place
        if allows_gap and order.action == "switch":
            return
        others = [
            other
            for other in self.engines.values()
            if other is not engine
            and MODEL in other.versions
            and not any(o.action in DISRUPTIVE for o in other.running)
        ]
        assert others, f"{order} interrupts the last replica"

    def restart_engine(self, engine, versions):
        """Restart an engine; its connections close and drop the orders in flight."""
        engine.restart(versions)
        self.restarted_at = self.now
        self.in_flight = [
            message
            for message in self.in_flight
            if message.order.engine_id != engine.engine_id
        ]

    def build_zone_report(self, zone):
        return m.EnginesReported(
            zone,
            tuple(
                m.ReportedEngine(
                    engine.engine_id,
                    "127.0.0.1:1",
                    zone,
                    ("generate",),
                    m.EngineContents(
                        dict(engine.versions), engine.adapters, engine.role
                    ),
                    engine.checks_fencing,
                )
                for engine in self.engines.values()
                if engine.zone == zone
            ),
        )

    def report(self, event):
        if self.leader is None or self.leader.is_frozen:
            return
        if event.zone not in self.partitioned_zones:
            self.leader.reconciler.apply_event(event, self.now)

    def zones(self):
        return sorted({engine.zone for engine in self.engines.values()})

    def check(self):
        """Check the invariants: order protocol, load rate, one disruption a zone."""
        for engine in self.engines.values():
            assert not engine.violations
        window = [at for at in self.load_times if at > self.now - 60.0]
        assert len(window) <= self.declared.loads_per_minute
        disrupted = [
            (self.engines[order.engine_id].zone, order.model)
            for order in self.table.recorded().open_orders
            if order.action in DISRUPTIVE
        ]
        assert len(disrupted) == len(set(disrupted))

    def run_for(self, seconds, step_s=1.0):
        """Run steps for a time in seconds; slow engines receive and finish no order."""
        for _ in range(int(seconds / step_s)):
            self.run_step()
            self.advance(step_s)

    def run_step(self, max_actions=None):
        """Report, plan and carry out actions once, and return their number."""
        for zone in self.zones():
            self.report(self.build_zone_report(zone))
        count = 0
        for host in self.hosts:
            self.tick(host)
            while host.pending and not host.is_frozen and count != max_actions:
                self.carry_out(host, 0)
                count += 1
        if count == max_actions:
            return count
        for position in reversed(range(len(self.in_flight))):
            if self.in_flight[position].order.engine_id not in self.slow_engine_ids:
                self.deliver(position)
        for engine in self.engines.values():
            if engine.engine_id not in self.slow_engine_ids:
                engine.finish(self.failing_version)
        self.check()
        return count

    def find_mismatches(self):
        """Return the zones whose versions differ from the declaration."""
        spec = self.declared.models_by_name[MODEL]
        found = []
        for zone in self.zones():
            held = [
                engine.versions[MODEL]
                for engine in self.engines.values()
                if engine.zone == zone and MODEL in engine.versions
            ]
            desired = [spec.version] * spec.replicas_by_zone.get(zone, 0)
            if held != desired:
                found.append((zone, held, desired))
        return found


def build_declared(
    version="1", loads_per_minute=12, in_place=False, **replicas_by_zone
):
    spec = ModelSpec(
        version, replicas_by_zone=replicas_by_zone, switch_in_place=in_place
    )
    return m.ModelDeclarations({MODEL: spec}, {"generate": MODEL}, loads_per_minute)
