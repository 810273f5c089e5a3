"""How callers and backend servers of a deployment speak, as functions.

The functions translate between messages on the wire and typed values; they keep
no state and decide nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceResult,
    PromptPart,
    ResultsRelease,
    StageCall,
)
from galenadrum._internal.models.routing import RoutingConfiguration
from galenadrum._internal.network.http1.heads import RequestHead, ResponseHead


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the head of a caller's request says.

    Attributes:
        request_id: The caller's own id of this attempt.
        deadline_s: Time that the caller waits, from its sending; None if it
            doesn't say.
        key: The key of its organisation.
        output_tokens: Most tokens that it may be answered.
        expected_output_tokens: The caller's estimate, 0 where it gave none.
        pieces: Number of pieces of each stage of the route.
        piece_key: Names the input of stages that come first.
    """

    request_id: str
    deadline_s: float | None = None
    key: str | None = None
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output_tokens: int = 0
    pieces: tuple[int, ...] = ()
    piece_key: str = ""


@dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What the head of a backend server's response says.

    Attributes:
        request_id: The attempt that it answers; empty if it doesn't say.
        did_not_run: Whether the server states that nothing ran.
        is_signed: Whether it bears the server's signature.
        running: Requests that run there; None if it doesn't say.
        waiting: Requests that wait there.
        slots: Requests that can run there at once.
    """

    request_id: str
    did_not_run: bool
    is_signed: bool
    running: int | None = None
    waiting: int = 0
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Forwarding:
    """What the system adds to a request that it forwards.

    Attributes:
        server_id: The only server that may run it.
        left_s: Time that the server has.
        organisation: Name of the organisation of the caller's key, or None.
        priority: Rank for the engine, or None.
        inputs: Handles of results; None where the route has no stages.
        last_event_id: The event after which a stream goes on, or None.
    """

    server_id: str
    left_s: float
    organisation: str | None = None
    priority: int | None = None
    inputs: tuple[str, ...] | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class Dialect:
    """The functions of a deployment's dialect.

    Attributes:
        decode_configuration: Raises `CheckFailedError` with all findings.
        request_headers: The headers with which a request is forwarded.
        stage_request: The whole HTTP request of a stage call.
        stage_results: Reads the response to a stage call.
        release_request: The whole HTTP request that gives results up.
        answer_headers: Headers that an answer of the system's own bears.
    """

    decode_configuration: Callable[[bytes], RoutingConfiguration]
    read_request: Callable[[RequestHead], RequestFacts]
    request_headers: Callable[[RequestHead, Forwarding], list[tuple[bytes, bytes]]]
    read_reply: Callable[[ResponseHead], ReplyFacts]
    stage_request: Callable[[StageCall], bytes]
    stage_results: Callable[
        [ResponseHead, bytes, StageCall], tuple[PieceResult, ...] | CallFailure
    ]
    release_request: Callable[[ResultsRelease], bytes]
    answer_headers: Callable[[RequestFacts | None], list[tuple[bytes, bytes]]]
