"""An event loop whose clock advances while the host is suspended."""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop that measures time with ``CLOCK_BOOTTIME``.

    The monotonic clock stops while a host is suspended, so a lease measured with
    it would outlast its duration.
    """

    def time(self) -> float:
        """Return the time since boot, suspension included, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
