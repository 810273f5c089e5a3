"""Simulation of `ReplicaCore` members with fake disks, network and clocks.

`Simulation` checks the invariants that span several members. The core itself
asserts the invariants that a single member can check.
"""

import heapq
import itertools
import random

from galenadrum._internal.control.replication import codec
from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.core import ReplicaCore
from galenadrum._internal.control.replication.entries import EntryKind
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.state import ReplicaOptions
from galenadrum._internal.control.replication.storage import open_storage
from galenadrum._internal.control.routing.member_removal import (
    select_member_to_remove,
)
from galenadrum._internal.exceptions import (
    LogBusyError,
    MembershipError,
    NotLeaderError,
)
from lib.fake_disk import DiskCrashed, FakeDisk

OPTIONS = ReplicaOptions(
    max_append_entries=8,
    max_in_flight=3,
    snapshot_chunk_bytes=64,
    retained_entries=5,
)
_MAX_STALE_CLOCK_READS = 12
_MEAN_SYNC_S = 0.005
_MEAN_DELAY_S = 0.002
_MAX_DELAY_S = 3.0
_MAX_NODES = 12


class Violation(AssertionError):
    """An invariant of the log that spans several members was violated."""


class Node:
    """A member: a disk and, while its process runs, a core.

    The disk survives a crash of the process; ``core`` is None while it is down.
    """

    def __init__(self, member_id, clock_rate):
        self.member_id = member_id
        self.disk = FakeDisk()
        self.clock_rate = clock_rate
        self.core = None
        self.storage = None
        self.lost = False
        self.refusal = ""
        self.persists = []
        self.backlog = None
        self.paused_at = None
        self.stale_clock_reads = 0
        self.sync_s = _MEAN_SYNC_S
        self.replaces = ""
        self.joins = False
        self.applied = []
        self.proposals_by_index = {}
        self.reads_by_token = {}


