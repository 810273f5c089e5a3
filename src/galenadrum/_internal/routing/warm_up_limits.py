"""Limits on the requests to servers that are cold or may have become cold.

Load pattern: a server that has just started crashes when requests reach it well above
the rate that it accepts, and hosts learn of it late. docs/design/cold-servers.md shows
that these limits keep the sum over all hosts within the bound.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from galenadrum._internal.models.announcements import MAX_WARM_UP_S
from galenadrum._internal.models.routing import Service
from galenadrum._internal.models.routing_settings import RoutingBounds

# Two dispatchers may serve different hosts during a change.
_OVERLAPPING_DISPATCHERS = 2
# Even spacing at a rate allows up to this many requests more in one second.
_SPACING_EXCESS = 1.0
_MIN_RATE_PER_S = 0.5
# Bounds above this are never reached; it keeps the product of odd values finite.
_MAX_BOUND = 1e6
# Longest warm-up that is believed of servers whose service states none.
_DEFAULT_LONGEST_WARM_UP_S = 60.0
# Part of its share of the rate that a host without links uses at a cold server. Such
# hosts aren't coordinated; the rest leaves room for chance and for a dispatcher.
_CUT_OFF_PART = 0.25


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Limits on the requests to the servers of one service.

    Attributes:
        rate_per_s: Requests per second of one dispatcher to a cold server.
        max_requests: Requests of one dispatcher to any server in one second.
        longest_s: Longest warm-up in seconds that a server may announce.
    """

    rate_per_s: float
    max_requests: int
    longest_s: float

    def find_cut_off_rate(self, is_cold: bool) -> float:
        """Return the requests per second of all hosts without any link together."""
        return self.rate_per_s * (_CUT_OFF_PART if is_cold else 1.0)


def compute_request_bound(per_s: float, bounds: RoutingBounds) -> float:
    """Return the most requests of all hosts that may reach a cold server in a second.

    Args:
        per_s: Requests per second that the server accepts while cold.
        bounds: Overage and tolerance of the deployment.
    """
    bound = per_s * bounds.warm_up_overage + bounds.warm_up_tolerance
    return min(bound, _MAX_BOUND)


def build_warm_up_limit(service: Service, bounds: RoutingBounds) -> WarmUpLimit | None:
    """Return the limits of a service, None if its servers need none."""
    per_s = service.warm_up_per_s
    if per_s <= 0:
        return None
    bound = compute_request_bound(per_s, bounds)
    rate_per_s = bound / _OVERLAPPING_DISPATCHERS - _SPACING_EXCESS
    return WarmUpLimit(
        max(_MIN_RATE_PER_S, min(per_s, rate_per_s)),
        max(1, math.floor(bound)),
        min(service.warm_up_s or _DEFAULT_LONGEST_WARM_UP_S, MAX_WARM_UP_S),
    )
