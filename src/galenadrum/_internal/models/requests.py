"""Requests, stage calls, their outcomes and dispatch decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """Whether the work of a refused request was run."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Reason for refusing a request; the value is the error code for callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHORISED = "unauthorised"
    UNKNOWN_PIPELINE = "unknown_pipeline"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over_share"
    DEADLINE = "deadline"
    NO_SERVER = "no_server"
    STAGE_FAILED = "stage_failed"
    CONTROL_UNREACHABLE = "control_unreachable"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ALREADY_RUN = "already_run"


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final response to a request that is refused or failed.

    Attributes:
        run: Whether the work of the request was run.
        retry_after_s: Seconds after which the caller may retry, or None if a
            retry can't succeed.
    """

    reason: RefusalReason
    run: RunState
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request after parsing and authentication.

    Attributes:
        deadline: Loop time in seconds.
        arrived_at: Loop time in seconds at which the headers were received.
        priority: Declared priority of the organisation, 0 to 9.
        weight: Declared share of the organisation.
        input_tokens: Estimated size of the input.
        output_tokens: Estimated or requested size of the generated output.
        prefix_hashes: Hashes of the leading blocks of the input, longest
            prefix last; empty if no prefix can be reused.
        idempotency_key: The caller's idempotency key, for requests that must
            not run twice.
        forwarded: True if an entry host of another zone forwarded a single stage
            of the request to this host; it is not forwarded again.
    """

    request_id: str
    organisation: str
    pipeline: str
    stages: tuple[str, ...]
    deadline: float
    arrived_at: float
    priority: int = 0
    weight: float = 1.0
    input_tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[str, ...] = ()
    idempotency_key: str | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class StageCall:
    """One attempt at one stage of a request.

    Attributes:
        stage_index: Position in ``request.stages``.
        attempt: Number of the attempt from 1, unique for its request and stage.
        tried_server_ids: Ids of the servers of earlier attempts.
    """

    request: Request
    stage: str
    stage_index: int
    attempt: int
    tried_server_ids: frozenset[str] = frozenset()

    @property
    def key(self) -> tuple[str, int, int]:
        """The request id, stage index and attempt."""
        return (self.request.request_id, self.stage_index, self.attempt)


class Outcome(StrEnum):
    """Outcome of one attempt, as seen by the entry host."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt.

    Attributes:
        outcome: ``NOT_RUN`` only if no byte of the call was sent or the server
            reported that it wasn't run; ``FAILED`` if the server reported that
            it ran and failed; ``UNKNOWN`` if neither is certain.
        service_s: Seconds from the first byte sent to the end of the attempt.
        first_byte_s: Seconds until the first byte of the reply, or None.
        cached_tokens: Input tokens that the server reports as read from its
            prefix cache.
        retry_after_s: Seconds before which the server asked not to be called
            again, or None.
    """

    outcome: Outcome
    service_s: float
    first_byte_s: float | None = None
    cached_tokens: int = 0
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A decision to send a stage call to a backend server.

    Attributes:
        server_id: Id of the server, or ``zone/NAME`` if the call is forwarded.
        address: IP address and port of the server or entry host.
        first_byte_timeout_s: Seconds without a byte of the reply after which the
            connection is considered suspect.
        forward_zone: Zone whose entry host at ``address`` the call is forwarded
            to, or None if ``address`` is that of a backend server.
        due_at: Loop time in seconds by which the call should complete so that
            the following stages can meet the request's deadline.
    """

    call: StageCall
    server_id: str
    address: str
    first_byte_timeout_s: float
    forward_zone: str | None = None
    due_at: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """A decision to refuse a stage call without sending it."""

    call: StageCall
    refusal: Refusal


Decision = Dispatch | Reject
