"""Announcements of another writer whose service no configuration names."""

import asyncio
import contextlib
import itertools
import json

import pytest

from galenadrum._internal.exceptions import GalenadrumError
from lib.process_deployment import ProcessDeployment
from lib.routing_deployment import (
    ANNOUNCEMENT_INTERVAL_S,
    RoutingDeployment,
    configuration,
    run_deployment,
)
from lib.stream_caller import PROMPT_HEADERS

ENGINES = [("p-1", "plain", "a"), ("g-1", "llm", "b"), ("e-1", "enc", "c")]
PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
REQUESTS = (
    ("/stock/x", {}),
    ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
    ("/plan/x", {"method": b"POST", "headers": PIECES, "body": b"{}"}),
)
EFFECT_S = 1.0
LATER_MS = 60_000
# What the claim of another writer names of an engine, and how it differs otherwise.
CLAIMS = {
    "address": {"id": "other-{}", "born": LATER_MS},
    "address, same start": {"id": "other-{}", "born": 0},
    "address, draining": {"id": "other-{}", "born": LATER_MS, "State": "draining"},
    "id": {"id": "{}", "born": 0, "Sequence": 10**9},
    "id, later start": {"id": "{}", "born": LATER_MS, "Sequence": 1},
    "id, elsewhere": {"id": "{}", "born": LATER_MS, "Address": "127.0.0.9:9"},
    "id, draining": {
        "id": "{}",
        "born": 0,
        "Sequence": 10**9,
        "State": "draining",
    },
    "id, draining, no name": {
        "id": "{}",
        "born": 0,
        "Sequence": 10**9,
        "State": "draining",
        "Service": "",
    },
    "id, later and draining": {"id": "{}", "born": LATER_MS, "State": "draining"},
}


def build_claim(engine, changes):
    """Return the server id and the heartbeat of another writer."""
    beat = {**engine.build_heartbeat(), "Service": "node-exporter", **changes}
    beat["born"] = engine.born + changes["born"]
    return beat.pop("id").format(engine.server_id), beat


async def announce(caller, address, server_id, beat):
    """Send a heartbeat to a control host; return the status."""
    path = f"/api/instances/{server_id}/heartbeat".encode()
    status, _, _ = await caller.call(
        address, b"POST", path, body=json.dumps(beat).encode()
    )
    return status


async def check_served(deployment, after=""):
    for zone in deployment.zones:
        for path, more in REQUESTS:
            _, status, _, _ = await deployment.send_request(path, zone, **more)
            assert status == 200, (after, zone, path)


async def contest_engines(deployment, changes, zones, rounds=3):
    for _ in range(rounds):
        for zone in zones:
            for engine in deployment.engines.values():
                claim = build_claim(engine, changes)
                address = deployment.api_address_by_zone[zone]
                assert await announce(deployment.caller, address, *claim) == 200


class TestContestedServers:
    """Requests of a service got 503 while its servers were ready."""

    @pytest.mark.parametrize("zones", ["a", "abc"])
    def test_claim_of_an_unnamed_service_ends_a_server(self, zones, tmp_path):
        async def steps(deployment):
            for claim, changes in CLAIMS.items():
                await contest_engines(deployment, changes, zones)
                await asyncio.sleep(EFFECT_S)
                await check_served(deployment, claim)

        run_deployment(tmp_path, steps, ENGINES)

    def test_claim_before_the_first_configuration_ends_a_server(self, tmp_path):
        async def run():
            async with RoutingDeployment(tmp_path) as deployment:
                for server_id, service, zone in ENGINES:
                    await deployment.add_engine(server_id, service, zone)
                await asyncio.sleep(EFFECT_S)
                for changes in CLAIMS.values():
                    await contest_engines(deployment, changes, "abc")
                await deployment.replace_configuration(configuration())
                await deployment.wait_ready()
                await asyncio.sleep(EFFECT_S)
                await check_served(deployment)

        asyncio.run(run())


