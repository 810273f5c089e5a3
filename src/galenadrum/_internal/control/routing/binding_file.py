"""File of stream bindings on a control host, so that they outlive its process.

Bindings are written behind and not synced: one that is lost can't be taken up, and any
copy on another host serves as well. The file is replaced by an empty one when its
bindings have expired.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from pathlib import Path

from galenadrum._internal.control.routing.record_lines import (
    decode_lines,
    encode_line,
)
from galenadrum._internal.models.stream_bindings import StreamBinding
from galenadrum._internal.streams.binding_table import MAX_BINDING_AGE_S

logger = logging.getLogger(__name__)

_FILE_NAME = "stream-bindings"
_PREVIOUS_FILE_NAME = "stream-bindings.1"
_WRITE_INTERVAL_S = 0.05
# Bindings that wait for a disk that hangs; more are dropped.
_MAX_PENDING = 20_000


class BindingFile:
    """Appends bindings to a file in the data folder.

    Args:
        folder: Data folder of the host.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / _FILE_NAME
        self._previous_path = folder / _PREVIOUS_FILE_NAME
        self._pending: list[StreamBinding] = []
        self._added = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._begun_at = self._loop.time()
        self._is_failing = False

    def load(self) -> list[StreamBinding]:
        """Return the bindings on disk; lines that are torn or unreadable are skipped.

        They expire as if they were new, since the clocks of a host that restarts don't
        tell their age.
        """
        now = self._loop.time()
        bindings = []
        for path in (self._previous_path, self._path):
            try:
                records, unreadable = decode_lines(path.read_bytes())
            except FileNotFoundError:
                continue
            except OSError as error:
                logger.error(
                    "can't read stream bindings from %s: %s; their streams can't be "
                    "taken up",
                    path,
                    error,
                )
                continue
            decoded = [_decode_values(values, now) for values in records]
            bindings += [binding for binding in decoded if binding is not None]
            unreadable += decoded.count(None)
            if unreadable:
                logger.warning("skipped %d unreadable lines of %s", unreadable, path)
        return bindings

    def append(self, bindings: Iterable[StreamBinding]) -> None:
        """Queue bindings for the next write."""
        if len(self._pending) >= _MAX_PENDING:
            return
        self._pending += bindings
        self._added.set()

    async def run(self) -> None:
        """Write queued bindings until cancelled."""
        while True:
            await self._added.wait()
            await asyncio.sleep(_WRITE_INTERVAL_S)
            self._added.clear()
            bindings, self._pending = self._pending, []
            is_due = self._loop.time() - self._begun_at > MAX_BINDING_AGE_S
            if is_due:
                self._begun_at = self._loop.time()
            data = b"".join(map(_encode_line, bindings))
            try:
                await self._loop.run_in_executor(None, self._write, data, is_due)
            except OSError as error:
                self._log_failure(error)
            else:
                self._is_failing = False

    def _log_failure(self, error: OSError) -> None:
        """Log that writing fails, once until it works again."""
        if not self._is_failing:
            logger.error(
                "can't write stream bindings to %s: %s; those from now on are lost if "
                "all hosts end",
                self._path,
                error,
            )
        self._is_failing = True

    def _write(self, data: bytes, is_due: bool) -> None:
        if is_due and self._path.exists():
            self._path.replace(self._previous_path)
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open("ab", buffering=0) as file:
            file.write(data)


def _encode_line(binding: StreamBinding) -> bytes:
    return encode_line(
        [
            binding.request_id,
            binding.organisation,
            binding.service,
            binding.software_version,
            binding.server_id,
            binding.is_ambiguous,
        ]
    )


def _decode_values(values: list, now: float) -> StreamBinding | None:
    try:
        *names, is_ambiguous = values
        return StreamBinding(*names, now, now + MAX_BINDING_AGE_S, is_ambiguous)
    except (ValueError, TypeError):
        return None
