"""Wire formats of a deployment's callers and backend servers.

The functions of a dialect translate between messages on the wire and typed values;
they keep no state and make no decisions.
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
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.network.http1.heads import RequestHead, ResponseHead


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values in the head of a caller's request.

    Attributes:
        request_id: Id that the caller gave this attempt.
        deadline_s: Time that the caller waits after sending the request, in seconds;
            None if not given.
        key: API key of the caller's organisation.
        prompt: Parts of the prompt, in order.
        prompt_tokens: Number of tokens in the prompt.
        output_tokens: Maximum number of tokens in the output.
        expected_output_tokens: Number of output tokens that the caller expects; 0 if
            not given.
        pieces: Number of pieces of each stage of the route.
        piece_key: Key of the input of the route's first stages.
        last_event_id: Id of the event after which the caller takes a stream up; None
            if it begins a new one.
        resumed_id: Id of the request that brought the first event of the stream that
            the caller takes up; None if not given, empty if invalid.
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
    last_event_id: str | None = None
    resumed_id: str | None = None

    @property
    def is_take_up(self) -> bool:
        """Whether the caller takes up a stream that broke off."""
        return self.last_event_id is not None or self.resumed_id is not None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Values in the head of a backend server's response.

    Attributes:
        request_id: Id of the attempt that is answered; empty if not given.
        did_not_run: Whether the server states that the request did not run.
        is_signed: Whether the response carries the server's signature.
        running: Number of requests that run on the server; None if not given.
        waiting: Number of requests queued on the server.
        slots: Number of requests that the server can run at once.
        work_time_factor: Time that work takes on the server's machine now, divided by
            the normal time; None if not given.
        has_invalid_load: Whether the server's load was given but can't be read; it
            then counts as not given.
        limit_per_s: Requests per second that the server accepts from all hosts
            together; None if it names no limit.
        max_rejections_per_s: Requests that the server can reject in a second for want
            of room without falling over; None if it isn't brittle.
        rest_s: Seconds for which the server asks this host to send nothing; None if it
            doesn't ask, NaN if the value can't be read; not bounded.
        is_leaving: Whether the server is about to stop and wants no new requests.
    """

    request_id: str
    did_not_run: bool
    is_signed: bool
    running: int | None = None
    waiting: int = 0
    slots: int = 0
    limit_per_s: float | None = None
    max_rejections_per_s: float | None = None
    rest_s: float | None = None
    is_leaving: bool = False
    work_time_factor: float | None = None
    has_invalid_load: bool = False

    @property
    def load(self) -> ServerLoad | None:
        """Load of the server; None if not given."""
        if self.running is None:
            return None
        return ServerLoad(self.running, self.waiting, self.slots, self.work_time_factor)


@dataclass(frozen=True, slots=True)
class ForwardingFields:
    """Values that the host adds to a request that it forwards.

    Attributes:
        server_id: Id of the only server that may run the request.
        remaining_s: Time until the request's deadline, in seconds.
        organisation: Name of the organisation of the caller's key, or None.
        priority: Priority of the request at the engine, or None.
        inputs: Handles of the stage results; None if the route has no stages.
        last_event_id: Id of the event after which a stream is resumed, or None.
        cache_source: Address of the server from whose cache this one fetches what it
            lacks of the prompt; empty if it reads the prompt itself.
    """

    server_id: str
    remaining_s: float
    organisation: str | None = None
    priority: int | None = None
    inputs: tuple[str, ...] | None = None
    last_event_id: bytes | None = None
    cache_source: str = ""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Functions that encode and decode the messages of one deployment.

    Attributes:
        decode_configuration: Decodes a configuration document; raises
            `CheckFailedError` with all findings.
        parse_request_head: Reads the head of a caller's request.
        request_headers: Returns the headers of a forwarded request.
        parse_response_head: Reads the head of a backend server's response.
        stage_request: Encodes the whole HTTP request of a stage call.
        stage_results: Decodes the response to a stage call.
        release_request: Encodes the whole HTTP request that releases stage results.
        own_response_headers: Returns the headers of a response that the host generates
            itself.
    """

    decode_configuration: Callable[[bytes], RoutingConfiguration]
    parse_request_head: Callable[[RequestHead], RequestMetadata]
    request_headers: Callable[
        [RequestHead, ForwardingFields], list[tuple[bytes, bytes]]
    ]
    parse_response_head: Callable[[ResponseHead], ResponseMetadata]
    stage_request: Callable[[StageCall], bytes]
    stage_results: Callable[
        [ResponseHead, bytes, StageCall], tuple[PieceResult, ...] | CallFailure
    ]
    release_request: Callable[[ResultsRelease], bytes]
    own_response_headers: Callable[[RequestMetadata | None], list[tuple[bytes, bytes]]]
