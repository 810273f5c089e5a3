"""State machine that runs requests through the stages of their pipeline.

It does no I/O: the caller reports the events of a request in the order in which
they happen and applies the returned actions. Times are event loop seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Protocol

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

# Keeps a stage whose attempts all end as "not run" from being retried for ever.
_MAX_ATTEMPTS_PER_STAGE = 4


class PolicyProtocol(Protocol):
    """The routing policy methods that the executor calls."""

    def admit(self, request: Request, now: float) -> Refusal | None: ...

    def submit(self, call: StageCall, now: float) -> tuple[Decision, ...]: ...

    def finished(
        self, call: StageCall, server_id: str, result: AttemptResult, now: float
    ) -> tuple[Decision, ...]: ...

    def withdraw(self, call: StageCall, now: float) -> tuple[Decision, ...]: ...

    def allow_retry(
        self, call: StageCall, result: AttemptResult, now: float
    ) -> bool: ...

    def end_request(self, request: Request, now: float) -> None: ...

    def tick(self, now: float) -> tuple[Decision, ...]: ...

    def next_wakeup(self, now: float) -> float | None: ...


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send a stage call to a backend server."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class Complete:
    """Send the output of the last stage to the caller."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send a refusal to the caller as the final answer.

    Attributes:
        side_effects_possible: True if an unrepeatable stage may have run; if
            False, the request's claim can be released.
    """

    request_id: str
    refusal: Refusal
    side_effects_possible: bool


Action = SendCall | Complete | Refuse


@dataclass(slots=True)
class _Execution:
    """Execution state of one request.

    Attributes:
        call: The current stage call.
        server_id: Backend server that the current call was sent to; None until
            the policy dispatches the call.
        last_server_id: Backend server of the latest finished attempt.
        has_unknown_outcome: True if it is unknown whether some attempt at the
            current stage ran.
        has_run: True if an attempt at any stage is known to have run.
        sent_unrepeatable_indexes: Stage indexes of unrepeatable stages that were
            sent and not reported as "not run".
    """

    request: Request
    unrepeatable_stages: frozenset[str]
    call: StageCall
    server_id: str | None = None
    last_server_id: str | None = None
    has_unknown_outcome: bool = False
    has_run: bool = False
    sent_unrepeatable_indexes: set[int] = field(default_factory=set)

    @property
    def run_state(self) -> RunState:
        if self.has_unknown_outcome:
            return RunState.UNKNOWN
        return RunState.RUN if self.has_run else RunState.NOT_RUN


class PipelineExecutor:
    """Runs each request through the stages of its pipeline.

    Invariants, checked on each transition:

    - A stage result is applied once, to the request that it belongs to.
    - An unrepeatable stage is sent again only if the previous attempt is known
      not to have run.
    - A refusal says ``not_run`` only if no attempt that may have run was sent.

    Attributes:
        stale_results: Number of results that matched no current attempt.
    """

    def __init__(self, policy: PolicyProtocol) -> None:
        self._policy = policy
        self._executions_by_id: dict[str, _Execution] = {}
        self.stale_results = 0

    def __len__(self) -> int:
        return len(self._executions_by_id)

    def admit(self, request: Request, now: float) -> Refusal | None:
        """Return a refusal if the request can't finish in time, else None.

        Call this before the request is claimed or any stage call is sent.
        """
        if request.deadline <= now:
            return _build_deadline_refusal(RunState.NOT_RUN)
        return self._policy.admit(request, now)

    def begin(
        self,
        request: Request,
        unrepeatable_stages: frozenset[str],
        now: float,
        *,
        claimed: bool,
    ) -> tuple[Action, ...]:
        """Start an admitted request at its first stage.

        Args:
            request: The admitted request.
            unrepeatable_stages: Its stages that must run at most once.
            now: Loop time in seconds.
            claimed: True if the request's claim was granted.

        Raises:
            InvariantError: The request is already in execution, or it has
                unrepeatable stages and no claim.
        """
        if request.request_id in self._executions_by_id:
            raise InvariantError(
                f"request {request.request_id} is already in execution"
            )
        if unrepeatable_stages and not claimed:
            raise InvariantError(
                f"request {request.request_id} has unrepeatable stages but no claim"
            )
        call = StageCall(request, request.stages[0], 0, 1)
        self._executions_by_id[request.request_id] = _Execution(
            request, unrepeatable_stages, call
        )
        return self._submit(call, now)

    def cancel_admission(self, request: Request, now: float) -> None:
        """End an admitted request whose execution did not begin."""
        self._policy.end_request(request, now)

    def record_attempt_result(
        self, call: StageCall, server_id: str, result: AttemptResult, now: float
    ) -> tuple[Action, ...]:
        """Apply the result of an attempt.

        A stale result still reaches the policy but changes no request.
        """
        decisions = self._policy.finished(call, server_id, result, now)
        actions = list(self.apply_decisions(decisions, now))
        execution = self._executions_by_id.get(call.request.request_id)
        if execution is None or not _is_current(execution, call, server_id):
            self.stale_results += 1
            return tuple(actions)
        execution.server_id = None
        execution.last_server_id = server_id
        _apply_outcome(execution, call, result.outcome)
        if result.outcome is Outcome.COMPLETED:
            actions.extend(self._start_next_stage(execution, now))
        else:
            actions.extend(self._retry_or_refuse(execution, result, now))
        return tuple(actions)

    def abandon(
        self, request_id: str, reason: RefusalReason, now: float
    ) -> tuple[Action, ...]:
        """End a request whose caller disconnected or whose deadline passed.

        An attempt in flight counts as one that may have run, and its later
        result is ignored as stale.
        """
        execution = self._executions_by_id.get(request_id)
        if execution is None:
            return ()
        actions: list[Action] = []
        if execution.server_id is None:
            decisions = self._policy.withdraw(execution.call, now)
            actions.extend(self.apply_decisions(decisions, now))
        else:
            execution.has_unknown_outcome = True
        refusal = Refusal(reason, execution.run_state, "the request was given up")
        actions.append(self._refuse(execution, refusal, now))
        return tuple(actions)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Apply the policy's timed decisions, such as queue expiry."""
        return self.apply_decisions(self._policy.tick(now), now)

    def apply_decisions(
        self, decisions: tuple[Decision, ...], now: float
    ) -> tuple[Action, ...]:
        """Apply the policy's decisions and return the resulting actions."""
        actions: list[Action] = []
        for decision in decisions:
            if isinstance(decision, Dispatch):
                actions.append(self._send(decision))
            else:
                actions.append(self._reject(decision, now))
        return tuple(actions)

    def next_wakeup(self, now: float) -> float | None:
        """Return the loop time at which ``tick`` is due, or None."""
        return self._policy.next_wakeup(now)

    def _submit(self, call: StageCall, now: float) -> tuple[Action, ...]:
        return self.apply_decisions(self._policy.submit(call, now), now)

    def _send(self, dispatch: Dispatch) -> SendCall:
        call = dispatch.call
        execution = self._executions_by_id.get(call.request.request_id)
        if execution is None or execution.call.key != call.key:
            raise InvariantError(
                f"policy dispatched a call that is not current: {call.key}"
            )
        if execution.server_id is not None:
            raise InvariantError(
                f"call {call.key} was dispatched again while in flight"
            )
        _register_unrepeatable_send(execution, call)
        execution.server_id = dispatch.server_id
        return SendCall(dispatch)

    def _reject(self, decision: Reject, now: float) -> Refuse:
        execution = self._executions_by_id[decision.call.request.request_id]
        refusal = replace(decision.refusal, run=execution.run_state)
        return self._refuse(execution, refusal, now)

    def _start_next_stage(
        self, execution: _Execution, now: float
    ) -> tuple[Action, ...]:
        request = execution.request
        next_index = execution.call.stage_index + 1
        if next_index == len(request.stages):
            self._end_execution(execution, now)
            return (Complete(request.request_id),)
        if request.deadline <= now:
            refusal = _build_deadline_refusal(execution.run_state)
            return (self._refuse(execution, refusal, now),)
        execution.call = StageCall(request, request.stages[next_index], next_index, 1)
        return self._submit(execution.call, now)

    def _retry_or_refuse(
        self, execution: _Execution, result: AttemptResult, now: float
    ) -> tuple[Action, ...]:
        call = execution.call
        if execution.request.deadline <= now:
            refusal = _build_deadline_refusal(execution.run_state)
            return (self._refuse(execution, refusal, now),)
        if not self._may_retry(execution, result, now):
            refusal = _build_failure_refusal(execution, result)
            return (self._refuse(execution, refusal, now),)
        execution.call = _build_next_attempt(call, execution)
        return self._submit(execution.call, now)

    def _may_retry(
        self, execution: _Execution, result: AttemptResult, now: float
    ) -> bool:
        call = execution.call
        if result.outcome is Outcome.CANCELLED:
            return False
        if call.attempt >= _MAX_ATTEMPTS_PER_STAGE:
            return False
        is_not_run = result.outcome is Outcome.NOT_RUN
        if call.stage in execution.unrepeatable_stages and not is_not_run:
            return False
        return self._policy.allow_retry(call, result, now)

    def _refuse(self, execution: _Execution, refusal: Refusal, now: float) -> Refuse:
        if refusal.run is RunState.NOT_RUN and (
            execution.has_run or execution.has_unknown_outcome
        ):
            raise InvariantError(
                "refusal says not_run but an attempt may have run: request "
                f"{execution.request.request_id}"
            )
        self._end_execution(execution, now)
        return Refuse(
            execution.request.request_id,
            refusal,
            bool(execution.sent_unrepeatable_indexes),
        )

    def _end_execution(self, execution: _Execution, now: float) -> None:
        del self._executions_by_id[execution.request.request_id]
        self._policy.end_request(execution.request, now)


