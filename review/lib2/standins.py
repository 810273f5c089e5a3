"""Starts the project's programs, and small stand-ins for what surrounds them.

The daemons run as separate processes with the commands of the deploy file. Engines,
clients and the operator run in the process of the case and use only the standard
library, so that they share no code with the daemons.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("lautoka-a", "nadi-b", "ba-c")
ADMIN_PORT, FRONT_PORT, READY_PORT = 8628, 8625, 8621
INTERNAL_PORTS = [7740, 7755]
ENGINE_PORT = 8080
# As HeartbeatMs in the settings.
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 30.0
HOST = "x.example"
KEY = "k1"
CORE_MEMORY_MB = 296
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file, with the time since start."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._began_at = time.monotonic()
        self(f"trouble: {'yes' if TROUBLE else 'no'}")

    def __call__(self, text):
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_network():
    """Return the first three numbers of loopback addresses that nobody uses."""
    while True:
        network = f"127.{random.randrange(40, 200)}.{random.randrange(1, 250)}"
        try:
            for last, port in itertools.product((10, 20), (ADMIN_PORT, FRONT_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network


class Daemon:
    """A control or entry process with its settings file."""

    def __init__(self, role, zone, ip, seeds, folder, memory_mb):
        self.role, self.ip, self.zone = role, ip, zone
        self.name = f"{role}-{zone}-{ip.rpartition('.')[2]}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.seeds = seeds
        self.memory_mb = memory_mb
        self.process = None
        self.is_first_start = True

    def _settings(self):
        listen = {"Admin": f"{self.ip}:{ADMIN_PORT}"}
        if self.role == "entry":
            listen = {
                "FrontAddr": f"{self.ip}:{FRONT_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
            }
        data = self.folder / "data"
        data.mkdir(exist_ok=True)
        return {
            "NodeName": self.name,
            "Role": self.role,
            "MachineClass": "core" if self.role == "control" else "edge",
            "Serves": ["control_plane" if self.role == "control" else "edge"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "viti-west",
            "Zones": dict.fromkeys(ZONES, "viti-west"),
            "Listen": listen,
            "InternalPorts": INTERNAL_PORTS,
            "SeedNodes": [f"{ip}:{ADMIN_PORT}" for ip in self.seeds],
            "Bootstrap": self.is_first_start,
            "FaultCounted": self.role == "control",
            "Limits": {
                "CpuQuota": 0.537,
                "CpuCores": 2,
                "MemoryMb": self.memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if self.role == "control" else 0,
            },
            "DataDir": str(data) if self.role == "control" else None,
            "Discovery": "self_register",
            "EntryType": "vip",
            "HeartbeatMs": 1200,
            "FaultTolerance": {"Nodes": 1, "Zones": 1, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3,
                "AddressReuseS": 2,
                "ContactMs": 3000,
                "AckMs": 4000,
                "CatchUpS": 4,
                "DrainMs": 2000,
                "GraceS": 8,
                "LossSlackMs": 200,
                "ConfigApplyMs": 2000,
                "DowngradeSlackMs": 250,
                "StallMaxMs": 5000,
                "RevokeFailClosed": True,
                "RevokeMs": 5000,
                "RetryBudgetRatio": 0.2,
                "RetryWindowS": 10,
                "BudgetSlack": 56,
                "RecoveryS": 12,
                "MaxDelayMs": 120,
                "ReuseWindowS": 7.7,
            },
            "ConfigMode": "highest",
        }

    async def start(self):
        path = self.folder / "boot.yaml"
        path.write_text(yaml.safe_dump(self._settings()))
        self.is_first_start = False
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        program, *arguments = roles[self.role]["run"].split()
        if program == "python3":
            program = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "GALENADRUM_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb_used(self, field="VmHWM"):
        """Return a figure of the process's memory in MB (of 1,000,000 bytes)."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def log_text(self):
        return (self.folder / "log").read_text(errors="replace")


