"""Discrete-event clock; simulated time passes without waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Clock:
    """Runs scheduled events in order of simulated time.

    Attributes:
        now: Simulated seconds since the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._last_sequence = 0

    def at(self, time_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule ``action`` at ``time_s``, or now if that time has passed."""
        self._last_sequence += 1
        heapq.heappush(
            self._events, (max(time_s, self.now), self._last_sequence, action, args)
        )

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule ``action`` in ``delay_s`` seconds."""
        self.at(self.now + delay_s, action, *args)

    def run_until(self, end_s: float) -> None:
        """Run all events up to time ``end_s`` and set the clock to it."""
        events = self._events
        while events and events[0][0] <= end_s:
            self.now, _, action, args = heapq.heappop(events)
            action(*args)
        self.now = end_s
