"""Decides whether one dispatcher places all requests or each zone has its own.

Load pattern: the requests of some hundred small hosts that reach the servers of all
zones. One dispatcher fills the calls of stages with the pieces of all zones, and finds
the engine that holds a prompt's part wherever it is; dispatchers of the zones see a
part of each. Its processor bounds it, and not the number of hosts that send.
"""

from __future__ import annotations

import math

# A request with stages takes a dispatcher 1.7 ms of CPU time, with its calls, releases
# and messages.
MAX_SHARED_REQUESTS_PER_S = 450
_WINDOW_S = 8.0


class RequestRate:
    """Rate of events, averaged exponentially over some seconds."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at = -math.inf

    def record(self, now: float) -> None:
        """Record an event at a loop time in seconds."""
        self._per_s = self.per_s(now) + 1.0 / _WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the events per second, seen at a loop time in seconds."""
        if not self._per_s:
            return 0.0
        return self._per_s * math.exp(-max(0.0, now - self._at) / _WINDOW_S)


def is_dispatcher_shared(requests_per_s: float) -> bool:
    """Return whether one dispatcher can place all requests.

    Args:
        requests_per_s: Requests per second that all dispatchers receive together.
    """
    return requests_per_s <= MAX_SHARED_REQUESTS_PER_S
