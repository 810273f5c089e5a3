"""Cost of the zone's membership per entry host.

Runs all entry hosts of a zone in one process over loopback TCP and feeds them
announcements directly, so that the cost of the announcements' HTTP is left out.
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
_WARM_UP_S = 8.0
_HEADER_BYTES = 52  # IPv4 and TCP with timestamps
_BUDGET_CPU = 0.02
_BUDGET_BYTES_PER_S = 6_000
_OTHER_ZONES = 11
_STAGES_PER_ZONE = 40
# Offsets of u64 and u32 members of Linux's struct tcp_info.
_TCP_BYTES_ACKED = 120
_TCP_BYTES_RECEIVED = 128
_TCP_SEGMENTS_OUT = 136
_TCP_SEGMENTS_IN = 140


@dataclass(frozen=True, slots=True)
class Scenario:
    """One measured configuration.

    Attributes:
        offsets: Offsets that hosts dial, None for the topology's own.
        has_extras: Whether digests of other zones and cache events flow.
    """

    hosts: int
    servers: int
    offsets: tuple[int, ...] | None = None
    has_extras: bool = False


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one host: core share, bytes a second each way, messages sent."""

    cpu: float
    bytes_per_s: float
    payload_bytes_per_s: float
    segments_per_s: float
    links: float


@dataclass(slots=True)
class Traffic:
    """Totals over all connections, both directions."""

    payload: int = 0
    segments: int = 0


class Zone:
    """All entry hosts of a zone and their backend servers."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(1)
        self._sockets: list[socket.socket] = []
        self.services: list[ZoneService] = []

    async def start(self) -> None:
        """Start all hosts."""
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
            self._tasks.append(asyncio.create_task(self._renew(i)))
        if self._scenario.has_extras:
            self._tasks.append(asyncio.create_task(self._send_digests()))

    async def stop(self) -> None:
        """Stop all hosts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        for server in self._servers:
            server.close()
        await asyncio.gather(*(server.wait_closed() for server in self._servers))

    def traffic(self) -> Traffic:
        """Return what has crossed all connections so far."""
        total = Traffic()
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

    async def _renew(self, index: int) -> None:
        interval_s = _TTL_S / _RENEWALS_PER_TTL
        await asyncio.sleep(self._rng.random() * interval_s)
        announcement = _announcement(index)
        while True:
            load = LoadReport(self._rng.randrange(16), self._rng.randrange(40), 0.2)
            sequence = announcement.sequence + 1
            announcement = replace(announcement, sequence=sequence, load=load)
            if self._scenario.has_extras:
                hashes = tuple(f"{self._rng.getrandbits(64):016x}" for _ in range(4))
                event = CacheEvent(sequence, hashes)
                announcement = replace(announcement, cache_events=(event,))
            verdict = self._rng.choice(self.services).announce(announcement)
            assert verdict.accepted, verdict
            await asyncio.sleep(interval_s)

    async def _send_digests(self) -> None:
        while True:
            for zone in range(_OTHER_ZONES):
                loads = tuple(
                    StageLoad(f"stage-{i}", self._rng.randrange(50), 0.01, 64, 0.1)
                    for i in range(_STAGES_PER_ZONE)
                )
                serial = self._rng.getrandbits(64)
                digest = PeerDigest(f"zone-{zone}", "10.9.0.1:70", serial, 0.0, loads)
                service = self.services[0]
                now = asyncio.get_running_loop().time()
                service.exchange.add_digest(digest, now)
            await asyncio.sleep(service.digests.interval_s())


def _announcement(index: int) -> Announcement:
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


async def measure(scenario: Scenario, seconds: float) -> Cost:
    """Run a scenario and return the cost of one host."""
    zone = Zone(scenario)
    await zone.start()
    await asyncio.sleep(_WARM_UP_S)
    gc.collect()
    before, cpu_before, began = zone.traffic(), time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - began
    cpu = time.process_time() - cpu_before
    after = zone.traffic()
    servers = {len(service.servers()) for service in zone.services}
    assert servers == {scenario.servers}, servers
    links = sum(service.driver.link_count for service in zone.services)
    await zone.stop()
    per_host = scenario.hosts * elapsed
    payload = after.payload - before.payload
    segments = after.segments - before.segments
    return Cost(
        cpu=cpu / per_host,
        # Each byte on a connection is sent by one host and received by another.
        bytes_per_s=(payload + segments * _HEADER_BYTES) / per_host,
        payload_bytes_per_s=payload / per_host,
        segments_per_s=segments / per_host,
        links=links / scenario.hosts,
    )


def run(scenario: Scenario, seconds: float) -> Cost:
    """Measure a scenario on a loop of its own and print its row."""
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
        f"{cost.cpu:9.2%}{cost.cpu / _BUDGET_CPU:11.2f}"
        f"{cost.bytes_per_s:10.0f}{cost.bytes_per_s / _BUDGET_BYTES_PER_S:12.2f}"
        f"{cost.payload_bytes_per_s:12.0f}{cost.segments_per_s:10.1f}",
        flush=True,
    )
    return cost


def scenarios(quick: bool) -> Iterator[Scenario]:
    """Yield what is measured, the grid of hosts and servers first."""
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
    """Return the bytes of state that one backend server takes on each host."""
    registry = ServerRegistry("nadi")
    gc.collect()
    tracemalloc.start()
    for index in range(servers):
        registry.announce(_announcement(index), 0.0)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return taken / servers


def measure_announcement(rounds: int = 2_000) -> float:
    """Return the milliseconds that one announcement takes on its way in."""
    registry = ServerRegistry("nadi")
    bodies = [
        dump_announcement(replace(_announcement(7), sequence=i)) for i in range(rounds)
    ]
    began = time.process_time()
    for body in bodies:
        verdict = registry.announce(parse_announcement(body), 0.0)
        assert verdict.accepted, verdict
    return (time.process_time() - began) * 1_000 / rounds


def slopes(costs: dict[Scenario, Cost]) -> dict[str, float]:
    """Return the growth of cost per backend server and per entry host."""
    none, many = costs[Scenario(28, 0)], costs[Scenario(28, 200)]
    small, large = costs[Scenario(5, 50)], costs[Scenario(28, 50)]
    return {
        "cpu_ms_per_s_per_server": (many.cpu - none.cpu) * 1_000 / 200,
        "bytes_per_s_per_server": (many.bytes_per_s - none.bytes_per_s) / 200,
        "cpu_ms_per_s_per_host_of_zone": (large.cpu - small.cpu) * 1_000 / 23,
        "bytes_per_s_per_host_of_zone": (large.bytes_per_s - small.bytes_per_s) / 23,
    }


def main() -> None:
    """Run all scenarios."""
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
    design = costs[Scenario(28, 50)]
    result = {
        "hosts": 28,
        "servers": 50,
        "cpu_share": round(design.cpu, 5),
        "cpu_of_budget": round(design.cpu / _BUDGET_CPU, 3),
        "bytes_per_s_each_way": round(design.bytes_per_s),
        "bytes_of_budget": round(design.bytes_per_s / _BUDGET_BYTES_PER_S, 3),
        "memory_bytes_per_server": round(measure_memory()),
        "cpu_ms_per_announcement": round(measure_announcement(), 4),
    }
    if not arguments.quick:
        extras = costs[Scenario(28, 50, has_extras=True)]
        result["bytes_per_s_with_digests"] = round(extras.bytes_per_s)
        result |= {key: round(value, 4) for key, value in slopes(costs).items()}
    print(json.dumps(result))


if __name__ == "__main__":
    main()
