"""Writing to storage off the event loop."""

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
    """Hands batches to storage in order, all that wait in one write.

    The number of waiting batches is bounded by what the core lets in.

    Args:
        storage: Only its `write` is used.
        on_synced: Called with the last sequence that is durable.
        on_failed: Called once when storage fails; nothing is written after.
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
        self._waiting: list[Persist] = []
        self._wake = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="log-sync")

    def add(self, batch: Persist) -> None:
        """Queue a batch."""
        self._waiting.append(batch)
        self._wake.set()

    async def run(self) -> None:
        """Write until storage fails or the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            batches, self._waiting = tuple(self._waiting), []
            try:
                await loop.run_in_executor(self._executor, self._storage.write, batches)
            except OSError as error:
                self._on_failed(StorageError(f"can't write the log: {error}"))
                return
            self._on_synced(batches[-1].sequence)

    def close(self) -> None:
        """Wait for the write under way and release the thread."""
        self._executor.shutdown(wait=True)
