"""Client with which an entry host claims requests that may not be repeated."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from galenadrum._internal.entry.claim_batches import (
    ClaimBatcher,
    Message,
)
from galenadrum._internal.entry.control_client import ControlClient
from galenadrum._internal.entry.control_reach import ControlReach
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from galenadrum._internal.models.callers import RecordedResponse
from galenadrum._internal.models.requests import (
    Refusal,
    RefusalReason,
    Request,
    RunState,
)
from galenadrum._internal.protocol.claims_grpc import ClaimsStub
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_IN_PROGRESS,
    CLAIM_STATE_MISMATCH,
    CLAIM_STATE_RELEASED,
    CLAIM_STATE_UNKNOWN,
    CheckLeaderRequest,
    ClaimBatchRequest,
    ClaimRequest,
    ClaimResponse,
    RecordOutcomeRequest,
    RecordOutcomeResponse,
)

logger = logging.getLogger(__name__)

SendClaim = Callable[[ClaimRequest, float], Awaitable[ClaimResponse]]
SendOutcome = Callable[[RecordOutcomeRequest, float], Awaitable[RecordOutcomeResponse]]
SendProbe = Callable[[float], Awaitable[object]]

_MAX_OUTCOME_BYTES = 64 * 1024
_STATUS_BYTES = 2
_CLAIM_TIMEOUT_S = 2.0
# Event loop timers may fire early by the resolution of the loop's clock.
_TIMER_TOLERANCE_S = 0.01
_PROBE_TIMEOUT_S = 1.0
_PROBE_RETRY_DELAY_S = 0.5
_PROBE_DURATION_S = 60.0
_RECORD_WAIT_TIMEOUT_S = 1.0
_RECORD_ATTEMPT_TIMEOUT_S = 5.0
_RECORD_TIMEOUT_S = 120.0
_RECORD_RETRY_DELAY_S = 1.0
_MAX_PENDING_OUTCOMES = 1_000
_RETRY_AFTER_S = 1.0


class ClaimsClient:
    """Claims requests and records their outcomes with control.

    A request is never dispatched after ``acquire_claim`` raised. This is why its
    refusal can state ``not_run`` even if the answer to the claim was lost. Such
    a claim is released in the background, with retries for a bounded time.
    Until the release is recorded, or if it never is, control answers other
    requests with the same idempotency key that the request is in progress and,
    once its lease has expired, that its outcome is unknown.

    Deadlines are event loop times in seconds.

    Args:
        host_id: Name of this entry host.
        send_claim: Sends a claim to the leader by a deadline.
        send_outcome: Sends an outcome to the leader by a deadline.
        send_probe: Asks the leader by a deadline to confirm that a majority
            follows it.
        watch_staleness_s: Returns the seconds since the watch of declarations
            last had evidence of a leader.

    Attributes:
        dropped_outcome_count: Number of outcomes that could not be recorded.
        claim_counts_by_state: Number of answered claims by the answer's state.
    """

    def __init__(
        self,
        host_id: str,
        send_claim: SendClaim,
        send_outcome: SendOutcome,
        send_probe: SendProbe,
        watch_staleness_s: Callable[[], float],
    ) -> None:
        self._host_id = host_id
        self._send_claim = send_claim
        self._send_outcome = send_outcome
        self._send_probe = send_probe
        self._watch_staleness_s = watch_staleness_s
        self._control_reach = ControlReach()
        self._probe_deadline = 0.0
        self._probe_task: asyncio.Task[None] | None = None
        self._record_tasks: set[asyncio.Task[None]] = set()
        self.dropped_outcome_count = 0
        self.claim_counts_by_state: Counter[int] = Counter()

    @property
    def pending_outcome_count(self) -> int:
        """Number of outcomes that control has not recorded yet."""
        return len(self._record_tasks)

    async def acquire_claim(
        self, request: Request, fingerprint: bytes, retention_s: int = 0
    ) -> RecordedResponse | None:
        """Claim a request, waiting while another request holds the claim.

        Args:
            request: The request.
            fingerprint: Digest of its pipeline and body.
            retention_s: Seconds for which control keeps the claim after its
                end; 0 leaves this to control.

        Returns:
            None if the claim was granted and the request may be dispatched
            once, else the answer recorded by an earlier request with the key.

        Raises:
            RequestRefusedError: The request must not be dispatched.
        """
        while True:
            response = await self._claim(request, fingerprint, retention_s)
            self.claim_counts_by_state[response.state] += 1
            if response.state == CLAIM_STATE_GRANTED:
                return None
            if response.state == CLAIM_STATE_COMPLETED:
                return _recorded_answer(response)
            if response.state != CLAIM_STATE_IN_PROGRESS:
                _refuse_by_state(response.state)
            await self._wait_for_holder(request, response.retry_after_ms / 1_000)

    async def record_answer(self, request: Request, answer: RecordedResponse) -> None:
        """Record an answer, continuing in the background after a bounded wait."""
        outcome = answer.status.to_bytes(_STATUS_BYTES, "big") + answer.body
        message = self._build_outcome(request, CLAIM_STATE_COMPLETED)
        if len(outcome) > _MAX_OUTCOME_BYTES:
            message.outcome_sha256 = hashlib.sha256(outcome).digest()
        else:
            message.outcome = outcome
        task = self._record_in_background(message)
        if task is not None:
            await asyncio.wait([task], timeout=_RECORD_WAIT_TIMEOUT_S)

    def record_unknown_outcome(self, request: Request) -> None:
        """Record in the background that the request may have run."""
        self._record_in_background(self._build_outcome(request, CLAIM_STATE_UNKNOWN))

    def release_claim(self, request: Request) -> None:
        """Record in the background that the request was not and won't be sent."""
        self._record_in_background(self._build_outcome(request, CLAIM_STATE_RELEASED))

    async def drain(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` for pending outcomes, then drop the rest."""
        if self._record_tasks:
            await asyncio.wait(self._record_tasks, timeout=timeout_s)
        for task in tuple(self._record_tasks):
            task.cancel()
        if self._probe_task is not None:
            self._probe_task.cancel()

    async def _claim(
        self, request: Request, fingerprint: bytes, retention_s: int
    ) -> ClaimResponse:
        now = asyncio.get_running_loop().time()
        if self._control_reach.is_unreachable(now, self._watch_staleness_s()):
            self._start_probe()
            _refuse_unreachable()
        message = ClaimRequest(
            organisation=request.organisation,
            idempotency_key=request.idempotency_key or "",
            fingerprint=fingerprint,
            request_id=request.request_id,
            host_id=self._host_id,
            deadline_in_ms=max(0, round((request.deadline - now) * 1_000)),
            retention_s=retention_s,
        )
        deadline = min(request.deadline, now + _CLAIM_TIMEOUT_S)
        try:
            response = await self._send_claim(message, deadline)
            self._mark_reachable()
            return response
        except ControlUnreachableError:
            self._handle_claim_failure(now, deadline)
            _refuse_unreachable()
        except OutcomeUnknownError:
            self._handle_claim_failure(now, deadline)
            self.release_claim(request)
            _refuse_unreachable()
        except GRPCError as error:
            if error.status is Status.RESOURCE_EXHAUSTED:
                # An earlier attempt of this call may have been applied.
                self.release_claim(request)
            _refuse_request(
                RefusalReason.OVERLOADED,
                RunState.NOT_RUN,
                f"the claim was refused: {error.message}",
                _RETRY_AFTER_S,
            )
        except asyncio.CancelledError:
            self.release_claim(request)
            raise

    def _mark_reachable(self) -> None:
        self._control_reach.answered(asyncio.get_running_loop().time())

    def _handle_claim_failure(self, started_at: float, deadline: float) -> None:
        """Mark control unreachable unless an election may explain the failure.

        A claim that failed before its deadline had no answer from any control
        host. A claim that failed at a deadline shorter than an election may
        take is inconclusive.

        Args:
            started_at: Event loop time in seconds at which the claim was sent.
            deadline: Event loop time in seconds at which the claim expired.
        """
        now = asyncio.get_running_loop().time()
        failed_early = now < deadline - _TIMER_TOLERANCE_S
        if failed_early or deadline - started_at >= _CLAIM_TIMEOUT_S:
            self._control_reach.failed()
            self._start_probe()

    def _start_probe(self) -> None:
        """Probe the leader in the background, for a bounded time."""
        loop = asyncio.get_running_loop()
        self._probe_deadline = loop.time() + _PROBE_DURATION_S
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = loop.create_task(self._probe_leader())

    async def _probe_leader(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._probe_deadline:
            try:
                await self._send_probe(loop.time() + _PROBE_TIMEOUT_S)
            except (ControlUnreachableError, OutcomeUnknownError):
                await asyncio.sleep(_PROBE_RETRY_DELAY_S)
                continue
            except GRPCError as error:
                # Control hosts of a version without this call refuse it too: the
                # next claim then finds out whether control is reachable.
                logger.info(
                    "leader probe refused; treating control as reachable: %s",
                    error.message,
                )
            self._mark_reachable()
            return

    async def _wait_for_holder(self, request: Request, retry_after_s: float) -> None:
        now = asyncio.get_running_loop().time()
        if now + retry_after_s >= request.deadline:
            _refuse_request(
                RefusalReason.IN_PROGRESS,
                RunState.UNKNOWN,
                "an earlier request with this idempotency key has no outcome yet",
                max(retry_after_s, _RETRY_AFTER_S),
            )
        await asyncio.sleep(retry_after_s)

    def _build_outcome(self, request: Request, state: int) -> RecordOutcomeRequest:
        return RecordOutcomeRequest(
            organisation=request.organisation,
            idempotency_key=request.idempotency_key or "",
            request_id=request.request_id,
            state=state,
        )

    def _record_in_background(
        self, message: RecordOutcomeRequest
    ) -> asyncio.Task[None] | None:
        if len(self._record_tasks) >= _MAX_PENDING_OUTCOMES:
            self.dropped_outcome_count += 1
            logger.warning(
                "too many outcomes are waiting to be recorded by control; dropped one"
            )
            return None
        task = asyncio.get_running_loop().create_task(
            self._record_with_retries(message)
        )
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)
        return task

    async def _record_with_retries(self, message: RecordOutcomeRequest) -> None:
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + _RECORD_TIMEOUT_S
        while loop.time() < expires_at:
            deadline = min(expires_at, loop.time() + _RECORD_ATTEMPT_TIMEOUT_S)
            try:
                response = await self._send_outcome(message, deadline)
            except (ControlUnreachableError, OutcomeUnknownError):
                await asyncio.sleep(_RECORD_RETRY_DELAY_S)
                continue
            except GRPCError as error:
                if error.status is Status.RESOURCE_EXHAUSTED:
                    await asyncio.sleep(_RECORD_RETRY_DELAY_S)
                    continue
                self._drop_outcome(message, error.message)
                return
            self._mark_reachable()
            if not response.accepted:
                self._drop_outcome(message, "the claim is not held any more")
            return
        self._drop_outcome(message, "control was unreachable for too long")

    def _drop_outcome(self, message: RecordOutcomeRequest, reason: str | None) -> None:
        self.dropped_outcome_count += 1
        logger.warning(
            "the outcome of request %s was not recorded: %s",
            message.request_id,
            reason,
        )


def build_claims_client(
    host_id: str, client: ControlClient, watch_staleness_s: Callable[[], float]
) -> ClaimsClient:
    """Return a claims client that batches its calls to the leader.

    Args:
        host_id: Name of this entry host.
        client: Calls the leader.
        watch_staleness_s: Returns the seconds since the watch of declarations
            last had evidence of a leader.
    """

    async def call(select: Any, message: Any, deadline: float) -> Any:
        return await client.call(select, message, deadline, stop_when_silent=True)

    async def send_one(message: Message, deadline: float) -> Any:
        is_claim = isinstance(message, ClaimRequest)
        return await call(
            _claim_method if is_claim else _record_method, message, deadline
        )

    async def send_batch(message: ClaimBatchRequest, deadline: float) -> Any:
        return await call(_batch_method, message, deadline)

    async def send_probe(deadline: float) -> Any:
        return await call(_check_method, CheckLeaderRequest(), deadline)

    batcher = ClaimBatcher(send_one, send_batch)
    return ClaimsClient(
        host_id, batcher.send, batcher.send, send_probe, watch_staleness_s
    )


def _claim_method(channel: Any) -> Any:
    return ClaimsStub(channel).Claim


def _record_method(channel: Any) -> Any:
    return ClaimsStub(channel).RecordOutcome


def _batch_method(channel: Any) -> Any:
    return ClaimsStub(channel).Batch


def _check_method(channel: Any) -> Any:
    return ClaimsStub(channel).CheckLeader


def _recorded_answer(response: ClaimResponse) -> RecordedResponse:
    if len(response.outcome) < _STATUS_BYTES:
        _refuse_request(
            RefusalReason.ALREADY_RUN,
            RunState.RUN,
            "an earlier request with this idempotency key ran; its answer was"
            " too large to keep",
        )
    status = int.from_bytes(response.outcome[:_STATUS_BYTES], "big")
    return RecordedResponse(status, response.outcome[_STATUS_BYTES:])


def _refuse_by_state(state: int) -> NoReturn:
    if state == CLAIM_STATE_MISMATCH:
        _refuse_request(
            RefusalReason.IDEMPOTENCY_KEY_REUSED,
            RunState.NOT_RUN,
            "this idempotency key was used with another request",
        )
    if state == CLAIM_STATE_UNKNOWN:
        _refuse_request(
            RefusalReason.OUTCOME_UNKNOWN,
            RunState.UNKNOWN,
            "an earlier request with this idempotency key ended without a known"
            " outcome",
        )
    if state == CLAIM_STATE_RELEASED:
        _refuse_request(
            RefusalReason.DEADLINE,
            RunState.NOT_RUN,
            "this request was given up on already",
            _RETRY_AFTER_S,
        )
    _refuse_request(
        RefusalReason.CONTROL_UNREACHABLE,
        RunState.NOT_RUN,
        f"the claim was answered with state {state}",
        _RETRY_AFTER_S,
    )


def _refuse_unreachable() -> NoReturn:
    _refuse_request(
        RefusalReason.CONTROL_UNREACHABLE,
        RunState.NOT_RUN,
        "no control host answers, so that the request can't be claimed",
        _RETRY_AFTER_S,
    )


def _refuse_request(
    reason: RefusalReason,
    run: RunState,
    message: str,
    retry_after_s: float | None = None,
) -> NoReturn:
    raise RequestRefusedError(Refusal(reason, run, message, retry_after_s))
