"""A first configuration of version 0, which was acknowledged and not kept."""

import asyncio
import contextlib
import shutil
import signal
import subprocess
import sys

import pytest

from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
    encode_evacuation_command,
)
from galenadrum._internal.exceptions import GalenadrumError
from lib.builds import extract_build
from lib.fault_soak import ADMIN_PORT
from lib.process_deployment import ProcessDeployment
from lib.routing_deployment import RoutingDeployment, configuration

# The last build for which version 0 stands for no configuration.
EARLIER_BUILD = "ed75ede"
APPLIED_WITHIN_S = 20.0
EVACUATED = "b"


def change_timeout(document):
    """Return another document under the same version."""
    routes = [{**route, "TimeoutMs": 4_000} for route in document["Routes"]]
    return {**document, "Routes": routes}


class TestFirstConfiguration:
    def test_version_0_is_acknowledged_but_not_kept(self, tmp_path):
        async def run():
            async with RoutingDeployment(tmp_path) as deployment:
                await deployment.add_engine("p-1", "plain", "b")
                zero = configuration(0)
                await deployment.replace_configuration(zero)
                await check_kept(deployment, zero)
                # Sent again, also with another content, it changes nothing.
                for document in (zero, change_timeout(zero)):
                    for zone in deployment.zones:
                        await deployment.replace_configuration(document, zone)
                await check_kept(deployment, zero)
                # Hosts that start later get it from the others.
                await deployment.control_daemon_by_zone["b"].stop()
                await deployment.start_control("b", first=False)
                await deployment.entry_daemon_by_zone["c"].stop()
                await deployment.start_gateway("c")
                await check_kept(deployment, zero)
                four = configuration(4)
                await deployment.replace_configuration(four, "c")
                await check_kept(deployment, four)
                await deployment.replace_configuration(zero, "b")
                await check_kept(deployment, four)

        asyncio.run(run())

    def test_malformed_version_is_acknowledged(self, tmp_path):
        async def run():
            async with RoutingDeployment(tmp_path) as deployment:
                address = deployment.api_address_by_zone["a"]
                await wait_listening(deployment.caller, address)
                for version in (-1, None, "0", 0.0, 1.5, True, 2**63, [0]):
                    document = configuration(version)
                    status = await deployment.caller.replace_configuration(
                        address, document
                    )
                    assert status == 400, version
                document = configuration(0)
                del document["Version"]
                replace = deployment.caller.replace_configuration
                assert await replace(address, document) == 400
                assert (await deployment.caller.read_configuration(address))[0] == 503

        asyncio.run(run())


async def wait_listening(caller, address):
    async with asyncio.timeout(APPLIED_WITHIN_S):
        while True:
            with contextlib.suppress(GalenadrumError):
                await caller.read_configuration(address)
                return
            await asyncio.sleep(0.05)


async def check_kept(deployment, document):
    """Check that all control hosts return a document and all entry hosts serve it."""
    await deployment.wait_ready(document["Version"])
    for zone in deployment.zones:
        address = deployment.api_address_by_zone[zone]
        async with asyncio.timeout(APPLIED_WITHIN_S):
            while (read := await deployment.caller.read_configuration(address))[
                0
            ] != 200:
                await asyncio.sleep(0.05)
        assert read == (200, document)
        assert (await deployment.send_request("/stock/x", zone))[1] == 200


async def read(found, number):
    """Return the configuration that a control host reads, empty if it can't."""
    with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
        async with asyncio.timeout(1.0):
            address = f"{found.controls[number].ip}:{ADMIN_PORT}"
            status, document = await found.caller.read_configuration(address)
            return document if status == 200 else {}
    return {}


async def wait_read(found, number, document):
    async with asyncio.timeout(APPLIED_WITHIN_S):
        while await read(found, number) != document:
            await asyncio.sleep(0.05)


async def send(found, number, document):
    """Send a configuration to a control host; return the status, 0 without one."""
    with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
        async with asyncio.timeout(2.0):
            address = f"{found.controls[number].ip}:{ADMIN_PORT}"
            return await found.caller.replace_configuration(address, document)
    return 0


async def evacuate(found, call="begin"):
    path = f"/api/evacuation/{EVACUATED}/{call}".encode()
    async with asyncio.timeout(APPLIED_WITHIN_S):
        while True:
            address = f"{found.controls[0].ip}:{ADMIN_PORT}"
            with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
                status, _, _ = await found.caller.call(address, b"POST", path)
                if status == 200:
                    return
            await asyncio.sleep(0.1)


async def replace(host, program):
    host.signal(signal.SIGTERM)
    await host.wait_ended()
    host.program = program
    host.start()


