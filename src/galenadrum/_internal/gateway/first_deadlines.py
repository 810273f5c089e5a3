"""Tells how long ago callers first asked, from the time that is left to them.

Most callers of a route give the same time at first; one that comes back after a
refusal has less of it left. A few are more patient than the others.
"""

from __future__ import annotations

from collections import Counter

_MS = 1_000
# Counts are halved at this many requests, so that the usual time may change.
_MAX_COUNTED = 200
# Times that are kept for each route; others are rare ones of returning callers.
_MAX_TIMES = 50


class FirstDeadlines:
    """The usual time that callers of each route give."""

    def __init__(self) -> None:
        self._counts_by_route: dict[str, Counter[int]] = {}

    def elapsed_s(self, route_name: str, deadline_s: float) -> float:
        """Return the time since a caller first asked, in seconds."""
        counts = self._counts_by_route.setdefault(route_name, Counter())
        deadline_ms = round(deadline_s * _MS)
        counts[deadline_ms] += 1
        if counts.total() > _MAX_COUNTED or len(counts) > _MAX_TIMES:
            self._counts_by_route[route_name] = Counter(
                {ms: count // 2 for ms, count in counts.items() if count > 1}
            )
        usual_ms, count = counts.most_common(1)[0]
        if count <= 1:
            return 0.0
        return max(0.0, (usual_ms - deadline_ms) / _MS)