class Head:
    """First line and headers of a request or response."""

    def __init__(self, data):
        first, *lines = data.decode("latin-1").split("\r\n")
        self.first = first.split(" ", 2)
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                self.headers.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_message(reader, has_body=True):
    """Return the head and the body of the next message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    head = Head(data[:-4])
    body = b""
    if "chunked" in head.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif has_body and "content-length" in head.headers:
        body = await reader.readexactly(int(head.headers["content-length"]))
    return head, body


def encode_message(first, headers, body=b"", has_length=True):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Engine:
    """An engine of a plain service; counts what it ran.

    Attributes:
        ran: Times at which each request began to run, by its id.
        holds_until: Time before which its heartbeats are held back on their way.
        answer: Called with the engine, the head, the body and the writer in place of a
            sound answer; returns whether it has answered.
    """

    def __init__(self, server_id, service, address, zone, record):
        self.server_id, self.service, self.zone = server_id, service, zone
        self.address = address
        self.record = record
        self.ran = {}
        self.work_s = 0.02
        self.answer = None
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.concurrency = 6
        self.holds_until = 0.0
        self._server = None
        self._tasks = set()

    async def start(self):
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                await self._handle(*message, writer)
                await writer.drain()
        writer.close()

    def common_headers(self, head):
        return [
            ("X-Attempt-Id", head.get("x-attempt-id", "")),
            ("X-Instance-Load", f"1,0,{self.concurrency}"),
        ]

    async def _handle(self, head, body, writer):
        method, target, _ = head.first
        if target == "/healthz":
            headers = [("X-Instance-Id", self.server_id)]
            writer.write(encode_message("HTTP/1.1 200 OK", headers))
            return
        if head.get("x-expect-instance", self.server_id) != self.server_id:
            headers = [*self.common_headers(head), ("X-Not-Executed", "1")]
            writer.write(encode_message("HTTP/1.1 421 Misdirected", headers))
            return
        request_id = head.get("x-attempt-id", "")
        self.ran.setdefault(request_id, []).append(time.monotonic())
        self.record(f"engine {self.server_id} runs {request_id}: {method} {target}")
        if self.answer and await self.answer(self, head, body, writer):
            return
        await asyncio.sleep(self.work_s)
        headers = [
            *self.common_headers(head),
            ("X-Response-Signature", f"s.{request_id}"),
        ]
        data = b"answer to " + request_id.encode()
        if method == "HEAD":
            writer.write(encode_message("HTTP/1.1 200 OK", headers, data)[: -len(data)])
        else:
            writer.write(encode_message("HTTP/1.1 200 OK", headers, data))

    def heartbeat(self):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": self.concurrency,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new channel; return status, headers and body.

    The status is 0 if the channel ended, and -1 if no answer came in time.
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            names = {name.lower() for name, _ in headers}
            first = [] if "host" in names else [("Host", "x")]
            writer.write(
                encode_message(f"{method} {target} HTTP/1.1", [*first, *headers], body)
            )
            message = await read_message(reader, method != "HEAD")
    except TimeoutError:
        return -1, {}, b""
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}, b""
    head, data = message
    return int(head.first[1]), head.headers, data


def run_case(main):
    """Run a case and exit with its result, or with 2 if it fails itself."""

    async def run():
        # The processes that were started end, too, if the case runs out of time.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        return await main()

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = 2
    sys.exit(status)


_numbers = itertools.count(1)


def request_headers(deadline_ms=1500, key=KEY, request_id=None):
    """Return a request id and the headers of a client's request."""
    request_id = request_id or f"{random.getrandbits(32):08x}{next(_numbers):08x}"
    return request_id, [
        ("Host", HOST),
        ("X-Attempt-Id", request_id),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {key}"),
    ]


def route(name, prefix, kind, service, **more):
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 3000,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "Attempts": 2 if kind == "idempotent" else 1,
        "Phases": [],
        "Public": False,
        "SessionAffinity": False,
        "StreamResume": False,
        **more,
    }


def configuration(version=1, **changes):
    document = {
        "Version": version,
        "Routes": [
            route("stock", "/stock/", "idempotent", "plain"),
            route("confirm", "/confirm/", "non_idempotent", "plain"),
        ],
        "Services": [
            {
                "Name": "plain",
                "HealthCheck": "/healthz",
                "MaxConnections": 110,
                "Protocol": "h1",
                "TlsEnabled": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": ["k1"], "Priority": 1}],
    }
    return {**document, **changes}


class Deployment:
    """Three control and some entry processes with engines of one plain service."""

    def __init__(self, record, entries=2, engines=3, memory_mb=300, service="plain"):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        folder = Path(self._temporary.name)
        network = self.network = free_network()
        seeds = [f"{network}.{10 + i}" for i in range(3)]
        self.controls = [
            Daemon("control", zone, ip, seeds, folder, CORE_MEMORY_MB)
            for zone, ip in zip(ZONES, seeds, strict=True)
        ]
        self.entries = [
            Daemon(
                "entry", ZONES[i % 3], f"{network}.{20 + i}", seeds, folder, memory_mb
            )
            for i in range(entries)
        ]
        self.engines = [
            Engine(
                f"i-{i}",
                service,
                f"{network}.{50 + i}:{ENGINE_PORT}",
                ZONES[i % 3],
                record,
            )
            for i in range(engines)
        ]
        self._tasks = []

    async def __aenter__(self):
        for daemon in (*self.controls, *self.entries):
            await daemon.start()
        for engine in self.engines:
            await engine.start()
            self._tasks.append(asyncio.create_task(self._announce(engine)))
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in (*self.controls, *self.entries):
            await daemon.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in (*self.controls, *self.entries):
                Path(keep, daemon.name + ".log").write_text(daemon.log_text())
        self._temporary.cleanup()

    async def _announce(self, engine):
        path = f"/api/instances/{engine.server_id}/heartbeat"
        while True:
            body = json.dumps(engine.heartbeat()).encode()
            while time.monotonic() < engine.holds_until:
                await asyncio.sleep(0.05)
            for daemon in self.controls:
                status, _, _ = await call(
                    f"{daemon.ip}:{ADMIN_PORT}", "POST", path, body=body, timeout_s=1.0
                )
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def front(self, number=0):
        return f"{self.entries[number].ip}:{FRONT_PORT}"

    async def configure(self, document):
        """Send a configuration, as the operator does, until it is acknowledged."""
        body = json.dumps(document).encode()
        end_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_at:
            for daemon in self.controls:
                status, _, _ = await call(
                    f"{daemon.ip}:{ADMIN_PORT}",
                    "POST",
                    "/api/config/replace",
                    body=body,
                    timeout_s=2.0,
                )
                if status == 200:
                    self.record(f"configuration {document['Version']} acknowledged")
                    return True
            await asyncio.sleep(0.2)
        return False

    async def wait_served(self, path="/stock/a", times=3):
        """Return whether each entry host serves some requests one after the other."""
        end_at = time.monotonic() + START_TIMEOUT_S
        for number in range(len(self.entries)):
            good = 0
            while good < times:
                _, headers = request_headers()
                status, _, _ = await call(self.front(number), "GET", path, headers)
                good = good + 1 if status == 200 else 0
                if time.monotonic() > end_at:
                    return False
                if status != 200:
                    await asyncio.sleep(0.2)
        return True
