"""The demonstration: the whole path of both examples, on loopback.

Daemons run in this process; callers, operators and backend servers speak real
HTTP to them.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import socket
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import click

from galenadrum._internal.changes.preparing import prepare_puts
from galenadrum._internal.cli import status_codes
from galenadrum._internal.control.daemon import ControlDaemon
from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from galenadrum._internal.demo.callers import (
    Attempt,
    AttemptState,
    DemoSummary,
    plan_attempts,
    run_attempts,
)
from galenadrum._internal.entry.daemon import EntryDaemon
from galenadrum._internal.models.resources import Declaration, StageSpec
from galenadrum._internal.models.settings import (
    ControlMember,
    ControlSettings,
    EntrySettings,
    Operator,
)
from galenadrum._internal.network.operator_client import OperatorClient
from galenadrum._internal.settings.declarations import read_declarations

EXAMPLES_FOLDER = Path(__file__).parents[4] / "examples"
EXAMPLE_NAMES = ("vatu", "tornos")

_ZONE = "demo"
_ENTRY_HOSTS = 2
_SERVERS_PER_STAGE = 2
_REQUESTS_PER_PAIR = 4
_OPERATOR = "demo-operator"
_TOKEN = "demo-token"
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.02
_SERVICE_MS = 2.0


class _Deployment:
    """One control host, entry hosts and a backend server for each stage."""

    def __init__(self, folder: Path, declarations: Sequence[Declaration]) -> None:
        self._declarations = declarations
        control_peer, operator_address = _free_addresses(2)
        member = ControlMember("control-1", control_peer)
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        self._control = ControlDaemon(
            ControlSettings(
                member_id=member.member_id,
                zone=_ZONE,
                data_folder=folder,
                operator_address=operator_address,
                peer_address=control_peer,
                members=(member,),
                operators=(Operator(_OPERATOR, digest),),
            )
        )
        self._client = OperatorClient([f"http://{operator_address}"], _TOKEN)
        self._entries = _build_entries(control_peer)
        self._backends: list[BackendServer] = []

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """Where callers find the entry hosts."""
        return tuple(entry.callers.address for entry in self._entries)

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        await self._control.start()
        for entry in self._entries:
            await entry.start()
        change_set = prepare_puts("demo", self._declarations, {})
        await asyncio.to_thread(self._client.submit, change_set)
        await asyncio.to_thread(self._start_backends)
        await self._wait_ready()

    async def stop(self) -> None:
        """Stop everything in the order opposite to that of the start."""
        for backend in self._backends:
            await asyncio.to_thread(backend.stop)
        for entry in self._entries:
            await entry.stop()
        await self._control.stop()

    def _start_backends(self) -> None:
        for declaration in self._declarations:
            if not isinstance(declaration.spec, StageSpec):
                continue
            name = declaration.key.name
            streamed = frozenset({name} if declaration.spec.streams else ())
            for number in range(_SERVERS_PER_STAGE):
                options = BackendOptions(
                    server_id=f"{name}-{number + 1}",
                    zone=_ZONE,
                    stages=(name,),
                    streamed_stages=streamed,
                    entry_addresses=self.caller_addresses,
                    service_ms=_SERVICE_MS,
                )
                backend = BackendServer(options)
                backend.start()
                self._backends.append(backend)

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self._entries):
                await asyncio.sleep(_POLL_S)

    def _is_ready(self, entry: EntryDaemon) -> bool:
        announced = len(entry.zone.servers())
        return entry.view.is_ready and announced == len(self._backends)


def run_demo(examples_folder: Path) -> int:
    """Serve both examples' pipelines, print what came of it, and return a code.

    Args:
        examples_folder: Holds a folder for each example.
    """
    started = time.monotonic()
    attempts: list[Attempt] = []
    for name in EXAMPLE_NAMES:
        declared = read_declarations([examples_folder / name / "declarations"])
        done = asyncio.run(_serve(declared.declarations))
        _print_pipelines(name, done)
        attempts.extend(done)
    summary = DemoSummary.of(attempts, time.monotonic() - started)
    click.echo(json.dumps(summary.to_json()))
    wrong = summary.failed or summary.refused
    return status_codes.INTERNAL if wrong else status_codes.SUCCESS


async def _serve(declarations: Sequence[Declaration]) -> list[Attempt]:
    with tempfile.TemporaryDirectory(prefix="galenadrum-demo-") as folder:
        deployment = _Deployment(Path(folder), declarations)
        try:
            await deployment.start()
            plan = plan_attempts(declarations, _REQUESTS_PER_PAIR)
            addresses = deployment.caller_addresses
            return await asyncio.to_thread(run_attempts, plan, addresses)
        finally:
            await deployment.stop()


def _build_entries(control_peer: str) -> list[EntryDaemon]:
    peers = _free_addresses(_ENTRY_HOSTS)
    entries = []
    for number, peer in enumerate(peers, start=1):
        caller_address, operator_address = _free_addresses(2)
        settings = EntrySettings(
            host_id=f"entry-{number}",
            zone=_ZONE,
            caller_address=caller_address,
            operator_address=operator_address,
            peer_address=peer,
            control_addresses=(control_peer,),
            zone_peer_addresses=tuple(other for other in peers if other != peer),
        )
        entries.append(EntryDaemon(settings))
    return entries


def _free_addresses(count: int) -> tuple[str, ...]:
    """Return loopback addresses that nothing listens on now."""
    probes = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = tuple(f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes)
    for probe in probes:
        probe.close()
    return addresses


def _print_pipelines(example: str, attempts: Sequence[Attempt]) -> None:
    names = sorted({attempt.planned.pipeline for attempt in attempts})
    for name in names:
        of_pipeline = [a for a in attempts if a.planned.pipeline == name]
        answered = sum(a.state is AttemptState.ANSWERED for a in of_pipeline)
        click.echo(f"{example:8} {name:24} {answered}/{len(of_pipeline)} answered")
