"""Simulation of a zone's entry hosts on one clock, with link and host faults."""

import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace

from galenadrum._internal.membership.digests import DigestTable
from galenadrum._internal.membership.exchange import ZoneExchange
from galenadrum._internal.membership.hosts import HostTable
from galenadrum._internal.membership.links import SILENCE_LIMIT_S
from galenadrum._internal.membership.messages import CloseLink
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.membership.topology import dial_offsets, order_targets
from galenadrum._internal.models.servers import Announcement, ServerState

ZONE = "nadi"
STEP_S = 0.05
MAX_LEAVE_PROPAGATION_S = 3.0
TTL_S = 6.0
# A message may be buffered by a frozen host for less than the silence limit.
TRANSIT_SLACK_S = SILENCE_LIMIT_S + 1.0
ACTIONS = (
    "start_server",
    "stop_server",
    "crash_server",
    "restart_host",
    "partition",
    "heal",
    "silence_links",
    "freeze_host",
    "disturb",
    "replay",
    "forge",
    "wait",
    "leave_within_bound",
)


@dataclass
class Server:
    """Actual state of a backend server, independent of what the hosts hold."""

    announcement: Announcement
    next_renewal_at: float
    was_accepted: bool = False
    is_alive: bool = True


@dataclass
class Connection:
    ends: tuple[tuple[str, int], tuple[str, int]]
    is_silent: bool = False


class Host:
    def __init__(self, name, offset):
        self.name = name
        self.offset = offset
        self.is_frozen = False
        self.closed_link_ids = []
        self.restart(0.0)

    def restart(self, time):
        now = time + self.offset
        self.exchange = ZoneExchange(
            ServerRegistry(ZONE),
            HostTable(self.name, self.name, now),
            DigestTable(ZONE),
            ZONE,
        )
        self.started_at = time
        self.is_frozen = False
        self.closed_link_ids.clear()
        self.highest_incarnation_by_id = {}
        self.left = set()


