"""Resource usage of running processes, read from /proc and ``ss``."""

from __future__ import annotations

import os
import re
import subprocess
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_PID = re.compile(r"pid=(\d+)")
_SENT_BYTES = re.compile(r"bytes_sent:(\d+)")
_RECEIVED_BYTES = re.compile(r"bytes_received:(\d+)")


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource usage of one process.

    Attributes:
        processor_s: Processor time since the process started.
        resident_bytes: Current resident memory.
        sent_bytes: Bytes sent over the TCP sockets that are open now.
        received_bytes: Bytes received over the TCP sockets that are open now.
    """

    processor_s: float
    resident_bytes: int
    sent_bytes: int = 0
    received_bytes: int = 0


def read_usage(pids: list[int]) -> dict[int, ResourceUsage]:
    """Return the current resource usage of each process by its pid."""
    bytes_by_pid = _read_socket_bytes()
    return {pid: _read_process(pid, *bytes_by_pid[pid]) for pid in pids}


def _read_process(pid: int, sent_bytes: int, received_bytes: int) -> ResourceUsage:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    processor_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ResourceUsage(processor_s, pages * _PAGE_BYTES, sent_bytes, received_bytes)


def _read_socket_bytes() -> dict[int, tuple[int, int]]:
    ss_output = subprocess.run(
        ["ss", "-tinpH"], capture_output=True, text=True, check=True
    ).stdout
    totals_by_pid: dict[int, list[int]] = defaultdict(lambda: [0, 0])
    pid = None
    for line in ss_output.splitlines():
        if not line.startswith((" ", "\t")):
            match = _PID.search(line)
            pid = int(match.group(1)) if match else None
            continue
        if pid is not None:
            totals_by_pid[pid][0] += sum(map(int, _SENT_BYTES.findall(line)))
            totals_by_pid[pid][1] += sum(map(int, _RECEIVED_BYTES.findall(line)))
    return defaultdict(
        lambda: (0, 0),
        {key: (value[0], value[1]) for key, value in totals_by_pid.items()},
    )