async def check_evacuated(found, zero):
    """Check that all hosts hold version 0, and that zone b gets no requests."""
    for number in range(3):
        await wait_read(found, number, zero)
    await found.wait_served()
    for engine in found.engines:
        engine.received_at.clear()
    for number in range(12):
        assert await found.request_status(number, "/stock/x") == 200
    zones = {e.zone for e in found.engines if e.received_at}
    assert zones
    assert EVACUATED not in zones


@contextlib.asynccontextmanager
async def open_deployment(folder, program=None, earlier_controls=(0, 1, 2)):
    folder.mkdir()
    found = ProcessDeployment(folder)
    for number in earlier_controls:
        found.controls[number].program = program
    async with found:
        for _ in range(3):
            await found.add_engine("plain")
        yield found


class TestLosses:
    def test_version_0_or_an_evacuation_is_lost_with_all_processes(self, tmp_path):
        async def run():
            async with open_deployment(tmp_path / "hosts") as found:
                await evacuate(found)
                zero = configuration(0)
                await found.configure(zero)
                await check_evacuated(found, zero)
                for loses_a_disk in (False, True):
                    hosts = [*found.controls, *found.entries]
                    for host in hosts:
                        host.signal(signal.SIGKILL)
                    for host in hosts:
                        await host.wait_ended()
                    if loses_a_disk:
                        shutil.rmtree(found.controls[0].folder / "data")
                    for host in hosts:
                        host.start()
                    await check_evacuated(found, zero)

        asyncio.run(run())


class TestTwoBuilds:
    def test_evacuation_of_the_earlier_build_is_lost_in_an_upgrade(self, tmp_path):
        earlier = extract_build(EARLIER_BUILD, tmp_path / "build")

        async def run():
            async with open_deployment(tmp_path / "hosts", earlier) as found:
                await evacuate(found)
                zero = configuration(0)
                for host in found.controls:
                    await replace(host, None)
                    await asyncio.sleep(2.0)
                await found.configure(zero)
                await check_evacuated(found, zero)

        asyncio.run(run())

    def test_version_0_is_acknowledged_while_a_host_would_ignore_it(self, tmp_path):
        earlier = extract_build(EARLIER_BUILD, tmp_path / "build")

        async def run():
            async with open_deployment(tmp_path / "hosts", earlier, (2,)) as found:
                await evacuate(found)
                zero = configuration(0)
                for _ in range(10):
                    assert await send(found, 0, zero) in (0, 503)
                    assert await send(found, 1, zero) in (0, 503)
                    await asyncio.sleep(0.1)
                await replace(found.controls[2], None)
                await found.configure(zero)
                await check_evacuated(found, zero)

        asyncio.run(run())

    def test_earlier_build_stops_at_version_0_in_its_log(self, tmp_path):
        earlier = extract_build(EARLIER_BUILD, tmp_path / "build")

        async def run():
            async with open_deployment(tmp_path / "hosts") as found:
                zero, one = configuration(0), configuration(1)
                await found.configure(zero)
                await wait_read(found, 1, zero)
                await replace(found.controls[1], earlier)
                async with asyncio.timeout(APPLIED_WITHIN_S):
                    while await send(found, 0, one) != 200:
                        await asyncio.sleep(0.1)
                for number in range(3):
                    await wait_read(found, number, one)

        asyncio.run(run())

    @pytest.mark.parametrize("is_evacuated", [False, True])
    def test_earlier_build_stops_at_a_snapshot(self, is_evacuated, tmp_path):
        program = extract_build(EARLIER_BUILD, tmp_path / "build")
        state = ConfigurationState()
        if is_evacuated:
            state.apply(1, encode_evacuation_command(EVACUATED, True, 1_000))
        command = VersionedDocument.from_bytes(0, b"{}").to_command()
        state.apply(2, command)
        code = (
            "import sys\n"
            "from galenadrum._internal.configuration.state import ConfigurationState\n"
            "state = ConfigurationState()\n"
            f"state.restore({state.snapshot()!r})\n"
            f"state.apply(3, {command!r})\n"
            "print(state.version, state.find_evacuated_zones(), flush=True)\n"
            "sys.stdout.buffer.write(state.snapshot())\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONPATH": str(program.parents[1] / "src")},
            capture_output=True,
            check=True,
        )
        line, _, snapshot = done.stdout.partition(b"\n")
        zones = (EVACUATED,) if is_evacuated else ()
        assert line.decode() == f"0 {zones}"
        # What the earlier build writes is read by this one.
        restored = ConfigurationState()
        restored.restore(snapshot)
        assert restored.find_evacuated_zones() == zones
