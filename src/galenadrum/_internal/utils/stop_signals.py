"""Signals that ask a daemon to stop."""

from __future__ import annotations

import asyncio
import signal

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Return an event of the running loop that a stop signal sets."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, event.set)
    return event
