"""Benchmark of the control overhead by the number of entry hosts in a zone.

Measures processor time, traffic and memory of the entry hosts and the control
host, both idle and while changes are applied, and the time until a change is in
force on all entry hosts.

Run with ``make bench-control``. Prints a table and, as its last line, one JSON
object. Each row starts separate processes on loopback.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import statistics
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import click
import urllib3

from benchmarks.process_usage import ResourceUsage, read_usage
from galenadrum._internal.entry.declarations_follower import HEARTBEAT_INTERVAL_S
from lib.deployment import Deployment, build_standard_changes, put
from lib.processes import wait_until

# The users' limits on the control overhead of one daemon.
_PROCESSOR_SHARE_LIMIT = 0.02
_BYTES_PER_S_LIMIT = 6_000
_RESIDENT_LIMIT_MB = 128
_CHANGE_IN_FORCE_LIMIT_S = 18.0

_SETTLE_DELAY_S = 5.0
_FIRST_SIMULATED_PORT = 20_000


@dataclass(frozen=True, slots=True)
class Row:
    """Resource usage of the daemons at one number of entry hosts.

    Shares are fractions of one processor core. Shares and byte rates of entry
    hosts are means over the hosts, or their maximum if the name has ``most``.

    Attributes:
        entry_resident_mb: Largest resident memory of an entry host.
        in_force_p50_s: Median time until a change is in force on all entry hosts.
        in_force_most_s: Longest time until a change is in force on all of them.
    """

    hosts: int
    state: str
    entry_share: float
    entry_share_most: float
    entry_bytes_per_s: float
    entry_bytes_per_s_most: float
    entry_resident_mb: float
    control_share: float
    control_bytes_per_s: float
    control_resident_mb: float
    in_force_p50_s: float = 0.0
    in_force_most_s: float = 0.0


def measure(
    hosts: int, servers: int, seconds: float, changes: int, light_renewal_s: float
) -> list[Row]:
    """Measure one number of entry hosts, idle and while changes are applied.

    Args:
        hosts: Number of entry hosts.
        servers: Number of backend servers that announce themselves.
        seconds: Length of the idle measurement.
        changes: Number of changes that are applied one after the other.
        light_renewal_s: Interval at which simulated servers renew their
            announcements; 0 starts backend server processes instead.

    Returns:
        The idle row and the busy row.
    """
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        simulated_servers = None
        try:
            deployment.start_control_hosts(1)
            deployment.apply(build_standard_changes(), "first")
            entry_names = deployment.start_entry_hosts(hosts, callers={"workers": 16})
            if light_renewal_s:
                addresses = [deployment.callers[name] for name in entry_names]
                simulated_servers = SimulatedServers(
                    addresses, servers, light_renewal_s
                )
                simulated_servers.start()
            else:
                for number in range(servers):
                    deployment.start_backend(
                        f"encode-{number}", ["encode"], entry_names
                    )
            deployment.wait_ready(entry_names, servers=servers)
            time.sleep(_SETTLE_DELAY_S)
            idle = _measure_row(
                deployment, entry_names, "idle", lambda: time.sleep(seconds)
            )
            latencies: list[float] = []
            busy = _measure_row(
                deployment,
                entry_names,
                "busy",
                lambda: latencies.extend(
                    _apply_changes(deployment, entry_names, changes)
                ),
            )
        finally:
            if simulated_servers is not None:
                simulated_servers.stop()
            deployment.close()
    return [idle, _with_latencies(busy, latencies)]


class SimulatedServers:
    """Announces backend servers that don't exist from threads of this process.

    Each lease lasts three renewal intervals.
    """

    def __init__(self, addresses: list[str], count: int, renewal_s: float) -> None:
        self._addresses = addresses
        self._renewal_s = renewal_s
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._announce, args=(number,), daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Start the announcements."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all announcements and let the leases expire."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _announce(self, number: int) -> None:
        url = f"http://{self._addresses[number % len(self._addresses)]}"
        pool = urllib3.PoolManager(retries=False)
        self._stopping.wait(self._renewal_s * number / len(self._threads))
        for sequence in itertools.count(1):
            body = {
                "server_id": f"light-{number}",
                "incarnation": 1,
                "sequence": sequence,
                "address": f"127.0.0.1:{_FIRST_SIMULATED_PORT + number}",
                "zone": "zone-1",
                "stages": ["encode"],
                "capacity": 16,
                "ttl_s": 3 * self._renewal_s,
                "load": {"running": sequence % 3, "queued": 0, "age_s": 0.0},
            }
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                pool.request("POST", f"{url}/v1/announcements", json=body)
            if self._stopping.wait(self._renewal_s):
                return


def _measure_row(deployment, entry_names, state, workload) -> Row:
    pids = {name: deployment.processes[name].popen.pid for name in entry_names}
    control_pid = deployment.processes["control-1"].popen.pid
    started = time.monotonic()
    before = read_usage([*pids.values(), control_pid])
    workload()
    seconds = time.monotonic() - started
    after = read_usage([*pids.values(), control_pid])
    entry_shares = [
        (after[pid].processor_s - before[pid].processor_s) / seconds
        for pid in pids.values()
    ]
    entry_bytes = [
        _count_bytes_between(before[pid], after[pid]) / seconds for pid in pids.values()
    ]
    control_s = after[control_pid].processor_s - before[control_pid].processor_s
    resident = max(after[pid].resident_bytes for pid in pids.values())
    return Row(
        hosts=len(entry_names),
        state=state,
        entry_share=statistics.mean(entry_shares),
        entry_share_most=max(entry_shares),
        entry_bytes_per_s=statistics.mean(entry_bytes),
        entry_bytes_per_s_most=max(entry_bytes),
        entry_resident_mb=resident / 1e6,
        control_share=control_s / seconds,
        control_bytes_per_s=_count_bytes_between(
            before[control_pid], after[control_pid]
        )
        / seconds,
        control_resident_mb=after[control_pid].resident_bytes / 1e6,
    )


def _count_bytes_between(before: ResourceUsage, after: ResourceUsage) -> float:
    # The bytes of a connection that was closed in between are no longer counted,
    # so the difference may be negative.
    sent = max(0, after.sent_bytes - before.sent_bytes)
    return sent + max(0, after.received_bytes - before.received_bytes)


def _apply_changes(deployment, entry_names, changes: int) -> list[float]:
    """Apply changes one after the other.

    Returns:
        Seconds from each change's acceptance until all entry hosts confirm it.
    """
    latencies = []
    for number in range(changes):
        spec = {"stages": ["encode"], "deadline_ms": 1_000 + number}
        revision = deployment.apply([put("pipeline", "measured", spec)], f"c{number}")
        accepted = time.monotonic()
        wait_until(
            lambda revision=revision: _all_confirmed(deployment, entry_names, revision),
            "in force",
        )
        latencies.append(time.monotonic() - accepted)
    return latencies


def _all_confirmed(deployment, entry_names, revision) -> bool:
    _, status = deployment.request_operator_api("GET", "/v1/status")
    confirmed = [host["revision"] for host in status["hosts"]]
    return len(confirmed) >= len(entry_names) and min(confirmed) >= revision


def _with_latencies(row: Row, latencies: list[float]) -> Row:
    fields = {name: getattr(row, name) for name in Row.__slots__}
    fields["in_force_p50_s"] = statistics.median(latencies)
    fields["in_force_most_s"] = max(latencies)
    return Row(**fields)


@click.command()
@click.option("--hosts", "host_counts", default="1,8,28")
@click.option("--servers", default=10)
@click.option("--seconds", default=20.0)
@click.option("--changes", default=20)
@click.option(
    "--light-renewal-s",
    default=0.0,
    help="Announce from threads of this process, each so many seconds.",
)
def main(
    host_counts: str, servers: int, seconds: float, changes: int, light_renewal_s: float
) -> None:
    """Measure each number of entry hosts and print the results."""
    rows: list[Row] = []
    for hosts in host_counts.split(","):
        rows.extend(measure(int(hosts), servers, seconds, changes, light_renewal_s))
    for row in rows:
        click.echo(
            f"{row.hosts:3} hosts {row.state:5}"
            f"  entry {row.entry_share:6.2%} (most {row.entry_share_most:6.2%})"
            f" {row.entry_bytes_per_s:7.0f} B/s (most"
            f" {row.entry_bytes_per_s_most:7.0f}) {row.entry_resident_mb:5.0f} MB"
            f"  control {row.control_share:6.2%} {row.control_bytes_per_s:7.0f} B/s"
            f" {row.control_resident_mb:5.0f} MB"
            f"  in force {row.in_force_p50_s:.2f} s (most {row.in_force_most_s:.2f} s)"
        )
    summary = {
        "limits": {
            "processor_share": _PROCESSOR_SHARE_LIMIT,
            "bytes_per_s": _BYTES_PER_S_LIMIT,
            "resident_mb": _RESIDENT_LIMIT_MB,
            "in_force_s": _CHANGE_IN_FORCE_LIMIT_S,
        },
        "heartbeat_interval_s": HEARTBEAT_INTERVAL_S,
        "rows": [{n: getattr(row, n) for n in Row.__slots__} for row in rows],
    }
    click.echo(json.dumps(summary))


if __name__ == "__main__":
    main()