class TestNamedLater:
    def test_server_announced_before_its_service_is_named_gets_nothing(self, tmp_path):
        async def steps(deployment):
            named = configuration(2)
            moved = [{**route} for route in named["Routes"]]
            moved[0]["Service"] = "late"
            named["Routes"] = moved
            named["Services"] = [*named["Services"], {"Name": "late"}]
            engine = await deployment.add_engine("l-1", "late", "b")
            await asyncio.sleep(EFFECT_S)
            await deployment.replace_configuration(named)
            await deployment.wait_ready(2)
            await check_served(deployment)
            assert engine.run_count_by_request_id

        run_deployment(tmp_path, steps, ENGINES)

    @pytest.mark.parametrize("is_contested", [False, True])
    def test_server_gets_nothing_after_its_service_was_taken_out(
        self, is_contested, tmp_path
    ):
        async def steps(deployment):
            without = build_without_plain(2)
            await deployment.replace_configuration(without)
            await asyncio.sleep(5.0)
            if is_contested:
                await contest_engines(deployment, CLAIMS["address"], "abc")
                await contest_engines(deployment, CLAIMS["id"], "abc")
            await deployment.replace_configuration(configuration(3))
            await deployment.wait_ready(3)
            await check_served(deployment)

        run_deployment(tmp_path, steps, ENGINES)

    def test_server_that_left_meanwhile_gets_requests(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(build_without_plain(2))
            await asyncio.sleep(EFFECT_S)
            engine = deployment.engines.pop("p-1")
            late = [engine.build_heartbeat() for _ in range(3)]
            engine.has_crashed = True
            await asyncio.sleep(2 * ANNOUNCEMENT_INTERVAL_S)
            address = deployment.api_address_by_zone["a"]
            leaving = {**engine.build_heartbeat(), "State": "draining"}
            assert await announce(deployment.caller, address, "p-1", leaving) == 200
            await deployment.replace_configuration(configuration(3))
            await deployment.wait_ready(3)
            for zone, beat in zip(deployment.zones, late, strict=True):
                address = deployment.api_address_by_zone[zone]
                assert await announce(deployment.caller, address, "p-1", beat) == 200
            await asyncio.sleep(EFFECT_S)
            for zone in deployment.zones:
                assert (await deployment.send_request("/stock/x", zone))[1] == 503
            assert not engine.received_at

        run_deployment(tmp_path, steps, ENGINES)


def build_without_plain(version):
    """Return a configuration that doesn't name the service of plain requests."""
    document = configuration(version)
    routes = [{**route} for route in document["Routes"] if route["Name"] != "stock"]
    for route in routes:
        route["Service"] = "llm"
    services = [s for s in document["Services"] if s["Name"] != "plain"]
    return {**document, "Routes": routes, "Services": services}


class TestProcesses:
    def test_claims_end_servers_while_hosts_are_killed(self, tmp_path):
        async def contest(found):
            for number in itertools.count():
                host = found.controls[number % len(found.controls)]
                for engine in found.engines:
                    changes = list(CLAIMS.values())[number % len(CLAIMS)]
                    with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
                        async with asyncio.timeout(1.0):
                            claim = build_claim(engine, changes)
                            await announce(found.caller, f"{host.ip}:8628", *claim)
                await asyncio.sleep(0.1)

        async def run():
            (tmp_path / "hosts").mkdir()
            async with ProcessDeployment(tmp_path / "hosts") as found:
                for service in ("plain", "llm", "enc"):
                    await found.add_engine(service)
                await found.configure()
                claims = asyncio.ensure_future(contest(found))
                await asyncio.sleep(2.0)
                for hosts in (
                    found.controls[:1],
                    found.controls,
                    [*found.controls, *found.entries],
                ):
                    await found.kill(hosts)
                    for path, more in REQUESTS:
                        await found.wait_served(path, **more)
                    await asyncio.sleep(2.0)
                    for number, (path, more) in enumerate(REQUESTS * 4):
                        status = await found.request_status(number // 3, path, **more)
                        assert status == 200, path
                claims.cancel()

        asyncio.run(run())

    def test_departure_while_its_service_was_taken_out_is_lost(self, tmp_path):
        async def run():
            (tmp_path / "hosts").mkdir()
            async with ProcessDeployment(tmp_path / "hosts") as found:
                plain = await found.add_engine("plain")
                await found.add_engine("llm")
                await found.add_engine("enc")
                await found.configure()
                await found.wait_served()
                await found.configure(build_without_plain(2))
                await asyncio.sleep(EFFECT_S)
                late = [plain.build_heartbeat() for _ in range(12)]
                plain.has_crashed = True
                await asyncio.sleep(2 * ANNOUNCEMENT_INTERVAL_S)
                leaving = {**plain.build_heartbeat(), "State": "draining"}
                address = f"{found.controls[0].ip}:8628"
                server_id = plain.server_id
                assert await announce(found.caller, address, server_id, leaving) == 200
                await found.kill([*found.controls, *found.entries])
                plain.received_at.clear()
                await found.configure(configuration(3))
                for number, beat in enumerate(late):
                    address = f"{found.controls[number % 3].ip}:8628"
                    with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
                        await announce(found.caller, address, server_id, beat)
                    await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
                    assert await found.request_status(number, "/stock/x") != 200
                assert not plain.received_at

        asyncio.run(run())
