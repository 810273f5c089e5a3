"""Quarantines on a control host's disk.

When all processes end at once, no host is left to hand them over, and several servers
crash before each part is quarantined again. The file holds all quarantines. It is
written behind, and replaced as a whole after each change.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

from galenadrum._internal.control.routing.record_lines import (
    decode_lines,
    encode_line,
)
from galenadrum._internal.models.quarantine import QuarantinedPart

logger = logging.getLogger(__name__)

_FILE_NAME = "quarantines"
_TEMPORARY_FILE_NAME = "quarantines.new"
_RETRY_INTERVAL_S = 1.0


class QuarantineFile:
    """Keeps the quarantines that a host knows in its data folder.

    Args:
        folder: Data folder of the host.
        list_records: Returns all quarantines at a loop time in seconds.
    """

    def __init__(
        self,
        folder: Path,
        list_records: Callable[[float], tuple[QuarantinedPart, ...]],
    ) -> None:
        self._folder = folder
        self._list_records = list_records
        self._changed = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def load(self) -> list[QuarantinedPart]:
        """Return the quarantines on disk; unreadable lines are skipped.

        Their terms go on from now, since the clocks of a host that restarts don't tell
        how long it was down.
        """
        path = self._folder / _FILE_NAME
        try:
            records, unreadable = decode_lines(path.read_bytes())
        except FileNotFoundError:
            return []
        except OSError as error:
            logger.error(
                "can't read quarantines from %s: %s; starting without them",
                path,
                error,
            )
            return []
        now = self._loop.time()
        decoded = [_decode_values(values, now) for values in records]
        unreadable += decoded.count(None)
        if unreadable:
            logger.warning("skipped %d unreadable lines of %s", unreadable, path)
        return [record for record in decoded if record is not None]

    def request_write(self) -> None:
        """Schedule a write of all quarantines."""
        self._changed.set()

    async def run(self) -> None:
        """Write the quarantines after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            now = self._loop.time()
            lines = [_encode_line(record, now) for record in self._list_records(now)]
            try:
                await self._loop.run_in_executor(None, self._write, b"".join(lines))
            except OSError as error:
                logger.error(
                    "can't write quarantines to %s: %s; trying again",
                    self._folder / _FILE_NAME,
                    error,
                )
                await asyncio.sleep(_RETRY_INTERVAL_S)
                self._changed.set()

    def _write(self, data: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._folder / _TEMPORARY_FILE_NAME
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / _FILE_NAME)
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _encode_line(record: QuarantinedPart, now: float) -> bytes:
    return encode_line(
        [
            record.part_id,
            record.named_by,
            record.term,
            record.expires_at - now,
            record.crashes,
            record.is_lifted,
            now - record.suspected_since,
        ]
    )


def _decode_values(values: list, now: float) -> QuarantinedPart | None:
    try:
        part_id, named_by, term, left_s, crashes, is_lifted, suspected_s = values
        return QuarantinedPart(
            part_id,
            named_by,
            term,
            now + left_s,
            crashes,
            is_lifted,
            now - suspected_s,
        )
    except (ValueError, TypeError):
        return None
