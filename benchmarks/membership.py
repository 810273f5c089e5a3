"""Benchmark of the cost of a zone's membership per entry host.

Runs all entry hosts of a zone in one process over loopback TCP and passes
announcements to them by function calls, so that their HTTP cost is excluded.
Prints a table and, as the last line, one JSON object. Usage:

    python -m benchmarks.membership [--seconds N] [--quick]
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import random
import socket
import struct
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from unittest import mock

from grpclib.server import Server

from galenadrum._internal.membership import topology, zone_dialer
from galenadrum._internal.membership.announcement_codec import (
    dump_announcement,
    parse_announcement,
)
from galenadrum._internal.membership.digests import PeerDigest, StageLoad
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.membership.zone_service import ZoneService, open_zone_link
from galenadrum._internal.models.servers import Announcement, CacheEvent, LoadReport
from galenadrum._internal.models.settings import EntrySettings

_TTL_S = 9.0
_RENEWALS_PER_TTL = 3
_WARM_UP_DELAY_S = 8.0
_TCP_IP_HEADER_BYTES = 52  # IPv4 and TCP with timestamps
_CPU_SHARE_BUDGET = 0.02
_BYTES_PER_S_BUDGET = 6_000
_OTHER_ZONE_COUNT = 11
_STAGES_PER_ZONE = 40
# Offsets of u64 and u32 members of Linux's struct tcp_info.
_TCP_BYTES_ACKED = 120
_TCP_BYTES_RECEIVED = 128
_TCP_SEGMENTS_OUT = 136
_TCP_SEGMENTS_IN = 140


@dataclass(frozen=True, slots=True)
class Scenario:
    """Configuration of one measurement.

    Attributes:
        hosts: Number of entry hosts.
        servers: Number of backend servers.
        offsets: Ring offsets of the peers that each host dials, or None for those
            of the topology.
        has_extras: Adds digests of other zones and cache events.
    """

    hosts: int
    servers: int
    offsets: tuple[int, ...] | None = None
    has_extras: bool = False


@dataclass(frozen=True, slots=True)
class HostCost:
    """Cost of membership for one entry host.

    Attributes:
        cpu: Share of one core.
        bytes_per_s: Bytes per second in each direction, including headers.
        payload_bytes_per_s: Bytes per second in each direction without headers.
        segments_per_s: TCP segments per second in each direction.
        links: Mean number of open links of a host.
    """

    cpu: float
    bytes_per_s: float
    payload_bytes_per_s: float
    segments_per_s: float
    links: float


@dataclass(slots=True)
class TrafficTotals:
    """Payload bytes and TCP segments over all connections in both directions."""

    payload: int = 0
    segments: int = 0


class Zone:
    """Zone of entry hosts in this process, with simulated backend servers."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(1)
        self._sockets: list[socket.socket] = []
        self.services: list[ZoneService] = []

    async def start(self) -> None:
        """Start all entry hosts and the announcements."""
        listeners = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(self._scenario.hosts)
        ]
        addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in listeners]
        self._tasks = []
        self._servers = []
        for i, listener in enumerate(listeners):
            settings = EntrySettings(
                host_id=f"entry-{i:02}",
                zone="nadi",
                caller_address="",
                operator_address="",
                peer_address=addresses[i],
                control_addresses=(),
                zone_peer_addresses=tuple(addresses),
            )
            service = ZoneService(settings, random.Random(i), open_link=self._open_link)
            server = Server([service])
            await server.start(sock=listener)
            self.services.append(service)
            self._servers.append(server)
        for service in self.services:
            self._tasks.append(asyncio.create_task(service.supervisor().run()))
        for i in range(self._scenario.servers):
            self._tasks.append(asyncio.create_task(self._renew_announcements(i)))
        if self._scenario.has_extras:
            self._tasks.append(asyncio.create_task(self._send_digests()))

    async def stop(self) -> None:
        """Stop the announcements and all entry hosts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        for server in self._servers:
            server.close()
        await asyncio.gather(*(server.wait_closed() for server in self._servers))

    def read_traffic(self) -> TrafficTotals:
        """Return the total traffic of all connections so far."""
        total = TrafficTotals()
        for sock in self._sockets:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 160)
            total.payload += struct.unpack_from("Q", info, _TCP_BYTES_ACKED)[0]
            total.payload += struct.unpack_from("Q", info, _TCP_BYTES_RECEIVED)[0]
            total.segments += struct.unpack_from("I", info, _TCP_SEGMENTS_OUT)[0]
            total.segments += struct.unpack_from("I", info, _TCP_SEGMENTS_IN)[0]
        return total

    @asynccontextmanager
    async def _open_link(self, address: str):
        async with open_zone_link(address) as stream:
            transport = stream._channel._protocol.connection._transport
            self._sockets.append(transport.get_extra_info("socket"))
            yield stream

    async def _renew_announcements(self, index: int) -> None:
        interval_s = _TTL_S / _RENEWALS_PER_TTL
        await asyncio.sleep(self._rng.random() * interval_s)
        announcement = _build_announcement(index)
        while True:
            load = LoadReport(self._rng.randrange(16), self._rng.randrange(40), 0.2)
            sequence = announcement.sequence + 1
            announcement = replace(announcement, sequence=sequence, load=load)
            if self._scenario.has_extras:
                hashes = tuple(f"{self._rng.getrandbits(64):016x}" for _ in range(4))
                event = CacheEvent(sequence, hashes)
                announcement = replace(announcement, cache_events=(event,))
            verdict = self._rng.choice(self.services).record_announcement(announcement)
            assert verdict.accepted, verdict
            await asyncio.sleep(interval_s)

    async def _send_digests(self) -> None:
        while True:
            for zone in range(_OTHER_ZONE_COUNT):
                loads = tuple(
                    StageLoad(f"stage-{i}", self._rng.randrange(50), 0.01, 64, 0.1)
                    for i in range(_STAGES_PER_ZONE)
                )
                serial = self._rng.getrandbits(64)
                digest = PeerDigest(f"zone-{zone}", "10.9.0.1:70", serial, 0.0, loads)
                service = self.services[0]
                now = asyncio.get_running_loop().time()
                service.exchange.add_digest(digest, now)
            await asyncio.sleep(service.digests.exchange_interval_s())


def _build_announcement(index: int) -> Announcement:
    return Announcement(
        server_id=f"engine-{index:04}",
        incarnation=1_765_000_000_000,
        sequence=0,
        address=f"10.0.{index // 250}.{index % 250 + 1}:9000",
        zone="nadi",
        stages=(f"stage-{index % 12}",),
        capacity=16,
        ttl_s=_TTL_S,
        model_versions=(("assistant", "2026-11-02"),),
    )


async def measure(scenario: Scenario, seconds: float) -> HostCost:
    """Run a scenario and return the mean cost of one host."""
    zone = Zone(scenario)
    await zone.start()
    await asyncio.sleep(_WARM_UP_DELAY_S)
    if scenario.has_extras:
        # Digests are sent every 15 s; 30 s cover a whole number of intervals.
        seconds = 30.0
    gc.collect()
    before, cpu_before, began = (
        zone.read_traffic(),
        time.process_time(),
        time.monotonic(),
    )
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - began
    cpu = time.process_time() - cpu_before
    after = zone.read_traffic()
    servers = {len(service.servers()) for service in zone.services}
    assert servers == {scenario.servers}, servers
    links = sum(service.driver.link_count for service in zone.services)
    await zone.stop()
    per_host = scenario.hosts * elapsed
    payload = after.payload - before.payload
    segments = after.segments - before.segments
    return HostCost(
        cpu=cpu / per_host,
        # Each byte on a connection is sent by one host and received by another.
        bytes_per_s=(payload + segments * _TCP_IP_HEADER_BYTES) / per_host,
        payload_bytes_per_s=payload / per_host,
        segments_per_s=segments / per_host,
        links=links / scenario.hosts,
    )


def run(scenario: Scenario, seconds: float) -> HostCost:
    """Measure a scenario on a new event loop and print its row."""
    if scenario.offsets is None:
        cost = asyncio.run(measure(scenario, seconds))
    else:
        offsets = mock.Mock(return_value=scenario.offsets)
        with (
            mock.patch.object(topology, "dial_offsets", offsets),
            mock.patch.object(zone_dialer, "dial_offsets", offsets),
        ):
            cost = asyncio.run(measure(scenario, seconds))
    print(
        f"{scenario.hosts:6}{scenario.servers:8}{cost.links:7.1f}"
        f"{'yes' if scenario.has_extras else 'no':>8}"
        f"{cost.cpu:9.2%}{cost.cpu / _CPU_SHARE_BUDGET:11.2f}"
        f"{cost.bytes_per_s:10.0f}{cost.bytes_per_s / _BYTES_PER_S_BUDGET:12.2f}"
        f"{cost.payload_bytes_per_s:12.0f}{cost.segments_per_s:10.1f}",
        flush=True,
    )
    return cost


def scenarios(quick: bool) -> Iterator[Scenario]:
    """Yield the scenarios, those of each number of hosts and servers first."""
    if quick:
        yield Scenario(5, 18)
        yield Scenario(28, 50)
        return
    for hosts in (5, 8, 28):
        for servers in (0, 18, 50, 200):
            yield Scenario(hosts, servers)
    yield Scenario(28, 50, offsets=(1, 3, 9))
    yield Scenario(28, 50, offsets=(1, 2, 3, 5, 8, 13))
    yield Scenario(28, 50, offsets=tuple(range(1, 15)))
    yield Scenario(28, 50, has_extras=True)


def measure_memory(servers: int = 200) -> float:
    """Return the bytes of state per backend server on each entry host."""
    registry = ServerRegistry("nadi")
    gc.collect()
    tracemalloc.start()
    for index in range(servers):
        registry.apply_announcement(_build_announcement(index), 0.0)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return state_bytes / servers


def measure_announcement(rounds: int = 2_000) -> float:
    """Return the processor time to parse and apply an announcement in milliseconds."""
    registry = ServerRegistry("nadi")
    bodies = [
        dump_announcement(replace(_build_announcement(7), sequence=i))
        for i in range(rounds)
    ]
    began = time.process_time()
    for body in bodies:
        verdict = registry.apply_announcement(parse_announcement(body), 0.0)
        assert verdict.accepted, verdict
    return (time.process_time() - began) * 1_000 / rounds


def compute_growth_rates(costs: dict[Scenario, HostCost]) -> dict[str, float]:
    """Return the growth of the cost per backend server and per entry host of a zone."""
    no_servers, many_servers = costs[Scenario(28, 0)], costs[Scenario(28, 200)]
    small_zone, large_zone = costs[Scenario(5, 0)], costs[Scenario(28, 0)]
    return {
        "cpu_ms_per_s_per_server": (many_servers.cpu - no_servers.cpu) * 1_000 / 200,
        "bytes_per_s_per_server": (many_servers.bytes_per_s - no_servers.bytes_per_s)
        / 200,
        "cpu_ms_per_s_per_host_of_zone": (large_zone.cpu - small_zone.cpu) * 1_000 / 23,
        "bytes_per_s_per_host_of_zone": (
            large_zone.bytes_per_s - small_zone.bytes_per_s
        )
        / 23,
    }


def main() -> None:
    """Run all scenarios; print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    print(
        " hosts servers  links  extras      cpu cpu/budget  B/s each bytes/budget"
        "   payload/s  packets/s"
    )
    costs = {}
    for scenario in scenarios(arguments.quick):
        costs[scenario] = run(scenario, arguments.seconds)
    planned_cost = costs[Scenario(28, 50)]
    result = {
        "hosts": 28,
        "servers": 50,
        "cpu_share": round(planned_cost.cpu, 5),
        "cpu_of_budget": round(planned_cost.cpu / _CPU_SHARE_BUDGET, 3),
        "bytes_per_s_each_way": round(planned_cost.bytes_per_s),
        "bytes_of_budget": round(planned_cost.bytes_per_s / _BYTES_PER_S_BUDGET, 3),
        "memory_bytes_per_server": round(measure_memory()),
        "cpu_ms_per_announcement": round(measure_announcement(), 4),
    }
    if not arguments.quick:
        extras_cost = costs[Scenario(28, 50, has_extras=True)]
        result["bytes_per_s_with_digests"] = round(extras_cost.bytes_per_s)
        result |= {
            key: round(value, 4) for key, value in compute_growth_rates(costs).items()
        }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
