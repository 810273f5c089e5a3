"""Adaptive concurrency limits for the calls of an entry host to one server.

The limit starts at the announced capacity. It decreases when the server rejects
calls or when calls take much longer than expected at this load, and increases
slowly while it is reached and calls succeed in time.
"""

from __future__ import annotations

_DECREASE_FACTOR = 0.8
_INCREASE_CALLS_PER_WINDOW = 1.0
_OVERLOAD_LATENCY_RATIO = 2.5
_DECREASE_INTERVAL_S = 1.0


class ConcurrencyLimit:
    """An additive-increase, multiplicative-decrease limit for one server.

    Attributes:
        capacity: Announced number of calls that the server serves concurrently.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._limit = float(capacity)
        self._decreased_at = -1e9

    def update_capacity(self, capacity: int) -> None:
        """Scale the limit to a changed announced capacity."""
        if capacity != self.capacity:
            self._limit *= capacity / self.capacity
            self.capacity = capacity

    @property
    def value(self) -> float:
        """Maximum number of concurrent calls on the server, at least 1."""
        return max(1.0, self._limit)

    def record_completion(self, ratio: float, reached: bool, now: float) -> None:
        """Record a completed call.

        Args:
            ratio: Observed service time divided by the expected one.
            reached: True if the calls in flight reached the limit.
            now: Loop time in seconds.
        """
        if ratio > _OVERLOAD_LATENCY_RATIO:
            self.overloaded(now)
        elif reached:
            raised = self._limit + _INCREASE_CALLS_PER_WINDOW / self._limit
            self._limit = min(self.capacity, raised)

    def overloaded(self, now: float) -> None:
        """Decrease the limit after a rejected or much too slow call."""
        if now - self._decreased_at < _DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(1.0, self.capacity * 0.25, self._limit * _DECREASE_FACTOR)
