"""Servers that restart at another address, whose former one another server uses."""

import asyncio

from lib.routing_deployment import configuration, run_deployment
from lib.stream_caller import PROMPT_HEADERS

ENGINES = [("p-1", "plain", "a"), ("g-1", "llm", "b"), ("e-1", "enc", "c")]
PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
REQUESTS = (
    ("/stock/x", {}),
    ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
    ("/plan/x", {"method": b"POST", "headers": PIECES, "body": b"{}"}),
)
EFFECT_S = 1.0


class TestReusedAddress:
    def test_restarted_server_gets_nothing_once_its_former_address_is_used(
        self, tmp_path
    ):
        async def steps(deployment):
            for server_id, service, zone in ENGINES:
                former = deployment.engines[server_id]
                former.crash()
                moved = await deployment.add_engine(server_id, service, zone)
                moved.born = former.born + 10_000
                await asyncio.sleep(EFFECT_S)
                user = await deployment.add_engine(
                    f"user-{server_id}", "spare", zone, former.address
                )
                user.born = former.born + 20_000
            await deployment.wait_until(
                lambda: all(
                    entry.servers.registry.get(f"user-{server_id}")
                    for entry in deployment.entry_daemon_by_zone.values()
                    for server_id, _, _ in ENGINES
                )
            )
            for zone in deployment.zones:
                for path, more in REQUESTS:
                    _, status, _, _ = await deployment.send_request(path, zone, **more)
                    assert status == 200, (zone, path)

        services = [*configuration()["Services"], {"Name": "spare"}]
        run_deployment(tmp_path, steps, ENGINES, Services=services)
