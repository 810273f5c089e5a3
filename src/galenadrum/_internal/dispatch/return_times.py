"""When callers that are refused should come back.

Load pattern: a burst of one kind that lasts for seconds. Callers that come back
while it lasts are refused again, and most of them ask no third time; those that
come back after it are served. So the time to return grows with the share of a
route's requests that was refused lately.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time over which the share is averaged, in seconds: a burst is seen within its
# first second, and its end as soon.
_MEMORY_S = 1.0
# A few requests tell nothing of a burst: this many more are taken as served.
_PRIOR_REQUESTS = 4.0
# What is added where all are refused, in seconds: callers wait for a third of the
# time that they have, which is two seconds for most routes.
_LONGEST_ADDED_S = 1.6


@dataclass(slots=True)
class _Recent:
    asked: float = 0.0
    refused: float = 0.0
    noted_at: float = 0.0

    def fade(self, now: float) -> None:
        share = math.exp(-(now - self.noted_at) / _MEMORY_S)
        self.asked *= share
        self.refused *= share
        self.noted_at = now


class ReturnTimes:
    """Refusals of each route in the last seconds."""

    def __init__(self) -> None:
        self._recent_by_route: dict[str, _Recent] = {}

    def note(self, route_name: str, was_refused: bool, now: float) -> None:
        """Count a request that was taken or refused."""
        recent = self._recent_by_route.setdefault(route_name, _Recent())
        recent.fade(now)
        recent.asked += 1.0
        recent.refused += was_refused

    def retry_after_s(self, route_name: str, soonest_s: float, now: float) -> float:
        """Return when a caller should come back, in seconds.

        Args:
            route_name: The route.
            soonest_s: When there should be room for this request, were it alone.
            now: Loop time in seconds.
        """
        recent = self._recent_by_route.get(route_name)
        if recent is None:
            return soonest_s
        recent.fade(now)
        share = recent.refused / (recent.asked + _PRIOR_REQUESTS)
        return soonest_s + _LONGEST_ADDED_S * share
