"""Bounded queues of stage calls with weighted fair sharing by organisation.

The usage of an organisation is its recently served cost divided by its weight,
with exponential decay. Organisations whose usage is within a window of the
lowest are served by priority and then by the ``order`` of their calls. The
others wait until the usage of these has caught up.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import StageCall

_USAGE_HALF_LIFE_S = 5.0
_IDLE_HALF_LIVES = 10
_MAX_TRACKED_ORGANISATIONS = 10_000

CallKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call in the queue of its stage.

    Attributes:
        cost_s: Expected service time in seconds.
        later_stages_s: Expected service time of the later stages, in seconds.
        give_up_at: Loop time after which the deadline can't be met.
        queued_at: Loop time at which the call was submitted.
        order: Sort key; an organisation's calls are served in ascending order.
    """

    call: StageCall
    cost_s: float
    later_stages_s: float
    give_up_at: float
    queued_at: float
    order: float


class OrganisationUsage:
    """Weighted cost served to each organisation, with exponential decay."""

    def __init__(self) -> None:
        self._served_by_organisation: dict[str, tuple[float, float]] = {}

    def value(self, organisation: str, now: float) -> float:
        """Return the decayed weighted cost of an organisation in seconds."""
        served, at = self._served_by_organisation.get(organisation, (0.0, now))
        return served * math.exp2((at - now) / _USAGE_HALF_LIFE_S)

    def record_cost(
        self, organisation: str, cost_s: float, weight: float, now: float
    ) -> None:
        """Add the cost of one dispatched call to its organisation's usage."""
        served = self.value(organisation, now) + cost_s / weight
        self._served_by_organisation[organisation] = (served, now)
        if len(self._served_by_organisation) > _MAX_TRACKED_ORGANISATIONS:
            self._remove_idle_organisations(now)

    def _remove_idle_organisations(self, now: float) -> None:
        idle = [
            name
            for name, (_, at) in self._served_by_organisation.items()
            if now - at > _IDLE_HALF_LIVES * _USAGE_HALF_LIFE_S
        ]
        for name in idle:
            del self._served_by_organisation[name]


class FairQueue:
    """Calls of one stage that wait on this entry host.

    Args:
        max_calls: Maximum number of queued calls.
    """

    def __init__(self, max_calls: int) -> None:
        self._max_calls = max_calls
        self._queued_by_key: dict[CallKey, QueuedCall] = {}
        self._heaps_by_organisation: dict[str, list[tuple[float, int, CallKey]]] = {}
        self._expiries: list[tuple[float, int, CallKey]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._queued_by_key)

    def __contains__(self, key: CallKey) -> bool:
        return key in self._queued_by_key

    def __iter__(self) -> Iterator[QueuedCall]:
        return iter(self._queued_by_key.values())

    def push(self, queued: QueuedCall) -> QueuedCall | None:
        """Add a call and return the call evicted in its favour, if any.

        Raises:
            InvariantError: The call is already queued.
        """
        key = queued.call.key
        if key in self._queued_by_key:
            raise InvariantError(f"call {key} is already queued")
        self._sequence += 1
        organisation = queued.call.request.organisation
        heap = self._heaps_by_organisation.setdefault(organisation, [])
        heapq.heappush(heap, (queued.order, self._sequence, key))
        heapq.heappush(self._expiries, (queued.give_up_at, self._sequence, key))
        self._queued_by_key[key] = queued
        if len(self._queued_by_key) <= self._max_calls:
            return None
        return self._evict_from_largest()

    def peek(
        self, usage: OrganisationUsage, window_s: float | None, now: float
    ) -> QueuedCall | None:
        """Return the call that should be served next.

        Args:
            usage: Weighted cost served to the organisations.
            window_s: Difference in weighted cost up to which organisations are
                treated as equal; None disables fair sharing.
            now: Loop time in seconds.
        """
        heads = self._get_head_entries()
        if not heads:
            return None
        eligible = list(heads)
        if window_s is not None and len(heads) > 1:
            served = {name: usage.value(name, now) for name in heads}
            limit = min(served.values()) + window_s
            eligible = [name for name in heads if served[name] <= limit]
        organisation = min(eligible, key=lambda name: self._get_sort_key(heads[name]))
        return self._queued_by_key[heads[organisation][2]]

    def remove(self, key: CallKey) -> QueuedCall | None:
        """Remove a call from the queue and return it, or None if not queued."""
        return self._queued_by_key.pop(key, None)

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that can no longer meet their deadline."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            _, _, key = heapq.heappop(self._expiries)
            queued = self._queued_by_key.pop(key, None)
            if queued is not None:
                expired.append(queued)
        return expired

    def next_expiry(self) -> float | None:
        """Return the loop time at which the next call expires, or None."""
        while self._expiries and self._expiries[0][2] not in self._queued_by_key:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _get_sort_key(self, head: tuple[float, int, CallKey]) -> tuple[int, float, int]:
        priority = self._queued_by_key[head[2]].call.request.priority
        return (-priority, head[0], head[1])

    def _get_head_entries(self) -> dict[str, tuple[float, int, CallKey]]:
        heads = {}
        for organisation, heap in list(self._heaps_by_organisation.items()):
            while heap and heap[0][2] not in self._queued_by_key:
                heapq.heappop(heap)
            if heap:
                heads[organisation] = heap[0]
            else:
                del self._heaps_by_organisation[organisation]
        return heads

    def _evict_from_largest(self) -> QueuedCall:
        """Remove the latest-due call of the organisation with the highest cost."""
        cost_by_organisation: dict[str, float] = {}
        for queued in self._queued_by_key.values():
            request = queued.call.request
            cost = cost_by_organisation.get(request.organisation, 0.0)
            cost_by_organisation[request.organisation] = (
                cost + queued.cost_s / request.weight
            )
        largest = max(cost_by_organisation, key=cost_by_organisation.__getitem__)
        last = max(
            (
                queued
                for queued in self._queued_by_key.values()
                if queued.call.request.organisation == largest
            ),
            key=lambda queued: queued.give_up_at,
        )
        return self._queued_by_key.pop(last.call.key)
