"""The number of calls that an entry host lets run on one server.

The announced capacity is the start. The limit falls when the server turns
calls away or when calls take much longer than they should at this load, and
rises slowly while it is reached and calls go well.
"""

from __future__ import annotations

_DECREASE = 0.8
_INCREASE_CALLS = 1.0
_SLOW_RATIO = 2.5
_DECREASE_INTERVAL_S = 1.0


class ConcurrencyLimit:
    """An additive-increase, multiplicative-decrease limit for one server.

    Attributes:
        capacity: Calls that the server announced it serves at once.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._limit = float(capacity)
        self._decreased_at = -1e9

    def announce(self, capacity: int) -> None:
        """Take a changed capacity in."""
        if capacity != self.capacity:
            self._limit *= capacity / self.capacity
            self.capacity = capacity

    @property
    def value(self) -> float:
        """The number of calls that may be on the server, at least 1."""
        return max(1.0, self._limit)

    def succeeded(self, ratio: float, reached: bool, now: float) -> None:
        """Record a completed call.

        Args:
            ratio: Observed over expected service time.
            reached: Whether the limit was reached.
            now: Loop time in seconds.
        """
        if ratio > _SLOW_RATIO:
            self.overloaded(now)
        elif reached:
            raised = self._limit + _INCREASE_CALLS / self._limit
            self._limit = min(self.capacity, raised)

    def overloaded(self, now: float) -> None:
        """Record that the server turned a call away or was much too slow."""
        if now - self._decreased_at < _DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(1.0, self.capacity * 0.25, self._limit * _DECREASE)
