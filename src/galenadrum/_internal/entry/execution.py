"""Execution of pipelines as decisions: no input or output happens here.

Feed it the events of a request in the order in which they happen and carry out
the actions that it returns. Times are event loop seconds.
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

# A stage that keeps saying "not run" must not keep a request for ever.
_MAX_ATTEMPTS_PER_STAGE = 4


class PolicyProtocol(Protocol):
    """The part of the policy that execution calls."""

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
    """Send a stage call to a backend server now."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class Complete:
    """Give the caller the output of the last stage."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a refusal as the final answer.

    Attributes:
        effects_possible: Whether a stage that may not be repeated may have
            run; if not, the request's claim may be released.
    """

    request_id: str
    refusal: Refusal
    effects_possible: bool


Action = SendCall | Complete | Refuse


@dataclass(slots=True)
class _Execution:
    """The progress of one request."""

    request: Request
    unrepeatable_stages: frozenset[str]
    call: StageCall
    server_id: str | None = None
    last_server_id: str | None = None
    unresolved: bool = False
    anything_ran: bool = False
    effects_dispatched: set[int] = field(default_factory=set)

    @property
    def run_state(self) -> RunState:
        if self.unresolved:
            return RunState.UNKNOWN
        return RunState.RUN if self.anything_ran else RunState.NOT_RUN


class PipelineExecutor:
    """Takes each request through the stages of its pipeline.

    Invariants, asserted on each step: a stage result is taken once and by the
    request it belongs to; a stage that may not be repeated is sent again only
    after a certain "not run"; a refusal says ``not_run`` only when no attempt
    was sent that may have run.
    """

    def __init__(self, policy: PolicyProtocol) -> None:
        self._policy = policy
        self._executions_by_id: dict[str, _Execution] = {}
        self.stale_results = 0

    def __len__(self) -> int:
        return len(self._executions_by_id)

    def admit(self, request: Request, now: float) -> Refusal | None:
        """Return the refusal of a request that can't be finished in time.

        Call this before anything is claimed or sent for the request.
        """
        if request.deadline <= now:
            return _deadline_refusal(RunState.NOT_RUN)
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
            request: The request; its id must not be in execution.
            unrepeatable_stages: Stages of it that run at most once.
            now: Loop time in seconds.
            claimed: Whether the request's claim was granted.

        Raises:
            InvariantError: The id is in execution, or a claim is missing.
        """
        if request.request_id in self._executions_by_id:
            raise InvariantError(f"request {request.request_id} began twice")
        if unrepeatable_stages and not claimed:
            raise InvariantError(f"request {request.request_id} has no claim")
        call = StageCall(request, request.stages[0], 0, 1)
        self._executions_by_id[request.request_id] = _Execution(
            request, unrepeatable_stages, call
        )
        return self._submit(call, now)

    def cancel_admission(self, request: Request, now: float) -> None:
        """Give back the admission of a request that never began."""
        self._policy.end_request(request, now)

    def attempt_finished(
        self, call: StageCall, server_id: str, result: AttemptResult, now: float
    ) -> tuple[Action, ...]:
        """Take the end of an attempt; a stale one changes no request."""
        decisions = self._policy.finished(call, server_id, result, now)
        actions = list(self.carry_out(decisions, now))
        execution = self._executions_by_id.get(call.request.request_id)
        if execution is None or not _is_current(execution, call, server_id):
            self.stale_results += 1
            return tuple(actions)
        execution.server_id = None
        execution.last_server_id = server_id
        _note_outcome(execution, call, result.outcome)
        if result.outcome is Outcome.COMPLETED:
            actions.extend(self._advance(execution, now))
        else:
            actions.extend(self._recover(execution, result, now))
        return tuple(actions)

    def abandon(
        self, request_id: str, reason: RefusalReason, now: float
    ) -> tuple[Action, ...]:
        """End a request whose caller left or whose deadline passed.

        An attempt that is under way counts as unresolved. Its result, when it
        comes, is dropped.
        """
        execution = self._executions_by_id.get(request_id)
        if execution is None:
            return ()
        actions: list[Action] = []
        if execution.server_id is None:
            decisions = self._policy.withdraw(execution.call, now)
            actions.extend(self.carry_out(decisions, now))
        else:
            execution.unresolved = True
        refusal = Refusal(reason, execution.run_state, "the request was given up")
        actions.append(self._refuse(execution, refusal, now))
        return tuple(actions)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Let the policy act on the passing of time."""
        return self.carry_out(self._policy.tick(now), now)

    def carry_out(
        self, decisions: tuple[Decision, ...], now: float
    ) -> tuple[Action, ...]:
        """Turn decisions of the policy into actions."""
        actions: list[Action] = []
        for decision in decisions:
            if isinstance(decision, Dispatch):
                actions.append(self._send(decision))
            else:
                actions.append(self._reject(decision, now))
        return tuple(actions)

    def next_wakeup(self, now: float) -> float | None:
        """Return the loop time at which ``tick`` is due, if any."""
        return self._policy.next_wakeup(now)

    def _submit(self, call: StageCall, now: float) -> tuple[Action, ...]:
        return self.carry_out(self._policy.submit(call, now), now)

    def _send(self, dispatch: Dispatch) -> SendCall:
        call = dispatch.call
        execution = self._executions_by_id.get(call.request.request_id)
        if execution is None or execution.call.key != call.key:
            raise InvariantError(f"dispatch of a call that isn't current: {call.key}")
        if execution.server_id is not None:
            raise InvariantError(f"call {call.key} was dispatched twice")
        _check_effects(execution, call)
        execution.server_id = dispatch.server_id
        return SendCall(dispatch)

    def _reject(self, decision: Reject, now: float) -> Refuse:
        execution = self._executions_by_id[decision.call.request.request_id]
        refusal = replace(decision.refusal, run=execution.run_state)
        return self._refuse(execution, refusal, now)

    def _advance(self, execution: _Execution, now: float) -> tuple[Action, ...]:
        request = execution.request
        next_index = execution.call.stage_index + 1
        if next_index == len(request.stages):
            self._remove(execution, now)
            return (Complete(request.request_id),)
        if request.deadline <= now:
            refusal = _deadline_refusal(execution.run_state)
            return (self._refuse(execution, refusal, now),)
        execution.call = StageCall(request, request.stages[next_index], next_index, 1)
        return self._submit(execution.call, now)

    def _recover(
        self, execution: _Execution, result: AttemptResult, now: float
    ) -> tuple[Action, ...]:
        call = execution.call
        if execution.request.deadline <= now:
            refusal = _deadline_refusal(execution.run_state)
            return (self._refuse(execution, refusal, now),)
        if not self._may_send_again(execution, result, now):
            refusal = _failure_refusal(execution, result)
            return (self._refuse(execution, refusal, now),)
        execution.call = _next_attempt(call, execution)
        return self._submit(execution.call, now)

    def _may_send_again(
        self, execution: _Execution, result: AttemptResult, now: float
    ) -> bool:
        call = execution.call
        if result.outcome is Outcome.CANCELLED:
            return False
        if call.attempt >= _MAX_ATTEMPTS_PER_STAGE:
            return False
        certain = result.outcome is Outcome.NOT_RUN
        if call.stage in execution.unrepeatable_stages and not certain:
            return False
        return self._policy.allow_retry(call, result, now)

    def _refuse(self, execution: _Execution, refusal: Refusal, now: float) -> Refuse:
        if refusal.run is RunState.NOT_RUN and (
            execution.anything_ran or execution.unresolved
        ):
            raise InvariantError(f"false not_run for {execution.request.request_id}")
        self._remove(execution, now)
        return Refuse(
            execution.request.request_id, refusal, bool(execution.effects_dispatched)
        )

    def _remove(self, execution: _Execution, now: float) -> None:
        del self._executions_by_id[execution.request.request_id]
        self._policy.end_request(execution.request, now)


