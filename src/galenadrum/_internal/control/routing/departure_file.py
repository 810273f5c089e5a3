"""Departures of backend servers on a control host's disk.

A departure is acknowledged to its server, so it has to outlive all processes. It is
synced before it counts, unlike what other hosts or the servers themselves tell again.

A new file is begun when the last is older than a departure is kept, and the one before
is removed. No file is renamed: after a loss of power a rename may be undone while what
was written later is kept.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Iterable
from pathlib import Path

from galenadrum._internal.control.routing.record_lines import (
    decode_lines,
    encode_line,
)
from galenadrum._internal.directory.registry import REMOVE_AFTER_S
from galenadrum._internal.exceptions import InvalidAnnouncementError
from galenadrum._internal.models.announcements import Departure, ServerState

logger = logging.getLogger(__name__)

_FILE_PREFIX = "departures-"
# Departures that wait for a disk that hangs; more are rejected.
_MAX_PENDING = 10_000


class DepartureFile:
    """Appends departures to files in the data folder.

    Args:
        folder: Data folder of the host.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._pending: list[tuple[bytes, asyncio.Future[None]]] = []
        self._added = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._number = max(self._list_numbers(), default=0)
        # The first write begins a file: the last may end in a torn line of another.
        self._begun_at = float("-inf")
        self._started_at = self._loop.time()

    def _list_numbers(self) -> list[int]:
        numbers = (
            path.name.removeprefix(_FILE_PREFIX)
            for path in self._folder.glob(f"{_FILE_PREFIX}*")
        )
        return sorted(int(number) for number in numbers if number.isdecimal())

    def _path(self, number: int) -> Path:
        return self._folder / f"{_FILE_PREFIX}{number}"

    def load(self) -> list[Departure]:
        """Return the departures on disk; unreadable lines are skipped."""
        departures = []
        for number in self._list_numbers():
            path = self._path(number)
            try:
                records, unreadable = decode_lines(path.read_bytes())
            except OSError as error:
                logger.error(
                    "can't read departures from %s: %s; servers that left may get "
                    "requests again if a late announcement comes",
                    path,
                    error,
                )
                continue
            decoded = [_decode_values(values) for values in records]
            departures += [departure for departure in decoded if departure is not None]
            unreadable += decoded.count(None)
            if unreadable:
                logger.warning("skipped %d unreadable lines of %s", unreadable, path)
        return departures

    async def write(self, departures: Iterable[Departure]) -> None:
        """Write departures; return when they are on stable storage.

        Raises:
            OSError: The disk refused them, or too many wait for it.
        """
        if len(self._pending) >= _MAX_PENDING:
            raise OSError(f"{_MAX_PENDING} writes of departures wait for the disk")
        data = b"".join(map(_encode_line, departures))
        written = self._loop.create_future()
        self._pending.append((data, written))
        self._added.set()
        await written

    async def run(self) -> None:
        """Write queued departures until cancelled; all that wait share one sync."""
        while True:
            await self._added.wait()
            self._added.clear()
            pending, self._pending = self._pending, []
            data = b"".join(part for part, _ in pending)
            try:
                await self._loop.run_in_executor(
                    None, self._write, data, self._rotate()
                )
            except OSError as error:
                logger.error(
                    "can't write departures to %s: %s", self._path(self._number), error
                )
                for _, written in pending:
                    if not written.done():
                        written.set_exception(OSError(str(error)))
            else:
                for _, written in pending:
                    if not written.done():
                        written.set_result(None)

    def _rotate(self) -> tuple[int, ...]:
        """Choose the file for the next write; return the numbers of expired ones."""
        now = self._loop.time()
        if now - self._begun_at <= REMOVE_AFTER_S:
            return ()
        self._number += 1
        self._begun_at = now
        if now - self._started_at <= REMOVE_AFTER_S:
            # What an earlier process wrote was read as if it were new.
            return ()
        # The file before may hold departures that were written just now.
        return tuple(n for n in self._list_numbers() if n < self._number - 1)

    def _write(self, data: bytes, expired: tuple[int, ...]) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._path(self._number)
        is_new = not path.exists()
        file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]
            os.fsync(file)
        finally:
            os.close(file)
        if is_new:
            self._sync_folder()
        for number in expired:
            self._path(number).unlink(missing_ok=True)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _encode_line(departure: Departure) -> bytes:
    values: list[object] = [
        departure.server_id,
        departure.incarnation_ms,
        departure.sequence,
        departure.state.value,
    ]
    # Earlier builds skip a line with a service; they would apply it to any server.
    if departure.service is not None:
        values.append(departure.service)
    return encode_line(values)


def _decode_values(values: list) -> Departure | None:
    try:
        server_id, incarnation_ms, sequence, state, *more = values
        (service,) = more or (None,)
        return Departure(
            server_id, incarnation_ms, sequence, ServerState(state), service
        )
    except (ValueError, TypeError, InvalidAnnouncementError):
        return None