class FakeZone:
    """Simulates a zone of ``ZoneExchange`` hosts, each with its own clock offset."""

    def __init__(self, host_count, seed):
        self.rng = random.Random(seed)
        names = [f"10.0.0.{i}:70" for i in range(host_count)]
        self.hosts = {n: Host(n, self.rng.uniform(0, 1e6)) for n in names}
        self.connections = []
        self.under_way = []
        self.servers = {}
        self.sent_announcements = []
        self.received_at = {}
        self.time = 0.0
        self.last_fault_change_at = 0.0
        self.partition_by_host = dict.fromkeys(names, 0)
        self.loss = self.duplication = 0.0
        self.drop_next_count = 0
        self.counts = Counter()
        self._ids = itertools.count(1)
        self.advance(2.0)

    def perform_action(self, action, rng):
        self.rng = rng
        getattr(self, action)()
        self.counts[action] += 1
        self.advance(rng.choice((0.1, 0.5, 1.0)))

    # Faults and events.

    def start_server(self):
        server_id = f"s{self.rng.randrange(8)}"
        server = self.servers.get(server_id)
        if server is not None and server.is_alive:
            return
        incarnation = 1 if server is None else server.announcement.incarnation + 1
        announcement = Announcement(
            server_id,
            incarnation,
            1,
            f"10.1.0.1:{9000 + int(server_id[1:])}",
            ZONE,
            ("encode",),
            4,
            TTL_S,
        )
        self.servers[server_id] = Server(announcement, self.time)

    def stop_server(self):
        server = self._choose_alive_server()
        if server is not None:
            self._announce_leave(server)

    def crash_server(self):
        server = self._choose_alive_server()
        if server is not None:
            server.is_alive = False

    def restart_host(self):
        host = self.hosts[self.rng.choice(sorted(self.hosts))]
        for connection in list(self.connections):
            if host.name in (name for name, _ in connection.ends):
                self._close_connection(connection)
        host.restart(self.time)
        self.last_fault_change_at = self.time

    def partition(self):
        self.partition_by_host = {name: self.rng.randrange(2) for name in self.hosts}
        self.last_fault_change_at = self.time

    def freeze_host(self):
        """Freeze a host; messages to it are buffered until it runs again."""
        self._choose_host().is_frozen = True
        self.last_fault_change_at = self.time

    def heal(self):
        self.partition_by_host = dict.fromkeys(self.hosts, 0)
        self.loss = self.duplication = 0.0
        for host in self.hosts.values():
            host.is_frozen = False
        self.last_fault_change_at = self.time

    def silence_links(self):
        for connection in self.connections:
            if self.rng.random() < 0.7:
                connection.is_silent = True
        self.last_fault_change_at = self.time

    def disturb(self):
        self.loss, self.duplication = self.rng.uniform(0, 0.6), 0.3
        self.last_fault_change_at = self.time

    def replay(self):
        """Send an old announcement again, to a random host."""
        if self.sent_announcements:
            self._announce(self.rng.choice(self.sent_announcements), is_original=False)

    def forge(self):
        """Announce with the id or address of another server, from a different IP."""
        if not self.sent_announcements:
            return
        original = self.rng.choice(self.sent_announcements)
        forged = replace(
            original,
            incarnation=original.incarnation + self.rng.choice((0, 1, 10**15)),
            sequence=original.sequence + self.rng.choice((0, 1, 10**9)),
            address=self.rng.choice((original.address, "10.9.9.9:1")),
            state=self.rng.choice(tuple(ServerState)),
            zone=self.rng.choice((ZONE, "ba")),
        )
        host = self._choose_host()
        now = self.time + host.offset
        peer_ip = "10.9.9.8" if forged.address != "10.9.9.9:1" else "10.9.9.9"
        if forged.server_id in {
            s.server_id for s in host.exchange.registry.servers(now)
        }:
            assert not host.exchange.apply_announcement(forged, now, peer_ip).accepted

    def wait(self):
        self.advance(self.rng.choice((2.0, 8.0)))

    def leave_within_bound(self):
        """Check that a leave reaches all hosts in time despite one kind of fault."""
        self.heal()
        self.advance(MAX_LEAVE_PROPAGATION_S + 1.0)
        server = self._choose_alive_server()
        while server is None:
            self.start_server()
            self.advance(1.0)
            server = self._choose_alive_server()
        fault = self.rng.choice(("none", "lost", "one silent", "all silent"))
        if fault == "lost":
            self.drop_next_count = 1
        elif fault == "one silent" and self.connections:
            self.rng.choice(self.connections).is_silent = True
        elif fault == "all silent":
            for connection in self.connections:
                connection.is_silent = True
        self._announce_leave(server)
        self.advance(MAX_LEAVE_PROPAGATION_S)
        left = (server.announcement.server_id, server.announcement.incarnation)
        for host in self.hosts.values():
            assert left not in self.list_available(host), (fault, host.name)
        self.counts[f"bound: {fault}"] += 1

    # Simulation.

    def advance(self, seconds):
        end = self.time + seconds
        while self.time < end - 1e-9:
            self.time += STEP_S
            self._renew_servers()
            self._dial()
            self._deliver()
            for host in self.hosts.values():
                if not host.is_frozen:
                    self._tick(host)
            if round(self.time / STEP_S) % 5 == 0:
                self.check()

    def heal_and_check_agreement(self):
        """Heal all faults, wait and check that all hosts hold the actual state."""
        self.heal()
        self.advance(2 * TTL_S + 4.0)
        alive = {
            (s.announcement.server_id, s.announcement.incarnation)
            for s in self.servers.values()
            if s.is_alive
        }
        if not self._has_one_digest():
            # A lease may expire on one host earlier than on another, by up to the
            # transit time of a message.
            self.advance(5 * STEP_S)
        assert self._has_one_digest()
        for host in self.hosts.values():
            assert self.list_available(host) == alive
            live = host.exchange.hosts.list_live_hosts(self.time + host.offset)
            assert {record.host_id for record in live} == set(self.hosts)

    def _has_one_digest(self):
        hosts = self.hosts.values()
        return len({host.exchange.registry.digest for host in hosts}) == 1

    def check(self):
        for host in self.hosts.values():
            if not host.is_frozen:
                self._check_host(host)

    def _check_host(self, host):
        registry = host.exchange.registry
        refs = 0
        for ref in registry.refs():
            refs ^= ref
        assert refs == registry.digest
        assert registry.size <= len(self.servers)
        for link in host.exchange._links_by_id.values():
            assert len(link.server_ids) + len(link.host_ids) <= 8 + len(self.hosts)
        for server_id, incarnation in self.list_available(host):
            assert (server_id, incarnation) not in host.left
            assert incarnation >= host.highest_incarnation_by_id.get(server_id, 0)
            host.highest_incarnation_by_id[server_id] = incarnation
            received_at = self.received_at[server_id, incarnation]
            assert self.time < received_at + TTL_S + TRANSIT_SLACK_S
        for server_id in self.servers:
            entry = registry.entry_by_id(server_id)
            if entry and entry.announcement.state is ServerState.LEAVING:
                host.left.add((server_id, entry.announcement.incarnation))

    def list_available(self, host):
        servers = host.exchange.registry.servers(self.time + host.offset)
        return {(s.server_id, s.incarnation) for s in servers}

    def _choose_host(self):
        return self.hosts[self.rng.choice(sorted(self.hosts))]

    def _choose_alive_server(self):
        alive = [
            s for _, s in sorted(self.servers.items()) if s.is_alive and s.was_accepted
        ]
        return self.rng.choice(alive) if alive else None

    def _announce_leave(self, server):
        server.is_alive = False
        last = server.announcement
        server.announcement = replace(
            last, sequence=last.sequence + 1, state=ServerState.LEAVING
        )
        self._announce(server.announcement)

    def _announce(self, announcement, is_original=True):
        host = self._choose_host()
        if host.is_frozen:
            return None
        verdict = host.exchange.apply_announcement(
            announcement, self.time + host.offset, announcement.address.split(":")[0]
        )
        key = (announcement.server_id, announcement.incarnation)
        is_recent = self.received_at.get(key, 0.0) > self.time - 1.0
        if verdict.accepted:
            self.received_at[key] = self.time
        if is_original:
            self.sent_announcements = [*self.sent_announcements[-50:], announcement]
        elif verdict.accepted:
            # A replay may only be accepted by a host that may have missed the original.
            assert host.started_at > 0 or self.last_fault_change_at > 0 or is_recent
        return verdict

    def _renew_servers(self):
        for server in list(self.servers.values()):
            if server.is_alive and server.next_renewal_at <= self.time:
                server.next_renewal_at = self.time + TTL_S / 3
                last = server.announcement
                server.announcement = replace(last, sequence=last.sequence + 1)
                verdict = self._announce(server.announcement)
                if verdict is not None and verdict.accepted:
                    server.was_accepted = True

    def _dial(self):
        names = list(self.hosts)
        for name in names:
            for slot in range(len(dial_offsets(len(names)))):
                target = order_targets(name, names, slot)[0]
                is_connected = any(
                    c.ends[0][0] == name and c.ends[1][0] == target
                    for c in self.connections
                )
                is_any_frozen = (
                    self.hosts[name].is_frozen or self.hosts[target].is_frozen
                )
                is_partitioned = (
                    self.partition_by_host[name] != self.partition_by_host[target]
                )
                if not is_connected and not is_partitioned and not is_any_frozen:
                    ends = ((name, next(self._ids)), (target, next(self._ids)))
                    self.connections.append(Connection(ends))
                    for end, link_id in ends:
                        host = self.hosts[end]
                        now = self.time + host.offset
                        host.exchange.link_opened(link_id, now)

    def _close_connection(self, connection):
        self.connections.remove(connection)
        for name, link_id in connection.ends:
            host = self.hosts[name]
            if host.is_frozen:
                host.closed_link_ids.append(link_id)
            else:
                host.exchange.link_closed(link_id)

    def _tick(self, host):
        for action in host.exchange.tick(self.time + host.offset):
            connection = self._find_connection(action.link_id)
            if isinstance(action, CloseLink):
                if connection is not None:
                    self._close_connection(connection)
                continue
            host.exchange.message_sent(action.link_id, self.time + host.offset)
            if connection is not None:
                self._send(connection, action)

    def _send(self, connection, action):
        first, second = connection.ends
        target = second if first[1] == action.link_id else first
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() < self.loss:
                continue
            if self.drop_next_count and action.message.servers:
                self.drop_next_count -= 1
                continue
            arrives_at = self.time + self.rng.choice((0.0, STEP_S, 2 * STEP_S))
            self.under_way.append((arrives_at, target, connection, action.message))

    def _deliver(self):
        arrived, waiting = [], []
        for item in self.under_way:
            is_due = item[0] <= self.time and not self.hosts[item[1][0]].is_frozen
            (arrived if is_due else waiting).append(item)
        self.under_way = waiting
        for _, (name, link_id), connection, message in arrived:
            source = next(n for n, _ in connection.ends if n != name)
            is_partitioned = (
                self.partition_by_host[name] != self.partition_by_host[source]
            )
            if not connection.is_silent and not is_partitioned:
                host = self.hosts[name]
                host.exchange.receive(link_id, message, self.time + host.offset)
        for host in self.hosts.values():
            while host.closed_link_ids and not host.is_frozen:
                host.exchange.link_closed(host.closed_link_ids.pop())

    def _find_connection(self, link_id):
        for connection in self.connections:
            if link_id in (connection.ends[0][1], connection.ends[1][1]):
                return connection
        return None
