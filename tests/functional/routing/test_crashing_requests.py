"""Requests that come again unchanged and crash each server that begins to run them."""

import asyncio
import itertools

import pytest

from galenadrum._internal.network.http1.client import BackendError
from lib.routing_deployment import RoutingDeployment, configuration

ZONES = ("a", "b", "c")
SERVER_COUNT = 6
RESTART_S = 0.5
# Every host in contact with the others knows within this time of the third crash.
CONTACT_S = 3.0
# Sends that are allowed after that time.
MAX_FURTHER_RUNS = 3
LETHAL_TARGET_BY_KIND = {"plain": b"/stock/lethal", "stream": b"/note/lethal"}
SERVICE_BY_KIND = {"plain": "plain", "stream": "llm"}
PROMPT_HEADERS = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,beef:100"),
)


class Outbreak:
    """Servers that crash on one request and start again under other ids."""

    def __init__(self, deployment, kind):
        self.kind = kind
        self._deployment = deployment
        self._numbers = itertools.count()
        self._servers = []
        self.crash_count = 0

    async def start_server(self):
        number = next(self._numbers)
        server = await self._deployment.add_engine(
            f"s-{number}", SERVICE_BY_KIND[self.kind], ZONES[number % len(ZONES)]
        )
        server.lethal_targets.add(LETHAL_TARGET_BY_KIND[self.kind])
        self._servers.append(server)

    async def restart_crashed_servers(self):
        while True:
            await asyncio.sleep(RESTART_S)
            for server in list(self._deployment.engines.values()):
                if server.has_crashed:
                    del self._deployment.engines[server.server_id]
                    self.crash_count += 1
                    await self.start_server()

    def count_runs(self, request_ids):
        return sum(
            server.run_count_by_request_id[request_id]
            for server in self._servers
            for request_id in request_ids
        )

    async def send(self, zone, name, key="k1"):
        """Send a request; return its id and status, 0 if there was none."""
        request_id = f"{next(self._numbers):016x}"
        is_stream = self.kind == "stream"
        try:
            _, status, _, _ = await self._deployment.send_request(
                f"/{'note' if is_stream else 'stock'}/{name}",
                zone,
                key=key,
                method=b"POST" if is_stream else b"GET",
                headers=PROMPT_HEADERS if is_stream else (),
                body=b"{}" if is_stream else b"",
                request_id=request_id,
            )
        except BackendError:
            status = 0
        return request_id, status

    async def send_lethal(self, count):
        """Send the lethal request over all hosts; return the ids of the attempts."""
        request_ids = []
        for zone in itertools.islice(itertools.cycle(ZONES), count):
            request_id, _ = await self.send(zone, "lethal")
            request_ids.append(request_id)
            await asyncio.sleep(0.2)
        return request_ids

    async def crash_servers(self, count):
        """Send the lethal request beside sound ones until servers have crashed."""
        sent = []
        for zone in itertools.islice(itertools.cycle(ZONES), 12):
            sent += await self.send_lethal(1)
            await self.send(zone, "sound")
            if self.count_runs(sent) >= count:
                return


def run_outbreak(folder, kind, steps):
    async def run():
        async with RoutingDeployment(folder) as deployment:
            outbreak = Outbreak(deployment, kind)
            for _ in range(SERVER_COUNT):
                await outbreak.start_server()
            await deployment.replace_configuration(configuration())
            await deployment.wait_ready()
            restarts = asyncio.ensure_future(outbreak.restart_crashed_servers())
            try:
                await steps(deployment, outbreak)
            finally:
                restarts.cancel()

    asyncio.run(run())


class TestRequestThatCrashesServers:
    # Only prompt parts were accused, and none whose other requests succeed.
    @pytest.mark.parametrize("kind", ["plain", "stream"])
    def test_request_that_crashed_three_servers_is_sent_to_more(self, tmp_path, kind):
        async def steps(deployment, outbreak):
            for zone in ZONES:
                await outbreak.send(zone, "sound")
            await outbreak.crash_servers(3)
            await asyncio.sleep(CONTACT_S)
            request_ids = await outbreak.send_lethal(12)
            assert outbreak.count_runs(request_ids) <= MAX_FURTHER_RUNS

        run_outbreak(tmp_path, kind, steps)

    @pytest.mark.parametrize("kind", ["plain", "stream"])
    def test_sound_requests_are_served_and_a_late_host_refuses(self, tmp_path, kind):
        async def steps(deployment, outbreak):
            await outbreak.crash_servers(3)
            await deployment.wait_until(
                lambda: all(
                    len(daemon.quarantine)
                    for daemon in deployment.entry_daemon_by_zone.values()
                )
            )
            await deployment.wait_until(lambda: outbreak.crash_count >= 3)
            await deployment.entry_daemon_by_zone["c"].stop()
            await deployment.start_gateway("c")
            await deployment.wait_ready()
            request_id, status = await outbreak.send("c", "lethal")
            assert status == 503
            assert outbreak.count_runs((request_id,)) == 0
            statuses = [(await outbreak.send(zone, "sound"))[1] for zone in ZONES * 3]
            assert statuses == [200] * 9

        run_outbreak(tmp_path, kind, steps)


class StageOutbreak:
    """Servers of a stage that crash on one piece and start again under other ids."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count()
        self._servers = []

    async def start_server(self):
        number = next(self._numbers)
        server = await self._deployment.add_engine(
            f"t-{number}", "enc", ZONES[number % len(ZONES)]
        )
        server.lethal_piece_keys.add("dead")
        self._servers.append(server)

    async def restart_crashed_servers(self):
        while True:
            await asyncio.sleep(RESTART_S)
            for server in list(self._deployment.engines.values()):
                if server.has_crashed:
                    del self._deployment.engines[server.server_id]
                    await self.start_server()

    def count_calls(self):
        return sum(
            any(entry.get("Key") == "dead" for entry in call)
            for server in self._servers
            for call in server.stage_calls
        )

    async def send(self, zone, key):
        headers = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", key))
        try:
            _, status, _, _ = await self._deployment.send_request(
                "/plan/x", zone, method=b"POST", headers=headers, body=key
            )
        except BackendError:
            return 0
        return status

    async def crash_servers(self, count):
        for zone in itertools.islice(itertools.cycle(ZONES), 12):
            await self.send(zone, b"dead")
            if self.count_calls() >= count:
                return
            await asyncio.sleep(0.3)


class TestRequestThatCrashesStageServers:
    # Nobody was accused when a server of a stage ended during a call.
    def test_request_that_crashed_three_stage_servers_is_sent_to_more(self, tmp_path):
        async def steps(deployment):
            outbreak = StageOutbreak(deployment)
            await deployment.add_engine("engine", "llm", "a")
            for _ in range(SERVER_COUNT):
                await outbreak.start_server()
            await deployment.replace_configuration(configuration())
            await deployment.wait_ready()
            restarts = asyncio.ensure_future(outbreak.restart_crashed_servers())
            await outbreak.crash_servers(3)
            await asyncio.sleep(CONTACT_S)
            before = outbreak.count_calls()
            for zone in ZONES * 3:
                await outbreak.send(zone, b"dead")
                await asyncio.sleep(0.2)
            restarts.cancel()
            assert outbreak.count_calls() - before <= MAX_FURTHER_RUNS
            assert await outbreak.send("a", b"beef") == 200

        async def run():
            async with RoutingDeployment(tmp_path) as deployment:
                await steps(deployment)

        asyncio.run(run())
