"""The bridge from worker threads to the event loop that owns all state."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from galenadrum._internal.exceptions import GalenadrumError

T = TypeVar("T")


class BridgeTimeoutError(GalenadrumError):
    """Raised when the loop did not finish a call in time."""


class LoopBridge:
    """Runs coroutines on the loop for threads that wait for their result."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T], timeout_s: float) -> T:
        """Run ``coroutine`` on the loop and return its result.

        A coroutine that is not done in time is cancelled.

        Raises:
            BridgeTimeoutError: After ``timeout_s`` seconds.
        """
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise BridgeTimeoutError("the event loop did not answer in time") from None

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> concurrent.futures.Future[T]:
        """Start ``coroutine`` on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def post(self, function: Callable[..., object], *arguments: object) -> None:
        """Call ``function`` on the loop soon, without waiting for it."""
        self._loop.call_soon_threadsafe(function, *arguments)
