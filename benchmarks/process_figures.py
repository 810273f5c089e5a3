"""Figures of running processes, read from the operating system."""

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
_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")


@dataclass(frozen=True, slots=True)
class Figures:
    """What one process used since it started, and what it holds now."""

    processor_s: float
    resident_bytes: int
    sent_bytes: int = 0
    received_bytes: int = 0


def read_figures(pids: list[int]) -> dict[int, Figures]:
    """Return the figures of each process; bytes are those of open sockets."""
    bytes_by_pid = _read_socket_bytes()
    return {pid: _read_one(pid, *bytes_by_pid[pid]) for pid in pids}


def _read_one(pid: int, sent: int, received: int) -> Figures:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    processor_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Figures(processor_s, pages * _PAGE_BYTES, sent, received)


def _read_socket_bytes() -> dict[int, tuple[int, int]]:
    listing = subprocess.run(
        ["ss", "-tinpH"], capture_output=True, text=True, check=True
    ).stdout
    totals: dict[int, list[int]] = defaultdict(lambda: [0, 0])
    pid = None
    for line in listing.splitlines():
        if not line.startswith((" ", "\t")):
            found = _PID.search(line)
            pid = int(found.group(1)) if found else None
            continue
        if pid is not None:
            totals[pid][0] += sum(map(int, _SENT.findall(line)))
            totals[pid][1] += sum(map(int, _RECEIVED.findall(line)))
    return defaultdict(
        lambda: (0, 0), {key: (value[0], value[1]) for key, value in totals.items()}
    )
