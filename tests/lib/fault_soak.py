"""A randomized soak: real processes, faults from outside, promises checked.

Control and entry hosts run as processes with addresses of their own on loopback;
engines, callers and the operator run here. Faults come by signals, by lost disks
and by a relay before the engines. Run it by hand with

    PYTHONPATH=src:tests:platform python -m lib.fault_soak --seeds 50
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import yaml

from galenadrum._internal.exceptions import GalenadrumError
from lib.platform_engine import PlatformCaller, PlatformEngine
from lib.routing_deployment import configuration
from lib.silent_relay import SilentRelay

ROOT = Path(__file__).parents[2]
ZONES = ("a", "b", "c")
ADMIN, PEER, FRONT, READY, METRICS = 8628, 7740, 8625, 8621, 7755
REVOKE_S = 3.0
SETTLE_S = 12.0
CALL_TIMEOUT_S = 4.0
NOT_RUN = frozenset({408, 421, 429, 503})
FAULTS = (
    "kill",
    "terminate",
    "pause",
    "reload",
    "wipe",
    "engine_reset",
    "engine_hang",
    "engine_reject",
    "silence",
)


class Host:
    """One process of the system."""

    def __init__(self, role, zone, ip, seeds, folder):
        self.role, self.zone, self.ip = role, zone, ip
        self.folder = folder / f"{role}-{zone}"
        self.folder.mkdir()
        self._seeds = seeds
        self.process = None
        self.is_first = True

    def _settings(self):
        listen = {"FrontAddr": f"{self.ip}:{FRONT}", "Ready": f"{self.ip}:{READY}"}
        if self.role == "control":
            listen = {"Admin": f"{self.ip}:{ADMIN}"}
        return {
            "NodeName": f"{self.role}-{self.zone}",
            "Ip": self.ip,
            "Zone": self.zone,
            "Listen": listen,
            "InternalPorts": [PEER, METRICS],
            "SeedNodes": [f"{ip}:{ADMIN}" for ip in self._seeds],
            "Bootstrap": self.is_first,
            "DataDir": str(self.folder / "data"),
            "HeartbeatMs": 300,
            "Bounds": {
                "RevokeFailClosed": True,
                "RevokeMs": REVOKE_S * 1_000,
                "GraceS": 4,
                "RetryBudgetRatio": 0.2,
                "BudgetSlack": 50,
            },
        }

    def start(self):
        path = self.folder / "settings.yaml"
        path.write_text(yaml.safe_dump(self._settings()))
        log = (self.folder / "log").open("a")
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "main.py"), self.role],
            env={**os.environ, "GALENADRUM_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
        self.is_first = False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    def lose_disk(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)


class Soak:
    """One seeded run.

    Attributes:
        broken: What was seen of broken promises.
        statuses: How often callers got each status.
    """

    def __init__(self, seed, folder, duration_s):
        self.seed = seed
        self.rng = random.Random(seed)
        self.duration_s = duration_s
        net = f"127.{10 + seed % 200}.{os.getpid() % 250}"
        seeds = [f"{net}.{10 + i}" for i in range(len(ZONES))]
        self.controls = [
            Host("control", zone, ip, seeds, folder)
            for zone, ip in zip(ZONES, seeds, strict=True)
        ]
        self.entries = [
            Host("entry", zone, f"{net}.{20 + i}", seeds, folder)
            for i, zone in enumerate(ZONES[:2])
        ]
        self.engines = [
            PlatformEngine(f"p{i}", "plain", f"{net}.{30 + i}:8080", ZONES[i])
            for i in range(3)
        ]
        self.caller = PlatformCaller()
        self.broken = []
        self.statuses = Counter()
        self.faults = Counter()
        self.accepted = (0, None)
        self._version = 0
        self._revoked_at = {}
        self._refused_ids = set()
        self._sent_at_by_id = {}
        self._key_by_id = {}
        self._relay = SilentRelay(self.engines[-1].address)

    async def run(self):
        with self._relay:
            self.engines[-1].announced_address = self._relay.address
            await self._run()

    async def _run(self):
        for host in (*self.controls, *self.entries):
            host.start()
        for engine in self.engines:
            await engine.start()
        tasks = [asyncio.ensure_future(t) for t in self._activities()]
        try:
            await self._until_served(30.0, "at the start")
            await self._play_faults()
            await self._until_served(SETTLE_S, "after the last fault")
            await self._read_back()
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._stop_hosts()
        self.broken += [repr(r) for r in results if isinstance(r, AssertionError)]
        self._check_engines()

    def _activities(self):
        yield from (self._announce(engine) for engine in self.engines)
        yield self._operate()
        yield self._read_often()
        yield from (self._call(entry, kind) for entry in self.entries for kind in "sc")

    def _stop_hosts(self):
        for host in (*self.controls, *self.entries):
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            host.process.wait()
        for engine in self.engines:
            engine.stop()

    async def _announce(self, engine):
        while True:
            for host in self.rng.sample(self.controls, len(self.controls)):
                with contextlib.suppress(GalenadrumError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self.caller.announce(f"{host.ip}:{ADMIN}", engine)
                    break
            await asyncio.sleep(0.3)

    async def _operate(self):
        """Send changes, each until it is acknowledged."""
        while True:
            self._version += 1
            keys = ["k1", f"old-{self._version}"]
            document = configuration(
                self._version, Tenants=[{"Name": "t1", "ApiKeys": keys}]
            )
            while not await self._is_accepted(document):
                await asyncio.sleep(0.1)
            before = self.accepted[0]
            self.accepted = (self._version, document)
            self._revoked_at[f"old-{before}"] = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def _is_accepted(self, document):
        host = self.rng.choice(self.controls)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = await self.caller.replace(f"{host.ip}:{ADMIN}", document)
        except (GalenadrumError, TimeoutError):
            return False
        if 400 <= status < 500:
            self.broken.append(f"version {document['Version']} refused: {status}")
        return status == 200

    async def _read_often(self):
        while True:
            await self._read(self.rng.choice(self.controls), self.accepted)
            await asyncio.sleep(0.1)

    async def _read(self, host, accepted):
        """Read the configuration; it must not be older than what is accepted."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, document = await self.caller.read(f"{host.ip}:{ADMIN}")
        except (GalenadrumError, TimeoutError):
            return None
        if status == 200 and document["Version"] < accepted[0]:
            self.broken.append(
                f"{host.role}-{host.zone} read version {document['Version']} after "
                f"{accepted[0]} was acknowledged"
            )
        return document if status == 200 else None

    async def _call(self, entry, kind):
        """Send requests one after the other, on kept connections."""
        path, method = ("/stock/x", b"GET") if kind == "s" else ("/confirm/x", b"POST")
        while True:
            key = self.rng.choice(["k1", f"old-{self.accepted[0]}", "old-1"])
            request_id = f"{self.rng.getrandbits(60):016x}"
            self._sent_at_by_id[request_id] = time.monotonic()
            self._key_by_id[request_id] = key
            status = await self._ask(entry, path, method, key, request_id)
            self.statuses[status] += 1
            if status in NOT_RUN:
                self._refused_ids.add(request_id)
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _ask(self, entry, path, method, key, request_id):
        try:
            _, status, headers, body = await self.caller.ask(
                f"{entry.ip}:{FRONT}",
                "x.example",
                path,
                key=key,
                request_id=request_id,
                method=method,
                deadline_ms=1_500,
                timeout_s=2.0,
            )
        except (GalenadrumError, TimeoutError) as error:
            return type(error).__name__
        if status == 200:
            whole = body == b"answer to " + request_id.encode()
            signed = headers.get(b"x-response-signature") == b"s." + (
                request_id.encode()
            )
            if not (whole and signed):
                self.broken.append(f"{request_id} got {body!r}")
        return status

    async def _play_faults(self):
        end_at = time.monotonic() + self.duration_s
        running = []
        while time.monotonic() < end_at:
            fault = self.rng.choice(FAULTS)
            self.faults[fault] += 1
            running.append(asyncio.ensure_future(self._fault(fault)))
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        await asyncio.gather(*running)

    async def _fault(self, fault):
        if fault == "silence":
            self._relay.silence()
            return
        if fault.startswith("engine_"):
            engine = self.rng.choice(self.engines)
            name = fault.removeprefix("engine_")
            engine.faults.add(name)
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            engine.faults.discard(name)
            return
        host = self.rng.choice([*self.controls, *self.entries])
        if fault == "pause":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            host.signal(signal.SIGCONT)
        elif fault == "reload":
            host.signal(signal.SIGHUP)
        else:
            await self._restart(host, fault)

    async def _restart(self, host, fault):
        # One disk at a time: a majority of disks stays.
        if fault == "wipe":
            host = self.controls[0]
            if self.faults["wiping"] or not self._all_run():
                return
            self.faults["wiping"] = 1
        process = host.process
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGTERM if fault == "terminate" else signal.SIGKILL)
        await host.ended()
        if fault == "wipe":
            host.lose_disk()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if host.process is process:
            host.start()
        if fault == "wipe":
            await asyncio.sleep(SETTLE_S)
            self.faults["wiping"] = 0

    def _all_run(self):
        return all(host.process.poll() is None for host in self.controls)

    async def _until_served(self, limit_s, when):
        """Wait until each entry host answers with success."""
        end_at = time.monotonic() + limit_s
        for entry in self.entries:
            while True:
                request_id = f"{self.rng.getrandbits(60):016x}"
                status = await self._ask(entry, "/stock/x", b"GET", "k1", request_id)
                if status == 200:
                    break
                if time.monotonic() > end_at:
                    self.broken.append(f"{entry.zone} serves nothing {when}: {status}")
                    return
                await asyncio.sleep(0.1)

    async def _read_back(self):
        accepted = self.accepted
        end_at = time.monotonic() + SETTLE_S
        while time.monotonic() < end_at:
            for host in self.controls:
                if await self._read(host, accepted) is not None:
                    return
            await asyncio.sleep(0.1)
        self.broken.append("the configuration can't be read back")

    def _check_engines(self):
        ran = Counter()
        for engine in self.engines:
            ran.update(engine.ran)
            for request_id, head in engine.requests.items():
                self._check_run(request_id, head)
        for request_id in self._refused_ids & set(ran):
            is_confirm = any(
                e.requests[request_id].target.startswith(b"/confirm")
                for e in self.engines
                if request_id in e.requests
            )
            if is_confirm:
                self.broken.append(f"{request_id} was refused and ran")

    def _check_run(self, request_id, head):
        total = sum(engine.ran[request_id] for engine in self.engines)
        if head.target.startswith(b"/confirm") and total > 1:
            self.broken.append(f"{request_id} ran {total} times")
        revoked_at = self._revoked_at.get(self._key_by_id.get(request_id))
        sent_at = self._sent_at_by_id.get(request_id)
        if revoked_at and sent_at and sent_at > revoked_at + REVOKE_S:
            self.broken.append(f"{request_id} ran with a key taken away")


def play(seed, duration_s):
    """Play one seed; returns the finished run."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), duration_s)
        asyncio.run(soak.run())
        if soak.broken:
            kept = Path(tempfile.gettempdir()) / f"galenadrum-soak-{seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            print(f"seed {seed}: the logs are kept in {kept}")
    return soak


def main():
    """Play seeds and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--duration-s", type=float, default=20.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = play(seed, options.duration_s)
        failed += bool(soak.broken)
        statuses = {str(k): v for k, v in soak.statuses.items()}
        row = {"seed": seed, "broken": soak.broken[:5], "statuses": statuses}
        print(json.dumps({**row, "faults": dict(soak.faults)}), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
