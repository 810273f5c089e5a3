"""Disks of control hosts that are full for a moment, one after the other."""

import asyncio
import contextlib
import re
import resource
import signal

import pytest

from galenadrum._internal.exceptions import GalenadrumError
from lib.fault_soak import ADMIN_PORT
from lib.process_deployment import START_TIMEOUT_S, ProcessDeployment
from lib.routing_deployment import configuration

FULL_S = 1.5
ROUNDS = 2
ACKNOWLEDGED_WITHIN_S = 4.0
RECOVERY_S = 3.0
UNLIMITED = resource.RLIM_INFINITY


def set_largest_file(host, size):
    """Limit the files that a host may write, as a full disk does."""
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (size, UNLIMITED))


async def do_nothing(host):
    return


async def restart_full(host):
    """Kill a host and start it again while its disk is still full."""
    host.signal(signal.SIGKILL)
    await host.wait_ended()
    host.start()
    set_largest_file(host, 0)


async def replace_disk(host):
    """Start a host with an empty disk that is full at once, then has room."""
    host.signal(signal.SIGKILL)
    await host.wait_ended()
    host.delete_data()
    host.start()
    set_largest_file(host, 0)


def is_voter(found, host):
    """Return whether each host knows a host, with its present disk, as a voter.

    A process that takes long to start joins later than the next disk is replaced.
    """
    started = re.findall(r"log member (\S+) started", (host.folder / "log").read_text())
    if not started or host.process.poll() is not None:
        return False
    for other in found.controls:
        committed = re.findall(
            r"members committed at entry \d+: voters ([^;]*);",
            (other.folder / "log").read_text(),
        )
        if not committed or started[-1] not in committed[-1].split(","):
            return False
    return True


async def read_versions(found):
    versions = []
    for host in found.controls:
        _, document = await found.caller.read_configuration(f"{host.ip}:{ADMIN_PORT}")
        versions.append(document.get("Version"))
    return versions


async def change_configurations(found, sent):
    while True:
        sent.append(len(sent) + 2)
        for host in found.controls:
            with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
                async with asyncio.timeout(1.0):
                    address = f"{host.ip}:{ADMIN_PORT}"
                    document = configuration(sent[-1])
                    if await found.caller.replace_configuration(address, document):
                        break
        await asyncio.sleep(0.2)


class TestFullDisksInTurn:
    """Long after the last disk had room again, changes were refused or unanswered."""

    @pytest.mark.parametrize("disturb", [do_nothing, restart_full, replace_disk])
    @pytest.mark.parametrize("room_bytes", [0, 300])
    def test_changes_are_refused_after_all_have_room(
        self, disturb, room_bytes, tmp_path
    ):
        async def run():
            found = ProcessDeployment(tmp_path, 1)
            async with found:
                engine = await found.add_engine("plain")
                await found.configure()
                await found.wait_served("/stock/x")
                sent = []
                changes = asyncio.ensure_future(change_configurations(found, sent))
                for number in range(ROUNDS * len(found.controls)):
                    host = found.controls[number % len(found.controls)]
                    data = host.folder / "data"
                    sizes = [p.stat().st_size for p in data.rglob("*") if p.is_file()]
                    largest = max(sizes, default=0) + room_bytes if room_bytes else 0
                    set_largest_file(host, largest)
                    await disturb(host)
                    await asyncio.sleep(FULL_S)
                    set_largest_file(host, UNLIMITED)
                    # Never two at once: each one catches up first.
                    await asyncio.sleep(RECOVERY_S)
                    async with asyncio.timeout(START_TIMEOUT_S):
                        while not is_voter(found, host):
                            await asyncio.sleep(0.1)
                changes.cancel()
                await asyncio.gather(changes, return_exceptions=True)
                async with asyncio.timeout(ACKNOWLEDGED_WITHIN_S):
                    await found.configure(configuration(10_000))
                await asyncio.sleep(1.0)
                assert await read_versions(found) == [10_000] * 3
                assert all(host.process.poll() is None for host in found.controls)
                # Departures are acknowledged again, too.
                engine.state = "draining"
                address = f"{found.controls[0].ip}:{ADMIN_PORT}"
                assert await found.caller.send_heartbeat(address, engine) == 200

        asyncio.run(run())
