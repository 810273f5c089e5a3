"""The policy of one entry host: who is served, where, when, and who is not.

``Policy`` is pure: it is fed events with the loop's time in seconds and
returns decisions. It knows the backend servers of its own zone and digests of
the others. Several entry hosts, each with a policy of its own, share the
servers.
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
from galenadrum._internal.routing.admission import RefusalRate
from galenadrum._internal.routing.catalog import StageCatalog
from galenadrum._internal.routing.counters import (
    Explanation,
    Explanations,
    PolicyCounters,
)
from galenadrum._internal.routing.forecast import Forecast
from galenadrum._internal.routing.ledger import RequestLedger
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.placement import (
    ForwardPlacement,
    LocalPlacement,
    Placement,
    Placer,
)
from galenadrum._internal.routing.pool import ServerPool
from galenadrum._internal.routing.queues import FairQueue, QueuedCall, Usage
from galenadrum._internal.routing.retry_budget import MAX_ATTEMPTS, RetryBudget
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes
from galenadrum._internal.routing.spill import ZoneDigests, zone_server_id

_MAX_QUEUED_CALLS = 512
_FAIR_WINDOW_CALLS = 4.0
_REPUMP_INTERVAL_S = 0.05
# A server that was restarted is often back within this time.
_NO_SERVER_GRACE_S = 1.0
_TRIAL_INTERVAL_S = 1.0
_GIVE_UP_SHARE = 0.9
_SPARE_UTILISATION = 0.75
_MIN_FIRST_BYTE_TIMEOUT_S = 0.25
_FIRST_BYTE_FACTOR = 3.0


class Policy:
    """Decides on requests and stage calls of one entry host.

    Every submitted call gets exactly one decision unless it was withdrawn.

    Args:
        zone: The availability zone of the entry host.
        random: Source of all random choices.
        mechanisms: Which parts are in force; all of them in daemons.
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
        self._explanations = Explanations()
        self._catalog = StageCatalog()
        self._times = ServiceTimes(self._mechanisms.speeds)
        self._pool = ServerPool(self._times, self._mechanisms, self.counters, random)
        self._digests = ZoneDigests(zone, region)
        self._ledger = RequestLedger()
        self._forecast = Forecast(
            self._catalog,
            self._times,
            self._pool,
            self._digests,
            self._ledger,
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
        self._usage_by_stage: dict[str, Usage] = {}
        self._budgets_by_stage: dict[str, RetryBudget] = {}
        self._unserved_since_by_stage: dict[str, float] = {}
        self._refusals = RefusalRate()
        self._last_trial_at = -_TRIAL_INTERVAL_S

    def admit(self, request: Request, now: float) -> Refusal | None:
        """Admit a request, or return why it is refused; it then did not run."""
        if not all(self._may_serve(request, stage, now) for stage in request.stages):
            return self._refuse(request, RefusalReason.NO_SERVER, now)
        costs = self._forecast.costs(request, now)
        reason = self._refusal_reason(request, costs, now)
        if reason is not None:
            return self._refuse(request, reason, now)
        self._ledger.open(request, costs)
        self.counters.admitted += 1
        return None

    def submit(self, call: StageCall, now: float) -> tuple[Decision, ...]:
        """Take a stage call in; the decision may come now or later."""
        record = self._ledger.require(call.request.request_id)
        if call.attempt == 1:
            self._budget(call.stage).deposit()
        self._ledger.queue(record, call.key)
        service_s = self._forecast.service_s(call.request, call.stage, now)
        rest_s = self._forecast.remaining_s(call.request, call.stage_index + 1, now)
        give_up_at = call.request.deadline
        if self._mechanisms.give_up:
            give_up_at -= _GIVE_UP_SHARE * (service_s + rest_s)
        queued = QueuedCall(
            call,
            service_s,
            rest_s,
            give_up_at,
            now,
            self._order(call, service_s, give_up_at, now),
        )
        evicted = self._queue(call.stage).push(queued)
        decisions = []
        if evicted is not None:
            decisions.append(self._reject(evicted.call, RefusalReason.OVERLOADED, now))
        decisions.extend(self._pump(call.stage, now))
        return tuple(decisions)

    def finished(
        self, call: StageCall, server_id: str, result: AttemptResult, now: float
    ) -> tuple[Decision, ...]:
        """Learn how a dispatched call ended; called once for each."""
        forward_zone = self._forward_zone(server_id)
        self._ledger.end_call(call, server_id, result.outcome)
        if forward_zone is not None:
            failed = result.outcome not in (Outcome.COMPLETED, Outcome.CANCELLED)
            self._digests.ended(call.stage, forward_zone, call.key, failed, now)
            return ()
        size = self._size_run(call, result)
        stages = self._pool.end(call, server_id, size, result, now)
        return self._pump_all(stages, now)

    def withdraw(self, call: StageCall, now: float) -> tuple[Decision, ...]:
        """Forget a call that waits; one that was decided is left as it is."""
        record = self._ledger.get(call.request.request_id)
        if record is not None and call.key in record.queued:
            self._queue(call.stage).remove(call.key)
            self._ledger.dequeue(record, call.key)
        return self._pump(call.stage, now)

    def allow_retry(self, call: StageCall, result: AttemptResult, now: float) -> bool:
        """Return whether a failed call may be submitted once more."""
        allowed = self._may_repeat(call, result) and self._pays_to_retry(
            call, result, now
        )
        if allowed:
            self.counters.retries_allowed += 1
        else:
            self.counters.retries_refused += 1
        return allowed

    def end_request(self, request: Request, now: float) -> None:
        """Forget an admitted request; none of its calls may still wait."""
        record = self._ledger.get(request.request_id)
        if record is not None:
            self._ledger.close(record)

    def update_servers(
        self, announcements: Iterable[Announcement], now: float
    ) -> tuple[Decision, ...]:
        """Take in all servers of the own zone that stand announced."""
        self._pool.update(announcements, now)
        return self._pump_all(tuple(self._queues_by_stage), now)

    def update_declarations(
        self,
        stages_by_name: Mapping[str, StageSpec],
        organisations_by_name: Mapping[str, OrganisationSpec],
        objectives: Objectives,
        now: float,
    ) -> None:
        """Take the declarations in force in.

        The weight and priority of an organisation come with each request.
        """
        self._catalog.update(stages_by_name, self._times)
        self._objectives = objectives

    def update_digests(self, digests: Iterable[ZoneDigest], now: float) -> None:
        """Take in what other zones told of their stages."""
        self._digests.update(tuple(digests))

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Decide on what waits; called no later than ``next_wakeup`` says."""
        return self._pump_all(tuple(self._queues_by_stage), now)

    def next_wakeup(self, now: float) -> float | None:
        """Return the loop time at which ``tick`` is due, or None."""
        expiries = [
            queue.next_expiry() for queue in self._queues_by_stage.values() if queue
        ]
        if not expiries:
            return None
        earliest = min(expiry for expiry in expiries if expiry is not None)
        return max(now, min(earliest, now + _REPUMP_INTERVAL_S))

    def zone_digests(self, entry_address: str, now: float) -> tuple[ZoneDigest, ...]:
        """Return what other zones should know of this zone's stages.

        Args:
            entry_address: Where this entry host takes forwarded calls.
            now: Loop time in seconds.
        """
        return tuple(
            self._digest(stage, entry_address, now) for stage in self._pool.stages()
        )

    def explain(self, call: StageCall) -> Explanation | None:
        """Return why a call was dispatched as it was, for its span."""
        return self._explanations.get(call.key)

    def _may_serve(self, request: Request, stage: str, now: float) -> bool:
        if self._pool.serves(stage):
            return True
        return not request.forwarded and bool(self._digests.fresh(stage, now))

    def _refusal_reason(
        self, request: Request, costs: dict[int, float], now: float
    ) -> RefusalReason | None:
        if not self._mechanisms.admission:
            return None
        weights = self._objectives.weights_of(request)
        margin = weights.admission_margin
        left_s = request.deadline - now
        loaded_s = self._forecast.completion_s(request, costs, weights, now)
        if margin * loaded_s <= left_s:
            return None
        unloaded_s = self._forecast.completion_s(
            request, costs, weights, now, loaded=False
        )
        if margin * unloaded_s > left_s:
            return None if self._allow_trial(left_s, now) else RefusalReason.DEADLINE
        if self._over_share(request):
            return RefusalReason.OVER_SHARE
        return RefusalReason.OVERLOADED

    def _over_share(self, request: Request) -> bool:
        """Return whether the organisation alone keeps its own requests out."""
        return any(
            self._ledger.backlog(stage).over_share(request.organisation, request.weight)
            for stage in request.stages
        )

    def _allow_trial(self, left_s: float, now: float) -> bool:
        """Admit one hopeless request now and then to keep the times current."""
        if left_s <= 0.0 or now - self._last_trial_at < _TRIAL_INTERVAL_S:
            return False
        self._last_trial_at = now
        return True

    def _refuse(self, request: Request, reason: RefusalReason, now: float) -> Refusal:
        if self._ledger.get(request.request_id) is not None:
            raise InvariantError(f"request {request.request_id} refused while open")
        self.counters.refused_by_reason[reason.value] += 1
        return Refusal(
            reason=reason,
            run=RunState.NOT_RUN,
            message=_MESSAGES_BY_REASON[reason],
            retry_after_s=self._retry_after_s(request, now),
        )

    def _retry_after_s(self, request: Request, now: float) -> float:
        outlooks = [
            (self._forecast.queue_delay_s(stage, now), stage)
            for stage in request.stages
        ]
        backlog_s, stage = max(outlooks, default=(0.0, ""))
        slots = self._pool.capacity(stage, now).slots
        cost_s = self._times.mean(stage)
        return self._refusals.retry_after_s(backlog_s, cost_s, slots, now, self._random)

    def _order(
        self, call: StageCall, service_s: float, give_up_at: float, now: float
    ) -> float:
        """Return the place of a call in its queue: what is due first goes first.

        A call that was admitted past the work of larger ones counts as due
        sooner, or it would wait behind them after all.
        """
        if not self._mechanisms.deadline_order:
            return now
        if not self._mechanisms.small_first:
            return give_up_at
        weights = self._objectives.weights_of(call.request)
        wait_s = self._forecast.queue_delay_s(call.stage, now)
        factor = self._forecast.size_factor(call.stage, service_s, weights, wait_s)
        return now + (give_up_at - now) * factor

    def _may_repeat(self, call: StageCall, result: AttemptResult) -> bool:
        if result.outcome in (Outcome.COMPLETED, Outcome.CANCELLED):
            return False
        if call.attempt >= MAX_ATTEMPTS:
            return False
        repeatable = self._catalog.spec(call.stage).repeatable
        return repeatable or result.outcome is Outcome.NOT_RUN

    def _pays_to_retry(
        self, call: StageCall, result: AttemptResult, now: float
    ) -> bool:
        left_s = call.request.deadline - now
        if self._forecast.remaining_s(call.request, call.stage_index, now) > left_s:
            return False
        if not self._mechanisms.retry_budget:
            return True
        if self._mechanisms.spare_retries and self._has_spare(call.stage, now):
            return True
        share = result.service_s / self._times.mean(call.stage)
        did_run = result.outcome is not Outcome.NOT_RUN
        return self._budget(call.stage).withdraw(share, did_run)

    def _has_spare(self, stage: str, now: float) -> bool:
        if len(self._queue(stage)):
            return False
        capacity = self._pool.capacity(stage, now)
        used = capacity.total_limit - capacity.free
        if capacity.servers and used < _SPARE_UTILISATION * capacity.total_limit:
            return True
        return self._mechanisms.spill and self._digests.free(stage, now) >= 1.0

    def _pump_all(self, stages: Iterable[str], now: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for stage in stages:
            decisions.extend(self._pump(stage, now))
        return tuple(decisions)

    def _pump(self, stage: str, now: float) -> tuple[Decision, ...]:
        """Decide on as many waiting calls of a stage as possible."""
        queue = self._queue(stage)
        decisions: list[Decision] = [
            self._reject(queued.call, RefusalReason.DEADLINE, now)
            for queued in queue.pop_expired(now)
        ]
        decisions.extend(self._reject_unserved(stage, now))
        if not self._pool.serves(stage):
            decisions.extend(self._return_forwarded(queue, now))
        while len(queue):
            queued = queue.peek(self._usage(stage), self._fair_window_s(stage), now)
            weights = self._objectives.weights_of(queued.call.request)
            placement = self._placer.place(queued, weights, now)
            if placement is None:
                break
            queue.remove(queued.call.key)
            decisions.append(self._dispatch(queued, placement, now))
        return tuple(decisions)

    def _reject_unserved(self, stage: str, now: float) -> list[Decision]:
        """Give up on calls that no server has been there for, for a while."""
        queue = self._queue(stage)
        is_served = self._pool.serves(stage) or self._digests.fresh(stage, now)
        if is_served or not len(queue):
            self._unserved_since_by_stage.pop(stage, None)
            return []
        since = self._unserved_since_by_stage.setdefault(stage, now)
        if now - since < _NO_SERVER_GRACE_S:
            return []
        calls = [queued.call for queued in queue]
        for call in calls:
            queue.remove(call.key)
        return [self._reject(call, RefusalReason.NO_SERVER, now) for call in calls]

    def _return_forwarded(self, queue: FairQueue, now: float) -> list[Decision]:
        """Reject calls of other zones while none of this zone's servers is left."""
        forwarded = [q.call for q in queue if q.call.request.forwarded]
        for call in forwarded:
            queue.remove(call.key)
        return [self._reject(call, RefusalReason.NO_SERVER, now) for call in forwarded]

    def _fair_window_s(self, stage: str) -> float | None:
        if not self._mechanisms.fairness:
            return None
        return _FAIR_WINDOW_CALLS * self._times.mean(stage)

    def _dispatch(
        self, queued: QueuedCall, placement: Placement, now: float
    ) -> Dispatch:
        call = queued.call
        request = call.request
        record = self._ledger.require(request.request_id)
        if isinstance(placement, ForwardPlacement):
            dispatch = self._forward(queued, placement, now)
        else:
            dispatch = self._send(queued, placement, now)
        self._ledger.dispatch(record, call, dispatch.server_id)
        self._usage(call.stage).charge(
            request.organisation, queued.cost_s, request.weight, now
        )
        self._explain(queued, placement, dispatch, now)
        return dispatch

    def _send(
        self, queued: QueuedCall, placement: LocalPlacement, now: float
    ) -> Dispatch:
        call = queued.call
        address = self._pool.start(call, placement.candidate, now)
        return Dispatch(
            call=call,
            server_id=placement.candidate.server_id,
            address=address,
            first_byte_timeout_s=self._first_byte_timeout_s(
                call, placement.expected_s, now
            ),
            due_at=_due_at(queued, now),
        )

    def _forward(
        self, queued: QueuedCall, placement: ForwardPlacement, now: float
    ) -> Dispatch:
        call = queued.call
        zone = placement.digest.zone
        self._digests.sent(call.stage, zone, call.key, now)
        self.counters.forwarded_by_zone[zone] += 1
        return Dispatch(
            call=call,
            server_id=zone_server_id(zone),
            address=placement.digest.entry_address,
            first_byte_timeout_s=self._first_byte_timeout_s(
                call, placement.expected_s, now
            ),
            forward_zone=zone,
            due_at=_due_at(queued, now),
        )

    def _first_byte_timeout_s(
        self, call: StageCall, expected_s: float, now: float
    ) -> float:
        factor = _FIRST_BYTE_FACTOR * self._times.high_ratio(call.stage)
        usual_s = max(_MIN_FIRST_BYTE_TIMEOUT_S, factor * expected_s)
        return max(0.0, min(usual_s, call.request.deadline - now))

    def _explain(
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
        record = self._ledger.require(call.request.request_id)
        self._ledger.dequeue(record, call.key)
        run = record.run_state
        if run is RunState.NOT_RUN and record.dispatches > record.not_run_ends:
            raise InvariantError(f"call {call.key} refused as not run may have run")
        self.counters.rejected_by_reason[reason.value] += 1
        refusal = Refusal(
            reason=reason,
            run=run,
            message=_MESSAGES_BY_REASON[reason],
            retry_after_s=self._retry_after_s(call.request, now),
        )
        return Reject(call, refusal)

    def _size_run(self, call: StageCall, result: AttemptResult) -> CallSize:
        size = self._catalog.size(call.request, call.stage)
        prefill_tokens = max(0, size.prefill_tokens - result.cached_tokens)
        return CallSize(prefill_tokens, size.output_tokens)

    def _digest(self, stage: str, entry_address: str, now: float) -> ZoneDigest:
        capacity = self._pool.capacity(stage, now)
        free = capacity.free - len(self._queue(stage))
        return ZoneDigest(
            zone=self._zone,
            stage=stage,
            free_capacity=max(0, int(free)),
            queue_delay_s=self._forecast.queue_delay_s(stage, now),
            entry_address=entry_address,
            sent_at=now,
            capacity=round(capacity.total_limit),
            service_s=self._times.mean(stage) * capacity.slowness,
            failure_share=capacity.failure_share,
        )

    def _forward_zone(self, server_id: str) -> str | None:
        prefix = zone_server_id("")
        return server_id[len(prefix) :] if server_id.startswith(prefix) else None

    def _queue(self, stage: str) -> FairQueue:
        queue = self._queues_by_stage.get(stage)
        if queue is None:
            queue = FairQueue(_MAX_QUEUED_CALLS)
            self._queues_by_stage[stage] = queue
        return queue

    def _usage(self, stage: str) -> Usage:
        return self._usage_by_stage.setdefault(stage, Usage())

    def _budget(self, stage: str) -> RetryBudget:
        return self._budgets_by_stage.setdefault(stage, RetryBudget())


def _due_at(queued: QueuedCall, now: float) -> float:
    deadline = queued.call.request.deadline
    return max(now, deadline - _GIVE_UP_SHARE * queued.rest_s)


_MESSAGES_BY_REASON: dict[RefusalReason, str] = {
    RefusalReason.NO_SERVER: "no backend server of a stage is known",
    RefusalReason.DEADLINE: "the deadline can't be met",
    RefusalReason.OVERLOADED: "the queue is too long for the deadline",
    RefusalReason.OVER_SHARE: "the organisation is above its share",
}
