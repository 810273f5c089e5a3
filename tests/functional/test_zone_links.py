import asyncio
import random
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from grpclib.server import Server

from galenadrum._internal.membership.digests import StageLoad
from galenadrum._internal.membership.messages import CloseReason
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement, ServerState
from galenadrum._internal.models.settings import EntrySettings
from lib.silent_relay import SilentRelay

_WAIT_S = 30.0
_SERVER = Announcement(
    "encoder-1", 1, 1, "127.0.0.1:9000", "nadi", ("encode",), 4, ttl_s=60.0
)


@asynccontextmanager
async def _running_host(
    host_id, listener, zone_peers, zone="nadi", other_zones=(), loads=()
):
    peer_address = f"127.0.0.1:{listener.getsockname()[1]}"
    settings = EntrySettings(
        host_id=host_id,
        zone=zone,
        caller_address=f"127.0.0.1:{len(host_id)}",
        operator_address="127.0.0.1:2",
        peer_address=peer_address,
        control_addresses=(),
        zone_peer_addresses=zone_peers,
        other_zone_addresses=other_zones,
    )
    service = ZoneService(settings, random.Random(1), local_loads=lambda: loads)
    server = Server([service])
    await server.start(sock=listener)
    task = asyncio.create_task(service.supervisor().run())
    try:
        yield service
    finally:
        task.cancel()
        await asyncio.wait({task})
        server.close()


async def _wait_until(condition):
    async with asyncio.timeout(_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def _run(scenario):
    async def run():
        async with AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(run())


class TestSilentConnections:
    def test_silent_links_are_replaced_and_the_leave_arrives(self):
        async def scenario(stack):
            sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
            addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
            relays = [stack.enter_context(SilentRelay(a)) for a in addresses]
            first, second = [
                await stack.enter_async_context(
                    _running_host(f"h{i}", sockets[i], (relays[1 - i].address,))
                )
                for i in (0, 1)
            ]
            await _wait_until(lambda: first.driver.link_count == 2)
            await _wait_until(lambda: first.status().host_ids == ("h0", "h1"))
            first.record_announcement(_SERVER)
            await _wait_until(second.servers)
            before = [relay.connections for relay in relays]
            for relay in relays:
                relay.silence()
            first.record_announcement(
                replace(_SERVER, sequence=2, state=ServerState.LEAVING)
            )
            await _wait_until(lambda: not second.servers())
            after = [relay.connections for relay in relays]
            assert all(b > a for a, b in zip(before, after, strict=True))
            replay = first.record_announcement(_SERVER)
            assert not replay.accepted
            status = first.status()
            assert status.closed_link_count_by_reason[CloseReason.SILENT] >= 1
            assert status.rejected_by_reason == {replay.rejection.reason: 1}
            assert status.servers == 0
            # The leave arrived in one direction of a new link; wait for the other one.
            await _wait_until(lambda: first.status().host_ids == ("h0", "h1"))
            await _wait_until(lambda: first.driver.link_count == 2)
            await _wait_until(lambda: second.driver.link_count == 2)
            # Wait until both sides have closed the sockets of the silent connections.
            expected_ends = [2 * count for count in before]
            await _wait_until(
                lambda: [relay.closed_silent_ends for relay in relays] == expected_ends
            )

        _run(scenario)


class TestDigests:
    def test_zones_exchange_digests(self):
        load = StageLoad("encode", 8, 0.25, 16)

        async def scenario(stack):
            sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
            nadi1, nadi2, ba = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
            hosts = [
                _running_host("n1", sockets[0], (nadi2,), other_zones=(ba,)),
                _running_host("n2", sockets[1], (nadi1,), other_zones=(ba,)),
                _running_host("b1", sockets[2], (), zone="ba", loads=(load,)),
            ]
            services = [await stack.enter_async_context(host) for host in hosts]
            for service in services[:2]:
                await _wait_until(service.digests_by_stage)
                (digest,) = service.digests_by_stage()["encode"]
                assert (digest.zone, digest.entry_address) == ("ba", "127.0.0.1:2")
                assert digest.free_capacity == 8
            assert services[2].digests.zones() == ("nadi",)

        _run(scenario)
