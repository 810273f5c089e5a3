"""Directories of hosts that know cold servers, and a model of what these receive."""

import heapq
import itertools
import random

from galenadrum._internal.directory.cold_servers import ColdServers, CutOffColdServers
from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.gateway.link_codec import (
    decode_announcement,
    encode_server_entry,
)
from galenadrum._internal.models.routing import Service
from galenadrum._internal.models.routing_settings import RoutingBounds
from galenadrum._internal.routing.request_pacer import RequestPacer
from lib.routing_values import announcement

PACED = {"generate": Service("generate", warm_up_s=3.0, warm_up_per_s=9.1)}
UNPACED = {"generate": Service("generate", warm_up_s=3.0)}
MODEL_SERVICES = {"generate": Service("generate", warm_up_s=6.0, warm_up_per_s=9.1)}
BOUNDS = RoutingBounds(warm_up_overage=1.5, warm_up_tolerance=5.0)


class Host:
    """Directory of one host, which relays its changed entries to others.

    Attributes:
        delay_s: Time in seconds that its messages travel.
    """

    def __init__(self, services, others=()):
        self.now = 100.0
        self.delay_s = 0.0
        self.published = 0
        self._others = others
        self.cold_servers = self._build_cold_servers()
        self.cold_servers.configure(services)
        self.registry = Registry(
            1.2, self._publish, self.cold_servers.find_longest_warm_up
        )
        self.registry.set_services(services)
        self.limits = ServerLimits(self._find, cold_servers=self.cold_servers)

    def _build_cold_servers(self):
        return ColdServers(self._find, BOUNDS, lambda: self.now)

    def _find(self, server_id):
        return self.registry.get(server_id)

    def _publish(self, entry):
        self.published += 1
        record = encode_server_entry(entry, self.now).server
        for other in self._others:
            other.now = self.now + self.delay_s
            other.registry.apply_announcement(decode_announcement(record), other.now)

    def announce(self, sequence, warm_up_s, now=None, **more):
        self.now = self.now if now is None else now
        message = announcement(
            "s", "generate", sequence=sequence, warm_up_s=warm_up_s, **more
        )
        self.registry.apply_announcement(message, self.now)

    def build_pacer(self):
        return RequestPacer(
            self.limits.find_rate,
            find_max_requests=self.cold_servers.find_max_requests,
        )


class CutOffHost(Host):
    """Directory of an entry host, which dispatches for itself without links."""

    def __init__(self, services, rng, share):
        self._rng = rng
        super().__init__(services)
        self.pacer = RequestPacer(
            self.limits.find_rate,
            lambda: share,
            is_last_resort=self.cold_servers.is_cold,
            choose_first_wait=self.cold_servers.choose_first_wait,
        )

    def _build_cold_servers(self):
        return CutOffColdServers(self._find, BOUNDS, lambda: self.now, self._rng)


class ColdServerModel:
    """Two dispatchers and entry hosts that send to one server as often as they may.

    The server becomes cold, with or without a restart, between two heartbeats. One
    fault begins when the window of the requests that were sent before the news is over;
    docs/design/cold-servers.md names what isn't bounded until then.

    Args:
        seed: Seed of all times and choices.
        fault: ``none``, ``change`` (the hosts go over to the other dispatcher one after
            another), ``crash`` (they do at once, and a new process takes over),
            ``cut`` (half of the hosts lose all links) or ``cut_all``.
        services: Services by name.

    Attributes:
        received_at: Times in seconds at which requests reached the cold server.
    """

    ENTRY_HOSTS = 20
    STEP_S = 0.01
    HEARTBEAT_S = 1.2
    WARM_UP_S = 6.0
    # Longest time of a message and of a request on its way.
    DELAY_S = 0.05
    # Longest wait for which a permit is of use.
    MAX_WAIT_S = 0.25

    def __init__(self, seed, fault, services=MODEL_SERVICES):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.controls = [Host(services), Host(services)]
        self.pacers = [host.build_pacer() for host in self.controls]
        share = 1 / self.ENTRY_HOSTS
        self.entries = [
            CutOffHost(services, self.rng, share) for _ in range(self.ENTRY_HOSTS)
        ]
        # Index of the dispatcher of each entry host, None without links.
        self.links = [0] * self.ENTRY_HOSTS
        self.received_at = []
        self._events = []
        self._numbers = itertools.count(1)
        self._incarnation_ms = 1_000
        self._cold_at = 3.0 + self.rng.uniform(0.0, self.HEARTBEAT_S)
        self._schedule(0.0, self._send_heartbeat)
        self._schedule(self._cold_at, self._restart_server)
        self._begin_fault = getattr(self, f"_begin_{fault}")
        self._has_fault_begun = False

    def run(self):
        while self.now < self._cold_at + self.WARM_UP_S:
            self.now += self.STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for host in (*self.controls, *self.entries):
                host.now = self.now
            for index in range(self.ENTRY_HOSTS):
                if self.rng.random() < 0.3:
                    self._send_request(index)
        return self

    def count_most_in_a_second(self):
        times = sorted(self.received_at)
        return max(sum(t <= at < t + 1.0 for at in times) for t in times)

    def _schedule(self, at, action):
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _send_request(self, index):
        link = self.links[index]
        pacer = self.entries[index].pacer if link is None else self.pacers[link]
        max_wait_s = 0.0 if link is None else self.MAX_WAIT_S
        is_granted, wait_s = pacer.reserve_request("s", max_wait_s, self.now)
        if is_granted:
            at = self.now + wait_s + self.rng.uniform(0.0, self.DELAY_S)
            self._schedule(at, lambda: self._receive(at))

    def _receive(self, at):
        if self._cold_at <= at < self._cold_at + self.WARM_UP_S:
            self.received_at.append(at)

    def _restart_server(self):
        self._incarnation_ms += self.rng.choice((0, 1_000))

    def _send_heartbeat(self):
        is_cold = self.now >= self._cold_at
        if is_cold and not self._has_fault_begun:
            self._has_fault_begun = True
            fault_at = self.now + 1.35 + self.rng.uniform(0.0, 1.0)
            self._schedule(fault_at, self._begin_fault)
        left_s = self._cold_at + self.WARM_UP_S - self.now if is_cold else 0.0
        message = announcement(
            "s",
            "generate",
            sequence=next(self._numbers),
            incarnation_ms=self._incarnation_ms,
            warm_up_s=max(0.0, left_s),
        )
        linked = [
            h for h, k in zip(self.entries, self.links, strict=True) if k is not None
        ]
        for host in (*self.controls, *linked):
            delay_s = self.rng.uniform(0.0, self.DELAY_S)
            self._schedule(
                self.now + delay_s,
                lambda h=host: h.registry.apply_announcement(message, self.now),
            )
        self._schedule(self.now + self.HEARTBEAT_S, self._send_heartbeat)

    def _begin_none(self):
        pass

    def _begin_change(self):
        for index in range(self.ENTRY_HOSTS):
            at = self.now + self.rng.uniform(0.0, 1.5)
            self._schedule(at, lambda i=index: self._link(i, 1))

    def _begin_crash(self):
        self.pacers[1] = self.controls[1].build_pacer()
        for index in range(self.ENTRY_HOSTS):
            self._link(index, 1)

    def _begin_cut(self):
        for index in range(0, self.ENTRY_HOSTS, 2):
            self._link(index, None)

    def _begin_cut_all(self):
        for index in range(self.ENTRY_HOSTS):
            self._link(index, None)

    def _link(self, index, link):
        self.links[index] = link
        if link is None:
            self.entries[index].pacer.spread_schedules(self.now)
