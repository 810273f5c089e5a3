"""Estimates of request completion time, and the admitted backlog of each stage.

Each stage is modelled as a queue that drains at the rate of the slots that
this entry host can use. A new request waits for the admitted work that would
be served before it. Under fair sharing, that work is at most the work of its
own organisation divided by the organisation's share.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

_REFUSAL_WINDOW_S = 5.0
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0
_MAX_TRACKED_REFUSALS = 4096
# Share of the slots planned for callers that retry after a refusal: the part that
# new requests leave free after an overload.
_RETRYING_CALLER_SLOT_SHARE = 1.0 / 3.0


@dataclass(frozen=True, slots=True)
class StageEstimate:
    """Expected service and queueing of a new request at one remaining stage.

    Attributes:
        service_s: Expected service time in seconds.
        ahead_s: Service time, in seconds, of the work served before the request.
        slots: Calls of this entry host that can be served concurrently.
        first_free_s: Seconds until a slot becomes free.
    """

    service_s: float
    ahead_s: float
    slots: float
    first_free_s: float


def estimate_completion_s(estimates: Iterable[StageEstimate]) -> float:
    """Return the expected seconds until all stages are complete."""
    elapsed = 0.0
    for estimate in estimates:
        free_at = estimate.first_free_s + estimate.ahead_s / max(estimate.slots, 0.1)
        elapsed = max(elapsed, free_at) + estimate.service_s
    return elapsed


class Backlog:
    """Admitted work of one stage that is not dispatched yet, in seconds."""

    def __init__(self) -> None:
        self._cost_by_organisation: dict[str, float] = {}
        self._weight_by_organisation: dict[str, float] = {}
        self._total = 0.0

    @property
    def total_s(self) -> float:
        """Total service time of the work that waits for this stage."""
        return max(0.0, self._total)

    def add(self, organisation: str, weight: float, cost_s: float) -> None:
        """Add the expected service time of one admitted request."""
        cost = self._cost_by_organisation.get(organisation, 0.0)
        self._cost_by_organisation[organisation] = cost + cost_s
        self._weight_by_organisation[organisation] = weight
        self._total += cost_s

    def remove(self, organisation: str, cost_s: float) -> None:
        """Remove the expected service time added for one request."""
        self._total -= cost_s
        cost = self._cost_by_organisation.get(organisation, 0.0) - cost_s
        if cost > 1e-9:
            self._cost_by_organisation[organisation] = cost
            return
        self._cost_by_organisation.pop(organisation, None)
        self._weight_by_organisation.pop(organisation, None)
        if not self._cost_by_organisation:
            self._total = 0.0

    def work_ahead_s(self, organisation: str, weight: float, fair: bool) -> float:
        """Return the work, in seconds, served before a new request."""
        if not fair:
            return self.total_s
        own = self._cost_by_organisation.get(organisation, 0.0)
        ahead = own
        for name, cost in self._cost_by_organisation.items():
            if name != organisation:
                other_weight = self._weight_by_organisation[name]
                ahead += min(cost, own * other_weight / weight)
        return ahead

    def over_share(self, organisation: str, weight: float) -> bool:
        """Return whether an organisation's queued work exceeds its fair share."""
        others = len(self._cost_by_organisation) - 1
        own = self._cost_by_organisation.get(organisation, 0.0)
        if others < 1 or own <= 0.0:
            return False
        weights = sum(self._weight_by_organisation.values())
        return own > self.total_s * weight / weights


class RetryAfterEstimator:
    """Derives retry delays from the rate of recent refusals."""

    def __init__(self) -> None:
        self._refused_at: deque[float] = deque(maxlen=_MAX_TRACKED_REFUSALS)

    def record_refusal(
        self, backlog_s: float, cost_s: float, slots: float, now: float, random: Random
    ) -> float:
        """Record a refusal and return the retry delay in seconds.

        The delay is random, so that refused callers do not all retry at once.

        Args:
            backlog_s: Seconds until the admitted work is served.
            cost_s: Service time of one request at the bottleneck stage.
            slots: Calls served concurrently at the bottleneck stage.
            now: Loop time in seconds.
            random: Random source of the delay.
        """
        refused_at = self._refused_at
        while refused_at and refused_at[0] < now - _REFUSAL_WINDOW_S:
            refused_at.popleft()
        refused_at.append(now)
        spare_slots = _RETRYING_CALLER_SLOT_SHARE * max(slots, 0.1)
        spread_s = len(refused_at) * cost_s / spare_slots
        delay_s = backlog_s + random.uniform(0.0, max(1.0, spread_s))
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, delay_s))
