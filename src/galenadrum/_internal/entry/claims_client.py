"""Claims of requests that may not be repeated, as an entry host makes them."""

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
from galenadrum._internal.models.callers import RecordedAnswer
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

_OUTCOME_MAX_BYTES = 64 * 1024
_STATUS_BYTES = 2
_CLAIM_TIMEOUT_S = 2.0
# Timers of the loop may fire early by its clock's resolution.
_EARLY_MARGIN_S = 0.01
_PROBE_TIMEOUT_S = 1.0
_PROBE_DELAY_S = 0.5
_PROBE_GIVE_UP_S = 60.0
_RECORD_WAIT_S = 1.0
_RECORD_ATTEMPT_S = 5.0
_RECORD_GIVE_UP_S = 120.0
_RECORD_RETRY_DELAY_S = 1.0
_MAX_PENDING_RECORDS = 1_000
_RETRY_AFTER_S = 1.0


class ClaimsClient:
    """Makes claims and records their outcomes.

    A caller of ``acquire`` that gets an error never sends the work: that is
    what makes ``not_run`` true even when a claim's answer was lost. Such a
    claim is released in the background, for a bounded time; until then, and
    after if it fails, other requests with its key hear that it is in progress
    and, once its lease is over, that its outcome is unknown.

    Args:
        host_id: Name of this entry host.
        send_claim: Sends a claim to the leader by a deadline.
        send_outcome: Sends an outcome to the leader by a deadline.
        send_probe: Asks by a deadline whether a majority follows the leader.
        watch_age_s: Returns how long ago the watch of declarations last heard
            of a leader.

    Attributes:
        dropped_records: Outcomes that could not be recorded.
    """

    def __init__(
        self,
        host_id: str,
        send_claim: SendClaim,
        send_outcome: SendOutcome,
        send_probe: SendProbe,
        watch_age_s: Callable[[], float],
    ) -> None:
        self._host_id = host_id
        self._send_claim = send_claim
        self._send_outcome = send_outcome
        self._send_probe = send_probe
        self._watch_age_s = watch_age_s
        self._reach = ControlReach()
        self._probe_until = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._records: set[asyncio.Task[None]] = set()
        self.dropped_records = 0
        self.claims_by_state: Counter[int] = Counter()

    @property
    def pending_records(self) -> int:
        """Number of outcomes that are not recorded yet."""
        return len(self._records)

    async def acquire(
        self, request: Request, fingerprint: bytes, retention_s: int = 0
    ) -> RecordedAnswer | None:
        """Claim a request; wait while another holds the claim.

        Args:
            request: The request.
            fingerprint: Digest of its pipeline and body.
            retention_s: How long it is remembered after its end, in seconds;
                0 leaves it to control.

        Returns:
            None when the claim was granted, so that the work may be sent once;
            or the answer that an earlier request recorded.

        Raises:
            RequestRefusedError: The work may not be sent.
        """
        while True:
            response = await self._claim(request, fingerprint, retention_s)
            self.claims_by_state[response.state] += 1
            if response.state == CLAIM_STATE_GRANTED:
                return None
            if response.state == CLAIM_STATE_COMPLETED:
                return _recorded_answer(response)
            if response.state != CLAIM_STATE_IN_PROGRESS:
                _refuse_state(response.state)
            await self._wait_for_holder(request, response.retry_after_ms / 1_000)

    async def record(self, request: Request, answer: RecordedAnswer) -> None:
        """Record an answer; go on in the background if that takes long."""
        outcome = answer.status.to_bytes(_STATUS_BYTES, "big") + answer.body
        message = self._outcome_of(request, CLAIM_STATE_COMPLETED)
        if len(outcome) > _OUTCOME_MAX_BYTES:
            message.outcome_sha256 = hashlib.sha256(outcome).digest()
        else:
            message.outcome = outcome
        task = self._record_in_background(message)
        if task is not None:
            await asyncio.wait([task], timeout=_RECORD_WAIT_S)

    def record_unknown(self, request: Request) -> None:
        """Record in the background that the work may have run."""
        self._record_in_background(self._outcome_of(request, CLAIM_STATE_UNKNOWN))

    def release(self, request: Request) -> None:
        """Record in the background that the work was not and won't be sent."""
        self._record_in_background(self._outcome_of(request, CLAIM_STATE_RELEASED))

    async def drain(self, timeout_s: float) -> None:
        """Wait for outcomes that are not recorded yet; then drop them."""
        if self._records:
            await asyncio.wait(self._records, timeout=timeout_s)
        for task in tuple(self._records):
            task.cancel()
        if self._probe is not None:
            self._probe.cancel()

    async def _claim(
        self, request: Request, fingerprint: bytes, retention_s: int
    ) -> ClaimResponse:
        now = asyncio.get_running_loop().time()
        if self._reach.is_lost(now, self._watch_age_s()):
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
            self._note_answer()
            return response
        except ControlUnreachableError:
            self._note_failure(now, deadline)
            _refuse_unreachable()
        except OutcomeUnknownError:
            self._note_failure(now, deadline)
            self.release(request)
            _refuse_unreachable()
        except GRPCError as error:
            if error.status is Status.RESOURCE_EXHAUSTED:
                # An earlier attempt may have been taken all the same.
                self.release(request)
            _refuse(
                RefusalReason.OVERLOADED,
                RunState.NOT_RUN,
                f"the claim was refused: {error.message}",
                _RETRY_AFTER_S,
            )
        except asyncio.CancelledError:
            self.release(request)
            raise

    def _note_answer(self) -> None:
        self._reach.answered(asyncio.get_running_loop().time())

    def _note_failure(self, began: float, deadline: float) -> None:
        """Take control for lost unless an election may explain the failure.

        One that came before its deadline had no answer of any member; one that
        waited for less than an election may take says nothing.
        """
        now = asyncio.get_running_loop().time()
        is_early = now < deadline - _EARLY_MARGIN_S
        if is_early or deadline - began >= _CLAIM_TIMEOUT_S:
            self._reach.failed()
            self._start_probe()

    def _start_probe(self) -> None:
        """Look for the leader in the background, for a bounded time."""
        loop = asyncio.get_running_loop()
        self._probe_until = loop.time() + _PROBE_GIVE_UP_S
        if self._probe is None or self._probe.done():
            self._probe = loop.create_task(self._probe_until_answered())

    async def _probe_until_answered(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._probe_until:
            try:
                await self._send_probe(loop.time() + _PROBE_TIMEOUT_S)
            except (ControlUnreachableError, OutcomeUnknownError):
                await asyncio.sleep(_PROBE_DELAY_S)
                continue
            except GRPCError as error:
                # Also a member of before this call: claims then find out.
                logger.info("the probe of control was refused: %s", error.message)
            self._note_answer()
            return

    async def _wait_for_holder(self, request: Request, retry_after_s: float) -> None:
        now = asyncio.get_running_loop().time()
        if now + retry_after_s >= request.deadline:
            _refuse(
                RefusalReason.IN_PROGRESS,
                RunState.UNKNOWN,
                "an earlier request with this idempotency key has no outcome yet",
                max(retry_after_s, _RETRY_AFTER_S),
            )
        await asyncio.sleep(retry_after_s)

    def _outcome_of(self, request: Request, state: int) -> RecordOutcomeRequest:
        return RecordOutcomeRequest(
            organisation=request.organisation,
            idempotency_key=request.idempotency_key or "",
            request_id=request.request_id,
            state=state,
        )

    def _record_in_background(
        self, message: RecordOutcomeRequest
    ) -> asyncio.Task[None] | None:
        if len(self._records) >= _MAX_PENDING_RECORDS:
            self.dropped_records += 1
            logger.warning("too many outcomes wait for control; one was dropped")
            return None
        task = asyncio.get_running_loop().create_task(self._record(message))
        self._records.add(task)
        task.add_done_callback(self._records.discard)
        return task

    async def _record(self, message: RecordOutcomeRequest) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + _RECORD_GIVE_UP_S
        while loop.time() < give_up_at:
            deadline = min(give_up_at, loop.time() + _RECORD_ATTEMPT_S)
            try:
                response = await self._send_outcome(message, deadline)
            except (ControlUnreachableError, OutcomeUnknownError):
                await asyncio.sleep(_RECORD_RETRY_DELAY_S)
                continue
            except GRPCError as error:
                if error.status is Status.RESOURCE_EXHAUSTED:
                    await asyncio.sleep(_RECORD_RETRY_DELAY_S)
                    continue
                self._drop(message, error.message)
                return
            self._note_answer()
            if not response.accepted:
                self._drop(message, "the claim is not held any more")
            return
        self._drop(message, "control was unreachable for too long")

    def _drop(self, message: RecordOutcomeRequest, reason: str | None) -> None:
        self.dropped_records += 1
        logger.warning(
            "the outcome of request %s was not recorded: %s",
            message.request_id,
            reason,
        )


def build_claims_client(
    host_id: str, client: ControlClient, watch_age_s: Callable[[], float]
) -> ClaimsClient:
    """Return a claims client that calls the leader through ``client``."""

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
    return ClaimsClient(host_id, batcher.send, batcher.send, send_probe, watch_age_s)


def _claim_method(channel: Any) -> Any:
    return ClaimsStub(channel).Claim


def _record_method(channel: Any) -> Any:
    return ClaimsStub(channel).RecordOutcome


def _batch_method(channel: Any) -> Any:
    return ClaimsStub(channel).Batch


def _check_method(channel: Any) -> Any:
    return ClaimsStub(channel).CheckLeader


def _recorded_answer(response: ClaimResponse) -> RecordedAnswer:
    if len(response.outcome) < _STATUS_BYTES:
        _refuse(
            RefusalReason.ALREADY_RUN,
            RunState.RUN,
            "an earlier request with this idempotency key ran; its answer was"
            " too large to keep",
        )
    status = int.from_bytes(response.outcome[:_STATUS_BYTES], "big")
    return RecordedAnswer(status, response.outcome[_STATUS_BYTES:])


def _refuse_state(state: int) -> NoReturn:
    if state == CLAIM_STATE_MISMATCH:
        _refuse(
            RefusalReason.IDEMPOTENCY_KEY_REUSED,
            RunState.NOT_RUN,
            "this idempotency key was used with another request",
        )
    if state == CLAIM_STATE_UNKNOWN:
        _refuse(
            RefusalReason.OUTCOME_UNKNOWN,
            RunState.UNKNOWN,
            "an earlier request with this idempotency key ended without a known"
            " outcome",
        )
    if state == CLAIM_STATE_RELEASED:
        _refuse(
            RefusalReason.DEADLINE,
            RunState.NOT_RUN,
            "this request was given up on already",
            _RETRY_AFTER_S,
        )
    _refuse(
        RefusalReason.CONTROL_UNREACHABLE,
        RunState.NOT_RUN,
        f"the claim was answered with state {state}",
        _RETRY_AFTER_S,
    )


def _refuse_unreachable() -> NoReturn:
    _refuse(
        RefusalReason.CONTROL_UNREACHABLE,
        RunState.NOT_RUN,
        "no control host answers, so that the request can't be claimed",
        _RETRY_AFTER_S,
    )


def _refuse(
    reason: RefusalReason,
    run: RunState,
    message: str,
    retry_after_s: float | None = None,
) -> NoReturn:
    raise RequestRefusedError(Refusal(reason, run, message, retry_after_s))
