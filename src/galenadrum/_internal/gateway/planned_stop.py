"""Planned stop of an entry host: every request that was read gets a response.

Requests in flight get their final response before the process ends. A request that is
unlikely to finish by then is refused at once, so that its caller can send it to another
host.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from galenadrum._internal.gateway.request_lifetime import RequestLifetime

# Factor by which the longest duration of a route shrinks with each request.
_DURATION_DECAY = 0.98
_DURATION_FACTOR = 1.25
_DURATION_MARGIN_S = 0.3


@dataclass(slots=True)
class PlannedStop:
    """Requests in flight and the schedule of a planned stop.

    Attributes:
        late_from: Loop time in seconds from which requests that are unlikely to finish
            are refused; infinite before a stop. Until then load balancers still send
            callers here, and a refused caller would return.
        stops_at: Loop time in seconds at which all requests end.
    """

    late_from: float = math.inf
    stops_at: float = math.inf
    _lifetimes: set[RequestLifetime] = field(default_factory=set)
    _longest_s_by_route: dict[str, float] = field(default_factory=dict)

    def begin(self, late_from: float, stops_at: float) -> None:
        """Begin a stop; requests in flight end by ``stops_at``."""
        self.late_from, self.stops_at = late_from, stops_at
        for lifetime in self._lifetimes:
            lifetime.end_by(stops_at)

    def is_too_late(self, route: str, now: float) -> bool:
        """Return whether a request that arrives now is unlikely to finish in time."""
        if now < self.late_from:
            return False
        longest_s = self._longest_s_by_route.get(route, 0.0)
        needed_s = longest_s * _DURATION_FACTOR + _DURATION_MARGIN_S
        return now + needed_s > self.stops_at

    def add(self, lifetime: RequestLifetime) -> None:
        """Add a request that begins."""
        self._lifetimes.add(lifetime)
        lifetime.end_by(self.stops_at)

    def remove(self, lifetime: RequestLifetime) -> None:
        """Remove a request that has ended."""
        self._lifetimes.discard(lifetime)

    def record_duration(self, route: str, duration_s: float) -> None:
        """Record the duration of a request that was answered, in seconds."""
        longest_s = self._longest_s_by_route.get(route, 0.0) * _DURATION_DECAY
        self._longest_s_by_route[route] = max(longest_s, duration_s)
