"""Hosts of this build and of an earlier one side by side, while hosts are replaced."""

import asyncio
import contextlib
import itertools
import signal

import pytest

from galenadrum._internal.exceptions import GalenadrumError
from lib.builds import extract_build
from lib.process_deployment import ProcessDeployment
from lib.routing_deployment import configuration
from lib.stream_caller import PROMPT_HEADERS

# The build before servers' rests and departures were obeyed, and the one before
# departures were recorded and requests excluded servers.
EARLIER_BUILD = "832ea2f"
PRODUCTION_BUILD = "2469069"
ENTRY_HOSTS = 3
REST_S = 1.0
LONG_REST_S = 5.0
TRANSIT_S = 0.5
MAX_ARRIVALS = 2
PIECES = (*PROMPT_HEADERS, (b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
REQUESTS = (
    ("/stock/x", {}),
    ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
    ("/plan/x", {"method": b"POST", "headers": PIECES, "body": b"{}"}),
)


class Load:
    """Requests of all kinds at the entry hosts that aren't being replaced.

    Attributes:
        replaced: Number of the entry host that gets no requests; None for none.
        statuses: Path and status of each request; status 0 without a response.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self.replaced = None
        self.statuses = []

    async def run(self):
        for number in itertools.count():
            path, more = REQUESTS[number // ENTRY_HOSTS % len(REQUESTS)]
            if number % ENTRY_HOSTS != self.replaced:
                status = await self._deployment.request_status(number, path, **more)
                self.statuses.append((path, status))
            await asyncio.sleep(0.02)


async def change_configurations(deployment):
    """Send versions one after the other; return how many were acknowledged."""
    for version in itertools.count(2):
        await deployment.configure(configuration(version))
        await asyncio.sleep(0.3)


async def give_signs(deployment):
    """Let engines in turn ask for rest, and one leave and come back."""
    for number in itertools.count():
        engine = deployment.engines[number % len(deployment.engines)]
        engine.rest_s = REST_S
        await asyncio.sleep(0.3)
        engine.rest_s = None
        engine.is_leaving = True
        await asyncio.sleep(0.3)
        engine.is_leaving = False
        engine.born += 1_000
        await asyncio.sleep(0.7)


async def replace_host(host, program, stop_signal):
    host.signal(stop_signal)
    await host.wait_ended()
    host.program = program
    host.start()


async def read_version(deployment):
    versions = []
    for host in deployment.controls:
        with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
            _, document = await deployment.caller.read_configuration(f"{host.ip}:8628")
            versions.append(document.get("Version", 0))
    return max(versions)


def run_replacement(folder, build, is_upgrade, stop_signal):
    """Replace all hosts one by one under load; return the load and the deployment."""
    earlier = extract_build(build, folder / "build")
    before, after = (earlier, None) if is_upgrade else (None, earlier)

    async def run():
        (folder / "hosts").mkdir()
        async with ProcessDeployment(folder / "hosts", ENTRY_HOSTS, before) as found:
            for service in ("plain", "llm", "enc") * 3:
                await found.add_engine(service)
            await found.configure()
            for path, more in REQUESTS:
                await found.wait_served(path, **more)
            load = Load(found)
            tasks = [
                asyncio.ensure_future(task)
                for task in (
                    load.run(),
                    change_configurations(found),
                    give_signs(found),
                )
            ]
            try:
                for host in found.controls:
                    await replace_host(host, after, stop_signal)
                    await asyncio.sleep(5.0)
                for number, host in enumerate(found.entries):
                    load.replaced = number
                    await replace_host(host, after, stop_signal)
                    await asyncio.sleep(2.0)
                    for path, more in REQUESTS:
                        await found.wait_served(path, **more)
                load.replaced = None
                await asyncio.sleep(1.0)
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
            failures = [r for r in results if isinstance(r, AssertionError)]
            assert not failures
            return load.statuses, await read_version(found)

    return asyncio.run(run())


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("is_upgrade", [True, False], ids=["newer", "older"])
@pytest.mark.parametrize("build", [EARLIER_BUILD, PRODUCTION_BUILD])
class TestReplacedHosts:
    def test_requests_fail_while_builds_are_mixed(
        self, build, is_upgrade, stop_signal, tmp_path
    ):
        statuses, version = run_replacement(tmp_path, build, is_upgrade, stop_signal)
        served = sum(status == 200 for _, status in statuses)
        assert version > 10
        # A refusal says that nothing has run; anything else would be a failure.
        failed = [s for s in statuses if s[1] not in (200, 503)]
        if stop_signal == signal.SIGTERM:
            assert not failed, failed
        assert served >= 0.97 * len(statuses), (served, len(statuses))


class TestNewerEntryHosts:
    def test_entry_hosts_send_to_resting_servers_that_control_hosts_place_at(
        self, tmp_path
    ):
        # Dispatchers of the earlier build know no rests and place requests there.
        earlier = extract_build(EARLIER_BUILD, tmp_path / "build")

        async def run():
            (tmp_path / "hosts").mkdir()
            found = ProcessDeployment(tmp_path / "hosts")
            for host in found.controls:
                host.program = earlier
            async with found:
                for _ in range(3):
                    await found.add_engine("llm")
                await found.configure()
                path, more = REQUESTS[1]
                await found.wait_served(path, **more)
                engine = found.engines[0]
                engine.rest_s = LONG_REST_S
                end_at = asyncio.get_running_loop().time() + LONG_REST_S
                statuses = []
                for number in itertools.count():
                    if asyncio.get_running_loop().time() > end_at:
                        break
                    statuses.append(await found.request_status(number, path, **more))
                    await asyncio.sleep(0.02)
                since, rest_s = engine.rests[0]
                arrivals = [
                    at
                    for at in engine.received_at
                    if since + TRANSIT_S < at < since + rest_s
                ]
                assert len(arrivals) <= MAX_ARRIVALS * len(found.entries)
                assert statuses.count(200) == len(statuses)

        asyncio.run(run())
