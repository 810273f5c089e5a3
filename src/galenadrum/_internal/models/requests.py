"""Requests, stage calls and the ways in which they end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """What a refusal says of the request's work."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why a request was refused; the value is the code callers see."""

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
    """The final answer to a request that gets no output.

    Attributes:
        retry_after_s: Seconds after which the caller may come back, or None
            when coming back can't help.
    """

    reason: RefusalReason
    run: RunState
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request after it was authenticated and parsed.

    Attributes:
        deadline: Absolute loop time in seconds.
        arrived: Loop time in seconds at which the head was read.
        priority: As declared for the organisation, 0 to 9.
        weight: The organisation's declared share.
        input_tokens: Estimated size of the input.
        output_tokens: Estimated or requested size of the generated output.
        prefix_hashes: Hashes of the leading blocks of the input, longest
            prefix last; empty when nothing can be reused.
        idempotency_key: The caller's key, for requests that may not be
            repeated.
        forwarded: Whether an entry host of another zone handed over this one
            stage of a request; it is not forwarded again.
    """

    request_id: str
    organisation: str
    pipeline: str
    stages: tuple[str, ...]
    deadline: float
    arrived: float
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
        attempt: From 1; unique for its request and stage.
        tried_server_ids: Servers that earlier attempts were sent to.
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
    """How one attempt ended, as seen by the entry host."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    Attributes:
        outcome: ``NOT_RUN`` only when no byte of the call was sent, or the
            server said so; ``FAILED`` when the server said that it ran and
            failed; ``UNKNOWN`` for anything between.
        service_s: Seconds from the first byte sent to the end.
        first_byte_s: Seconds until the first byte of the reply, if any came.
        cached_tokens: Input tokens that the server says it did not compute.
        retry_after_s: When the server asked not to be called again before.
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
        address: IP number and port of the server.
        first_byte_timeout_s: Silence after which the connection is suspect.
        forward_zone: The zone whose entry host at ``address`` takes the call
            over, or None when ``address`` is a backend server's. The
            ``server_id`` is then ``zone/NAME``.
        due_at: Loop time at which the call should be complete, so that the
            stages after it can meet the request's deadline.
    """

    call: StageCall
    server_id: str
    address: str
    first_byte_timeout_s: float
    forward_zone: str | None = None
    due_at: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """A decision not to send a stage call at all."""

    call: StageCall
    refusal: Refusal


Decision = Dispatch | Reject
