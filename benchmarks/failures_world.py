"""The deployment under load, and the failures that strike it."""

from __future__ import annotations

import json
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.failures_backend import ONCE_STAGE
from benchmarks.failures_load import DEADLINE_S, Balancer
from lib.deployment import STAGES, Deployment, standard_changes
from lib.processes import ROOT, free_address
from lib.silent_relay import SilentRelay

ZONE = "zone-1"
OTHER_ZONE = "zone-2"
FREEZE_S = 4.0
CUT_S = 5.0
_SERVERS_A_ZONE = 3
_SETTLE_S = 0.5


@dataclass(slots=True)
class World:
    """Two entry hosts and three backend servers a zone, and control hosts.

    Attributes:
        zones: The zones whose hosts take requests.
        runs_file: Inputs of runs that may not be repeated, one a line.
        relays: Relays to backend servers, control hosts or the other zone.
        stopped: Processes that a signal stopped.
    """

    deployment: Deployment
    zones: tuple[str, ...]
    runs_file: Path
    names_by_zone: dict[str, list[str]] = field(default_factory=dict)
    relays: list[SilentRelay] = field(default_factory=list)
    stopped: list[str] = field(default_factory=list)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process, and remember if it is stopped by it."""
        self.deployment.processes[name].signal(number)
        if number == signal.SIGSTOP:
            self.stopped.append(name)

    def leader(self) -> str:
        """Return the name of the leading control host."""
        name = self.deployment.find_leader()
        if name is None:
            raise RuntimeError("there is no leader")
        return name

    def runs(self) -> Counter[str]:
        """Return the number of runs of each input that may not be repeated."""
        if not self.runs_file.exists():
            return Counter()
        return Counter(self.runs_file.read_text().splitlines())

    def failed_attempts(self) -> int:
        """Return how many stage attempts of entry hosts did not complete."""
        # The last line of a host that was killed may have no end.
        spans = [
            json.loads(line)
            for file in self.deployment.folder.glob("*.traces")
            for line in file.read_text().splitlines(keepends=True)
            if line.endswith("\n")
        ]
        outcomes = [
            span["attributes"].get("outcome", "")
            for span in spans
            if span["name"].startswith("stage ")
        ]
        return sum(outcome != "completed" for outcome in outcomes)

    def balancer(self) -> Balancer:
        """Return a balancer over all entry hosts."""
        deployment = self.deployment
        callers_by_zone = {
            zone: [deployment.callers[name] for name in names]
            for zone, names in self.names_by_zone.items()
        }
        platforms = {
            deployment.callers[name]: deployment.platforms[name]
            for names in self.names_by_zone.values()
            for name in names
        }
        return Balancer(callers_by_zone, platforms)


Act = Callable[[World], None]


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure that strikes at a seeded moment of the load.

    Attributes:
        strike: What happens at the moment.
        after_s: Seconds from the moment to ``undo``.
        controls: Number of control hosts; with several, a redirect to the
            leader would pass a relay by.
        relayed: What is reached through relays: "backends", "control", "zone".
    """

    name: str
    strike: Act
    after_s: float = 0.0
    undo: Act | None = None
    controls: int = 3
    relayed: str = ""


def _send(name: str, number: int) -> Act:
    return lambda world: world.signal(name, number)


def _silence(world: World) -> None:
    for relay in world.relays:
        relay.silence()


def _cut(world: World) -> None:
    for relay in world.relays:
        relay.cut()


def _heal(world: World) -> None:
    for relay in world.relays:
        relay.heal()


def _lose_control(world: World) -> None:
    for name in world.deployment.control_settings:
        world.signal(name, signal.SIGKILL)


_ENTRY = f"{ZONE}-entry-1"
_SERVER = f"{ZONE}-server-1"

