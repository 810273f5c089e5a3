"""Forecasts of service and completion times over the remaining stages."""

from __future__ import annotations

from galenadrum._internal.models.requests import Request
from galenadrum._internal.routing.admission import (
    StageEstimate,
    estimate_completion_s,
)
from galenadrum._internal.routing.catalog import StageCatalog
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Weights
from galenadrum._internal.routing.pool import ServerPool, StageCapacity
from galenadrum._internal.routing.request_registry import RequestRegistry
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes
from galenadrum._internal.routing.spill import ZONE_HOP_LATENCY_S, ZoneDigests

_MIN_SIZE_FACTOR = 0.3
_MAX_SIZE_FACTOR = 4.0


class Forecast:
    """Estimates request times from service times, capacities and backlogs."""

    def __init__(
        self,
        catalog: StageCatalog,
        times: ServiceTimes,
        pool: ServerPool,
        digests: ZoneDigests,
        requests: RequestRegistry,
        mechanisms: Mechanisms,
    ) -> None:
        self._catalog = catalog
        self._times = times
        self._pool = pool
        self._digests = digests
        self._requests = requests
        self._mechanisms = mechanisms

    def estimate_service_s(self, request: Request, stage: str, now: float) -> float:
        """Return the expected service time on the fastest usable server."""
        capacity = self._pool.capacity(stage, now)
        return self._estimate_service_s(request, stage, capacity, now)

    def estimate_costs(self, request: Request, now: float) -> dict[int, float]:
        """Return the expected service time by stage index."""
        return {
            index: self.estimate_service_s(request, stage, now)
            for index, stage in enumerate(request.stages)
        }

    def estimate_remaining_s(
        self, request: Request, stage_index: int, now: float
    ) -> float:
        """Return the expected service time from a stage to the last one."""
        return sum(
            self.estimate_service_s(request, stage, now)
            for stage in request.stages[stage_index:]
        )

    def estimate_stages(
        self,
        request: Request,
        costs: dict[int, float],
        weights: Weights,
        now: float,
        include_load: bool = True,
    ) -> list[StageEstimate]:
        """Return the estimate of a new request for each of its stages.

        Args:
            request: The new request.
            costs: Expected service time in seconds by stage index.
            weights: Weights of the request's objective.
            now: Loop time in seconds.
            include_load: False to assume idle servers and empty queues.
        """
        return [
            self._estimate_stage(
                request, stage, costs[index], weights, now, include_load
            )
            for index, stage in enumerate(request.stages)
        ]

    def estimate_request_s(
        self,
        request: Request,
        costs: dict[int, float],
        weights: Weights,
        now: float,
        include_load: bool = True,
    ) -> float:
        """Return the expected seconds until a new request completes."""
        estimates = self.estimate_stages(request, costs, weights, now, include_load)
        return estimate_completion_s(estimates)

    def estimate_queue_delay_s(self, stage: str, now: float) -> float:
        """Return the expected queue delay of a new call in this zone, in seconds."""
        capacity = self._pool.capacity(stage, now)
        backlog_s = self._requests.backlog(stage).total_s
        first_s = self._first_free_s(stage, capacity)
        return first_s + backlog_s / max(capacity.slots, 0.1)

    def compute_size_factor(
        self, stage: str, cost_s: float, weights: Weights, wait_s: float
    ) -> float:
        """Return the factor on the expected queue for a request of this cost.

        The factor is above 1 for requests that cost more than the mean and below
        1 for cheaper ones. Short queues drain without it, so its effect grows
        with the wait and is complete at ``full_size_effect_wait_s``.
        """
        ratio = cost_s / self._times.get_mean_s(stage)
        pressure = min(1.0, wait_s / weights.full_size_effect_wait_s)
        exponent = weights.size_exponent * pressure
        return min(_MAX_SIZE_FACTOR, max(_MIN_SIZE_FACTOR, ratio**exponent))

    def _estimate_stage(
        self,
        request: Request,
        stage: str,
        cost_s: float,
        weights: Weights,
        now: float,
        include_load: bool,
    ) -> StageEstimate:
        capacity = self._pool.capacity(stage, now)
        remote_slots = 0.0
        if self._mechanisms.spill and not request.forwarded:
            remote_slots = self._digests.sum_usable_capacity(stage, now)
        slots = capacity.slots + remote_slots
        if not include_load:
            return StageEstimate(cost_s, 0.0, slots, 0.0)
        ahead_s = self._requests.backlog(stage).work_ahead_s(
            request.organisation, request.weight, self._mechanisms.fairness
        )
        if self._mechanisms.small_first:
            wait_s = ahead_s / max(slots, 0.1)
            ahead_s *= self.compute_size_factor(stage, cost_s, weights, wait_s)
        first_s = self._first_free_s(stage, capacity)
        if remote_slots >= 1.0:
            first_s = min(first_s, ZONE_HOP_LATENCY_S)
        return StageEstimate(cost_s, ahead_s, slots, first_s)

    def _first_free_s(self, stage: str, capacity: StageCapacity) -> float:
        if capacity.free >= 1.0 or not capacity.servers:
            return 0.0
        return self._times.get_mean_s(stage) * capacity.slowness / capacity.total_limit

    def _estimate_service_s(
        self, request: Request, stage: str, capacity: StageCapacity, now: float
    ) -> float:
        size = self._catalog.estimate_call_size(request, stage)
        if self._catalog.uses_model(stage):
            reused = self._pool.estimate_reusable_tokens(
                stage, request.prefix_hashes, now
            )
            uncached_tokens = max(0.0, size.prefill_tokens - reused)
            size = CallSize(uncached_tokens, size.output_tokens)
        expected_s = self._times.estimate_service_s(stage, size)
        local_s = expected_s * capacity.slowness
        if not self._mechanisms.spill or request.forwarded:
            return local_s
        mean_s = self._times.get_mean_s(stage)
        other_zones_s = [
            ZONE_HOP_LATENCY_S + expected_s * digest.service_s / mean_s
            for digest in self._digests.list_fresh(stage, now)
            if digest.service_s > 0.0 and digest.free_capacity > 0
        ]
        if not capacity.servers:
            return min(other_zones_s, default=expected_s)
        return min([local_s, *other_zones_s]) if capacity.slowness > 1.5 else local_s
