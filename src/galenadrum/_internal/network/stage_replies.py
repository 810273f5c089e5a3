"""Reading and checking of replies of backend servers, whole or streamed."""

from __future__ import annotations

import hashlib
import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from galenadrum._internal.models.requests import Outcome
from galenadrum._internal.network.http1.heads import STATUSES
from galenadrum._internal.network.sockets import is_closed_by_peer
from galenadrum._internal.network.stage_protocol import (
    ERROR_EVENT,
    EVENT_STREAM,
    NOT_RUN,
    RUN_HEADER,
    UNKNOWN,
    parse_event,
)

_READ_SIZE_BYTES = 65_536
_MAX_REPLY_BYTES = 64 * 1024 * 1024
_MAX_EVENT_BYTES = 4 * 1024 * 1024

OnDelta = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Limits of an attempt of a stage call.

    Attributes:
        deadline: Monotonic time in seconds at which the attempt is cancelled.
        first_byte_timeout_s: Timeout in seconds for the first byte of the reply, after
            which the connection may be stale.
        fresh_connection: Whether the attempt must use a new connection.
        caller_socket: Socket of the caller; the attempt is cancelled when the caller
            closes it.
        at_most_once: Whether the call may be sent only once, also by an entry host
            that it is forwarded to.
    """

    deadline: float
    first_byte_timeout_s: float
    fresh_connection: bool = False
    caller_socket: socket.socket | None = None
    at_most_once: bool = False


class AttemptError(Exception):
    """Raised when an attempt ends with an outcome other than completed.

    Attributes:
        outcome: Outcome of the attempt.
        retry_after_s: Seconds to wait before a retry, if the server sent them.
    """

    def __init__(
        self, outcome: Outcome, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Exchange:
    """State of an attempt on its connection.

    Attributes:
        started: Monotonic time in seconds.
        sent: Whether any byte of the request may have been sent.
        first_byte_s: Seconds from the start to the first byte of the reply.
        reusable: Whether the connection may carry another request.
    """

    connection: HTTPConnection
    limits: AttemptLimits
    started: float
    sent: bool = False
    first_byte_s: float | None = None
    cached_tokens: int = 0
    reusable: bool = False


def check_status(response: HTTPResponse) -> None:
    """Check that a reply has status 200.

    Raises:
        AttemptError: The status differs; the run header determines the outcome, which
            is unknown after an invalid status.
    """
    if response.status == 200:
        return
    if response.status not in STATUSES:
        raise AttemptError(
            Outcome.UNKNOWN,
            f"the reply has the status {response.status:03}, expected one from "
            f"{STATUSES[0]} to {STATUSES[-1]}",
        )
    retry_after_s = _parse_retry_after(response)
    outcome = Outcome.FAILED
    run = response.headers.get(RUN_HEADER)
    if run == NOT_RUN:
        outcome = Outcome.NOT_RUN
    elif run == UNKNOWN:
        outcome = Outcome.UNKNOWN
    detail = f"server answered {response.status}"
    raise AttemptError(outcome, detail, retry_after_s)


def _parse_retry_after(response: HTTPResponse) -> float | None:
    text = response.headers.get("Retry-After", "")
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def _read_part(response: HTTPResponse, exchange: Exchange) -> bytes:
    remaining_s = exchange.limits.deadline - time.monotonic()
    if remaining_s <= 0:
        raise AttemptError(Outcome.CANCELLED, "the deadline passed")
    sock = exchange.connection.sock
    if sock is not None:
        sock.settimeout(remaining_s)
    return response.read1(_READ_SIZE_BYTES)


def _read_whole_reply(response: HTTPResponse, exchange: Exchange) -> Any:
    parts = []
    size = 0
    while part := _read_part(response, exchange):
        parts.append(part)
        size += len(part)
        if size > _MAX_REPLY_BYTES:
            raise AttemptError(Outcome.FAILED, "the reply is too large")
    reply = json.loads(b"".join(parts))
    if not isinstance(reply, dict) or "output" not in reply:
        raise AttemptError(Outcome.FAILED, "the reply has no output")
    exchange.cached_tokens = _parse_count(reply.get("cached_tokens"))
    return reply["output"]


def _read_streamed_reply(
    response: HTTPResponse,
    exchange: Exchange,
    on_delta: OnDelta | None,
) -> str:
    digest = hashlib.sha256()
    deltas: list[str] = []
    buffer = b""
    size = 0
    while part := _read_part(response, exchange):
        buffer += part
        size += len(part)
        if size > _MAX_REPLY_BYTES:
            raise AttemptError(
                Outcome.UNKNOWN,
                f"the stream has more than {_MAX_REPLY_BYTES} bytes",
            )
        if len(buffer) > _MAX_EVENT_BYTES:
            raise AttemptError(Outcome.UNKNOWN, "an event is too large")
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            name, data = parse_event(event)
            if name == "done":
                _check_digest(data, digest.hexdigest())
                exchange.cached_tokens = _parse_count(data.get("cached_tokens"))
                _read_to_end(response, exchange)
                return "".join(deltas)
            if name == ERROR_EVENT:
                raise _build_stream_error(data)
            if "delta" not in data:
                raise AttemptError(
                    Outcome.UNKNOWN,
                    f"the stream has an event {name!r} without a delta",
                )
            _process_delta(str(data["delta"]), deltas, digest, on_delta)
        _check_caller_connected(exchange)
    raise AttemptError(Outcome.UNKNOWN, "the stream ended before its last event")


def _build_stream_error(data: dict[str, Any]) -> AttemptError:
    """Return the error that a server told in its stream.

    Output was sent before it, so the call may have run whatever the error says.
    """
    error = data.get("error")
    message = error.get("message") if isinstance(error, dict) else None
    return AttemptError(
        Outcome.UNKNOWN, f"the server ended the stream with an error: {message}"
    )


def _process_delta(
    delta: str,
    deltas: list[str],
    digest: Any,
    on_delta: OnDelta | None,
) -> None:
    digest.update(delta.encode())
    deltas.append(delta)
    if on_delta is None:
        return
    try:
        on_delta(delta)
    except OSError:
        raise AttemptError(Outcome.CANCELLED, "the caller left") from None


def _check_caller_connected(exchange: Exchange) -> None:
    caller_socket = exchange.limits.caller_socket
    if caller_socket is not None and is_closed_by_peer(caller_socket):
        raise AttemptError(Outcome.CANCELLED, "the caller left")


def _check_digest(data: dict[str, Any], digest: str) -> None:
    if data.get("digest") != digest:
        raise AttemptError(Outcome.UNKNOWN, "the stream's digest differs")


def _read_to_end(response: HTTPResponse, exchange: Exchange) -> None:
    while _read_part(response, exchange):
        pass


def _parse_count(value: Any) -> int:
    return value if isinstance(value, int) and value > 0 else 0


def read_output(
    response: HTTPResponse, exchange: Exchange, on_delta: OnDelta | None
) -> Any:
    """Read the body of a reply and return the output of the stage.

    Raises:
        AttemptError: The reply is invalid or incomplete, or the attempt was cancelled.
    """
    if response.headers.get("Content-Type", "").startswith(EVENT_STREAM):
        return _read_streamed_reply(response, exchange, on_delta)
    return _read_whole_reply(response, exchange)
