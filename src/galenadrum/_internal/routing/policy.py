"""Routing policy of one entry host.

``Policy`` performs no I/O: it receives events with the loop time in seconds and
returns decisions. It knows the backend servers of its own zone and digests of
other zones. Several entry hosts, each with its own policy, share the servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import (
    AttemptResult,
    Decision,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    Reject,
    Request,
    RunState,
    StageCall,
)
from galenadrum._internal.models.resources import (
    OrganisationSpec,
    StageSpec,
)
from galenadrum._internal.models.servers import (
    DEFAULT_REGION,
    Announcement,
    ZoneDigest,
)
from galenadrum._internal.routing.admission import RetryAfterEstimator
from galenadrum._internal.routing.catalog import StageCatalog
from galenadrum._internal.routing.counters import (
    Explanation,
    ExplanationCache,
    PolicyCounters,
)
from galenadrum._internal.routing.forecast import Forecast
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.placement import (
    ForwardPlacement,
    LocalPlacement,
    Placement,
    Placer,
)
from galenadrum._internal.routing.pool import ServerPool
from galenadrum._internal.routing.queues import FairQueue, OrganisationUsage, QueuedCall
from galenadrum._internal.routing.request_registry import RequestRegistry
from galenadrum._internal.routing.retry_budget import MAX_ATTEMPTS, RetryBudget
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes
from galenadrum._internal.routing.spill import ZoneDigests, zone_server_id

_MAX_QUEUED_CALLS = 512
_FAIR_WINDOW_CALLS = 4.0
_MAX_TICK_INTERVAL_S = 0.05
# A restarted server is often back within this time.
_NO_SERVER_GRACE_S = 1.0
_TRIAL_ADMISSION_INTERVAL_S = 1.0
_MIN_TIME_LEFT_SHARE = 0.9
_MAX_SPARE_UTILISATION = 0.75
_MIN_FIRST_BYTE_TIMEOUT_S = 0.25
_FIRST_BYTE_TIMEOUT_FACTOR = 3.0


class Policy:
    """Decides on the requests and stage calls of one entry host.

    Every submitted call gets exactly one decision unless it is withdrawn.

    Args:
        zone: The availability zone of the entry host.
        random: Source of all random choices.
        mechanisms: Enabled mechanisms; daemons enable all of them.
        region: The region of the zone.
    """

    def __init__(
        self,
        zone: str,
        random: Random,
        mechanisms: Mechanisms | None = None,
        region: str = DEFAULT_REGION,
    ) -> None:
        self._mechanisms = mechanisms or Mechanisms()
        self._zone = zone
        self._random = random
        self._objectives = Objectives()
        self.counters = PolicyCounters()
        self._explanations = ExplanationCache()
        self._catalog = StageCatalog()
        self._times = ServiceTimes(self._mechanisms.speeds)
        self._pool = ServerPool(self._times, self._mechanisms, self.counters, random)
        self._digests = ZoneDigests(zone, region)
        self._requests = RequestRegistry()
        self._forecast = Forecast(
            self._catalog,
            self._times,
            self._pool,
            self._digests,
            self._requests,
            self._mechanisms,
        )
        self._placer = Placer(
            zone,
            self._catalog,
            self._times,
            self._pool,
            self._digests,
            self._forecast,
            self._mechanisms,
            random,
        )
        self._queues_by_stage: dict[str, FairQueue] = {}
        self._usage_by_stage: dict[str, OrganisationUsage] = {}
        self._budgets_by_stage: dict[str, RetryBudget] = {}
        self._unserved_since_by_stage: dict[str, float] = {}
        self._retry_after_estimator = RetryAfterEstimator()
        self._last_trial_admission_at = -_TRIAL_ADMISSION_INTERVAL_S

    def admit(self, request: Request, now: float) -> Refusal | None:
        """Admit a request and return None, or return its refusal as not run."""
        if not all(
            self._is_stage_available(request, stage, now) for stage in request.stages
        ):
            return self._refuse(request, RefusalReason.NO_SERVER, now)
        costs = self._forecast.estimate_costs(request, now)
        reason = self._refusal_reason(request, costs, now)
        if reason is not None:
            return self._refuse(request, reason, now)
        self._requests.open(request, costs)
        self.counters.admitted += 1
        return None

    def submit(self, call: StageCall, now: float) -> tuple[Decision, ...]:
        """Queue a stage call and return the decisions that are due now.

        The decision on this call may be returned by a later event.
        """
        record = self._requests.require_record(call.request.request_id)
        if call.attempt == 1:
            self._get_retry_budget(call.stage).deposit()
        self._requests.record_submission(record, call.key)
        service_s = self._forecast.estimate_service_s(call.request, call.stage, now)
        later_stages_s = self._forecast.estimate_remaining_s(
            call.request, call.stage_index + 1, now
        )
        give_up_at = call.request.deadline
        if self._mechanisms.give_up:
            give_up_at -= _MIN_TIME_LEFT_SHARE * (service_s + later_stages_s)
        queued = QueuedCall(
            call,
            service_s,
            later_stages_s,
            give_up_at,
            now,
            self._compute_queue_order(call, service_s, give_up_at, now),
        )
        evicted = self._get_queue(call.stage).push(queued)
        decisions = []
        if evicted is not None:
            decisions.append(self._reject(evicted.call, RefusalReason.OVERLOADED, now))
        decisions.extend(self._process_queue(call.stage, now))
        return tuple(decisions)

    def finished(
        self, call: StageCall, server_id: str, result: AttemptResult, now: float
    ) -> tuple[Decision, ...]:
        """Record the result of a dispatched call; called once for each."""
        forward_zone = self._parse_forward_zone(server_id)
        self._requests.record_call_end(call, server_id, result.outcome)
        if forward_zone is not None:
            failed = result.outcome not in (Outcome.COMPLETED, Outcome.CANCELLED)
            self._digests.record_forward_end(
                call.stage, forward_zone, call.key, failed, now
            )
            return ()
        size = self._compute_processed_size(call, result)
        stages = self._pool.record_call_end(call, server_id, size, result, now)
        return self._process_queues(stages, now)

    def withdraw(self, call: StageCall, now: float) -> tuple[Decision, ...]:
        """Remove a queued call; a call already decided on is unaffected."""
        record = self._requests.get(call.request.request_id)
        if record is not None and call.key in record.queued:
            self._get_queue(call.stage).remove(call.key)
            self._requests.dequeue(record, call.key)
        return self._process_queue(call.stage, now)

    def allow_retry(self, call: StageCall, result: AttemptResult, now: float) -> bool:
        """Return whether a failed call may be retried, and charge the budget."""
        allowed = self._is_retryable(call, result) and self._can_afford_retry(
            call, result, now
        )
        if allowed:
            self.counters.retries_allowed += 1
        else:
            self.counters.retries_refused += 1
        return allowed

    def end_request(self, request: Request, now: float) -> None:
        """End an admitted request; none of its calls may still be queued."""
        record = self._requests.get(request.request_id)
        if record is not None:
            self._requests.close(record)

    def update_servers(
        self, announcements: Iterable[Announcement], now: float
    ) -> tuple[Decision, ...]:
        """Replace the announced servers of the own zone."""
        self._pool.update(announcements, now)
        return self._process_queues(tuple(self._queues_by_stage), now)

    def update_declarations(
        self,
        stages_by_name: Mapping[str, StageSpec],
        organisations_by_name: Mapping[str, OrganisationSpec],
        objectives: Objectives,
        now: float,
    ) -> None:
        """Replace the declarations in force.

        Each request carries the weight and priority of its organisation.
        """
        self._catalog.update(stages_by_name, self._times)
        self._objectives = objectives

    def update_digests(self, digests: Iterable[ZoneDigest], now: float) -> None:
        """Update the digests of other zones' stages."""
        self._digests.update(tuple(digests))

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Decide on queued calls; due by the time that ``next_wakeup`` returns."""
        return self._process_queues(tuple(self._queues_by_stage), now)

    def next_wakeup(self, now: float) -> float | None:
        """Return the loop time when ``tick`` is due, or None if no call is queued."""
        expiries = [
            queue.next_expiry() for queue in self._queues_by_stage.values() if queue
        ]
        if not expiries:
            return None
        earliest = min(expiry for expiry in expiries if expiry is not None)
        return max(now, min(earliest, now + _MAX_TICK_INTERVAL_S))

    def build_zone_digests(
        self, entry_address: str, now: float
    ) -> tuple[ZoneDigest, ...]:
        """Return digests of this zone's stages for other zones.

        Args:
            entry_address: Address at which this entry host accepts forwarded calls.
            now: Loop time in seconds.
        """
        return tuple(
            self._build_zone_digest(stage, entry_address, now)
            for stage in self._pool.stages()
        )

    def get_explanation(self, call: StageCall) -> Explanation | None:
        """Return the explanation of a call's dispatch for its trace span."""
        return self._explanations.get(call.key)

    def _is_stage_available(self, request: Request, stage: str, now: float) -> bool:
        if self._pool.serves(stage):
            return True
        return not request.forwarded and bool(self._digests.list_fresh(stage, now))

    def _refusal_reason(
        self, request: Request, costs: dict[int, float], now: float
    ) -> RefusalReason | None:
        if not self._mechanisms.admission:
            return None
        weights = self._objectives.get_request_weights(request)
        margin = weights.admission_margin
        remaining_s = request.deadline - now
        loaded_s = self._forecast.estimate_request_s(request, costs, weights, now)
        if margin * loaded_s <= remaining_s:
            return None
        unloaded_s = self._forecast.estimate_request_s(
            request, costs, weights, now, include_load=False
        )
        if margin * unloaded_s > remaining_s:
            return (
                None
                if self._allow_trial_admission(remaining_s, now)
                else RefusalReason.DEADLINE
            )
        if self._over_share(request):
            return RefusalReason.OVER_SHARE
        return RefusalReason.OVERLOADED

    def _over_share(self, request: Request) -> bool:
        """Return whether the organisation exceeds its fair share at any stage."""
        return any(
            self._requests.backlog(stage).over_share(
                request.organisation, request.weight
            )
            for stage in request.stages
        )

    def _allow_trial_admission(self, remaining_s: float, now: float) -> bool:
        """Return whether to admit a request that is expected to miss its deadline.

        One such request per interval keeps the service times current.
        """
        if (
            remaining_s <= 0.0
            or now - self._last_trial_admission_at < _TRIAL_ADMISSION_INTERVAL_S
        ):
            return False
        self._last_trial_admission_at = now
        return True

    def _refuse(self, request: Request, reason: RefusalReason, now: float) -> Refusal:
        if self._requests.get(request.request_id) is not None:
            raise InvariantError(
                f"request {request.request_id} was refused while it is open"
            )
        self.counters.refused_by_reason[reason.value] += 1
        return Refusal(
            reason=reason,
            run=RunState.NOT_RUN,
            message=_MESSAGES_BY_REASON[reason],
            retry_after_s=self._retry_after_s(request, now),
        )

    def _retry_after_s(self, request: Request, now: float) -> float:
        estimates = [
            (self._forecast.estimate_queue_delay_s(stage, now), stage)
            for stage in request.stages
        ]
        backlog_s, stage = max(estimates, default=(0.0, ""))
        slots = self._pool.capacity(stage, now).slots
        cost_s = self._times.get_mean_s(stage)
        return self._retry_after_estimator.record_refusal(
            backlog_s, cost_s, slots, now, self._random
        )

    def _compute_queue_order(
        self, call: StageCall, service_s: float, give_up_at: float, now: float
    ) -> float:
        """Return the sort key of a call in its queue: earliest deadline first.

        A call admitted ahead of more expensive ones gets an earlier key, because
        it would otherwise wait behind them in the queue.
        """
        if not self._mechanisms.deadline_order:
            return now
        if not self._mechanisms.small_first:
            return give_up_at
        weights = self._objectives.get_request_weights(call.request)
        wait_s = self._forecast.estimate_queue_delay_s(call.stage, now)
        factor = self._forecast.compute_size_factor(
            call.stage, service_s, weights, wait_s
        )
        return now + (give_up_at - now) * factor

    def _is_retryable(self, call: StageCall, result: AttemptResult) -> bool:
        if result.outcome in (Outcome.COMPLETED, Outcome.CANCELLED):
            return False
        if call.attempt >= MAX_ATTEMPTS:
            return False
        repeatable = self._catalog.spec(call.stage).repeatable
        return repeatable or result.outcome is Outcome.NOT_RUN

    def _can_afford_retry(
        self, call: StageCall, result: AttemptResult, now: float
    ) -> bool:
        remaining_s = call.request.deadline - now
        if (
            self._forecast.estimate_remaining_s(call.request, call.stage_index, now)
            > remaining_s
        ):
            return False
        if not self._mechanisms.retry_budget:
            return True
        if self._mechanisms.spare_retries and self._has_spare_capacity(call.stage, now):
            return True
        share = result.service_s / self._times.get_mean_s(call.stage)
        may_have_run = result.outcome is not Outcome.NOT_RUN
        return self._get_retry_budget(call.stage).withdraw(share, may_have_run)

    def _has_spare_capacity(self, stage: str, now: float) -> bool:
        if len(self._get_queue(stage)):
            return False
        capacity = self._pool.capacity(stage, now)
        used = capacity.total_limit - capacity.free
        if capacity.servers and used < _MAX_SPARE_UTILISATION * capacity.total_limit:
            return True
        return (
            self._mechanisms.spill
            and self._digests.sum_usable_capacity(stage, now) >= 1.0
        )

    def _process_queues(
        self, stages: Iterable[str], now: float
    ) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for stage in stages:
            decisions.extend(self._process_queue(stage, now))
        return tuple(decisions)

    def _process_queue(self, stage: str, now: float) -> tuple[Decision, ...]:
        """Decide on as many queued calls of a stage as possible."""
        queue = self._get_queue(stage)
        decisions: list[Decision] = [
            self._reject(queued.call, RefusalReason.DEADLINE, now)
            for queued in queue.pop_expired(now)
        ]
        decisions.extend(self._reject_unserved(stage, now))
        if not self._pool.serves(stage):
            decisions.extend(self._reject_forwarded(queue, now))
        while len(queue):
            queued = queue.peek(self._get_usage(stage), self._fair_window_s(stage), now)
            weights = self._objectives.get_request_weights(queued.call.request)
            placement = self._placer.place(queued, weights, now)
            if placement is None:
                break
            queue.remove(queued.call.key)
            decisions.append(self._dispatch(queued, placement, now))
        return tuple(decisions)

    def _reject_unserved(self, stage: str, now: float) -> list[Decision]:
        """Reject the calls of a stage that has had no server for the grace period."""
        queue = self._get_queue(stage)
        is_served = self._pool.serves(stage) or self._digests.list_fresh(stage, now)
        if is_served or not len(queue):
            self._unserved_since_by_stage.pop(stage, None)
            return []
        unserved_since = self._unserved_since_by_stage.setdefault(stage, now)
        if now - unserved_since < _NO_SERVER_GRACE_S:
            return []
        calls = [queued.call for queued in queue]
        for call in calls:
            queue.remove(call.key)
        return [self._reject(call, RefusalReason.NO_SERVER, now) for call in calls]

    def _reject_forwarded(self, queue: FairQueue, now: float) -> list[Decision]:
        """Reject calls forwarded by other zones if no local server remains."""
        forwarded = [q.call for q in queue if q.call.request.forwarded]
        for call in forwarded:
            queue.remove(call.key)
        return [self._reject(call, RefusalReason.NO_SERVER, now) for call in forwarded]

    def _fair_window_s(self, stage: str) -> float | None:
        if not self._mechanisms.fairness:
            return None
        return _FAIR_WINDOW_CALLS * self._times.get_mean_s(stage)

    def _dispatch(
        self, queued: QueuedCall, placement: Placement, now: float
    ) -> Dispatch:
        call = queued.call
        request = call.request
        record = self._requests.require_record(request.request_id)
        if isinstance(placement, ForwardPlacement):
            dispatch = self._dispatch_to_zone(queued, placement, now)
        else:
            dispatch = self._dispatch_to_server(queued, placement, now)
        self._requests.record_dispatch(record, call, dispatch.server_id)
        self._get_usage(call.stage).record_cost(
            request.organisation, queued.cost_s, request.weight, now
        )
        self._record_explanation(queued, placement, dispatch, now)
        return dispatch

    def _dispatch_to_server(
        self, queued: QueuedCall, placement: LocalPlacement, now: float
    ) -> Dispatch:
        call = queued.call
        address = self._pool.record_dispatch(call, placement.candidate, now)
        return Dispatch(
            call=call,
            server_id=placement.candidate.server_id,
            address=address,
            first_byte_timeout_s=self._first_byte_timeout_s(
                call, placement.expected_s, now
            ),
            due_at=_compute_due_at(queued, now),
        )

    def _dispatch_to_zone(
        self, queued: QueuedCall, placement: ForwardPlacement, now: float
    ) -> Dispatch:
        call = queued.call
        zone = placement.digest.zone
        self._digests.record_forward(call.stage, zone, call.key, now)
        self.counters.forwarded_by_zone[zone] += 1
        return Dispatch(
            call=call,
            server_id=zone_server_id(zone),
            address=placement.digest.entry_address,
            first_byte_timeout_s=self._first_byte_timeout_s(
                call, placement.expected_s, now
            ),
            forward_zone=zone,
            due_at=_compute_due_at(queued, now),
        )

    def _first_byte_timeout_s(
        self, call: StageCall, expected_s: float, now: float
    ) -> float:
        factor = _FIRST_BYTE_TIMEOUT_FACTOR * self._times.high_ratio(call.stage)
        timeout_s = max(_MIN_FIRST_BYTE_TIMEOUT_S, factor * expected_s)
        return max(0.0, min(timeout_s, call.request.deadline - now))

    def _record_explanation(
        self, queued: QueuedCall, placement: Placement, dispatch: Dispatch, now: float
    ) -> None:
        local = isinstance(placement, LocalPlacement)
        self.counters.dispatched_by_choice[placement.choice.value] += 1
        explanation = Explanation(
            choice=placement.choice,
            server_id=dispatch.server_id,
            expected_s=placement.expected_s,
            queued_s=now - queued.queued_at,
            reused_tokens=placement.candidate.reused_tokens if local else 0.0,
            candidates=placement.candidates if local else 0,
        )
        self._explanations.record(dispatch.call.key, explanation)

    def _reject(self, call: StageCall, reason: RefusalReason, now: float) -> Reject:
        record = self._requests.require_record(call.request.request_id)
        self._requests.dequeue(record, call.key)
        run = record.run_state
        if run is RunState.NOT_RUN and record.dispatch_count > record.not_run_count:
            raise InvariantError(
                f"call {call.key} may have run but was refused as not run"
            )
        self.counters.rejected_by_reason[reason.value] += 1
        refusal = Refusal(
            reason=reason,
            run=run,
            message=_MESSAGES_BY_REASON[reason],
            retry_after_s=self._retry_after_s(call.request, now),
        )
        return Reject(call, refusal)

    def _compute_processed_size(
        self, call: StageCall, result: AttemptResult
    ) -> CallSize:
        size = self._catalog.estimate_call_size(call.request, call.stage)
        prefill_tokens = max(0, size.prefill_tokens - result.cached_tokens)
        return CallSize(prefill_tokens, size.output_tokens)

    def _build_zone_digest(
        self, stage: str, entry_address: str, now: float
    ) -> ZoneDigest:
        capacity = self._pool.capacity(stage, now)
        free = capacity.free - len(self._get_queue(stage))
        return ZoneDigest(
            zone=self._zone,
            stage=stage,
            free_capacity=max(0, int(free)),
            queue_delay_s=self._forecast.estimate_queue_delay_s(stage, now),
            entry_address=entry_address,
            received_at=now,
            capacity=round(capacity.total_limit),
            service_s=self._times.get_mean_s(stage) * capacity.slowness,
            failure_share=capacity.failure_share,
        )

    def _parse_forward_zone(self, server_id: str) -> str | None:
        prefix = zone_server_id("")
        return server_id[len(prefix) :] if server_id.startswith(prefix) else None

    def _get_queue(self, stage: str) -> FairQueue:
        queue = self._queues_by_stage.get(stage)
        if queue is None:
            queue = FairQueue(_MAX_QUEUED_CALLS)
            self._queues_by_stage[stage] = queue
        return queue

    def _get_usage(self, stage: str) -> OrganisationUsage:
        return self._usage_by_stage.setdefault(stage, OrganisationUsage())

    def _get_retry_budget(self, stage: str) -> RetryBudget:
        return self._budgets_by_stage.setdefault(stage, RetryBudget())


def _compute_due_at(queued: QueuedCall, now: float) -> float:
    deadline = queued.call.request.deadline
    return max(now, deadline - _MIN_TIME_LEFT_SHARE * queued.later_stages_s)


_MESSAGES_BY_REASON: dict[RefusalReason, str] = {
    RefusalReason.NO_SERVER: "no backend server of a stage is known",
    RefusalReason.DEADLINE: "the deadline can't be met",
    RefusalReason.OVERLOADED: "the queue is too long for the deadline",
    RefusalReason.OVER_SHARE: "the organisation is above its share",
}
