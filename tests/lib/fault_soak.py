"""A randomised soak test that injects faults and checks the system's guarantees.

Control and entry hosts run as processes, each with its own loopback address. Engines,
callers and the operator run in this process. Faults are signals, deleted disks, faulty
engines and a relay in front of one engine that silently drops connections. Run it by
hand with

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
from collections import Counter, defaultdict
from pathlib import Path

import yaml

from galenadrum._internal.configuration.versions import NO_VERSION
from galenadrum._internal.exceptions import GalenadrumError
from lib.platform_engine import PREFILL_S, FakePlatformEngine, PlatformClient
from lib.routing_deployment import configuration
from lib.silent_relay import SilentRelay
from lib.stream_caller import StreamCaller

CUTTABLE_HOST = Path(__file__).parent / "cuttable_host.py"
ZONES = ("a", "b", "c")
ADMIN_PORT, PEER_PORT, FRONT_PORT, READY_PORT, METRICS_PORT = (
    8628,
    7740,
    8625,
    8621,
    7755,
)
REVOCATION_BOUND_S = 3.0
RECOVERY_S = 12.0
# Time after which a control host that was replaced or lost its disk must count again.
CATCH_UP_S = 4.0
MAX_REPLACEMENTS = 2
CALL_TIMEOUT_S = 4.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
FAULT_KINDS = (
    "kill",
    "terminate",
    "pause",
    "reload",
    "wipe",
    "replace",
    "engine_reset",
    "engine_hang",
    "engine_reject",
    "engine_cut",
    "engine_unframed",
    "engine_cut_unframed",
    "engine_endless_head",
    "engine_endless_body",
    "engine_limit",
    "engine_lethal",
    "engine_lethal_request",
    "engine_release",
    "kill_entries",
    "kill_controls",
    "cut_off",
    "silence",
)
LETHAL_PART = b"dead"
LETHAL_TARGET = b"/stock/lethal"
LETHAL_HEADERS = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,dead:100,91bd:100"),
)
LETHAL_STREAM = {"method": b"POST", "headers": LETHAL_HEADERS}
# Runs of a part or a request that may begin later than CONTACT_S after its third crash.
MAX_LETHAL_RUNS = 3
# Time from then for which it is still sent.
LETHAL_LOAD_S = 3.0
LETHAL_TIMEOUT_S = 6.0
CRASHES_TO_KNOW = 3
CONTACT_S = 3.0
LIMIT_PER_S = 1.5
LIMIT_WINDOW_S = 4.0
REST_S = 4.0
# A host may send this many requests to a server during its rest, later than this.
MAX_ARRIVALS_AT_REST = 2
REST_TRANSIT_S = 0.5
REST_SHARE = 0.7
# Time after which nothing is sent to a server that said that it leaves.
ACKNOWLEDGED_WITHIN_S = 4.0
DRAIN_S = 2.0
# Time after an acknowledged evacuation from which nothing reaches its zone; longer than
# any pause of a host.
EVACUATED_WITHIN_S = 4.0
MAX_HOST_MEMORY_KB = 300_000
NON_REPEATABLE_PATHS = (b"/confirm", b"/draft")
STREAM_HEADERS = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)


def is_stream(path):
    return path.startswith(("/note", "/draft"))


SOFTWARE_VERSIONS = ("v1", "v2")
MAX_TAKE_UPS = 8


def build_event(number, version):
    """Return an event of the fake engines' streams."""
    return b"id: %d\ndata: %s piece %d\n\n" % (number, version.encode(), number)


def build_draft_route(document):
    """Return a route like ``note`` whose streams may not be resumed."""
    note = next(route for route in document["Routes"] if route["Name"] == "note")
    changes = {"Name": "draft", "PathPrefix": "/draft/", "StreamResume": False}
    return {**note, **changes}


