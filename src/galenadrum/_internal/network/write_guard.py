"""Ends the process when it stood still too long just before a write.

Between a check of the lease and the write that follows, a process may be
stopped for any time and then write all the same. No check of its own can come
in between, but a signal can: the kernel delivers one that is pending before the
process goes on. While a write is guarded, a timer is set whose signal ends the
process.
"""

from __future__ import annotations

import logging
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

logger = logging.getLogger(__name__)

GUARD_LIMIT_S = 10.0
_MIN_TIMER_S = 1e-6

_lock = threading.Lock()
_end_by_write: dict[object, float] = {}


@contextmanager
def guarded_write(limit_s: float = GUARD_LIMIT_S) -> Iterator[None]:
    """Have the kernel end this process if the block takes ``limit_s`` seconds.

    The block must check whether it may write, write, and bound the write itself
    to far less. The guard is off where SIGALRM doesn't have its default action.
    """
    if signal.getsignal(signal.SIGALRM) is not signal.SIG_DFL:
        logger.warning("SIGALRM is in use: writes of orders are not guarded")
        yield
        return
    # A parent may have left it blocked; the signal needs one thread that takes it.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGALRM,))
    write = object()
    with _lock:
        _end_by_write[write] = time.monotonic() + limit_s
        _set_timer()
    try:
        yield
    finally:
        with _lock:
            del _end_by_write[write]
            _set_timer()


def _set_timer() -> None:
    """Set the one timer of the process to the earliest end, or stop it."""
    if not _end_by_write:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        return
    left_s = min(_end_by_write.values()) - time.monotonic()
    signal.setitimer(signal.ITIMER_REAL, max(left_s, _MIN_TIMER_S))
