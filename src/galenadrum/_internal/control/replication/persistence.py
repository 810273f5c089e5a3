"""Writes to storage on a separate thread."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from galenadrum._internal.control.replication.messages import Persist
from galenadrum._internal.control.replication.storage import Storage
from galenadrum._internal.exceptions import GalenadrumError, StorageError

logger = logging.getLogger(__name__)


class PersistenceWriter:
    """Writes batches to storage in order; queued batches share one write.

    The core bounds the number of queued batches.

    Args:
        storage: Storage to write to; only its `write` is used.
        on_synced: Called with the sequence of the last durable batch.
        on_failed: Called once when storage fails; nothing is written after that.
    """

    def __init__(
        self,
        storage: Storage,
        on_synced: Callable[[int], None],
        on_failed: Callable[[GalenadrumError], None],
    ) -> None:
        self._storage = storage
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._queued_batches: list[Persist] = []
        self._batch_added = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="log-sync")

    def add(self, batch: Persist) -> None:
        """Queue a batch for the next write."""
        self._queued_batches.append(batch)
        self._batch_added.set()

    async def run(self) -> None:
        """Write queued batches until storage fails or the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._batch_added.wait()
            self._batch_added.clear()
            batches, self._queued_batches = tuple(self._queued_batches), []
            try:
                await loop.run_in_executor(self._executor, self._storage.write, batches)
            except OSError as error:
                self._on_failed(StorageError(f"can't write the log: {error}"))
                return
            self._on_synced(batches[-1].sequence)

    def close(self) -> None:
        """Wait for the current write and stop the thread."""
        self._executor.shutdown(wait=True)
