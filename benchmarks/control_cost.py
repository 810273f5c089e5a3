"""What control costs the daemons, idle and under changes, by hosts a zone.

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
_FIRST_LIGHT_PORT = 20_000


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


def measure(
    hosts: int, servers: int, seconds: float, changes: int, light_renewal_s: float
) -> list[Row]:
    """Return the idle and the busy row of one size."""
    with tempfile.TemporaryDirectory(prefix="galenadrum-bench-") as folder:
        deployment = Deployment(Path(folder))
        announcers = None
        try:
            deployment.start_controls(1)
            deployment.apply(standard_changes(), "first")
            names = deployment.start_entries(hosts, callers={"workers": 16})
            if light_renewal_s:
                addresses = [deployment.callers[name] for name in names]
                announcers = LightServers(addresses, servers, light_renewal_s)
                announcers.start()
            else:
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
            if announcers is not None:
                announcers.stop()
            deployment.close()
    return [idle, _with_latencies(busy, latencies)]


class LightServers:
    """Announces servers that don't exist, with leases of three renewals."""

    def __init__(self, addresses: list[str], count: int, renewal_s: float) -> None:
        self._addresses = addresses
        self._renewal_s = renewal_s
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._announce, args=(number,), daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin to announce."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End all announcements; the leases run out."""
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
                "address": f"127.0.0.1:{_FIRST_LIGHT_PORT + number}",
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
@click.option(
    "--light-renewal-s",
    default=0.0,
    help="Announce from threads of this process, each so many seconds.",
)
def main(
    host_counts: str, servers: int, seconds: float, changes: int, light_renewal_s: float
) -> None:
    """Measure each number of hosts and print the table."""
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
            "in_force_s": _IN_FORCE_LIMIT_S,
        },
        "heartbeat_interval_s": HEARTBEAT_INTERVAL_S,
        "rows": [{n: getattr(row, n) for n in Row.__slots__} for row in rows],
    }
    click.echo(json.dumps(summary))


if __name__ == "__main__":
    main()