def _is_current(execution: _Execution, call: StageCall, server_id: str) -> bool:
    return execution.call.key == call.key and execution.server_id == server_id


def _apply_outcome(execution: _Execution, call: StageCall, outcome: Outcome) -> None:
    unrepeatable = call.stage in execution.unrepeatable_stages
    if outcome is Outcome.NOT_RUN:
        if unrepeatable:
            execution.sent_unrepeatable_indexes.discard(call.stage_index)
        return
    if outcome in (Outcome.UNKNOWN, Outcome.CANCELLED):
        # Stays set until the stage completes: a later attempt that ends as "not
        # run" doesn't tell whether the earlier one ran.
        execution.has_unknown_outcome = True
        return
    execution.has_run = True
    if outcome is Outcome.COMPLETED:
        execution.has_unknown_outcome = False


def _register_unrepeatable_send(execution: _Execution, call: StageCall) -> None:
    if call.stage not in execution.unrepeatable_stages:
        return
    if call.stage_index in execution.sent_unrepeatable_indexes:
        raise InvariantError(
            f"unrepeatable stage of call {call.key} would be sent twice"
        )
    execution.sent_unrepeatable_indexes.add(call.stage_index)


def _build_next_attempt(call: StageCall, execution: _Execution) -> StageCall:
    tried_server_ids = call.tried_server_ids
    if execution.last_server_id is not None:
        tried_server_ids = tried_server_ids | {execution.last_server_id}
    return replace(call, attempt=call.attempt + 1, tried_server_ids=tried_server_ids)


def _build_deadline_refusal(run: RunState) -> Refusal:
    return Refusal(RefusalReason.DEADLINE, run, "the deadline has passed", None)


def _build_failure_refusal(execution: _Execution, result: AttemptResult) -> Refusal:
    return Refusal(
        RefusalReason.STAGE_FAILED,
        execution.run_state,
        f"stage {execution.call.stage} failed: {result.outcome}",
        result.retry_after_s,
    )
