"""Expected completion over all remaining stages, and the work admitted.

Each stage is seen as a queue that drains at the rate of the slots this entry
host can use. A request is behind the admitted work that would be served
before it; under fair shares that is at most its organisation's own work times
the inverse of the organisation's share.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

_REFUSAL_WINDOW_S = 5.0
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0
_MAX_REFUSALS = 4096
# Callers that come back share the slots with new requests. They must fit into
# the part that new requests leave after an overload.
_SPARE_SHARE = 1.0 / 3.0


@dataclass(frozen=True, slots=True)
class StageOutlook:
    """One remaining stage as a new request meets it.

    Attributes:
        service_s: Expected service time in seconds.
        ahead_s: Service time, in seconds, of the work served before it.
        slots: Calls that this entry host can have served at once.
        first_free_s: Seconds until a slot is free.
    """

    service_s: float
    ahead_s: float
    slots: float
    first_free_s: float


def expected_completion_s(outlooks: Iterable[StageOutlook]) -> float:
    """Return the expected seconds until the last of the stages completes."""
    elapsed = 0.0
    for outlook in outlooks:
        free_at = outlook.first_free_s + outlook.ahead_s / max(outlook.slots, 0.1)
        elapsed = max(elapsed, free_at) + outlook.service_s
    return elapsed


class Backlog:
    """Admitted work of one stage that was not dispatched yet, in seconds."""

    def __init__(self) -> None:
        self._cost_by_organisation: dict[str, float] = {}
        self._weight_by_organisation: dict[str, float] = {}
        self._total = 0.0

    @property
    def total_s(self) -> float:
        """All admitted work that waits for this stage."""
        return max(0.0, self._total)

    def add(self, organisation: str, weight: float, cost_s: float) -> None:
        """Add the expected service time of one admitted request."""
        cost = self._cost_by_organisation.get(organisation, 0.0)
        self._cost_by_organisation[organisation] = cost + cost_s
        self._weight_by_organisation[organisation] = weight
        self._total += cost_s

    def remove(self, organisation: str, cost_s: float) -> None:
        """Remove what was added for one request."""
        self._total -= cost_s
        cost = self._cost_by_organisation.get(organisation, 0.0) - cost_s
        if cost > 1e-9:
            self._cost_by_organisation[organisation] = cost
            return
        self._cost_by_organisation.pop(organisation, None)
        self._weight_by_organisation.pop(organisation, None)
        if not self._cost_by_organisation:
            self._total = 0.0

    def ahead_of(self, organisation: str, weight: float, fair: bool) -> float:
        """Return the work in seconds that a new request has before it."""
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
        """Return whether an organisation waits for more than its fair share."""
        others = len(self._cost_by_organisation) - 1
        own = self._cost_by_organisation.get(organisation, 0.0)
        if others < 1 or own <= 0.0:
            return False
        weights = sum(self._weight_by_organisation.values())
        return own > self.total_s * weight / weights


class RefusalRate:
    """Recent refusals, from which the time to come back is worked out."""

    def __init__(self) -> None:
        self._refused_at: deque[float] = deque(maxlen=_MAX_REFUSALS)

    def retry_after_s(
        self, backlog_s: float, cost_s: float, slots: float, now: float, random: Random
    ) -> float:
        """Return when to come back, drawn so that callers spread out.

        Args:
            backlog_s: Seconds until the admitted work is served.
            cost_s: Slot seconds of one request at the tightest stage.
            slots: Calls served at once at the tightest stage.
            now: Loop time in seconds.
            random: Source of the spread.
        """
        refused_at = self._refused_at
        while refused_at and refused_at[0] < now - _REFUSAL_WINDOW_S:
            refused_at.popleft()
        refused_at.append(now)
        spare_slots = _SPARE_SHARE * max(slots, 0.1)
        spread_s = len(refused_at) * cost_s / spare_slots
        delay_s = backlog_s + random.uniform(0.0, max(1.0, spread_s))
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, delay_s))
