"""Benchmark of the log's storage against SQLite and a bare append with fdatasync.

Prints a table and, as its last line, one JSON object. Run it as
``PYTHONPATH=src python benchmarks/log_storage.py``.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from galenadrum._internal.control.replication.disk import FolderDisk
from galenadrum._internal.control.replication.entries import (
    Entry,
    EntryKind,
    HardState,
)
from galenadrum._internal.control.replication.messages import Persist
from galenadrum._internal.control.replication.storage import open_storage

_COMMAND = b"x" * 300


def _measure_rate(write: Callable[[int], None], writes: int) -> float:
    started = time.perf_counter()
    for number in range(writes):
        write(number)
    return writes / (time.perf_counter() - started)


def _measure_bare_append(folder: Path, writes: int, batch: int) -> float:
    file = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(_: int) -> None:
        os.write(file, _COMMAND * batch)
        os.fdatasync(file)

    rate = _measure_rate(write, writes)
    os.close(file)
    return rate


def _measure_segments(folder: Path, writes: int, batch: int) -> tuple[float, float]:
    storage, _ = open_storage(FolderDisk(folder), random.Random())

    def write(number: int) -> None:
        first = number * batch + 1
        entries = tuple(
            Entry(index, 1, EntryKind.COMMAND, _COMMAND)
            for index in range(first, first + batch)
        )
        storage.write((Persist(number + 1, HardState(1, "a"), entries),))

    rate = _measure_rate(write, writes)
    storage.close()
    started = time.perf_counter()
    storage, _ = open_storage(FolderDisk(folder), random.Random())
    load_s = time.perf_counter() - started
    storage.close()
    return rate, load_s


def _measure_sqlite(folder: Path, writes: int, batch: int) -> tuple[float, float]:
    folder.mkdir()
    path = folder / "log.db"
    database = sqlite3.connect(path, isolation_level=None)
    database.execute("PRAGMA locking_mode=EXCLUSIVE")
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute(
        "CREATE TABLE log (i INTEGER PRIMARY KEY, term INTEGER, data BLOB)"
    )

    def write(number: int) -> None:
        first = number * batch + 1
        database.execute("BEGIN")
        database.executemany(
            "INSERT INTO log VALUES (?, 1, ?)",
            [(index, _COMMAND) for index in range(first, first + batch)],
        )
        database.execute("COMMIT")

    rate = _measure_rate(write, writes)
    database.close()
    started = time.perf_counter()
    database = sqlite3.connect(path)
    database.execute("SELECT * FROM log").fetchall()
    load_s = time.perf_counter() - started
    database.close()
    return rate, load_s


def measure(writes: int) -> dict[str, float]:
    """Measure the rates of synced writes, and the time to load the written log.

    Rates of the log's storage and of SQLite are ratios to the bare append.
    """
    figures: dict[str, float] = {}
    for batch in (1, 32):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            bare_rate = _measure_bare_append(folder, writes, batch)
            segments_rate, segments_load_s = _measure_segments(
                folder / "segments", writes, batch
            )
            sqlite_rate, sqlite_load_s = _measure_sqlite(
                folder / "sqlite", writes, batch
            )
        figures |= {
            f"bare_writes_per_s_of_{batch}": bare_rate,
            f"segments_to_bare_of_{batch}": segments_rate / bare_rate,
            f"sqlite_to_bare_of_{batch}": sqlite_rate / bare_rate,
            f"segments_load_ms_of_{batch}": 1_000 * segments_load_s,
            f"sqlite_load_ms_of_{batch}": 1_000 * sqlite_load_s,
        }
    return figures


def main() -> None:
    """Run the benchmark; print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--writes", type=int, default=1_500)
    figures = measure(parser.parse_args().writes)
    for name, value in figures.items():
        print(f"{name:28} {value:12.2f}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
