"""Discrete events in order of time; nothing waits for real time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Clock:
    """A heap of events.

    Attributes:
        now: Seconds since the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Call ``action`` at ``when`` seconds, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, action, args))

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Call ``action`` in ``delay_s`` seconds."""
        self.at(self.now + delay_s, action, *args)

    def run_until(self, end: float) -> None:
        """Run all events up to ``end`` seconds."""
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(events)
            action(*args)
        self.now = end
