"""Deployment under load, and the failures that are injected into it."""

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

from benchmarks.failures_backend import NON_REPEATABLE_STAGE
from benchmarks.failures_load import DEADLINE_S, Balancer
from lib.deployment import STAGES, Deployment, build_standard_changes
from lib.processes import ROOT, reserve_address
from lib.silent_relay import SilentRelay

ZONE = "zone-1"
OTHER_ZONE = "zone-2"
_FREEZE_S = 4.0
_CUT_S = 5.0
_SERVERS_PER_ZONE = 3
_SETTLE_DELAY_S = 0.5


@dataclass(slots=True)
class Testbed:
    """Control hosts, and two entry hosts and three backend servers per zone.

    Attributes:
        deployment: Processes of the deployment.
        zones: Zones whose entry hosts receive requests.
        runs_file: File with the input of each run of the non-repeatable stage, one
            per line.
        relays: Relays to backend servers, control hosts or the other zone.
        paused: Names of processes that were sent SIGSTOP.
    """

    deployment: Deployment
    zones: tuple[str, ...]
    runs_file: Path
    entry_names_by_zone: dict[str, list[str]] = field(default_factory=dict)
    relays: list[SilentRelay] = field(default_factory=list)
    paused: list[str] = field(default_factory=list)

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process and record the process if the signal pauses it."""
        self.deployment.processes[name].signal(number)
        if number == signal.SIGSTOP:
            self.paused.append(name)

    def leader(self) -> str:
        """Return the name of the leading control host."""
        name = self.deployment.find_leader()
        if name is None:
            raise RuntimeError("no control host is the leader")
        return name

    def count_runs(self) -> Counter[str]:
        """Return the number of runs of each input of the non-repeatable stage."""
        if not self.runs_file.exists():
            return Counter()
        return Counter(self.runs_file.read_text().splitlines())

    def count_failed_attempts(self) -> int:
        """Return the number of stage attempts of entry hosts that did not complete."""
        # The last line of a killed host may be incomplete.
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

    def build_balancer(self) -> Balancer:
        """Build a balancer over all entry hosts."""
        deployment = self.deployment
        entry_addresses_by_zone = {
            zone: [deployment.callers[name] for name in names]
            for zone, names in self.entry_names_by_zone.items()
        }
        readiness_address_by_entry = {
            deployment.callers[name]: deployment.operator_address_by_entry[name]
            for names in self.entry_names_by_zone.values()
            for name in names
        }
        return Balancer(entry_addresses_by_zone, readiness_address_by_entry)


TestbedAction = Callable[[Testbed], None]


@dataclass(frozen=True, slots=True)
class Failure:
    """Failure that is injected at a seeded time of the load.

    Attributes:
        inject: Function that causes the failure.
        undo_after_s: Seconds from ``inject`` to ``undo``.
        undo: Function that ends the failure, or None if it lasts.
        control_host_count: Number of control hosts; with several, a redirect to the
            leader would bypass a relay.
        relayed_link: Link that passes through relays: "backends", "control", "zone"
            or none if empty.
    """

    name: str
    inject: TestbedAction
    undo_after_s: float = 0.0
    undo: TestbedAction | None = None
    control_host_count: int = 3
    relayed_link: str = ""


def _signal_process(name: str, number: int) -> TestbedAction:
    return lambda testbed: testbed.send_signal(name, number)


def _silence_relays(testbed: Testbed) -> None:
    for relay in testbed.relays:
        relay.silence()


def _cut_relays(testbed: Testbed) -> None:
    for relay in testbed.relays:
        relay.cut()


def _heal_relays(testbed: Testbed) -> None:
    for relay in testbed.relays:
        relay.heal()


def _kill_control_hosts(testbed: Testbed) -> None:
    for name in testbed.deployment.control_settings:
        testbed.send_signal(name, signal.SIGKILL)


_FAILING_ENTRY = f"{ZONE}-entry-1"
_FAILING_SERVER = f"{ZONE}-server-1"

FAILURES = (
    Failure("none", lambda testbed: None),
    Failure("entry-kill", _signal_process(_FAILING_ENTRY, signal.SIGKILL)),
    Failure("entry-drain", _signal_process(_FAILING_ENTRY, signal.SIGTERM)),
    Failure(
        "entry-freeze",
        _signal_process(_FAILING_ENTRY, signal.SIGSTOP),
        _FREEZE_S,
        _signal_process(_FAILING_ENTRY, signal.SIGCONT),
    ),
    Failure("backend-kill", _signal_process(_FAILING_SERVER, signal.SIGKILL)),
    Failure("backend-freeze", _signal_process(_FAILING_SERVER, signal.SIGSTOP)),
    Failure("backend-fails-half", _signal_process(_FAILING_SERVER, signal.SIGUSR1)),
    Failure("backend-leaves", _signal_process(_FAILING_SERVER, signal.SIGTERM)),
    Failure(
        "leader-kill",
        lambda testbed: testbed.send_signal(testbed.leader(), signal.SIGKILL),
    ),
    Failure(
        "leader-freeze",
        lambda testbed: testbed.send_signal(testbed.leader(), signal.SIGSTOP),
    ),
    Failure("control-lost", _kill_control_hosts),
    Failure("silent-backends", _silence_relays, relayed_link="backends"),
    Failure(
        "silent-control", _silence_relays, control_host_count=1, relayed_link="control"
    ),
    Failure(
        "zone-cut",
        _cut_relays,
        _CUT_S,
        _heal_relays,
        control_host_count=1,
        relayed_link="zone",
    ),
)


@contextmanager
def open_testbed(failure: Failure, folder: Path, source: Path) -> Iterator[Testbed]:
    """Start all processes and wait until each entry host is ready."""
    is_current_version = source == ROOT / "src"
    deployment = Deployment(
        folder, source, dict if is_current_version else _adapt_to_first_version
    )
    zones = (ZONE, OTHER_ZONE) if failure.relayed_link == "zone" else (ZONE,)
    testbed = Testbed(deployment, zones, folder / "runs")
    with ExitStack() as stack:
        stack.callback(_close, testbed)
        deployment.start_control_hosts(failure.control_host_count)
        changes = build_standard_changes(deadline_ms=int(DEADLINE_S * 1_000))
        deployment.apply(changes, "first")
        for zone in zones:
            _start_zone(testbed, zone, failure, stack)
        for zone in zones:
            names = testbed.entry_names_by_zone[zone]
            deployment.wait_ready(names, servers=_SERVERS_PER_ZONE)
        time.sleep(_SETTLE_DELAY_S)
        yield testbed


def _adapt_to_first_version(settings: dict[str, Any]) -> dict[str, Any]:
    """Return settings without the fields that the first version did not have."""
    if "members" not in settings:
        return settings
    known_fields = ("member_id", "peer_address")
    members = [
        {key: member[key] for key in known_fields} for member in settings["members"]
    ]
    return settings | {"members": members}


def _close(testbed: Testbed) -> None:
    for name in testbed.paused:
        if testbed.deployment.processes[name].popen.poll() is None:
            testbed.send_signal(name, signal.SIGCONT)
    testbed.deployment.close()


def _start_zone(
    testbed: Testbed, zone: str, failure: Failure, stack: ExitStack
) -> None:
    extra_settings = {}
    if failure.relayed_link == "control" or (
        failure.relayed_link == "zone" and zone == OTHER_ZONE
    ):
        controls = testbed.deployment.control_settings.values()
        targets = [settings["peer_address"] for settings in controls]
        extra_settings["control_addresses"] = _start_relays(testbed, targets, stack)
    if zone == OTHER_ZONE:
        settings = testbed.deployment.entry_settings
        targets = [
            settings[name]["peer_address"] for name in testbed.entry_names_by_zone[ZONE]
        ]
        extra_settings["other_zone_addresses"] = _start_relays(testbed, targets, stack)
    names = testbed.deployment.start_entry_hosts(2, zone, **extra_settings)
    testbed.entry_names_by_zone[zone] = names
    for number in range(1, _SERVERS_PER_ZONE + 1):
        _start_server(testbed, zone, number, failure, stack)


def _start_relays(testbed: Testbed, targets: list[str], stack: ExitStack) -> list[str]:
    relays = [stack.enter_context(SilentRelay(target)) for target in targets]
    testbed.relays.extend(relays)
    return [relay.address for relay in relays]


def _start_server(
    testbed: Testbed, zone: str, number: int, failure: Failure, stack: ExitStack
) -> None:
    listen = advertise = reserve_address()
    if failure.relayed_link == "backends":
        [advertise] = _start_relays(testbed, [listen], stack)
    name = f"{zone}-server-{number}"
    arguments = ["benchmarks.failures_backend", "--server-id", name, "--zone", zone]
    for stage in (*STAGES, NON_REPEATABLE_STAGE):
        arguments += ["--stage", stage]
    for entry in testbed.entry_names_by_zone[zone]:
        arguments += ["--entry", testbed.deployment.callers[entry]]
    arguments += ["--listen", listen, "--advertise", advertise]
    arguments += ["--runs-file", str(testbed.runs_file)]
    testbed.deployment.start_process(name, arguments)