class Simulation:
    """Cluster whose random choices are all derived from ``seed``.

    Args:
        confirm_before_sync: Makes members report writes as synced before they are.
        removes_lost_members: Makes leaders remove members as control hosts of a
            routing configuration do.
    """

    def __init__(
        self,
        seed,
        founders=3,
        confirm_before_sync=False,
        removes_lost_members=False,
        options=OPTIONS,
    ):
        self.options = options
        self.rng = random.Random(seed)
        self.now = 100.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delayed_share = 0.0
        self.confirm_before_sync = confirm_before_sync
        self.blocked = set()
        self.committed_by_index = {}
        self.leader_by_term = {}
        self.accepted = []
        self.nodes_by_id = {}
        self._events = []
        self._event_numbers = itertools.count()
        self._tokens = itertools.count()
        self._founders = Membership(
            tuple(Member(f"m{n}", f"m{n}") for n in range(founders))
        )
        for member in self._founders.members:
            self._add_node(member.member_id)
        if removes_lost_members:
            self._remove_lost_members()

    def _add_node(self, member_id):
        node = Node(member_id, clock_rate=self.rng.uniform(0.97, 1.03))
        self.nodes_by_id[member_id] = node
        self.start(node)
        return node

    # Operations and faults of members.

    def start(self, node):
        if node.core is not None:
            return
        node.storage, stored = open_storage(node.disk, self.rng)
        founders = self._founders
        if founders.get(node.member_id) is None:
            founders = Membership()
        options, now = self.options, self.clock(node)
        node.core = ReplicaCore(
            node.member_id, stored, founders, options, self.rng, now
        )
        node.applied = []
        if stored.snapshot is not None:
            self._check_restored(node, stored.snapshot)
        self._process_event(node, lambda core, now: core.tick(now))
        if node.joins:
            self._request_join(node, node.core)

    def crash(self, node, power=True):
        if node.core is None:
            return
        try:
            if node.persists:
                node.disk.crash_after(self.rng.randint(0, 4))
                node.storage.write(tuple(node.persists))
        except DiskCrashed:
            pass
        if power:
            node.disk.lose_power(self.rng)
        else:
            node.disk.kill_process()
        node.core = None
        node.persists = []
        node.backlog = node.paused_at = None
        node.stale_clock_reads = 0
        node.proposals_by_index = {}
        node.reads_by_token = {}

    def lose_disk(self, node):
        """Crash a member and erase its disk.

        A later `start` runs it with an empty data folder, as by operator error.
        """
        self.crash(node)
        node.lost = True
        node.disk = FakeDisk()

    def replace(self, node):
        """Start a new member that requests to replace a lost one."""
        return self.join(replaces=node.member_id)

    def join(self, replaces=""):
        """Start a new member with an empty disk that requests to join."""
        new = self._add_node(f"m{len(self.nodes_by_id)}")
        new.replaces = replaces
        new.joins = True
        self._request_join(new, new.core)
        return new

    def _remove_lost_members(self):
        self._schedule(1.0, self._remove_lost_members)
        for node in self.running():
            members = node.core.membership.members
            silences = node.core.silences_by_id(self.clock(node))
            member_id = select_member_to_remove(members, silences)
            if node.core.is_leader and member_id is not None:
                self.remove(node, member_id)

    def _request_join(self, new, core):
        if new.core is not core or core.has_joined():
            return
        self._schedule(0.5, self._request_join, new, core)
        for node in self.running():
            membership = node.core.membership
            member = Member(
                new.member_id,
                new.member_id,
                core.status().disk_id,
                voter=False,
                replaces=new.replaces if membership.get(new.replaces) else "",
            )
            self._propose_change(node, lambda c, now, m=member: c.add_member(m, now))

    def leave(self, node):
        """Let a member that is about to stop ask the leader for a replacement."""
        for other in self.running():
            self._propose_change(
                other, lambda c, now: c.record_leaving(node.member_id, now)
            )

    def remove(self, node, member_id):
        self._propose_change(node, lambda core, now: core.remove_member(member_id, now))

    def _propose_change(self, node, change):
        if node.backlog is not None:
            return
        try:
            self._process_event(node, change)
        except (NotLeaderError, MembershipError):
            return

    def pause(self, node):
        if node.core is not None and node.paused_at is None:
            node.paused_at = self.clock(node)
            node.backlog = []

    def resume(self, node):
        """Resume a paused member; its first clock reads return the time of the pause.

        The events received during the pause are then processed.
        """
        if node.paused_at is None:
            return
        backlog, node.backlog = node.backlog, None
        node.stale_clock_reads = self.rng.randint(0, _MAX_STALE_CLOCK_READS)
        self.read(node)
        self.propose(node)
        for event in backlog:
            self._process_event(node, event)
        node.stale_clock_reads = 0
        node.paused_at = None
        self._process_event(node, lambda core, now: core.tick(now))

    def partition(self, groups):
        """Block all messages between members of different groups."""
        group_by_id = {i: n for n, group in enumerate(groups) for i in group}
        pairs = itertools.permutations(self.nodes_by_id, 2)
        self.blocked = {
            (a, b) for a, b in pairs if group_by_id.get(a) != group_by_id.get(b)
        }

    def cut_links(self, share):
        """Block a random share of all links, each in one direction only."""
        for pair in itertools.permutations(self.nodes_by_id, 2):
            if self.rng.random() < share:
                self.blocked.add(pair)

    def heal(self):
        self.blocked = set()
        self.loss = self.duplication = self.delayed_share = 0.0

    def propose(self, node):
        command = b"command-%d" % next(self._tokens)
        if node.core is None or node.backlog is not None:
            return
        try:
            self._process_event(
                node, lambda core, now: self._append(node, core, command, now)
            )
        except (NotLeaderError, LogBusyError):
            return

    def _append(self, node, core, command, now):
        index, term = core.propose(command, now)
        node.proposals_by_index[index] = (term, command)

    def transfer_leadership(self, node):
        """Make a leader transfer its leadership to another member."""
        if node.core is None or node.backlog is not None:
            return
        try:
            self._process_event(node, lambda core, now: core.transfer_leadership(now))
        except NotLeaderError:
            return

    def read(self, node):
        if node.core is None or node.backlog is not None:
            return
        token = next(self._tokens)
        node.reads_by_token[token] = max(self.committed_by_index, default=0)
        try:
            self._process_event(node, lambda core, now: core.request_read(token, now))
        except NotLeaderError:
            del node.reads_by_token[token]

    def snapshot(self, node):
        if node.core is None or not node.applied or node.backlog is not None:
            return
        data = b"\n".join(data for _, data in node.applied)
        index = node.core.status().applied_index
        self._process_event(node, lambda core, now: core.record_snapshot(index, data))

    def is_settled(self, node):
        """Return whether a member may acknowledge what it has applied."""
        try:
            return node.core.is_settled(self.clock(node))
        except NotLeaderError:
            return False

    # Clocks, network and disks.

    def clock(self, node):
        if node.stale_clock_reads:
            node.stale_clock_reads -= 1
            return node.paused_at
        return self.now * node.clock_rate

    def running(self):
        return [n for n in self.nodes_by_id.values() if n.core and n.backlog is None]

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
            self.check()
        self.now = end

    def _schedule(self, delay, function, *arguments):
        event = (self.now + delay, next(self._event_numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _process_event(self, node, event):
        """Pass an event to a member and execute the actions it returns."""
        if node.core is None:
            return
        if node.backlog is not None:
            node.backlog.append(event)
            return
        core = node.core
        event(core, self.clock(node))
        while True:
            for action in core.collect_actions(self.clock(node)):
                self._execute(node, action)
            if not core.has_more_to_apply:
                break
        wakeup = core.next_wakeup()
        if wakeup is not None:
            delay = max(0.001, wakeup / node.clock_rate - self.now)
            self._schedule(delay, self._tick, node, core)

    def _tick(self, node, core):
        due = core.next_wakeup()
        if (
            node.core is core
            and due is not None
            and due <= self.now * node.clock_rate + 1e-6
        ):
            self._process_event(node, lambda core, now: core.tick(now))

    def _execute(self, node, action):
        match action:
            case m.Send(message, _):
                self._send(message)
            case m.Persist():
                node.persists.append(action)
                if self.confirm_before_sync:
                    self._schedule(0, self._confirm, node, node.core, action)
                delay = self.rng.expovariate(1 / node.sync_s)
                self._schedule(delay, self._write, node, node.core)
            case m.Apply(entries):
                for entry in entries:
                    self._check_applied(node, entry)
            case m.Restore(snapshot):
                self._check_restored(node, snapshot)
            case m.ReadReady(token, index):
                self._check_read(node, token, index)
            case m.ReadFailed(token):
                node.reads_by_token.pop(token, None)
            case m.RefusedByCluster(reason):
                node.refusal = reason

    def _send(self, message):
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.expovariate(1 / _MEAN_DELAY_S)
                if self.rng.random() < self.delayed_share:
                    delay = self.rng.uniform(0, _MAX_DELAY_S)
                self._schedule(delay, self._deliver, message)

    def _deliver(self, message):
        if (message.sender_id, message.recipient_id) in self.blocked:
            return
        node = self.nodes_by_id.get(message.recipient_id)
        if node is not None:
            self._process_event(node, lambda core, now: core.receive(message, now))

    def _write(self, node, core):
        if node.core is not core or not node.persists:
            return
        batches, node.persists = tuple(node.persists), []
        node.storage.write(batches)
        if not self.confirm_before_sync:
            self._confirm(node, core, batches[-1])

    def _confirm(self, node, core, batch):
        if node.core is core:
            self._process_event(
                node, lambda core, now: core.record_synced(batch.sequence, now)
            )

    # Invariants across members.

    def _check_applied(self, node, entry):
        expected = self.committed_by_index.setdefault(entry.index, entry)
        if expected != entry:
            raise Violation(
                f"{node.member_id} applied {entry}, but another member {expected}"
            )
        if entry.kind is EntryKind.COMMAND:
            node.applied.append((entry.index, entry.data))
        term, command = node.proposals_by_index.pop(entry.index, (0, b""))
        if term == entry.term:
            if command != entry.data:
                raise Violation(f"the proposal {command} was completed by {entry}")
            self.accepted.append((entry.index, command))

    def _check_restored(self, node, snapshot):
        expected = [
            (i, e.data)
            for i, e in sorted(self.committed_by_index.items())
            if i <= snapshot.index and e.kind is EntryKind.COMMAND
        ]
        if b"\n".join(data for _, data in expected) != snapshot.data:
            raise Violation(
                f"{node.member_id} restored a snapshot that differs from the "
                "committed log"
            )
        node.applied = expected

    def _check_read(self, node, token, index):
        needed = node.reads_by_token.pop(token)
        if index < needed:
            raise Violation(
                f"{node.member_id} confirmed a read at {index}, expected at least "
                f"{needed}"
            )

    def check(self):
        leaders = []
        for node in self.nodes_by_id.values():
            if node.core is None:
                continue
            if node.core.is_leader:
                leaders.append(node)
                leader_id = self.leader_by_term.setdefault(
                    node.core.term, node.member_id
                )
                if leader_id != node.member_id:
                    raise Violation(f"two leaders in term {node.core.term}")
        if len(leaders) < 2:
            return
        for node in leaders:
            until = node.core.status().lease_until
            if until is None or until <= self.now * node.clock_rate:
                continue
            if any(other.core.term > node.core.term for other in leaders):
                raise Violation(f"another leader in the lease of {node.member_id}")

    # Checks at the end of a run.

    def has_surviving_quorum(self):
        """Return whether enough disks survive for the cluster to make progress.

        A disk loss during a membership change may cost the quorum of the old or the
        new membership, though never an accepted change.
        """
        memberships = [
            node.core.membership
            for node in self.nodes_by_id.values()
            if node.core
            and node.core.status().last_index >= self._last_membership_change()[0]
        ]
        left = {i for i, node in self.nodes_by_id.items() if not node.lost}
        return all(
            membership.is_quorum(left)
            for membership in (self._last_membership_change()[1], *memberships)
        )

    def _last_membership_change(self):
        last = (0, self._founders)
        for index, entry in sorted(self.committed_by_index.items()):
            if entry.kind is EntryKind.MEMBERSHIP:
                last = (index, codec.membership_from_bytes(entry.data))
        return last

    def is_last_founder_with_disk(self, node):
        """Return whether a node is the only founder that still has its disk.

        Without any of their disks, the founders could found a new cluster, as on a
        first start.
        """
        left = {
            member.member_id
            for member in self._founders.members
            if not self.nodes_by_id[member.member_id].lost
        }
        return left == {node.member_id}

    def recover_and_verify(self, seconds=30):
        """End all faults and check that a leader holds all accepted commands."""
        self.heal()
        for node in list(self.nodes_by_id.values()):
            node.sync_s = _MEAN_SYNC_S
            self.resume(node)
            self.start(node)
        self.run(seconds)
        leaders = [n for n in self.running() if n.core.status().lease_until]
        if not leaders:
            if self.has_surviving_quorum():
                raise Violation(
                    "no leader was elected, though a quorum of members has its disks"
                )
            return
        self.read(leaders[0])
        self.run(1)
        held = dict(leaders[0].applied)
        lost = [pair for pair in self.accepted if held.get(pair[0]) != pair[1]]
        if lost:
            raise Violation(f"accepted and lost: {lost[:5]}")
        if leaders[0].reads_by_token:
            raise Violation("a read at the leader was not answered")


def run_random_steps(simulation, steps):
    """Run random proposals, reads and faults, derived from the simulation's seed."""
    rng = simulation.rng
    for _ in range(steps):
        for _ in range(rng.randint(0, 4)):
            simulation.propose(_choose_node(simulation))
            simulation.read(_choose_node(simulation))
        simulation.run(rng.choice([0.0, 0.001, 0.005, 0.02]))
        if rng.random() < 0.3:
            fault = rng.choices(_FAULTS, _FAULT_WEIGHTS)[0]
            fault(simulation, _choose_node(simulation))
            simulation.run(rng.choice([0.0, 0.005, 0.2]))
        if rng.random() < 0.3:
            _recover(simulation)
        simulation.run(rng.choice([0.0, 0.05, 0.5, 1.0, 3.0]))


def _choose_node(simulation):
    nodes = list(simulation.nodes_by_id.values())
    leaders = [n for n in nodes if n.core and n.core.is_leader]
    if leaders and simulation.rng.random() < 0.7:
        return simulation.rng.choice(leaders)
    return simulation.rng.choice(nodes)


def _recover(simulation):
    for node in list(simulation.nodes_by_id.values()):
        if simulation.rng.random() < 0.8:
            node.sync_s = _MEAN_SYNC_S
            simulation.resume(node)
            simulation.start(node)
    if simulation.rng.random() < 0.7:
        simulation.heal()


def _crash(simulation, node):
    simulation.crash(node, power=simulation.rng.random() < 0.7)


def _cut_power_of_many(simulation, node):
    for other in simulation.nodes_by_id.values():
        if simulation.rng.random() < 0.8:
            simulation.crash(other)


def _restart(simulation, node):
    _crash(simulation, node)
    simulation.start(node)


def _restart_repeatedly(simulation, node):
    for _ in range(simulation.rng.randint(2, 8)):
        simulation.run(simulation.rng.choice([0.002, 0.01, 0.1, 0.7]))
        _restart(simulation, _choose_node(simulation))
        simulation.propose(_choose_node(simulation))


def _pause(simulation, node):
    simulation.pause(node)


def _partition(simulation, node):
    groups = [set(), set()]
    for member_id in simulation.nodes_by_id:
        simulation.rng.choice(groups).add(member_id)
    simulation.partition(groups)


def _cut_links(simulation, node):
    simulation.cut_links(simulation.rng.choice([0.2, 0.5]))


def _degrade_network(simulation, node):
    simulation.loss = simulation.rng.choice([0.05, 0.3])
    simulation.duplication = simulation.rng.choice([0.0, 0.3])
    simulation.delayed_share = simulation.rng.choice([0.0, 0.1, 0.5])


def _slow_disk(simulation, node):
    node.sync_s = simulation.rng.choice([0.05, 0.5])


def _lose_disk(simulation, node):
    if len(simulation.nodes_by_id) < _MAX_NODES and not node.lost:
        if simulation.is_last_founder_with_disk(node):
            return
        simulation.lose_disk(node)
        if simulation.has_surviving_quorum():
            simulation.replace(node)


def _change_members(simulation, node):
    if node.core is None:
        return
    members = node.core.membership.members
    if len(members) > 3 and simulation.rng.random() < 0.5:
        simulation.remove(node, simulation.rng.choice(members).member_id)
    elif len(simulation.nodes_by_id) < _MAX_NODES:
        simulation.replace(node)


def _transfer_leadership(simulation, node):
    simulation.transfer_leadership(node)


def _snapshot(simulation, node):
    simulation.snapshot(node)


_WEIGHT_BY_FAULT = {
    _transfer_leadership: 2,
    _crash: 3,
    _cut_power_of_many: 2,
    _restart: 2,
    _restart_repeatedly: 2,
    _pause: 3,
    _partition: 3,
    _cut_links: 3,
    _degrade_network: 3,
    _slow_disk: 2,
    _lose_disk: 1,
    _change_members: 1,
    _snapshot: 4,
}
_FAULTS = tuple(_WEIGHT_BY_FAULT)
_FAULT_WEIGHTS = tuple(_WEIGHT_BY_FAULT.values())
