"""Evacuations of zones: which servers get requests while an order holds."""

import asyncio
import json

from galenadrum._internal.configuration.state import VersionedDocument
from lib.routing_deployment import RoutingDeployment, configuration, run_deployment
from lib.stream_caller import PROMPT_HEADERS

ENGINES = [
    (f"{service}-{zone}", service, zone)
    for service in ("plain", "llm", "enc")
    for zone in ("a", "b")
]
PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
REQUESTS = (
    ("/stock/x", {}),
    ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
    ("/plan/x", {"method": b"POST", "headers": PIECES, "body": b"{}"}),
)
# After this time without a further order, all hosts have applied the last one.
EFFECT_S = 0.5


async def order(deployment, zone, call, control="a"):
    """Send an evacuation order to a zone's control host; return the status."""
    address = deployment.api_address_by_zone[control]
    path = f"/api/evacuation/{zone}/{call}".encode()
    status, _, _ = await deployment.caller.call(address, b"POST", path)
    return status


async def count_arrivals(deployment, rounds=6):
    """Send requests of all kinds by all hosts; return the arrivals by zone."""
    before = {e.server_id: len(e.received_at) for e in deployment.engines.values()}
    for _ in range(rounds):
        for zone in deployment.zones:
            for path, more in REQUESTS:
                _, status, *_ = await deployment.send_request(path, zone, **more)
                assert status == 200
    counts = dict.fromkeys(("a", "b"), 0)
    for engine in deployment.engines.values():
        arrived = len(engine.received_at) - before[engine.server_id]
        counts[engine.zone] += arrived
    return counts


class TestEvacuatedZone:
    def test_no_request_reaches_servers_of_an_evacuated_zone(self, tmp_path):
        async def steps(deployment):
            assert (await count_arrivals(deployment))["b"] > 0
            assert await order(deployment, "b", "begin", "c") == 200
            await asyncio.sleep(EFFECT_S)
            assert (await count_arrivals(deployment))["b"] == 0
            assert await order(deployment, "b", "finish", "a") == 200
            await asyncio.sleep(EFFECT_S)
            assert (await count_arrivals(deployment))["b"] > 0

        run_deployment(tmp_path, steps, ENGINES)


async def wait_for_zones(deployment, zones):
    """Wait until all hosts know exactly these zones as evacuated."""
    daemons = [
        *deployment.control_daemon_by_zone.values(),
        *deployment.entry_daemon_by_zone.values(),
    ]
    await deployment.wait_until(
        lambda: all(d.evacuated_zones.zones == set(zones) for d in daemons)
    )


class TestOrders:
    def test_hosts_disagree_after_begin_and_finish_within_a_second(self, tmp_path):
        async def steps(deployment):
            for control in deployment.zones:
                for _ in range(4):
                    assert await order(deployment, "b", "begin", control) == 200
                    assert await order(deployment, "b", "finish", control) == 200
            await wait_for_zones(deployment, ())
            assert (await count_arrivals(deployment))["b"] > 0

        run_deployment(tmp_path, steps, ENGINES)

    def test_orders_of_two_operators_disturb_each_other(self, tmp_path):
        async def repeat(deployment, zone, control):
            for call in ("begin", "begin", "finish", "finish", "begin"):
                assert await order(deployment, zone, call, control) == 200

        async def steps(deployment):
            await asyncio.gather(
                repeat(deployment, "a", "b"), repeat(deployment, "b", "c")
            )
            await wait_for_zones(deployment, ("a", "b"))
            # With all zones evacuated, callers are told that nothing has run.
            _, status, *_ = await deployment.send_request("/stock/x")
            assert status == 503
            await asyncio.gather(
                *(order(deployment, zone, "finish") for zone in ("a", "b"))
            )
            await wait_for_zones(deployment, ())

        run_deployment(tmp_path, steps, ENGINES)

    def test_order_for_an_unknown_zone_is_acknowledged(self, tmp_path):
        async def steps(deployment):
            for zone in ("", "x", "%62x", "b/b", "%FF"):
                assert await order(deployment, zone, "begin") == 400
            assert await order(deployment, "%62", "begin") == 200
            assert await order(deployment, "b", "pause") == 404
            await wait_for_zones(deployment, ("b",))

        run_deployment(tmp_path, steps)

    def test_order_is_acknowledged_without_a_leader(self, tmp_path):
        async def steps(deployment):
            for zone in ("b", "c"):
                await deployment.control_daemon_by_zone.pop(zone).stop()
            assert await order(deployment, "b", "begin") == 503
            control = deployment.control_daemon_by_zone["a"]
            assert control.evacuated_zones.zones == set()

        run_deployment(tmp_path, steps)


class TestStart:
    def test_entry_host_gets_servers_before_the_log_has_caught_up(self, tmp_path):
        async def run():
            deployment = RoutingDeployment(tmp_path)
            await deployment.start_control("a")
            await deployment.start_gateway("a")
            engine = await deployment.add_engine("plain-b", "plain", "b")
            control = deployment.control_daemon_by_zone["a"]
            entry = deployment.entry_daemon_by_zone["a"]
            # As from a snapshot: servers are used only if a configuration names them.
            control.state.apply(1, encode_document(configuration()))
            try:
                await deployment.wait_until(
                    lambda: control.registry.get(engine.server_id) is not None
                )
                await deployment.wait_until(lambda: entry.links.links_up())
                # Without the other two hosts there is no leader.
                await asyncio.sleep(1.0)
                assert not list(entry.servers.registry)
                await deployment.wait_until(lambda: list(entry.servers.registry))
            finally:
                await deployment.__aexit__()

        asyncio.run(run())


def encode_document(document):
    data = json.dumps(document).encode()
    return VersionedDocument.from_bytes(document["Version"], data).to_command()


class TestRunningRequests:
    def test_release_of_results_reaches_an_evacuated_stage_server(self, tmp_path):
        engines = [("llm-a", "llm", "a"), ("enc-b", "enc", "b")]

        async def steps(deployment):
            deployment.engines["llm-a"].event_interval_s = 0.4
            stage = deployment.engines["enc-b"]
            path, more = REQUESTS[2]
            running = [
                asyncio.ensure_future(deployment.send_request(path, zone, **more))
                for zone in deployment.zones
            ]
            await deployment.wait_until(
                lambda: len(deployment.engines["llm-a"].received_at) == len(running)
            )
            assert await order(deployment, "b", "begin") == 200
            await wait_for_zones(deployment, ("b",))
            before = len(stage.received_at)
            assert [status for _, status, *_ in await asyncio.gather(*running)] == [
                200
            ] * len(running)
            await asyncio.sleep(1.5)
            assert len(stage.received_at) == before
            assert stage.results

        run_deployment(tmp_path, steps, engines)
