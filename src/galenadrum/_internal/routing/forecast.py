"""Forecasts of service time and completion over the remaining stages."""

from __future__ import annotations

from galenadrum._internal.models.requests import Request
from galenadrum._internal.routing.admission import (
    StageOutlook,
    expected_completion_s,
)
from galenadrum._internal.routing.catalog import StageCatalog
from galenadrum._internal.routing.ledger import RequestLedger
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Weights
from galenadrum._internal.routing.pool import ServerPool, StageCapacity
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes
from galenadrum._internal.routing.spill import ZONE_HOP_S, ZoneDigests

_MIN_SIZE_FACTOR = 0.3
_MAX_SIZE_FACTOR = 4.0


class Forecast:
    """Expected times of requests, from all that the policy has learned."""

    def __init__(
        self,
        catalog: StageCatalog,
        times: ServiceTimes,
        pool: ServerPool,
        digests: ZoneDigests,
        ledger: RequestLedger,
        mechanisms: Mechanisms,
    ) -> None:
        self._catalog = catalog
        self._times = times
        self._pool = pool
        self._digests = digests
        self._ledger = ledger
        self._mechanisms = mechanisms

    def service_s(self, request: Request, stage: str, now: float) -> float:
        """Return the expected service time of a stage on a good server."""
        capacity = self._pool.capacity(stage, now)
        return self._service_s(request, stage, capacity, now)

    def costs(self, request: Request, now: float) -> dict[int, float]:
        """Return the expected service time by stage index."""
        return {
            index: self.service_s(request, stage, now)
            for index, stage in enumerate(request.stages)
        }

    def remaining_s(self, request: Request, stage_index: int, now: float) -> float:
        """Return the expected service time of a stage and those after it."""
        return sum(
            self.service_s(request, stage, now)
            for stage in request.stages[stage_index:]
        )

    def outlooks(
        self,
        request: Request,
        costs: dict[int, float],
        weights: Weights,
        now: float,
        loaded: bool = True,
    ) -> list[StageOutlook]:
        """Return what a new request meets at each of its stages."""
        return [
            self._outlook(request, stage, costs[index], weights, now, loaded)
            for index, stage in enumerate(request.stages)
        ]

    def completion_s(
        self,
        request: Request,
        costs: dict[int, float],
        weights: Weights,
        now: float,
        loaded: bool = True,
    ) -> float:
        """Return the expected seconds until a new request completes."""
        outlooks = self.outlooks(request, costs, weights, now, loaded)
        return expected_completion_s(outlooks)

    def queue_delay_s(self, stage: str, now: float) -> float:
        """Return the expected wait of a new call in this zone, in seconds."""
        capacity = self._pool.capacity(stage, now)
        backlog_s = self._ledger.backlog(stage).total_s
        first_s = self._first_free_s(stage, capacity)
        return first_s + backlog_s / max(capacity.slots, 0.1)

    def size_factor(
        self, stage: str, cost_s: float, weights: Weights, wait_s: float
    ) -> float:
        """Return by how much the queue counts as longer for a large request.

        Short queues pass by themselves; sizes count fully from a wait of
        ``full_pressure_s`` on.
        """
        ratio = cost_s / self._times.mean(stage)
        pressure = min(1.0, wait_s / weights.full_pressure_s)
        exponent = weights.size_exponent * pressure
        return min(_MAX_SIZE_FACTOR, max(_MIN_SIZE_FACTOR, ratio**exponent))

    def _outlook(
        self,
        request: Request,
        stage: str,
        cost_s: float,
        weights: Weights,
        now: float,
        loaded: bool,
    ) -> StageOutlook:
        capacity = self._pool.capacity(stage, now)
        elsewhere = 0.0
        if self._mechanisms.spill and not request.forwarded:
            elsewhere = self._digests.free(stage, now)
        slots = capacity.slots + elsewhere
        if not loaded:
            return StageOutlook(cost_s, 0.0, slots, 0.0)
        ahead_s = self._ledger.backlog(stage).ahead_of(
            request.organisation, request.weight, self._mechanisms.fairness
        )
        if self._mechanisms.small_first:
            wait_s = ahead_s / max(slots, 0.1)
            ahead_s *= self.size_factor(stage, cost_s, weights, wait_s)
        first_s = self._first_free_s(stage, capacity)
        if elsewhere >= 1.0:
            first_s = min(first_s, ZONE_HOP_S)
        return StageOutlook(cost_s, ahead_s, slots, first_s)

    def _first_free_s(self, stage: str, capacity: StageCapacity) -> float:
        if capacity.free >= 1.0 or not capacity.servers:
            return 0.0
        return self._times.mean(stage) * capacity.slowness / capacity.total_limit

    def _service_s(
        self, request: Request, stage: str, capacity: StageCapacity, now: float
    ) -> float:
        size = self._catalog.size(request, stage)
        if self._catalog.uses_model(stage):
            reused = self._pool.reusable_tokens(stage, request.prefix_hashes, now)
            prefill = max(0.0, size.prefill_tokens - reused)
            size = CallSize(prefill, size.output_tokens)
        expected_s = self._times.expected(stage, size)
        local_s = expected_s * capacity.slowness
        if not self._mechanisms.spill or request.forwarded:
            return local_s
        mean_s = self._times.mean(stage)
        others_s = [
            ZONE_HOP_S + expected_s * digest.service_s / mean_s
            for digest in self._digests.fresh(stage, now)
            if digest.service_s > 0.0 and digest.free_capacity > 0
        ]
        if not capacity.servers:
            return min(others_s, default=expected_s)
        return min([local_s, *others_s]) if capacity.slowness > 1.5 else local_s
