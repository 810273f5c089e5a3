"""Demonstration that serves both examples end to end on loopback.

The daemons run in this process; callers, operators and backend servers speak real
HTTP to them.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import json
import random
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
_ENTRY_HOST_COUNT = 2
_SERVERS_PER_STAGE = 2
_REQUESTS_PER_PAIR = 4
_OPERATOR_NAME = "demo-operator"
_TOKEN = "demo-token"
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_SERVICE_MS = 2.0
# Below the ports that Linux gives to outgoing connections by default.
_LISTENING_PORTS = range(10_000, 20_000)
# No port is returned twice before all others.
_candidate_ports = itertools.cycle(
    random.sample(_LISTENING_PORTS, len(_LISTENING_PORTS))
)


class _Deployment:
    """One control host, entry hosts, and backend servers for each stage."""

    def __init__(self, folder: Path, declarations: Sequence[Declaration]) -> None:
        self._declarations = declarations
        control_peer_address, operator_address = find_free_addresses(2)
        member = ControlMember("control-1", control_peer_address)
        digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
        self._control = ControlDaemon(
            ControlSettings(
                member_id=member.member_id,
                zone=_ZONE,
                data_folder=folder,
                operator_address=operator_address,
                peer_address=control_peer_address,
                members=(member,),
                operators=(Operator(_OPERATOR_NAME, digest),),
            )
        )
        self._client = OperatorClient([f"http://{operator_address}"], _TOKEN)
        self._entries = _build_entry_daemons(control_peer_address)
        self._backends: list[BackendServer] = []

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """The caller addresses of the entry hosts."""
        return tuple(entry.callers.address for entry in self._entries)

    async def start(self) -> None:
        """Start all hosts and servers, and wait until the entry hosts are ready."""
        await self._control.start()
        for entry in self._entries:
            await entry.start()
        change_set = prepare_puts("demo", self._declarations, {})
        await asyncio.to_thread(self._client.submit, change_set)
        await asyncio.to_thread(self._start_backends)
        await self._wait_until_ready()

    async def stop(self) -> None:
        """Stop the backend servers, then the entry hosts, then the control host."""
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

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self._entries):
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _is_ready(self, entry: EntryDaemon) -> bool:
        announced = len(entry.zone.servers())
        return entry.view.is_ready and announced == len(self._backends)


def run_demo(examples_folder: Path) -> int:
    """Run the pipelines of both examples, print the results, return an exit code.

    Args:
        examples_folder: Folder that has a subfolder for each example.
    """
    started = time.monotonic()
    attempts: list[Attempt] = []
    for name in EXAMPLE_NAMES:
        declared = read_declarations([examples_folder / name / "declarations"])
        done = asyncio.run(_run_example(declared.declarations))
        _print_pipelines(name, done)
        attempts.extend(done)
    summary = DemoSummary.from_attempts(attempts, time.monotonic() - started)
    click.echo(json.dumps(summary.to_json()))
    unsuccessful = summary.failed or summary.refused
    return status_codes.INTERNAL if unsuccessful else status_codes.SUCCESS


async def _run_example(declarations: Sequence[Declaration]) -> list[Attempt]:
    with tempfile.TemporaryDirectory(prefix="galenadrum-demo-") as folder:
        deployment = _Deployment(Path(folder), declarations)
        try:
            await deployment.start()
            plan = plan_attempts(declarations, _REQUESTS_PER_PAIR)
            addresses = deployment.caller_addresses
            return await asyncio.to_thread(run_attempts, plan, addresses)
        finally:
            await deployment.stop()


def _build_entry_daemons(control_peer_address: str) -> list[EntryDaemon]:
    peer_addresses = find_free_addresses(_ENTRY_HOST_COUNT)
    entries = []
    for number, peer_address in enumerate(peer_addresses, start=1):
        caller_address, operator_address = find_free_addresses(2)
        settings = EntrySettings(
            host_id=f"entry-{number}",
            zone=_ZONE,
            caller_address=caller_address,
            operator_address=operator_address,
            peer_address=peer_address,
            control_addresses=(control_peer_address,),
            zone_peer_addresses=tuple(
                other for other in peer_addresses if other != peer_address
            ),
        )
        entries.append(EntryDaemon(settings))
    return entries


def find_free_addresses(count: int) -> tuple[str, ...]:
    """Return loopback addresses whose ports are free at present.

    A port that the kernel chose for a probe could become that of another process's
    outgoing connection before a host listens on it.

    Raises:
        OSError: Fewer ports are free.
    """
    addresses: list[str] = []
    for port in itertools.islice(_candidate_ports, len(_LISTENING_PORTS)):
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            addresses.append(f"127.0.0.1:{port}")
        if len(addresses) == count:
            break
    if len(addresses) < count:
        raise OSError(
            f"{len(addresses)} ports from {_LISTENING_PORTS[0]} to "
            f"{_LISTENING_PORTS[-1]} are free, expected {count}"
        )
    return tuple(addresses)


def _print_pipelines(example: str, attempts: Sequence[Attempt]) -> None:
    names = sorted({attempt.planned.pipeline for attempt in attempts})
    for name in names:
        pipeline_attempts = [a for a in attempts if a.planned.pipeline == name]
        answered = sum(a.state is AttemptState.ANSWERED for a in pipeline_attempts)
        click.echo(
            f"{example:8} {name:24} {answered}/{len(pipeline_attempts)} answered"
        )
