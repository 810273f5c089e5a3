"""Limit on the memory that a process holds for the responses of backend servers.

Each connection limits its own response. A service may have hundreds of them, so that
servers that send without end could still use up the memory of the process. Beyond the
limit the largest response is broken off: one without an end is soon the largest.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

# Share of the process's memory. Bodies are joined, and copied to callers' connections.
_SHARE = 1 / 8
_DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class ResponseMemory:
    """Counts the bytes that connections hold, and breaks off the largest response.

    Args:
        process_bytes: Memory limit of the process in bytes; 0 if it has none.
        metrics: Counts the responses that are broken off; None to count none.
    """

    def __init__(self, process_bytes: int = 0, metrics: Metrics | None = None) -> None:
        self._limit_bytes = int(process_bytes * _SHARE) or _DEFAULT_LIMIT_BYTES
        self._metrics = metrics
        self._held_by_connection: dict[Callable[[str], None], int] = {}
        self.held_bytes = 0
        if metrics is not None:
            metrics.register_gauge("response_bytes_held", lambda: self.held_bytes)

    def record_held(self, fail: Callable[[str], None], held_bytes: int) -> None:
        """Record the bytes that one connection holds now.

        Args:
            fail: Method of the connection that breaks off its response with a reason.
                It identifies the connection.
            held_bytes: All bytes of its response that are kept.
        """
        before = self._held_by_connection.pop(fail, 0)
        self.held_bytes += held_bytes - before
        if held_bytes:
            self._held_by_connection[fail] = held_bytes
        while self.held_bytes > self._limit_bytes:
            self._break_off_largest()

    def _break_off_largest(self) -> None:
        fail, held_bytes = max(
            self._held_by_connection.items(), key=lambda item: item[1]
        )
        total_bytes = self.held_bytes
        del self._held_by_connection[fail]
        self.held_bytes -= held_bytes
        if self._metrics is not None:
            self._metrics.increment("responses_broken_off_for_memory")
        logger.warning(
            "all responses together hold %d bytes, more than the limit of %d; breaking "
            "off the largest, which holds %d",
            total_bytes,
            self._limit_bytes,
            held_bytes,
        )
        fail(
            f"the response was the largest, with {held_bytes} bytes, when all together "
            f"held more than {self._limit_bytes}"
        )
