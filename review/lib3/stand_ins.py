"""Stand-ins of the platform, engines, clients and the operator for the cases 11 to 15.

Only the standard library is used. The programs under review are started with the
commands of the deploy file, as separate processes on loopback addresses of their own.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, ADMIN_PORT, INTERNAL_PORTS = 8625, 8621, 8628, (7740, 7755)
ENGINE_PORT = 8080
ZONES = ("lautoka-a", "nadi-b", "ba-c")
REGION = "viti-west"
HOST = "jepu9.example"
KEY = "9dnn2ctnfzs989anu6ws"
HEARTBEAT_S = 1.2
# The values of the sheet of vatu-kiosk.
BOUNDS = {
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
}
# run.sh makes 1 of BROKEN and 2 of anything else but HELD, also of an error in the script.
HELD, BROKEN, NOT_RUN = 0, 3, 2


class CannotRunError(Exception):
    """Raised when the case can't run, so that nothing was shown."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class Machine:
    """One process of the system with its settings file."""

    def __init__(self, role, name, ip, zone, seeds, folder):
        self.role, self.name, self.ip, self.zone = role, name, ip, zone
        self._seeds = seeds
        self.folder = folder / name
        self.folder.mkdir()
        self.data_folder = self.folder / "data"
        self.is_first_start = True
        self.process = None

    @property
    def front(self):
        return self.ip, FRONT_PORT

    @property
    def admin(self):
        return self.ip, ADMIN_PORT

    def settings(self):
        """Return the fields of the settings file, as DEPLOY.md has them."""
        is_core = self.role == "control"
        listen = (
            {"Admin": f"{self.ip}:{ADMIN_PORT}"}
            if is_core
            else {
                "FrontAddr": f"{self.ip}:{FRONT_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
            }
        )
        return {
            "NodeName": self.name,
            "Role": self.role,
            "MachineClass": "core" if is_core else "edge",
            "Serves": ["control_plane" if is_core else "edge"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": REGION,
            "Zones": dict.fromkeys(ZONES, REGION),
            "Listen": listen,
            "InternalPorts": list(INTERNAL_PORTS),
            "SeedNodes": [f"{ip}:{ADMIN_PORT}" for ip in self._seeds],
            "Bootstrap": self.is_first_start,
            "FaultCounted": is_core,
            "Limits": {
                "CpuQuota": 0.6,
                "CpuCores": 2,
                "MemoryMb": 296 if is_core else 300,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if is_core else 0,
            },
            "DataDir": str(self.data_folder) if is_core else None,
            "Discovery": "self_register",
            "EntryType": "vip",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["engine", "stream", "tenants", "stages"],
            "FaultTolerance": {"Nodes": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "ConfigMode": "highest",
        }

    def start(self):
        settings = self.folder / "boot.yaml"
        # JSON is YAML too.
        settings.write_text(json.dumps(self.settings(), indent=1))
        if self.role == "control":
            self.data_folder.mkdir(exist_ok=True)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"][self.role]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "GALENADRUM_SETTINGS": str(settings),
        }
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            [shutil.which(program), *arguments],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.is_first_start = False

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Return the resident memory of the process, 0 if it has just ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.split("VmRSS:")[1].split()[0]) * 1024 / 1e6
        except (OSError, IndexError):
            return 0.0

    def peak_memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) * 1024 / 1e6

    def cpu_seconds(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1]
        ticks = fields.split()
        return (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")

    async def kill(self):
        self.process.kill()
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    def lose_disk(self):
        shutil.rmtree(self.data_folder)

    def read_log(self):
        return (self.folder / "log").read_text(errors="replace")


class Message:
    """A request or an answer: its first line, its headers and its body."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line, self.headers, self.body = first_line, headers, body

    def get(self, name, default=None):
        for header, value in self.headers:
            if header.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first_line.split(" ", 2)[1])

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]


async def read_head(reader):
    """Read the head of a message; None if the channel ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return Message(first_line, headers)


async def read_chunks(reader):
    """Yield the chunks of a body; raise IncompleteReadError if it breaks off."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_message(reader):
    """Read a whole message; None if the channel ends before it.

    Raises:
        asyncio.IncompleteReadError: The channel ended inside the body.
    """
    message = await read_head(reader)
    if message is None:
        return None
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(message.get("content-length") or 0)
        message.body = await reader.readexactly(length)
    return message


def encode(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, target, headers=(), body=b"", timeout_s=1.0):
    """Send one request on a channel of its own; return the answer, None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            sent = [("Host", address[0]), *headers, ("Content-Length", str(len(body)))]
            if any(name.lower() == "host" for name, _ in headers):
                sent = sent[1:]
            writer.write(encode(f"{method} {target} HTTP/1.1", sent, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Engine:
    """A sound engine that announces itself and records what it runs.

    Attributes:
        ran: Loop time, id and target of each request that it has run.
    """

    def __init__(self, engine_id, service, ip, zone, deployment, born=None):
        self.engine_id, self.service, self.ip, self.zone = engine_id, service, ip, zone
        self.address = f"{ip}:{ENGINE_PORT}"
        self.born = born or int(time.time() * 1000)
        self.state = "ready"
        self.ran = []
        self.seen_ids = []
        self.body_bytes = 800
        self.concurrency = 6
        self._deployment = deployment
        self._sequence = itertools.count(1)
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, ENGINE_PORT, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat_repeatedly())

    def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def build_beat(self):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": self.concurrency,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": next(self._sequence),
            "born": self.born,
        }

    async def say(self, path, value, timeout_s=1.0):
        """Send a call to one daemon after the other until one acknowledges it."""
        for core in self._deployment.cores:
            answer = await call(
                core.admin, "POST", path, body=json.dumps(value).encode()
            )
            if answer is not None and 200 <= answer.status < 300:
                return core
        return None

    async def _beat_repeatedly(self):
        while True:
            path = f"/api/instances/{self.engine_id}/heartbeat"
            await self.say(path, self.build_beat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Ends with the channel or with the case.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def headers(self, request):
        attempt = request.get("X-Attempt-Id", "")
        return [
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", f"3e1b.{attempt}"),
        ]

    def is_misdirected(self, request):
        expected = request.get("X-Expect-Instance")
        return expected is not None and expected != self.engine_id

    async def answer(self, request, writer):
        if self.is_misdirected(request):
            headers = [("X-Attempt-Id", request.get("X-Attempt-Id", ""))]
            headers += [("X-Not-Executed", "1"), ("Content-Length", "0")]
            writer.write(encode("HTTP/1.1 421 Misdirected", headers))
            await writer.drain()
            return
        self.ran.append(
            (time.monotonic(), request.get("X-Attempt-Id", ""), request.target)
        )
        await self.run(request, writer)

    async def run(self, request, writer):
        await asyncio.sleep(0.02)
        body = b"x" * self.body_bytes
        headers = [*self.headers(request), ("Content-Length", str(len(body)))]
        writer.write(encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()


class Deployment:
    """A small deployment: core machines, edge machines and engines."""

    def __init__(self, cores=3, edges=2):
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = _find_free_network()
        seeds = [f"{self.network}.{10 + i}" for i in range(min(3, cores))]
        self.cores = [
            Machine(
                "control",
                f"core-{ZONES[i % 3]}-{i}",
                f"{self.network}.{10 + i}",
                ZONES[i % 3],
                seeds,
                self._folder,
            )
            for i in range(cores)
        ]
        self.edges = [
            Machine(
                "entry",
                f"edge-{ZONES[i % 3]}-{i}",
                f"{self.network}.{30 + i}",
                ZONES[i % 3],
                seeds,
                self._folder,
            )
            for i in range(edges)
        ]
        self.engines = []
        self._attempts = itertools.count(1)

    def start(self):
        for machine in (*self.cores, *self.edges):
            machine.start()

    def stop(self, keep_logs_in=None):
        """End all processes that were started, then the engines; remove the files."""
        machines = [m for m in (*self.cores, *self.edges) if m.process is not None]
        for machine in machines:
            if machine.is_running():
                machine.process.kill()
        for machine in machines:
            machine.process.wait()
        for engine in self.engines:
            engine.stop()
        if keep_logs_in:
            for machine in machines:
                shutil.copy(machine.folder / "log", f"{keep_logs_in}/{machine.name}.log")
        shutil.rmtree(self._folder, ignore_errors=True)

    def new_attempt(self):
        return f"{next(self._attempts):016x}"

    async def add_engine(self, engine_id, service, kind=Engine, **more):
        number = len(self.engines)
        ip = f"{self.network}.{60 + number}"
        engine = kind(engine_id, service, ip, ZONES[number % 3], self, **more)
        self.engines.append(engine)
        await engine.start()
        return engine

    async def configure(self, document, timeout_s=30.0):
        """Send a configuration until a daemon acknowledges it; return whether."""
        body = json.dumps(document).encode()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for core in self.cores:
                answer = await call(
                    core.admin, "POST", "/api/config/replace", body=body, timeout_s=2.0
                )
                if answer is not None and answer.status == 200:
                    return True
            await asyncio.sleep(0.2)
        return False

    async def read_configuration(self):
        """Return the answer of each core machine to a read."""
        return [await call(c.admin, "GET", "/api/config/read") for c in self.cores]

    def request_headers(self, attempt, deadline_ms=1500, key=KEY):
        return [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {key}"),
        ]

    async def wait_served(self, target, method="POST", timeout_s=30.0):
        """Wait until each edge machine serves a request."""
        until = time.monotonic() + timeout_s
        for edge in self.edges:
            while time.monotonic() < until:
                headers = self.request_headers(self.new_attempt())
                answer = await call(edge.front, method, target, headers, timeout_s=2.0)
                if answer is not None and answer.status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise CannotRunError(f"{edge.name} serves nothing")


def _find_free_network():
    """Return the first three numbers of loopback addresses whose ports are free."""
    start = os.getpid()
    for offset in range(200):
        network = f"127.{100 + (start + offset) % 100}.{start // 100 % 250}"
        ports = (FRONT_PORT, READY_PORT, ADMIN_PORT, ENGINE_PORT, *INTERNAL_PORTS)
        try:
            for last, port in itertools.product((10, 11, 12, 30, 31, 60), ports):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback addresses")


def build_route(name, prefix, service, kind="idempotent", timeout_ms=1500, **more):
    route = {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": timeout_ms,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "Attempts": 2,
        "Public": False,
    }
    return {**route, **more}


def build_service(name, **more):
    service = {
        "Name": name,
        "HealthCheck": "/healthz",
        "MaxConnections": 110,
        "Protocol": "h1",
        "TlsEnabled": False,
    }
    return {**service, **more}


def build_configuration(version, routes, services, tenants=None):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants or [{"Name": "bozi300", "ApiKeys": [KEY], "Priority": 1}],
    }


def main(play, folder):
    """Play a case; exit with BROKEN, HELD, or NOT_RUN if it couldn't run.

    Args:
        play: Coroutine function of the deployment, the record and whether there is
            trouble; returns whether the rule was broken.
        folder: Folder of the case.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"trouble: {has_trouble}")
    sys.exit(asyncio.run(_play(play, record, has_trouble)))


async def _play(play, record, has_trouble):
    deployment = None
    try:
        async with asyncio.timeout(110):
            deployment = Deployment(**getattr(play, "size", {}))
            is_broken = await play(deployment, record, has_trouble)
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        return NOT_RUN
    finally:
        if deployment is not None:
            logs = os.environ.get("KEEP_LOGS")
            with contextlib.suppress(Exception):
                deployment.stop(logs)
    record.write("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
