"""Calls from worker threads to the event loop that owns the state."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from galenadrum._internal.exceptions import GalenadrumError

T = TypeVar("T")


class BridgeTimeoutError(GalenadrumError):
    """Raised when the event loop doesn't finish a call within its timeout."""


class LoopBridge:
    """Runs coroutines on the event loop on behalf of worker threads."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T], timeout_s: float) -> T:
        """Run ``coroutine`` on the event loop and wait for its result.

        Raises:
            BridgeTimeoutError: The coroutine didn't finish within ``timeout_s``
                seconds and was cancelled.
        """
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise BridgeTimeoutError("the event loop did not answer in time") from None

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> concurrent.futures.Future[T]:
        """Start ``coroutine`` on the event loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def schedule(self, function: Callable[..., object], *arguments: object) -> None:
        """Schedule ``function`` on the event loop without waiting for it."""
        self._loop.call_soon_threadsafe(function, *arguments)
