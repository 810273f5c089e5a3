"""Handling of the signals to stop a daemon or to reload its settings."""

from __future__ import annotations

import asyncio
import logging
import signal

logger = logging.getLogger(__name__)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Return an event of the running loop that is set by SIGTERM and SIGINT."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, event.set)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_signal)
    return event


def _log_reload_signal() -> None:
    # Settings that may change at run time are reloaded when their file changes, so
    # nothing is reloaded here. The handler keeps SIGHUP from ending the process.
    logger.info("received SIGHUP; settings are reloaded when their file changes")
