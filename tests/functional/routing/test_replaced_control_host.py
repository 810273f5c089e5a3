"""Control hosts, as processes, that are replaced or lose their disks."""

import asyncio
import contextlib
import fcntl
import signal
import tempfile
import time
from pathlib import Path

from galenadrum._internal.exceptions import GalenadrumError
from lib.fault_soak import ADMIN_PORT, CALL_TIMEOUT_S, RECOVERY_S, Host
from lib.platform_engine import PlatformClient
from lib.routing_deployment import configuration

CATCH_UP_S = 4.0
FIRST_START_S = 20.0


class ControlGroup:
    """Control hosts that run as processes, and an operator.

    Attributes:
        hosts_by_zone: Running hosts by zone; a replacement has a zone of its own.
    """

    def __init__(self, folder, network):
        self._folder = folder
        self._network = network
        self._seeds = [f"{network}.{10 + i}" for i in range(3)]
        self.hosts_by_zone = {}
        self._caller = PlatformClient()
        self._version = 0

    def start_founders(self):
        for zone, ip in zip("abc", self._seeds, strict=True):
            self._start(zone, ip)

    def start_newcomer(self, zone):
        host = Host(
            "control", zone, f"{self._network}.{ord(zone)}", self._seeds, self._folder
        )
        host.is_first_start = False
        self.hosts_by_zone[zone] = host
        host.start()

    def _start(self, zone, ip):
        host = Host("control", zone, ip, self._seeds, self._folder)
        self.hosts_by_zone[zone] = host
        host.start()

    async def kill(self, zone):
        host = self.hosts_by_zone[zone]
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGKILL)
        await host.wait_ended()
        return host

    async def remove_for_good(self, zone):
        await self.kill(zone)
        del self.hosts_by_zone[zone]

    async def wipe(self, zone, away_s):
        host = await self.kill(zone)
        host.delete_data()
        await asyncio.sleep(away_s)
        host.start()

    async def accept_version(self, bound_s):
        """Send a new version until it is acknowledged; return the host's zone."""
        self._version += 1
        document = configuration(self._version)
        end_at = time.monotonic() + bound_s
        while time.monotonic() < end_at:
            for zone, host in list(self.hosts_by_zone.items()):
                with contextlib.suppress(GalenadrumError, TimeoutError):
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        status = await self._caller.replace_configuration(
                            f"{host.ip}:{ADMIN_PORT}", document
                        )
                    if status == 200:
                        return zone
            await asyncio.sleep(0.05)
        raise AssertionError(f"version {self._version} was not acknowledged in time")

    async def read_version(self, bound_s):
        end_at = time.monotonic() + bound_s
        while time.monotonic() < end_at:
            for host in self.hosts_by_zone.values():
                with contextlib.suppress(GalenadrumError, TimeoutError):
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        status, document = await self._caller.read_configuration(
                            f"{host.ip}:{ADMIN_PORT}"
                        )
                    if status == 200:
                        return document["Version"]
            await asyncio.sleep(0.05)
        raise AssertionError("no version could be read in time")

    def stop(self):
        for host in self.hosts_by_zone.values():
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            host.process.wait()


@contextlib.contextmanager
def reserve_network(network):
    """Keep other test runs on this machine off a network's addresses."""
    path = Path(tempfile.gettempdir()) / f"galenadrum-tests-{network}.lock"
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def run_group(folder, network, steps):
    async def run():
        group = ControlGroup(folder, network)
        try:
            group.start_founders()
            await group.accept_version(FIRST_START_S)
            await steps(group)
        finally:
            group.stop()

    with reserve_network(network):
        asyncio.run(run())


class TestReplacedControlHost:
    # A replaced host counted as a voter until ten seconds of silence had passed.
    def test_lost_disk_after_a_replacement_leaves_no_leader(self, tmp_path):
        async def steps(group):
            replaced = await group.accept_version(RECOVERY_S)
            group.hosts_by_zone[replaced].signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            group.hosts_by_zone[replaced].signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            await group.remove_for_good(replaced)
            await asyncio.sleep(1.0)
            group.start_newcomer("d")
            await asyncio.sleep(CATCH_UP_S)
            acknowledged_by = await group.accept_version(RECOVERY_S)
            await group.wipe(acknowledged_by, away_s=3.0)
            await group.accept_version(RECOVERY_S)
            for zone in list(group.hosts_by_zone):
                await group.kill(zone)
            for host in group.hosts_by_zone.values():
                host.start()
            assert await group.read_version(RECOVERY_S) == 4

        run_group(tmp_path, "127.220.1", steps)

    # The vote of a host that was stopped as planned was lost at once.
    def test_disk_lost_as_a_replaced_host_stops_leaves_no_leader(self, tmp_path):
        async def steps(group):
            group.start_newcomer("d")
            await asyncio.sleep(CATCH_UP_S)
            replaced = await group.accept_version(RECOVERY_S)
            stopping = group.hosts_by_zone.pop(replaced)
            stopping.signal(signal.SIGTERM)
            await stopping.wait_ended()
            acknowledged_by = await group.accept_version(RECOVERY_S)
            await group.wipe(acknowledged_by, away_s=1.0)
            await group.accept_version(RECOVERY_S)
            assert await group.read_version(RECOVERY_S) == 4

        run_group(tmp_path, "127.220.2", steps)

    # The users' new term: a disk is lost while all other hosts lose power.
    def test_disk_lost_while_all_others_are_killed_loses_a_change(self, tmp_path):
        async def steps(group):
            acknowledged_by = await group.accept_version(RECOVERY_S)
            hosts = list(group.hosts_by_zone)
            await asyncio.gather(*(group.kill(zone) for zone in hosts))
            group.hosts_by_zone[acknowledged_by].delete_data()
            for host in group.hosts_by_zone.values():
                host.start()
            assert await group.read_version(RECOVERY_S) == 2
            await group.accept_version(RECOVERY_S)

        run_group(tmp_path, "127.220.3", steps)
