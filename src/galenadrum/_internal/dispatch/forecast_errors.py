"""Correction of forecasts by the times that earlier requests took.

Load pattern: a burst of similar requests that wait for seconds. Forecasts that are a
tenth too short admit all of them slightly late, where refusing one in ten would keep
the others in time.
"""

from __future__ import annotations

# Weight of one observation; bursts bring tens of them each second.
_SMOOTHING = 0.05
# Bounds the correction: a server that stands still for a while says nothing of the next
# forecast.
_MIN_RATIO = 1.0
_MAX_RATIO = 1.5


class ForecastErrors:
    """Ratios of observed to forecast times to the first event, by route."""

    def __init__(self) -> None:
        self._ratio_by_route: dict[str, float] = {}

    def record(self, route: str, forecast_s: float, observed_s: float) -> None:
        """Record the time that an admitted request took to its first event.

        Args:
            route: Name of the route.
            forecast_s: Uncorrected forecast in seconds.
            observed_s: Time in seconds from its admission to its first event.
        """
        if forecast_s <= 0:
            return
        ratio = min(max(observed_s / forecast_s, 1 / _MAX_RATIO), _MAX_RATIO)
        known = self._ratio_by_route.get(route, _MIN_RATIO)
        self._ratio_by_route[route] = known + _SMOOTHING * (ratio - known)

    def correct(self, route: str, forecast_s: float) -> float:
        """Return a forecast in seconds, lengthened by the known ratio."""
        return forecast_s * max(_MIN_RATIO, self._ratio_by_route.get(route, _MIN_RATIO))