def _is_current(execution: _Execution, call: StageCall, server_id: str) -> bool:
    return execution.call.key == call.key and execution.server_id == server_id


def _note_outcome(execution: _Execution, call: StageCall, outcome: Outcome) -> None:
    unrepeatable = call.stage in execution.unrepeatable_stages
    if outcome is Outcome.NOT_RUN:
        if unrepeatable:
            execution.effects_dispatched.discard(call.stage_index)
        return
    if outcome in (Outcome.UNKNOWN, Outcome.CANCELLED):
        # Stays set until the stage completes: a later attempt that says "not
        # run" tells nothing of the earlier one.
        execution.unresolved = True
        return
    execution.anything_ran = True
    if outcome is Outcome.COMPLETED:
        execution.unresolved = False


def _check_effects(execution: _Execution, call: StageCall) -> None:
    if call.stage not in execution.unrepeatable_stages:
        return
    if call.stage_index in execution.effects_dispatched:
        raise InvariantError(f"stage of {call.key} may run twice")
    execution.effects_dispatched.add(call.stage_index)


def _next_attempt(call: StageCall, execution: _Execution) -> StageCall:
    tried = call.tried_server_ids
    if execution.last_server_id is not None:
        tried = tried | {execution.last_server_id}
    return replace(call, attempt=call.attempt + 1, tried_server_ids=tried)


def _deadline_refusal(run: RunState) -> Refusal:
    return Refusal(RefusalReason.DEADLINE, run, "the deadline has passed", None)


def _failure_refusal(execution: _Execution, result: AttemptResult) -> Refusal:
    return Refusal(
        RefusalReason.STAGE_FAILED,
        execution.run_state,
        f"stage {execution.call.stage} failed: {result.outcome}",
        result.retry_after_s,
    )
