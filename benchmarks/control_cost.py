"""What control costs the daemons, idle and under changes, by hosts a zone.

Run with ``make bench-control``. Prints a table and, as its last line, one JSON
object. Each row starts separate processes on loopback.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import click

from benchmarks.process_figures import Figures, read_figures
from galenadrum._internal.entry.declarations_follower import HEARTBEAT_INTERVAL_S
from lib.deployment import Deployment, put, standard_changes
from lib.processes import wait_until

# The users' limits for a daemon's control.
_PROCESSOR_SHARE_LIMIT = 0.02
_BYTES_PER_S_LIMIT = 6_000
_RESIDENT_LIMIT_MB = 128
_IN_FORCE_LIMIT_S = 18.0

_SETTLE_S = 5.0


@dataclass(frozen=True, slots=True)
class Row:
    """One size: shares of a core, bytes a second and memory, mean and most."""

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


def measure(hosts: int, servers: int, seconds: float, changes: int) -> list[Row]:
    """Return the idle and the busy row of one size."""
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        try:
            deployment.start_controls(1)
            deployment.apply(standard_changes(), "first")
            names = deployment.start_entries(hosts, callers={"workers": 16})
            for number in range(servers):
                deployment.start_backend(f"encode-{number}", ["encode"], names)
            deployment.wait_ready(names, servers=servers)
            time.sleep(_SETTLE_S)
            idle = _row(deployment, names, "idle", lambda: time.sleep(seconds))
            latencies: list[float] = []
            busy = _row(
                deployment,
                names,
                "busy",
                lambda: latencies.extend(_apply_changes(deployment, names, changes)),
            )
        finally:
            deployment.close()
    return [idle, _with_latencies(busy, latencies)]


def _row(deployment, names, state, act) -> Row:
    pids = {name: deployment.processes[name].popen.pid for name in names}
    control_pid = deployment.processes["control-1"].popen.pid
    started = time.monotonic()
    before = read_figures([*pids.values(), control_pid])
    act()
    seconds = time.monotonic() - started
    after = read_figures([*pids.values(), control_pid])
    entry_shares = [
        (after[pid].processor_s - before[pid].processor_s) / seconds
        for pid in pids.values()
    ]
    entry_bytes = [
        _bytes_between(before[pid], after[pid]) / seconds for pid in pids.values()
    ]
    control_s = after[control_pid].processor_s - before[control_pid].processor_s
    resident = max(after[pid].resident_bytes for pid in pids.values())
    return Row(
        hosts=len(names),
        state=state,
        entry_share=statistics.mean(entry_shares),
        entry_share_most=max(entry_shares),
        entry_bytes_per_s=statistics.mean(entry_bytes),
        entry_bytes_per_s_most=max(entry_bytes),
        entry_resident_mb=resident / 1e6,
        control_share=control_s / seconds,
        control_bytes_per_s=_bytes_between(before[control_pid], after[control_pid])
        / seconds,
        control_resident_mb=after[control_pid].resident_bytes / 1e6,
    )


def _bytes_between(before: Figures, after: Figures) -> float:
    # Connections that closed in between take their bytes with them.
    sent = max(0, after.sent_bytes - before.sent_bytes)
    return sent + max(0, after.received_bytes - before.received_bytes)


def _apply_changes(deployment, names, changes: int) -> list[float]:
    """Apply changes one by one; return the time until all hosts serve each."""
    latencies = []
    for number in range(changes):
        spec = {"stages": ["encode"], "deadline_ms": 1_000 + number}
        revision = deployment.apply([put("pipeline", "measured", spec)], f"c{number}")
        accepted = time.monotonic()
        wait_until(
            lambda revision=revision: _all_confirmed(deployment, names, revision),
            "in force",
        )
        latencies.append(time.monotonic() - accepted)
    return latencies


def _all_confirmed(deployment, names, revision) -> bool:
    _, status = deployment.operate("GET", "/v1/status")
    confirmed = [host["revision"] for host in status["hosts"]]
    return len(confirmed) >= len(names) and min(confirmed) >= revision


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
def main(host_counts: str, servers: int, seconds: float, changes: int) -> None:
    """Measure each number of hosts and print the table."""
    rows: list[Row] = []
    for hosts in host_counts.split(","):
        rows.extend(measure(int(hosts), servers, seconds, changes))
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
            "in_force_s": _IN_FORCE_LIMIT_S,
        },
        "heartbeat_interval_s": HEARTBEAT_INTERVAL_S,
        "rows": [{n: getattr(row, n) for n in Row.__slots__} for row in rows],
    }
    click.echo(json.dumps(summary))


if __name__ == "__main__":
    main()
