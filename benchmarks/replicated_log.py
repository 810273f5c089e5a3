"""Benchmark of the replicated log against a bare append with fdatasync.

Starts members as processes on 127.0.0.1 and measures them idle and under
proposals, then starts one member in this process to measure restart time and log
size.
Prints a table and, as its last line, one JSON object. Run it as
``PYTHONPATH=src:tests python benchmarks/replicated_log.py``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.models.settings import ControlMember, ControlSettings
from lib.log_cluster import ListStateMachine, address_of, bind_free_port

_COMMAND_BYTES = 300
_TCP_IP_HEADER_BYTES = 52
_RESTART_CHANGE_COUNTS = (500, 5_000, 50_000)
_PROCESS_TIMEOUT_S = 30


class MemberProcess:
    """Member of the replicated log in a process of its own."""

    def __init__(self, settings: dict[str, object]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "lib.log_member", json.dumps(settings)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._process.stdout.readline()

    def send_command(self, command: str, **arguments: object) -> dict:
        """Send a command to the process and return its response."""
        self._process.stdin.write(json.dumps({"do": command, **arguments}) + "\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def stop(self) -> None:
        """End the process by closing its input."""
        self._process.stdin.close()
        self._process.wait(_PROCESS_TIMEOUT_S)


def start_cluster(
    folder: Path, member_count: int, heartbeat_ms: int
) -> list[MemberProcess]:
    """Start the members and return them with the leader first.

    Raises:
        TimeoutError: If no member becomes leader in time.
    """
    sockets = [bind_free_port() for _ in range(member_count)]
    members = {f"member-{n}": address_of(sock) for n, sock in enumerate(sockets)}
    for sock in sockets:
        sock.close()
    processes = [
        MemberProcess(
            {
                "member_id": member_id,
                "members": members,
                "folder": str(folder / member_id),
                "heartbeat_ms": heartbeat_ms,
            }
        )
        for member_id in members
    ]
    deadline = time.monotonic() + _PROCESS_TIMEOUT_S
    while time.monotonic() < deadline:
        for process in processes:
            if process.send_command("status")["is_leader"]:
                return sorted(processes, key=lambda p: p is not process)
        time.sleep(0.05)
    raise TimeoutError("no member became leader before the timeout")


def measure_usage(process: MemberProcess, workload) -> tuple[dict[str, float], float]:
    """Return the resource usage of a process during ``workload``, and its duration."""
    before = process.send_command("usage")
    started = time.perf_counter()
    workload()
    elapsed_s = time.perf_counter() - started
    after = process.send_command("usage")
    used = {key: after[key] - before[key] for key in after if key != "id"}
    return used, elapsed_s


def measure_idle(process: MemberProcess, seconds: float) -> dict[str, float]:
    """Return the processor share, traffic and memory of an idle member."""
    used, elapsed_s = measure_usage(process, lambda: time.sleep(seconds))
    payload = used["sent_bytes"] + used["received_bytes"]
    headers = 2 * used["sends"] * _TCP_IP_HEADER_BYTES
    return {
        "processor_percent": 100 * used["processor_s"] / elapsed_s,
        "payload_bytes_per_s": payload / elapsed_s,
        "sent_bytes_per_s": used["sent_bytes"] / elapsed_s,
        "bytes_per_s_with_headers": (payload + headers) / elapsed_s,
        "sends_per_s": used["sends"] / elapsed_s,
        "resident_mib": process.send_command("usage")["resident_mib"],
    }


def measure_proposals(
    leader: MemberProcess, follower: MemberProcess, count: int, concurrency: int
) -> dict[str, float]:
    """Return the rate of synced proposals and the processor time of each."""
    response = {}

    def load() -> None:
        response.update(
            leader.send_command(
                "load", count=count, concurrency=concurrency, size=_COMMAND_BYTES
            )
        )

    follower_before = follower.send_command("usage")["processor_s"]
    used, _ = measure_usage(leader, load)
    follower_used_s = follower.send_command("usage")["processor_s"] - follower_before
    return {
        "proposals_per_s": count / response["elapsed_s"],
        "leader_us_per_proposal": 1e6 * used["processor_s"] / count,
        "follower_us_per_proposal": 1e6 * follower_used_s / count,
    }


def measure_bare_appends(folder: Path, count: int = 500) -> float:
    """Return the number of synced appends of one command per second."""
    file = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    started = time.perf_counter()
    for _ in range(count):
        os.write(file, b"x" * _COMMAND_BYTES)
        os.fdatasync(file)
    elapsed_s = time.perf_counter() - started
    os.close(file)
    return count / elapsed_s


async def measure_restart(folder: Path, count: int) -> dict[str, float]:
    """Return the restart time and log size of one member after ``count`` changes."""
    member = ControlMember("a", "127.0.0.1:1")
    settings = ControlSettings(
        "a", "zone-1", folder, "", member.peer_address, (member,), ()
    )
    log = ReplicatedLog(settings, ListStateMachine(), random.Random())
    await log.start()
    while not log.is_leader:
        await asyncio.sleep(0.01)
    for first in range(0, count, 1_000):
        numbers = range(first, min(first + 1_000, count))
        commands = (b"%0*d" % (_COMMAND_BYTES, n) for n in numbers)
        await asyncio.gather(*(log.propose(c, 30) for c in commands))
    log_bytes = log.log_bytes
    await log.stop()
    machine = ListStateMachine()
    log = ReplicatedLog(settings, machine, random.Random())
    started = time.perf_counter()
    await log.start()
    while len(machine.commands) < count:
        await asyncio.sleep(0)
    elapsed_s = time.perf_counter() - started
    snapshot_bytes = sum(p.stat().st_size for p in folder.glob("snapshot"))
    await log.stop()
    return {
        "changes": count,
        "log_bytes": log_bytes,
        "snapshot_bytes": snapshot_bytes,
        "restart_ms": 1_000 * elapsed_s,
    }


def measure(
    seconds: float, count: int, member_count: int, heartbeat_ms: int
) -> dict[str, object]:
    """Run all measurements and return the figures by name."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        bare_appends_per_s = measure_bare_appends(folder)
        processes = start_cluster(folder, member_count, heartbeat_ms)
        leader, follower = processes[0], processes[1]
        figures: dict[str, object] = {
            "bare_appends_per_s": bare_appends_per_s,
            "idle_leader": measure_idle(leader, seconds),
            "idle_follower": measure_idle(follower, seconds),
        }
        for concurrency in (1, 32, 256):
            proposal_count = count if concurrency > 1 else count // 10
            proposals = measure_proposals(leader, follower, proposal_count, concurrency)
            proposals["ratio_to_bare"] = (
                proposals["proposals_per_s"] / bare_appends_per_s
            )
            figures[f"proposals_{concurrency}"] = proposals
        for process in processes:
            process.stop()
        for changes in _RESTART_CHANGE_COUNTS:
            restart = asyncio.run(measure_restart(folder / f"r{changes}", changes))
            figures[f"restart_{changes}"] = restart
    return figures


def main() -> None:
    """Run the benchmark; print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20, help="of idleness")
    parser.add_argument("--count", type=int, default=5_000, help="of proposals")
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--heartbeat-ms", type=int, default=150)
    arguments = parser.parse_args()
    figures = measure(
        arguments.seconds, arguments.count, arguments.members, arguments.heartbeat_ms
    )
    for name, value in figures.items():
        rows = value.items() if isinstance(value, dict) else [("", value)]
        for key, number in rows:
            print(f"{name:20} {key:28} {number:14.2f}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
