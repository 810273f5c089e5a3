"""An event loop whose clock goes on while the host is suspended."""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Measures with ``CLOCK_BOOTTIME``.

    The monotonic clock stands still while a host is suspended; leases would
    outlive their time on it.
    """

    def time(self) -> float:
        """Return the time since boot, suspension included, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
