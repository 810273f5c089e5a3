"""Stand-ins for the platform, engines and clients, and real control and entry hosts.

Only the standard library is used. All addresses are loopback addresses. The hosts are
started with the commands of `deploy/system.toml`, from the root of the repository, and
with the environment that DEPLOY.md names.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("lautoka-a", "nadi-b", "ba-c")
CONTACT_S = 3.0
HEARTBEAT_MS = 1200
KEY = "9dnn2ctnfzs989anu6ws"
HOST = "pule25.example"

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


class CantRun(Exception):
    """Raised when the case can't run on this machine."""


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self.started_at
        self._file.write(f"{at:9.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Host:
    """A control or entry host as a process."""

    def __init__(self, deployment, role, zone, name, ip):
        self.deployment = deployment
        self.role, self.zone, self.name, self.ip = role, zone, name, ip
        self.process = None
        self.is_first_start = True
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.log_path = self.folder / "log"

    def _settings(self):
        d = self.deployment
        is_control = self.role == "control"
        listen = (
            {"Admin": f"{self.ip}:{d.admin_port}"}
            if is_control
            else {
                "FrontAddr": f"{self.ip}:{d.front_port}",
                "Ready": f"{self.ip}:{d.ready_port}",
            }
        )
        return {
            "NodeName": self.name,
            "Role": self.role,
            "MachineClass": "core" if is_control else "edge",
            "Serves": ["control_plane" if is_control else "edge"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "viti-west",
            "Zones": {zone: "viti-west" for zone in ZONES},
            "Listen": listen,
            "InternalPorts": [d.internal_port, d.internal_port + 15],
            "SeedNodes": [f"{h.ip}:{d.admin_port}" for h in d.founders],
            "Bootstrap": self.is_first_start,
            "FaultCounted": is_control,
            "Limits": {
                "CpuQuota": 0.645 if is_control else 0.537,
                "CpuCores": 2,
                "MemoryMb": 296 if is_control else 300,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if is_control else 0,
            },
            "DataDir": str(self.folder / "data") if is_control else None,
            "Discovery": "self_register",
            "EntryType": "vip",
            "HeartbeatMs": HEARTBEAT_MS,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "stages",
            ],
            "FaultTolerance": {"Nodes": 1, "Zones": 1, "Regions": 0},
            "Bounds": {**BOUNDS, **d.bounds},
            "ConfigMode": "highest",
        }

    def write_settings(self):
        # JSON is YAML too.
        path = self.folder / "boot.yaml"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(self._settings(), indent=1))
        fresh.replace(path)
        return path

    def start(self):
        path = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["GALENADRUM_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = self.log_path.open("ab")
        self.process = subprocess.Popen(
            self.deployment.command_by_role[self.role].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.is_first_start = False
        self.deployment.record(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.deployment.record(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def wait_ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    def peak_kb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0])

    @property
    def front(self):
        return self.ip, self.deployment.front_port

    @property
    def admin(self):
        return self.ip, self.deployment.admin_port


class Deployment:
    """Three control hosts, entry hosts, and engines that announce themselves."""

    def __init__(self, record, entries=2, bounds=None):
        self.record = record
        self.bounds = bounds or {}
        if not (ROOT / "target" / "deps").is_dir():
            raise CantRun("target/deps is missing: run the build of the deploy file")
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.command_by_role = {
            "control" if "control_plane" in r["serves"] else "entry": r["run"]
            for r in roles.values()
        }
        self.folder = Path(tempfile.mkdtemp(prefix="galenadrum-review-"))
        self.network = f"127.{100 + os.getpid() % 100}.{1 + os.getpid() // 100 % 250}"
        (
            self.admin_port,
            self.front_port,
            self.ready_port,
            self.internal_port,
            self.engine_port,
        ) = self._free_ports()
        self.controls = []
        self.controls = [
            Host(self, "control", z, f"core-{z}-1", f"{self.network}.{10 + i}")
            for i, z in enumerate(ZONES)
        ]
        # The three addresses that all hosts are told at the first start.
        self.founders = tuple(self.controls)
        self.entries = [
            Host(
                self,
                "entry",
                ZONES[i % 3],
                f"edge-{ZONES[i % 3]}-{1 + i // 3}",
                f"{self.network}.{40 + i}",
            )
            for i in range(entries)
        ]
        self.engines = []
        self.stopping = False
        self._tasks = []

    def _free_ports(self):
        start = 20_000 + os.getpid() * 61 % 9_000
        while True:
            ports = [start, start + 1, start + 2, start + 20, start + 60]
            probes = [*ports, start + 21, start + 35]
            if all(self._is_free(port) for port in probes):
                return ports
            start += 100

    def _is_free(self, port):
        for last in (10, 11, 12, 40, 41, 60):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((f"{self.network}.{last}", port))
                except OSError:
                    return False
        return True

    @property
    def hosts(self):
        return [*self.controls, *self.entries]

    async def __aenter__(self):
        for host in self.hosts:
            host.start()
        return self

    async def __aexit__(self, *_):
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        for engine in self.engines:
            engine.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.hosts:
                with contextlib.suppress(OSError):
                    shutil.copy(host.log_path, f"{keep}/{host.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_empty_control(self, zone, name, last):
        """Add a control host with an empty disk at another address, and start it."""
        host = Host(self, "control", zone, name, f"{self.network}.{last}")
        host.is_first_start = False
        self.controls.append(host)
        host.start()
        return host

    def renew_seeds(self, lost, new):
        """Name a new control host in place of a lost one in all settings files."""
        self.founders = tuple(new if h is lost else h for h in self.founders)
        for host in self.hosts:
            host.write_settings()
        self.record(f"settings name {new.name} in place of {lost.name}")

    # The operator.

    async def configure(self, document, timeout_s=30.0):
        """Send a configuration until it is acknowledged; return the time of that."""
        body = json.dumps(document).encode()
        until = time.monotonic() + timeout_s
        for host in itertools.cycle(self.controls):
            if time.monotonic() > until:
                raise CantRun("the configuration wasn't acknowledged")
            status, _ = await call(
                host.admin, "POST", "/api/config/replace", body, 3.0
            )
            if status == 200:
                self.record(f"configuration {document['Version']} acknowledged")
                return time.monotonic()
            await asyncio.sleep(0.2)

    # Engines.

    async def add_engine(self, engine):
        engine.deployment = self
        number = len(self.engines)
        engine.address = (f"{self.network}.{60 + number}", self.engine_port)
        if not engine.zone:
            engine.zone = ZONES[number % 3]
        self.engines.append(engine)
        await engine.start()
        self._tasks.append(asyncio.ensure_future(self._beat(engine, number)))
        return engine

    async def _beat(self, engine, number):
        order = itertools.cycle(self.controls[number % 3 :] + self.controls[: number % 3])
        host = next(order)
        while not self.stopping:
            if engine.is_beating:
                body = json.dumps(engine.heartbeat()).encode()
                path = f"/api/instances/{engine.server_id}/heartbeat"
                for _ in self.controls:
                    status, _ = await call(host.admin, "POST", path, body, 1.0)
                    if status == 200:
                        break
                    host = next(order)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def wait_served(self, make_request, timeout_s=30.0):
        """Wait until each entry host has served a request three times in a row."""
        until = time.monotonic() + timeout_s
        for host in self.entries:
            served = 0
            while served < 3:
                if time.monotonic() > until:
                    raise CantRun(f"{host.name} doesn't serve")
                request = make_request()
                await request.run(host.front)
                served = served + 1 if request.is_complete else 0
                if not served:
                    await asyncio.sleep(0.2)


async def call(address, method, path, body=b"", timeout_s=3.0):
    """Make a JSON call on a new connection; return the status (0 for none), the body."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status, _, answer = await read_answer(reader)
            return status, answer
    except (OSError, TimeoutError, EOFError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_answer(reader):
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        async for chunk in read_chunks(reader):
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield chunk


class Request:
    """One client attempt on a new channel, as a client of PROTOCOL.md makes it.

    Attributes:
        sent_at, answered_at, ended_at: Monotonic times; None before.
        end: How it ended: ``complete``, ``broken``, ``closed`` (without an answer),
            ``refused`` (no channel), ``left`` (the client gave up).
    """

    _ids = itertools.count(1)

    def __init__(self, path, deadline_ms, headers=(), body=b"", patience_s=None,
                 method="POST"):
        self.id = f"{os.getpid():08x}{next(self._ids):08x}"
        self.path, self.method = path, method
        self.deadline_ms = deadline_ms
        self.headers = tuple(headers)
        self.body = body
        # A client leaves after a gap of this length, also before the first event.
        self.patience_s = patience_s
        self.status = 0
        self.answer = b""
        self.answer_headers = {}
        self.end = ""
        self.sent_at = self.answered_at = self.ended_at = None
        self.host = None

    @property
    def is_complete(self):
        return self.status == 200 and self.end == "complete"

    async def run(self, address):
        self.host = address[0]
        self.sent_at = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + self.deadline_ms / 1000
            ):
                try:
                    async with asyncio.timeout(1.0):
                        reader, writer = await asyncio.open_connection(*address)
                except (OSError, TimeoutError):
                    self.end = "refused"
                    return self
                lines = [
                    f"{self.method} {self.path} HTTP/1.1",
                    f"Host: {HOST}",
                    f"X-Attempt-Id: {self.id}",
                    f"X-Deadline-Ms: {self.deadline_ms}",
                    f"Authorization: Token {KEY}",
                    f"Content-Length: {len(self.body)}",
                    *(f"{name}: {value}" for name, value in self.headers),
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + self.body)
                await self._read(reader)
        except TimeoutError:
            self.end = "left"
        except (OSError, EOFError, ValueError):
            self.end = "broken" if self.status else "closed"
        finally:
            self.ended_at = time.monotonic()
            if writer is not None:
                writer.transport.abort()
        return self

    async def _read(self, reader):
        async with asyncio.timeout(self.patience_s):
            first, headers = await read_head(reader)
        self.status = int(first.split()[1])
        self.answer_headers = headers
        self.answered_at = time.monotonic()
        if headers.get("transfer-encoding") == "chunked":
            chunks = read_chunks(reader)
            while True:
                async with asyncio.timeout(self.patience_s):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    break
                self.answer += chunk
        else:
            self.answer = await reader.readexactly(
                int(headers.get("content-length", 0))
            )
        self.end = "complete"


class Engine:
    """A sound engine: serves requests as HTTP/1.1, one at a time on a channel."""

    def __init__(self, server_id, service, concurrency, zone=""):
        self.server_id, self.service = server_id, service
        self.concurrency, self.zone = concurrency, zone
        self.is_beating = True
        self.is_dark = False
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.running = 0
        self.runs = []
        self._sequence = itertools.count(1)
        self._listener = None
        self._tasks = set()
        self._fillers = []

    def heartbeat(self):
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": self.concurrency,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": next(self._sequence),
            "born": self.born,
        }

    async def start(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self.address)
        self._listener.listen(4)
        self._listener.setblocking(False)
        self._accepter = asyncio.ensure_future(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connected, _ = await loop.sock_accept(self._listener)
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.ensure_future(self._serve(connected))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def go_dark(self):
        """Answer nothing any more, as a machine without power.

        Open channels stay silent. The queue of new channels is filled, so that the
        opening packets of further ones are dropped.
        """
        self.deployment.record(f"engine {self.server_id} goes dark")
        self.is_dark = True
        self.is_beating = False
        self._accepter.cancel()
        for _ in range(12):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._fillers.append(filler)

    async def come_back(self, server_id):
        """Start again as a new lifetime at the same address."""
        self.deployment.record(f"engine {self.server_id} is back as {server_id}")
        self.end()
        await asyncio.sleep(0.05)
        self._fillers.clear()
        self.server_id = server_id
        self.born = int(time.time() * 1000)
        self.running = 0
        self._sequence = itertools.count(1)
        self.is_dark = False
        await self.start()
        self.is_beating = True

    def end(self):
        self._accepter.cancel()
        for task in list(self._tasks):
            task.cancel()
        for filler in self._fillers:
            filler.close()
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, connected):
        reader, writer = await asyncio.open_connection(sock=connected)
        try:
            while not self.is_dark:
                first, headers = await read_head(reader)
                body = b""
                if headers.get("transfer-encoding") == "chunked":
                    async for chunk in read_chunks(reader):
                        body += chunk
                else:
                    body = await reader.readexactly(
                        int(headers.get("content-length", 0))
                    )
                if self.is_dark:
                    break
                method, target, _ = first.split()
                await self.handle(writer, method, target, headers, body)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            if not self.is_dark:
                writer.transport.abort()
        if self.is_dark:
            await asyncio.Event().wait()

    def signature(self, request_id):
        return f"3e1b.07.{self.server_id}.{request_id}"

    def respond(self, writer, status, headers, body=b""):
        if self.is_dark:
            return
        lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def not_executed(self, writer, status, request_id):
        self.respond(
            writer,
            status,
            [("X-Attempt-Id", request_id), ("X-Not-Executed", "1")],
        )

    async def handle(self, writer, method, target, headers, body):
        request_id = headers.get("x-attempt-id", "")
        if target == "/healthz":
            self.respond(writer, 200, [("X-Instance-Id", self.server_id)])
            return
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.server_id):
            self.not_executed(writer, 421, request_id)
            return
        if self.running >= self.concurrency:
            self.not_executed(writer, 503, request_id)
            return
        self.running += 1
        self.runs.append((time.monotonic(), request_id, headers))
        self.deployment.record(f"run {request_id} at {self.server_id}")
        try:
            await self.work(writer, request_id, headers, body)
        finally:
            self.running -= 1

    async def work(self, writer, request_id, headers, body):
        raise NotImplementedError


class ModelEngine(Engine):
    """An engine whose answers are streams of events."""

    events = 4
    event_interval_s = 0.015

    async def work(self, writer, request_id, headers, body):
        if self.is_dark:
            return
        head = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request_id}",
            f"X-Response-Signature: {self.signature(request_id)}",
            "X-Weight-Versions: 1",
            f"X-Instance-Load: {self.running},0,{self.concurrency}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(headers.get("last-event-id", 0) or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_interval_s)
            if self.is_dark:
                return
            event = f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not self.is_dark:
            writer.write(b"0\r\n\r\n")


def run_case(main, folder):
    """Run a case; end with 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")
    try:
        async def bounded():
            async with asyncio.timeout(115.0):
                return await main(record, trouble)

        broken = asyncio.run(bounded())
    except Exception as error:  # Only a judged run may end with 0 or 1.
        record.say(f"the case couldn't run: {error!r}")
        raise SystemExit(2) from error
    record.say("RULE BROKEN" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
