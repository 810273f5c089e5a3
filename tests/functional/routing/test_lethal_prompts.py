"""Prompt parts that crash each engine that begins to answer them."""

import asyncio
import itertools

from galenadrum._internal.network.http1.client import BackendError
from lib.routing_deployment import RoutingDeployment, configuration

ZONES = ("a", "b", "c")
LETHAL_PART = b"dead"
ENGINE_COUNT = 8
RESTART_S = 0.5
# Every host in contact with the others knows within this time of the fifth crash.
CONTACT_S = 3.0


class Outbreak:
    """Engines that crash on a prompt part and start again under other ids.

    Attributes:
        crashed: Engines that have crashed.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count()
        self._running = []
        self.crashed = []

    async def start_engine(self):
        number = next(self._numbers)
        engine = await self._deployment.add_engine(
            f"g-{number}", "llm", ZONES[number % len(ZONES)]
        )
        engine.lethal_parts.add(LETHAL_PART)
        self._running.append(engine)

    async def restart_crashed_engines(self):
        while True:
            await asyncio.sleep(RESTART_S)
            for engine in [e for e in self._running if e.has_crashed]:
                self._running.remove(engine)
                self.crashed.append(engine)
                del self._deployment.engines[engine.server_id]
                await self.start_engine()

    @property
    def crash_count(self):
        return len(self.crashed) + sum(engine.has_crashed for engine in self._running)

    def count_usable(self):
        return sum(not engine.has_crashed for engine in self._running)

    def count_runs(self, request_ids):
        """Return how often requests reached an engine."""
        return sum(
            engine.run_count_by_request_id[request_id]
            for engine in [*self._running, *self.crashed]
            for request_id in request_ids
        )

    async def send(self, zone, *part_ids):
        """Send a request with a prompt of its own; return its id and status."""
        number = next(self._numbers)
        parts = [*part_ids, b"%x" % (0xA000 + number)]
        headers = (
            (b"X-Model", b"m"),
            (b"X-Token-Usage", b"900,20"),
            (b"X-Prefix-Hash", b",".join(part + b":100" for part in parts)),
        )
        request_id = f"{number:016x}"
        try:
            _, status, headers, _ = await self._deployment.send_request(
                "/note/x",
                zone,
                method=b"POST",
                headers=headers,
                body=b"{}",
                request_id=request_id,
            )
        except BackendError:
            status = 0
        return request_id, status


def run_outbreak(folder, steps):
    async def run():
        async with RoutingDeployment(folder) as deployment:
            outbreak = Outbreak(deployment)
            for _ in range(ENGINE_COUNT):
                await outbreak.start_engine()
            await deployment.replace_configuration(configuration())
            await deployment.wait_ready()
            restarts = asyncio.ensure_future(outbreak.restart_crashed_engines())
            try:
                await steps(deployment, outbreak)
            finally:
                restarts.cancel()

    asyncio.run(run())


async def crash_engines(outbreak, count):
    """Send requests with the lethal part until ``count`` engines have crashed."""
    for zone in itertools.islice(itertools.cycle(ZONES), 18):
        await outbreak.send(zone, b"5c1e", LETHAL_PART)
        await outbreak.send(zone, b"5c1e")
        if outbreak.crash_count >= count:
            return
        await asyncio.sleep(0.2)


async def send_lethal_requests(outbreak, count):
    """Send requests with the lethal part over all hosts; return their ids."""
    request_ids = []
    for zone in itertools.islice(itertools.cycle(ZONES), count):
        request_id, _ = await outbreak.send(zone, b"5c1e", LETHAL_PART)
        request_ids.append(request_id)
        await asyncio.sleep(0.2)
    return request_ids


class TestPartThatCrashesEngines:
    def test_part_that_crashed_five_engines_is_sent_to_more(self, tmp_path):
        # Nothing connected the end of an engine with the prompts that it answered.
        async def steps(deployment, outbreak):
            await crash_engines(outbreak, 5)
            await asyncio.sleep(CONTACT_S)
            request_ids = await send_lethal_requests(outbreak, 12)
            assert outbreak.count_runs(request_ids) <= 3

        run_outbreak(tmp_path, steps)

    def test_host_that_starts_later_refuses_the_part(self, tmp_path):
        async def steps(deployment, outbreak):
            await crash_engines(outbreak, 5)
            daemon = deployment.entry_daemon_by_zone["c"]
            await daemon.stop()
            await deployment.start_gateway("c")
            await deployment.wait_ready()
            started = deployment.entry_daemon_by_zone["c"]
            assert len(started.quarantine) == 1
            request_id, status = await outbreak.send("c", b"5c1e", LETHAL_PART)
            assert status == 503
            assert outbreak.count_runs((request_id,)) == 0

        run_outbreak(tmp_path, steps)

    def test_part_is_named_though_its_dispatcher_is_lost(self, tmp_path):
        async def steps(deployment, outbreak):
            await crash_engines(outbreak, 2)
            dispatcher = deployment.control_daemon_by_zone["a"]
            await deployment.wait_until(lambda: dispatcher.dispatch.request_count == 0)
            # Reports of the last crash are on their way to the other control hosts.
            await asyncio.sleep(0.5)
            await dispatcher.stop()
            await asyncio.sleep(1.0)
            await deployment.wait_until(lambda: outbreak.count_usable() > 2)
            await crash_engines(outbreak, 9)
            assert outbreak.crash_count <= 5

        run_outbreak(tmp_path, steps)

    def test_requests_that_share_the_other_parts_are_served(self, tmp_path):
        async def steps(deployment, outbreak):
            await crash_engines(outbreak, 5)
            await deployment.wait_until(
                lambda: all(
                    len(daemon.quarantine)
                    for daemon in deployment.entry_daemon_by_zone.values()
                )
            )
            await deployment.wait_until(
                lambda: outbreak.crash_count == len(outbreak.crashed)
            )
            await deployment.wait_ready()
            statuses = [(await outbreak.send(zone, b"5c1e"))[1] for zone in ZONES * 3]
            assert statuses == [200] * 9

        run_outbreak(tmp_path, steps)

    def test_engine_that_breaks_off_and_stays_accuses_no_part(self, tmp_path):
        async def steps(deployment, outbreak):
            for engine in deployment.engines.values():
                engine.faults.add("reset")
            for zone in ZONES * 4:
                await outbreak.send(zone, b"5c1e", b"beef")
            # The last check of a server ends 0.3 s after its response broke off.
            await asyncio.sleep(0.5)
            for daemon in deployment.entry_daemon_by_zone.values():
                assert len(daemon.quarantine) == 0

        run_outbreak(tmp_path, steps)
