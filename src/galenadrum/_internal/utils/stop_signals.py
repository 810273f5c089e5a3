"""Signals that ask a daemon to stop or to read its settings again."""

from __future__ import annotations

import asyncio
import logging
import signal

logger = logging.getLogger(__name__)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Return an event of the running loop that a stop signal sets."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, event.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    return event


def _note_reload() -> None:
    # What may change while a daemon runs is read again when its file changes;
    # the signal must not end the process.
    logger.info("SIGHUP: settings are read again where their file has changed")
