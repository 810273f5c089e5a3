import asyncio
import random
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from grpclib.server import Server

from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.servers import Announcement, ServerState
from galenadrum._internal.models.settings import EntrySettings
from lib.silent_relay import SilentRelay

_WAIT_S = 30.0
_SERVER = Announcement(
    "encoder-1", 1, 1, "127.0.0.1:9000", "nadi", ("encode",), 4, ttl_s=60.0
)


@asynccontextmanager
async def _running_host(host_id, listener, zone_peers):
    peer_address = f"127.0.0.1:{listener.getsockname()[1]}"
    settings = EntrySettings(
        host_id=host_id,
        zone="nadi",
        caller_address="127.0.0.1:1",
        operator_address="127.0.0.1:2",
        peer_address=peer_address,
        control_addresses=(),
        zone_peer_addresses=zone_peers,
    )
    service = ZoneService(settings, random.Random(1))
    server = Server([service])
    await server.start(sock=listener)
    task = asyncio.create_task(service.supervisor().run())
    try:
        yield service
    finally:
        task.cancel()
        await asyncio.wait({task})
        server.close()


async def _until(condition):
    async with asyncio.timeout(_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


class TestSilentConnections:
    def test_links_are_replaced_and_the_leave_arrives(self):
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
            await _until(lambda: first.driver.link_count == 2)
            first.announce(_SERVER)
            await _until(second.servers)
            before = [relay.connections for relay in relays]
            for relay in relays:
                relay.silence()
            first.announce(replace(_SERVER, sequence=2, state=ServerState.LEAVING))
            await _until(lambda: not second.servers())
            after = [relay.connections for relay in relays]
            assert all(b > a for a, b in zip(before, after, strict=True))
            # The abandoned connections are gone at both ends.
            await _until(lambda: first.driver.link_count == 2)
            await _until(lambda: second.driver.link_count == 2)

        async def run():
            async with AsyncExitStack() as stack:
                await scenario(stack)

        asyncio.run(run())