class Host:
    """A control or entry host that runs as a process.

    Attributes:
        program: Program of an earlier build, which can't be cut off; None for this one.
        memory_mb: Memory limit in its settings, in MB; None for 300.
    """

    def __init__(self, role, zone, ip, seeds, folder):
        self.role, self.zone, self.ip = role, zone, ip
        self.folder = folder / f"{role}-{zone}"
        self.folder.mkdir()
        self._seeds = seeds
        self.cut_path = self.folder / "cut"
        self.process = None
        self.is_first_start = True
        self.is_gone = False
        self.program = None
        self.memory_mb = None

    def _settings(self):
        listen = {
            "FrontAddr": f"{self.ip}:{FRONT_PORT}",
            "Ready": f"{self.ip}:{READY_PORT}",
        }
        if self.role == "control":
            listen = {"Admin": f"{self.ip}:{ADMIN_PORT}"}
        return {
            "NodeName": f"{self.role}-{self.zone}",
            "Ip": self.ip,
            "Zone": self.zone,
            "Zones": dict.fromkeys(ZONES, "region"),
            "Listen": listen,
            "InternalPorts": [PEER_PORT, METRICS_PORT],
            "SeedNodes": [f"{ip}:{ADMIN_PORT}" for ip in self._seeds],
            "Bootstrap": self.is_first_start,
            "DataDir": str(self.folder / "data"),
            "HeartbeatMs": 300,
            "Limits": {"MemoryMb": self.memory_mb or 300},
            "Bounds": {
                "RevokeFailClosed": True,
                "RevokeMs": REVOCATION_BOUND_S * 1_000,
                "EvacuateMs": 5_000,
                "GraceS": 4,
                "RetryBudgetRatio": 0.2,
                "BudgetSlack": 50,
            },
        }

    def start(self):
        if self.is_gone:
            return
        path = self.folder / "settings.yaml"
        path.write_text(yaml.safe_dump(self._settings()))
        log = (self.folder / "log").open("a")
        program = [str(CUTTABLE_HOST), str(self.cut_path)]
        if self.program is not None:
            program = [str(self.program)]
        self.process = subprocess.Popen(
            [sys.executable, *program, self.role],
            env={**os.environ, "GALENADRUM_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
        self.is_first_start = False

    @property
    def has_started(self):
        """Whether it was ever started; a successor is named before its start."""
        return self.process is not None

    def signal(self, number):
        if self.has_started and self.process.poll() is None:
            self.process.send_signal(number)

    def cut_off(self, mode):
        """Cut the host off from all servers until ``mode`` is empty."""
        self.cut_path.write_text(mode)

    def peak_memory_kb(self):
        """Return the largest resident memory of the process so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0])

    async def wait_ended(self):
        while self.has_started and self.process.poll() is None:
            await asyncio.sleep(0.02)

    def delete_data(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)


class FaultSoak:
    """One run of the soak test with a seed.

    Attributes:
        broken: Descriptions of the violated guarantees.
        statuses: Number of responses by status, or by the name of the error.
        take_ups: Number of requests that took a stream up, by status.
        faults: Number of injected faults by kind; "wiping" is 1 while a disk is lost.
        accepted: Version and document of the newest acknowledged configuration.
    """

    def __init__(self, seed, folder, duration_s):
        self.seed = seed
        self.rng = random.Random(seed)
        self.duration_s = duration_s
        network = f"127.{10 + seed % 200}.{os.getpid() % 250}"
        seeds = [f"{network}.{10 + i}" for i in range(len(ZONES))]
        self.controls = [
            Host("control", zone, ip, seeds, folder)
            for zone, ip in zip(ZONES, seeds, strict=True)
        ]
        self.entries = [
            Host("entry", zone, f"{network}.{20 + i}", seeds, folder)
            for i, zone in enumerate(ZONES[:2])
        ]
        self.engines = [
            FakePlatformEngine(f"p{i}", "plain", f"{network}.{30 + i}:8080", ZONES[i])
            for i in range(3)
        ]
        self.model_engines = [
            FakePlatformEngine(f"l{i}", "llm", f"{network}.{40 + i}:8080", ZONES[i % 3])
            for i in range(4)
        ]
        for number, engine in enumerate(self.model_engines):
            engine.software_version = SOFTWARE_VERSIONS[number % 2]
            engine.names_version = True
            engine.events = 12
            engine.event_interval_s = 0.03
        self.caller = PlatformClient()
        self.stream_caller = StreamCaller()
        self.take_ups = Counter()
        self._lethal_ids_by_path = defaultdict(list)
        self.broken = []
        self.statuses = Counter()
        self.faults = Counter()
        self._folder, self._network, self._seeds = folder, network, seeds
        self._replacements = 0
        self.accepted = (NO_VERSION, None)
        self._version = NO_VERSION
        self._revoked_at_by_key = {}
        self._refused_request_ids = set()
        self._sent_at_by_request_id = {}
        self._key_by_request_id = {}
        self._relay = SilentRelay(self.engines[-1].address)

    async def run(self):
        with self._relay:
            self.engines[-1].announced_address = self._relay.address
            await self._run()

    async def _run(self):
        for host in (*self.controls, *self.entries):
            host.start()
        for engine in self._all_engines():
            await engine.start()
        tasks = [asyncio.ensure_future(t) for t in self._background_tasks()]
        try:
            await self._wait_until_served(30.0, "at the start")
            await asyncio.gather(
                self._inject_faults(), self._give_signs(), self._evacuate_zones()
            )
            await self._wait_until_served(RECOVERY_S, "after the last fault")
            await self._check_lethal_part()
            await self._check_lethal_request()
            await self._wait_until_served(RECOVERY_S, "after the crashes")
            await self._check_limit()
            await self._check_rest()
            await self._check_departure()
            await self._check_acknowledged_departure()
            self._check_memory()
            await self._check_final_configuration()
            await self._lose_power_and_a_disk()
            await self._wait_until_served(RECOVERY_S, "after the loss of power")
            await self._check_final_configuration()
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._stop_hosts()
        self.broken += [repr(r) for r in results if isinstance(r, AssertionError)]
        self._check_engines()

    def _background_tasks(self):
        yield from (self._announce_repeatedly(e) for e in self._all_engines())
        yield self._replace_configurations()
        yield self._poll_configuration()
        yield self._contest_engines()
        yield from (self._stream_repeatedly() for _ in range(4))
        yield from (
            self._send_requests(entry, path, method)
            for entry in self.entries
            for path, method in (
                ("/stock/x", b"GET"),
                ("/confirm/x", b"POST"),
                ("/note/x", b"POST"),
                ("/draft/x", b"POST"),
            )
        )

    def _all_engines(self):
        return [*self.engines, *self.model_engines]

    def _stop_hosts(self):
        for host in (*self.controls, *self.entries):
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            host.process.wait()
        for engine in self._all_engines():
            engine.stop()

    async def _announce_repeatedly(self, engine):
        while True:
            if engine.has_crashed:
                await self._restart_engine(engine)
            for host in self.rng.sample(self.controls, len(self.controls)):
                with contextlib.suppress(GalenadrumError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self.caller.send_heartbeat(
                            f"{host.ip}:{ADMIN_PORT}", engine
                        )
                    break
            await asyncio.sleep(0.3)

    async def _restart_engine(self, engine):
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        engine.born += 1
        engine.has_crashed = False
        await engine.start()

    async def _send_lethal(self, entry, path, **more):
        """Send a request that may crash its server."""
        request_id = f"{self.rng.getrandbits(60):016x}"
        self._lethal_ids_by_path[path].append(request_id)
        with contextlib.suppress(GalenadrumError, TimeoutError):
            await self.caller.send_request(
                f"{entry.ip}:{FRONT_PORT}",
                "x.example",
                path,
                key="k1",
                request_id=request_id,
                deadline_ms=1_500,
                timeout_s=2.0,
                **more,
            )

    async def _send_several_lethal(self, path, interval_s, **more):
        for number in range(self.rng.randint(1, 6)):
            await self._send_lethal(self.entries[number % 2], path, **more)
            await asyncio.sleep(interval_s)

    async def _count_lethal_runs(self, engines, path, interval_s, **more):
        """Send requests that crash engines until long after the third crash.

        Returns:
            Number of runs that began later than `CONTACT_S` after that crash.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()

        def list_runs():
            return sorted(
                at
                for engine in engines
                for request_id in self._lethal_ids_by_path[path]
                for at in engine.ran_at_by_request_id[request_id]
            )

        def find_known_at():
            """Return the time from which all hosts know of three crashes."""
            runs = list_runs()
            if len(runs) < CRASHES_TO_KNOW:
                return float("inf")
            return runs[CRASHES_TO_KNOW - 1] + PREFILL_S + CONTACT_S

        def find_end():
            known_at = find_known_at()
            if known_at == float("inf"):
                return began_at + LETHAL_TIMEOUT_S
            return max(known_at, began_at) + LETHAL_LOAD_S

        while loop.time() < find_end():
            entry = self.entries[len(self._lethal_ids_by_path[path]) % 2]
            await self._send_lethal(entry, path, **more)
            await asyncio.sleep(interval_s)
        known_at = max(find_known_at(), began_at)
        return sum(at > known_at for at in list_runs())

    async def _check_lethal_request(self):
        """Check that a request that crashes servers is refused after three crashes."""
        for engine in self.engines:
            engine.lethal_targets.add(LETHAL_TARGET)
        # The relay in front of the last engine goes on listening when that crashes.
        runs = await self._count_lethal_runs(
            self.engines[:-1], LETHAL_TARGET.decode(), 0.3
        )
        if runs > MAX_LETHAL_RUNS:
            self.broken.append(f"the lethal request reached servers {runs} times")

    async def _check_lethal_part(self):
        """Check that a part that crashes engines is refused after three crashes."""
        for engine in self.model_engines:
            engine.lethal_parts.add(LETHAL_PART)
        runs = await self._count_lethal_runs(
            self.model_engines, "/note/x", 0.2, **LETHAL_STREAM
        )
        if runs > MAX_LETHAL_RUNS:
            self.broken.append(f"the lethal part reached engines {runs} times")

    async def _check_limit(self):
        """Check that a server gets no more than the limit that it names."""
        engine = self.engines[0]
        engine.limit_per_s = LIMIT_PER_S
        await asyncio.sleep(CONTACT_S)
        since = time.monotonic()
        await asyncio.sleep(LIMIT_WINDOW_S + 1.0)
        engine.limit_per_s = None
        times = [at for at in engine.received_at if at >= since]
        most = max(
            (sum(t <= at < t + LIMIT_WINDOW_S for at in times) for t in times),
            default=0,
        )
        if most > 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5:
            self.broken.append(f"{most} requests within the window of a limit")

    async def _check_rest(self):
        """Check that no host sends to a server for as long as it asked it not to."""
        engine = self.engines[0]
        engine.rests.clear()
        engine.rest_s = REST_S
        await asyncio.sleep(REST_S)
        engine.rest_s = None
        if not engine.rests:
            return
        since, _ = engine.rests[0]
        arrivals = sum(
            since + REST_TRANSIT_S < at < since + REST_S for at in engine.received_at
        )
        if arrivals > MAX_ARRIVALS_AT_REST * len(self.entries):
            self.broken.append(f"{arrivals} requests at a server during its rest")

    async def _check_departure(self):
        """Check that no host sends to a server whose responses said that it leaves."""
        engine = self.engines[1]
        received = len(engine.received_at)
        engine.is_leaving = True
        await asyncio.sleep(DRAIN_S)
        is_heard = len(engine.received_at) > received
        since = time.monotonic()
        await asyncio.sleep(DRAIN_S)
        arrivals = sum(at > since for at in engine.received_at)
        if is_heard and arrivals:
            self.broken.append(f"{arrivals} requests at a server that leaves")
        engine.is_leaving = False
        engine.born += 1

    async def _check_acknowledged_departure(self):
        """Check that a server that deregistered gets nothing after all processes end.

        Its announcements go on, as late ones do.
        """
        engine = self.engines[0]
        if not await self._deregister(engine):
            self.broken.append("no departure was acknowledged in time")
            return
        hosts = [*self.controls, *self.entries]
        await asyncio.gather(*(self._restart(host, "kill") for host in hosts))
        await self._wait_until_served(RECOVERY_S, "after the end of all processes")
        received = len(engine.received_at)
        await asyncio.sleep(DRAIN_S)
        arrivals = len(engine.received_at) - received
        if arrivals:
            self.broken.append(f"{arrivals} requests at a server that deregistered")
        engine.born += 1

    async def _deregister(self, engine):
        """Deregister an engine; return whether that was acknowledged in time."""
        path = f"/api/instances/{engine.server_id}/deregister".encode()
        body = json.dumps({"born": engine.born}).encode()
        end_at = time.monotonic() + ACKNOWLEDGED_WITHIN_S
        while time.monotonic() < end_at:
            for host in self.controls:
                with contextlib.suppress(GalenadrumError, TimeoutError, OSError):
                    status, _, _ = await self.caller.call(
                        f"{host.ip}:{ADMIN_PORT}", b"POST", path, (), body, 1.0
                    )
                    if status == 200:
                        return True
            await asyncio.sleep(0.1)
        return False

    def _check_memory(self):
        for host in (*self.controls, *self.entries):
            peak_kb = host.peak_memory_kb()
            if peak_kb > MAX_HOST_MEMORY_KB:
                self.broken.append(f"{host.role}-{host.zone} used {peak_kb} kB")

    async def _replace_configurations(self):
        """Replace the configuration repeatedly, each time until acknowledged."""
        while True:
            self._version += 1
            keys = ["k1", f"old-{self._version}"]
            document = configuration(
                self._version, Tenants=[{"Name": "t1", "ApiKeys": keys}]
            )
            document["Routes"].append(build_draft_route(document))
            while not await self._is_accepted(document):
                await asyncio.sleep(0.1)
            before = self.accepted[0]
            self.accepted = (self._version, document)
            self._revoked_at_by_key[f"old-{before}"] = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def _is_accepted(self, document):
        host = self.rng.choice(self.controls)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = await self.caller.replace_configuration(
                    f"{host.ip}:{ADMIN_PORT}", document
                )
        except (GalenadrumError, TimeoutError):
            return False
        if 400 <= status < 500:
            self.broken.append(f"version {document['Version']} refused: {status}")
        return status == 200

    async def _contest_engines(self):
        """Announce an unnamed service for engines, as another writer might."""
        rng = random.Random(self.seed)
        while True:
            engine = rng.choice(self._all_engines())
            beat = {
                **engine.build_heartbeat(),
                "Service": rng.choice(["node-exporter", ""]),
                "Sequence": rng.choice([1, 10**9]),
                "State": rng.choice(["ready", "draining"]),
                "born": engine.born + rng.choice([0, 60_000]),
            }
            server_id = rng.choice([engine.server_id, f"other-{engine.server_id}"])
            path = f"/api/instances/{server_id}/heartbeat".encode()
            address = f"{rng.choice(self.controls).ip}:{ADMIN_PORT}"
            body = json.dumps(beat).encode()
            with contextlib.suppress(GalenadrumError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.caller.call(address, b"POST", path, body=body)
            self.faults["claim"] += 1
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def _poll_configuration(self):
        while True:
            await self._read_configuration(
                self.rng.choice(self.controls), self.accepted
            )
            await asyncio.sleep(0.1)

    async def _read_configuration(self, host, accepted):
        """Read the configuration and record it if older than the accepted version."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, document = await self.caller.read_configuration(
                    f"{host.ip}:{ADMIN_PORT}"
                )
        except (GalenadrumError, TimeoutError):
            return None
        if status == 200 and document["Version"] < accepted[0]:
            self.broken.append(
                f"{host.role}-{host.zone} read version {document['Version']} after "
                f"{accepted[0]} was acknowledged"
            )
        return document if status == 200 else None

    async def _send_requests(self, entry, path, method):
        """Send requests one after the other, on persistent connections."""
        while True:
            key = self.rng.choice(["k1", f"old-{self.accepted[0]}", "old-1"])
            request_id = f"{self.rng.getrandbits(60):016x}"
            self._sent_at_by_request_id[request_id] = time.monotonic()
            self._key_by_request_id[request_id] = key
            status = await self._send_request(entry, path, method, key, request_id)
            self.statuses[status] += 1
            if status in NOT_RUN_STATUSES:
                self._refused_request_ids.add(request_id)
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _stream_repeatedly(self):
        """Begin streams and take up those that break off, at any host."""
        while True:
            entry = self.rng.choice(self.entries)
            stream = await self.stream_caller.begin(
                f"{entry.ip}:{FRONT_PORT}", deadline_ms=4_000, timeout_s=4.5
            )
            for _ in range(MAX_TAKE_UPS):
                if stream.is_complete or not stream.events:
                    break
                await asyncio.sleep(self.rng.uniform(0.0, 0.6))
                entry = self.rng.choice(self.entries)
                status = await self.stream_caller.take_up(
                    f"{entry.ip}:{FRONT_PORT}", stream, deadline_ms=4_000, timeout_s=4.5
                )
                self.take_ups[status] += 1
            self._check_stream(stream)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def _check_stream(self, stream):
        if len(stream.versions) > 1:
            self.broken.append(f"{stream.request_id} joined {stream.events!r}")
        if not stream.is_in_order():
            self.broken.append(f"{stream.request_id} lost events: {stream.events!r}")
        if stream.is_complete and len(stream.events) != self.model_engines[0].events:
            self.broken.append(f"{stream.request_id} ended as complete too early")

    async def _send_request(self, entry, path, method, key, request_id):
        try:
            _, status, headers, body = await self.caller.send_request(
                f"{entry.ip}:{FRONT_PORT}",
                "x.example",
                path,
                key=key,
                request_id=request_id,
                method=method,
                deadline_ms=1_500,
                timeout_s=2.0,
                headers=STREAM_HEADERS if is_stream(path) else (),
            )
        except (GalenadrumError, TimeoutError) as error:
            return type(error).__name__
        if status == 200:
            expected = [b"answer to " + request_id.encode()]
            if is_stream(path):
                events = range(1, self.model_engines[0].events + 1)
                expected = [
                    b"".join(build_event(number, version) for number in events)
                    for version in SOFTWARE_VERSIONS
                ]
            is_complete = body in expected
            is_signed = headers.get(b"x-response-signature") == b"s." + (
                request_id.encode()
            )
            if not (is_complete and is_signed):
                self.broken.append(f"{request_id} got {body!r}")
        return status

    async def _inject_faults(self):
        end_at = time.monotonic() + self.duration_s
        running = []
        while time.monotonic() < end_at:
            fault = self.rng.choice(FAULT_KINDS)
            self.faults[fault] += 1
            running.append(asyncio.ensure_future(self._inject_fault(fault)))
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        await asyncio.gather(*running)

    async def _give_signs(self):
        """Let servers ask for rest or leave, one after the other, beside the faults."""
        end_at = time.monotonic() + self.duration_s
        rng = random.Random(self.seed)
        while time.monotonic() < end_at:
            engine = rng.choice(self._all_engines())
            if rng.random() < REST_SHARE:
                self.faults["sign_rest"] += 1
                engine.rest_s = rng.choice([0.2, 1.0, 2.5, 3_600.0])
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                engine.rest_s = None
                if engine.rests and engine.rests[-1][1] > REST_S:
                    # Its next incarnation isn't at rest.
                    engine.born += 1
            else:
                self.faults["sign_leaving"] += 1
                engine.is_leaving = True
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                engine.is_leaving = False
                engine.born += 1
            await asyncio.sleep(rng.uniform(0.2, 1.0))

    async def _evacuate_zones(self):
        """Evacuate zones one after the other, beside the faults."""
        end_at = time.monotonic() + self.duration_s
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        while time.monotonic() < end_at:
            zone = rng.choice(ZONES)
            await self._order_evacuation(rng, zone, "begin")
            pauses = self.faults["pause"]
            await asyncio.sleep(EVACUATED_WITHIN_S)
            since = loop.time()
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            engines = [e for e in self._all_engines() if e.zone == zone]
            count = sum(at > since for e in engines for at in e.received_at)
            # A host that was paused has had no contact.
            if count and self.faults["pause"] == pauses:
                self.broken.append(f"{count} requests reached evacuated zone {zone}")
            await self._order_evacuation(rng, zone, "finish")
            self.faults["evacuation"] += 1

    async def _order_evacuation(self, rng, zone, call):
        """Repeat an order at one control host or another until it is acknowledged."""
        path, status = f"/api/evacuation/{zone}/{call}".encode(), 0
        while status != 200:
            address = f"{rng.choice(self.controls).ip}:{ADMIN_PORT}"
            with contextlib.suppress(GalenadrumError, TimeoutError):
                async with asyncio.timeout(1.0):
                    status, _, _ = await self.caller.call(address, b"POST", path)
            await asyncio.sleep(0.1)

    async def _inject_fault(self, fault):
        if fault == "silence":
            self._relay.silence()
        elif fault == "replace":
            await self._replace_control()
        elif fault == "cut_off":
            await self._cut_off()
        elif fault.startswith("kill_"):
            hosts = self.entries if fault == "kill_entries" else self.controls
            await asyncio.gather(*(self._restart(host, "kill") for host in hosts))
        elif fault.startswith("engine_"):
            await self._inject_engine_fault(fault)
        else:
            await self._inject_host_fault(fault)

    async def _inject_engine_fault(self, fault):
        if fault == "engine_limit":
            await self._limit_engine()
            return
        if fault == "engine_release":
            await self._release_engine()
            return
        if fault == "engine_lethal_request":
            for engine in self.engines:
                engine.lethal_targets.add(LETHAL_TARGET)
            await self._send_several_lethal(LETHAL_TARGET.decode(), 0.3)
            return
        if fault == "engine_lethal":
            for engine in self.model_engines:
                engine.lethal_parts.add(LETHAL_PART)
            await self._send_several_lethal("/note/x", 0.2, **LETHAL_STREAM)
            return
        if fault.startswith("engine_endless"):
            engine = self.rng.choice(self._all_engines())
            await self._add_faults(engine, {fault.removeprefix("engine_")})
            return
        names = set(fault.removeprefix("engine_").split("_"))
        engine = self.rng.choice(
            self.model_engines if names & {"cut", "unframed"} else self._all_engines()
        )
        if "cut" in names:
            self._draw_cut(engine)
        await self._add_faults(engine, names)

    async def _inject_host_fault(self, fault):
        host = self.rng.choice([*self.controls, *self.entries])
        if fault == "pause":
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            host.signal(signal.SIGCONT)
        elif fault == "reload":
            host.signal(signal.SIGHUP)
        else:
            await self._restart(host, fault)

    async def _add_faults(self, engine, names):
        engine.faults |= names
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        engine.faults -= names

    async def _limit_engine(self):
        engine = self.rng.choice(self._all_engines())
        engine.limit_per_s = self.rng.choice([0.0, 0.4, 1.4, 5.0])
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        engine.limit_per_s = None

    async def _release_engine(self):
        """Replace a model engine by one of the other version."""
        engine = self.rng.choice(self.model_engines)
        if engine.state != "ready" or engine.has_crashed:
            return
        engine.state = "draining"
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        engine.stop()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        engine.server_id += "n"
        engine.born += 1
        engine.software_version = self.rng.choice(SOFTWARE_VERSIONS)
        engine.state = "ready"
        await engine.start()

    def _draw_cut(self, engine):
        """Choose where an engine breaks off its streams, inside an event."""
        engine.cut_number = self.rng.randint(1, engine.events)
        event = build_event(engine.cut_number, engine.software_version)
        engine.cut_event = event[: self.rng.randint(1, len(event) - 1)]

    async def _restart(self, host, fault):
        if fault == "wipe":
            host = self.rng.choice(self.controls)
            if not self._begin_disk_loss():
                return
        if not host.has_started:
            # The replacement of another host is about to start it.
            return
        process = host.process
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGTERM if fault == "terminate" else signal.SIGKILL)
        await host.wait_ended()
        if fault == "wipe":
            host.delete_data()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if host.process is process:
            host.start()
        if fault == "wipe":
            await self._end_disk_loss()

    def _begin_disk_loss(self):
        """Return whether a disk may be lost now: one at a time."""
        if self.faults["wiping"] or not self._all_controls_run():
            return False
        self.faults["wiping"] = 1
        return True

    async def _end_disk_loss(self):
        await asyncio.sleep(CATCH_UP_S)
        self.faults["wiping"] = 0

    async def _replace_control(self):
        """Replace a control host for good by an empty one at another address."""
        if self._replacements == MAX_REPLACEMENTS or not self._begin_disk_loss():
            return
        self._replacements += 1
        place = self.rng.randrange(len(self.controls))
        old = self.controls[place]
        is_planned = self.rng.random() < 0.5
        new = Host(
            "control",
            f"{old.zone}-{self._replacements + 1}",
            f"{self._network}.{50 + self._replacements}",
            self._seeds,
            self._folder,
        )
        new.is_first_start = False
        old.is_gone = True
        old.signal(signal.SIGCONT)
        if is_planned:
            new.start()
            await asyncio.sleep(CATCH_UP_S)
            old.signal(signal.SIGTERM)
            await old.wait_ended()
            self.controls[place] = new
        else:
            old.signal(signal.SIGKILL)
            await old.wait_ended()
            self.controls[place] = new
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            new.start()
        await self._end_disk_loss()

    async def _lose_power_and_a_disk(self):
        """Kill all hosts at once right after a change; one disk is lost."""
        accepted = self.accepted
        while self.accepted is accepted:
            await asyncio.sleep(0.001)
        hosts = [*self.controls, *self.entries]
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            await host.wait_ended()
        self.rng.choice(self.controls).delete_data()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for host in hosts:
            host.start()

    async def _cut_off(self):
        """Cut entry hosts off from the servers, one or all; relayed ones excepted."""
        hosts = self.rng.sample(self.entries, self.rng.randint(1, len(self.entries)))
        mode = self.rng.choice(["hang", "refuse", "live"])
        for host in hosts:
            host.cut_off(mode)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        for host in hosts:
            host.cut_off("")

    def _all_controls_run(self):
        return all(
            host.has_started and host.process.poll() is None for host in self.controls
        )

    async def _wait_until_served(self, timeout_s, when):
        """Wait until each entry host has answered a request with status 200."""
        end_at = time.monotonic() + timeout_s
        for entry in self.entries:
            while True:
                request_id = f"{self.rng.getrandbits(60):016x}"
                status = await self._send_request(
                    entry, "/stock/x", b"GET", "k1", request_id
                )
                if status == 200:
                    break
                if time.monotonic() > end_at:
                    self.broken.append(f"{entry.zone} serves nothing {when}: {status}")
                    return
                await asyncio.sleep(0.1)

    async def _check_final_configuration(self):
        accepted = self.accepted
        end_at = time.monotonic() + RECOVERY_S
        while time.monotonic() < end_at:
            for host in self.controls:
                if await self._read_configuration(host, accepted) is not None:
                    return
            await asyncio.sleep(0.1)
        self.broken.append("the configuration can't be read back")

    def _check_engines(self):
        ran = Counter()
        for engine in self._all_engines():
            ran.update(engine.run_count_by_request_id)
            for request_id, head in engine.head_by_request_id.items():
                self._check_request(request_id, head)
        for request_id in self._refused_request_ids & set(ran):
            is_non_idempotent = any(
                e.head_by_request_id[request_id].target.startswith(NON_REPEATABLE_PATHS)
                for e in self._all_engines()
                if request_id in e.head_by_request_id
            )
            if is_non_idempotent:
                self.broken.append(f"{request_id} was refused and ran")

    def _check_request(self, request_id, head):
        run_count = sum(
            engine.run_count_by_request_id[request_id] for engine in self._all_engines()
        )
        if head.target.startswith(NON_REPEATABLE_PATHS) and run_count > 1:
            self.broken.append(f"{request_id} ran {run_count} times")
        revoked_at = self._revoked_at_by_key.get(
            self._key_by_request_id.get(request_id)
        )
        sent_at = self._sent_at_by_request_id.get(request_id)
        if revoked_at and sent_at and sent_at > revoked_at + REVOCATION_BOUND_S:
            self.broken.append(f"{request_id} ran with a revoked key")


def run_seed(seed, duration_s):
    """Run the soak test with a seed and return the finished run.

    The logs of a run that violated a guarantee are kept.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = FaultSoak(seed, Path(folder), duration_s)
        asyncio.run(soak.run())
        if soak.broken:
            log_folder = Path(tempfile.gettempdir()) / f"galenadrum-soak-{seed}"
            shutil.copytree(folder, log_folder, dirs_exist_ok=True)
            print(f"seed {seed}: the logs are kept in {log_folder}")
    return soak


def main():
    """Run the given seeds and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--duration-s", type=float, default=20.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = run_seed(seed, options.duration_s)
        failed += bool(soak.broken)
        statuses = {str(k): v for k, v in soak.statuses.items()}
        row = {"seed": seed, "broken": soak.broken[:5], "statuses": statuses}
        row["take_ups"] = dict(soak.take_ups)
        print(json.dumps({**row, "faults": dict(soak.faults)}), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
