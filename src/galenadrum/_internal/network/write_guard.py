"""Termination of the process if it is suspended too long just before a write.

A process may be suspended for any time between the check of its lease and the write
that follows, and then write although the lease expired. Another check can't prevent
that, but a signal can: the kernel delivers a pending signal before it resumes the
process. While a write is guarded, a timer is set whose signal terminates the process.
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
_deadline_by_write: dict[object, float] = {}


@contextmanager
def guarded_write(limit_s: float = GUARD_LIMIT_S) -> Iterator[None]:
    """Let SIGALRM terminate the process if the block takes ``limit_s`` seconds.

    The block must check whether it may write, and then write with a timeout that is
    far shorter. The write isn't guarded if SIGALRM has a handler or is ignored.

    Args:
        limit_s: Limit on the duration of the block in seconds.
    """
    if signal.getsignal(signal.SIGALRM) is not signal.SIG_DFL:
        logger.warning(
            "SIGALRM doesn't have its default action; writes of orders are not guarded"
        )
        yield
        return
    # The parent process may have blocked the signal. At least one thread must have it
    # unblocked for it to be delivered.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGALRM,))
    write = object()
    with _lock:
        _deadline_by_write[write] = time.monotonic() + limit_s
        _set_timer()
    try:
        yield
    finally:
        with _lock:
            del _deadline_by_write[write]
            _set_timer()


def _set_timer() -> None:
    """Set the timer of the process to the earliest deadline, or stop it."""
    if not _deadline_by_write:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        return
    remaining_s = min(_deadline_by_write.values()) - time.monotonic()
    signal.setitimer(signal.ITIMER_REAL, max(remaining_s, _MIN_TIMER_S))
