"""Runs a daemon from its start to a stop signal or its first fatal error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from galenadrum._internal.utils.boot_clock import BootClockLoop
from galenadrum._internal.utils.stop_signals import stop_event


class Daemon(Protocol):
    """The main object of a daemon process, built on the running event loop."""

    async def start(self) -> None:
        """Start to listen, and start all tasks."""

    async def wait_for_failure(self) -> None:
        """Wait for a fatal error of the daemon, and raise it."""

    async def drain(self) -> None:
        """Finish the work in flight."""

    async def stop(self) -> None:
        """Stop listening and end all tasks."""


def run_daemon(build: Callable[[], Daemon]) -> None:
    """Run a daemon until SIGTERM or SIGINT arrives, then shut it down.

    Raises:
        Exception: The fatal error of the daemon.
    """
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(_run_until_signal(build))


async def _run_until_signal(build: Callable[[], Daemon]) -> None:
    stop = stop_event()
    daemon = build()
    try:
        await daemon.start()
        await _wait_for_stop_or_failure(daemon, stop)
        await daemon.drain()
    finally:
        # Also after a failed start: sockets that listen already would otherwise
        # keep the process alive.
        await daemon.stop()


async def _wait_for_stop_or_failure(daemon: Daemon, stop: asyncio.Event) -> None:
    failed = asyncio.create_task(daemon.wait_for_failure())
    stopped = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait({failed, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if failed.done():
            failed.result()
    finally:
        stopped.cancel()
        failed.cancel()