FAILURES = (
    Failure("none", lambda world: None),
    Failure("entry-kill", _send(_ENTRY, signal.SIGKILL)),
    Failure("entry-drain", _send(_ENTRY, signal.SIGTERM)),
    Failure(
        "entry-freeze",
        _send(_ENTRY, signal.SIGSTOP),
        FREEZE_S,
        _send(_ENTRY, signal.SIGCONT),
    ),
    Failure("backend-kill", _send(_SERVER, signal.SIGKILL)),
    Failure("backend-freeze", _send(_SERVER, signal.SIGSTOP)),
    Failure("backend-fails-half", _send(_SERVER, signal.SIGUSR1)),
    Failure("backend-leaves", _send(_SERVER, signal.SIGTERM)),
    Failure("leader-kill", lambda w: w.signal(w.leader(), signal.SIGKILL)),
    Failure("leader-freeze", lambda w: w.signal(w.leader(), signal.SIGSTOP)),
    Failure("control-lost", _lose_control),
    Failure("silent-backends", _silence, relayed="backends"),
    Failure("silent-control", _silence, controls=1, relayed="control"),
    Failure("zone-cut", _cut, CUT_S, _heal, controls=1, relayed="zone"),
)


@contextmanager
def open_world(failure: Failure, folder: Path, source: Path) -> Iterator[World]:
    """Start all processes and wait until each entry host serves."""
    is_own = source == ROOT / "src"
    deployment = Deployment(folder, source, dict if is_own else _older_form)
    zones = (ZONE, OTHER_ZONE) if failure.relayed == "zone" else (ZONE,)
    world = World(deployment, zones, folder / "runs")
    with ExitStack() as stack:
        stack.callback(_close, world)
        deployment.start_controls(failure.controls)
        changes = standard_changes(deadline_ms=int(DEADLINE_S * 1_000))
        deployment.apply(changes, "first")
        for zone in zones:
            _start_zone(world, zone, failure, stack)
        for zone in zones:
            names = world.names_by_zone[zone]
            deployment.wait_ready(names, servers=_SERVERS_A_ZONE)
        time.sleep(_SETTLE_S)
        yield world


def _older_form(settings: dict[str, Any]) -> dict[str, Any]:
    """Return settings without what the first version did not know."""
    if "members" not in settings:
        return settings
    known = ("member_id", "peer_address")
    members = [{key: member[key] for key in known} for member in settings["members"]]
    return settings | {"members": members}


def _close(world: World) -> None:
    for name in world.stopped:
        if world.deployment.processes[name].popen.poll() is None:
            world.signal(name, signal.SIGCONT)
    world.deployment.close()


def _start_zone(world: World, zone: str, failure: Failure, stack: ExitStack) -> None:
    extra = {}
    if failure.relayed == "control" or (
        failure.relayed == "zone" and zone == OTHER_ZONE
    ):
        controls = world.deployment.control_settings.values()
        targets = [settings["peer_address"] for settings in controls]
        extra["control_addresses"] = _relay(world, targets, stack)
    if zone == OTHER_ZONE:
        settings = world.deployment.entry_settings
        targets = [settings[name]["peer_address"] for name in world.names_by_zone[ZONE]]
        extra["other_zone_addresses"] = _relay(world, targets, stack)
    names = world.deployment.start_entries(2, zone, **extra)
    world.names_by_zone[zone] = names
    for number in range(1, _SERVERS_A_ZONE + 1):
        _start_server(world, zone, number, failure, stack)


def _relay(world: World, targets: list[str], stack: ExitStack) -> list[str]:
    relays = [stack.enter_context(SilentRelay(target)) for target in targets]
    world.relays.extend(relays)
    return [relay.address for relay in relays]


def _start_server(
    world: World, zone: str, number: int, failure: Failure, stack: ExitStack
) -> None:
    listen = advertise = free_address()
    if failure.relayed == "backends":
        [advertise] = _relay(world, [listen], stack)
    name = f"{zone}-server-{number}"
    arguments = ["benchmarks.failures_backend", "--server-id", name, "--zone", zone]
    for stage in (*STAGES, ONCE_STAGE):
        arguments += ["--stage", stage]
    for entry in world.names_by_zone[zone]:
        arguments += ["--entry", world.deployment.callers[entry]]
    arguments += ["--listen", listen, "--advertise", advertise]
    arguments += ["--runs-file", str(world.runs_file)]
    world.deployment.start_process(name, arguments)
