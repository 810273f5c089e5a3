"""Estimates how long ago callers first sent a request, from their deadlines.

Most callers of a route give the same deadline with the first request; a caller that
retries after a refusal gives the remaining part of it. A few callers give longer
deadlines than the others, so the most common deadline is compared, not the longest.
"""

from __future__ import annotations

from collections import Counter

_MS_PER_S = 1_000
# Counts are halved beyond this many requests, so that a new usual deadline takes over.
_MAX_COUNTED_REQUESTS = 200
# Distinct deadlines counted per route; beyond this, counts are halved too, which drops
# the rare deadlines of callers that retry.
_MAX_DISTINCT_DEADLINES = 50


class FirstRequestEstimator:
    """Compares deadlines with the most common one of their route."""

    def __init__(self) -> None:
        self._counts_by_route: dict[str, Counter[int]] = {}

    def estimate_elapsed_s(self, route_name: str, deadline_s: float) -> float:
        """Count a deadline and estimate the time since the caller's first request.

        Args:
            route_name: Name of the request's route.
            deadline_s: Deadline that the caller gave, in seconds.

        Returns:
            The usual deadline of the route minus this one, in seconds; 0 if this one
            is not shorter or no deadline has been counted twice.
        """
        counts = self._counts_by_route.setdefault(route_name, Counter())
        deadline_ms = round(deadline_s * _MS_PER_S)
        counts[deadline_ms] += 1
        if (
            counts.total() > _MAX_COUNTED_REQUESTS
            or len(counts) > _MAX_DISTINCT_DEADLINES
        ):
            self._counts_by_route[route_name] = Counter(
                {ms: count // 2 for ms, count in counts.items() if count > 1}
            )
        usual_ms, count = counts.most_common(1)[0]
        if count <= 1:
            return 0.0
        return max(0.0, (usual_ms - deadline_ms) / _MS_PER_S)
