"""Calls of backend servers from worker threads, by urllib3 connections."""

from __future__ import annotations

import hashlib
import json
import logging
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
)
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = "Galenadrum-Request-Id"
STAGE_HEADER = "Galenadrum-Stage"
ATTEMPT_HEADER = "Galenadrum-Attempt"
DEADLINE_HEADER = "Galenadrum-Deadline-Ms"
PRIORITY_HEADER = "Galenadrum-Priority"
RUN_HEADER = "Galenadrum-Run"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
ORGANISATION_HEADER = "Galenadrum-Organisation"
WEIGHT_HEADER = "Galenadrum-Weight"
ONCE_HEADER = "Galenadrum-Once"
STAGES_PREFIX = "/v1/stages/"
EVENT_STREAM = "text/event-stream"

_CONNECT_TIMEOUT_S = 0.5
_IDLE_LIMIT_S = 4.0
_MAX_IDLE_PER_ADDRESS = 64
_READ_SIZE_BYTES = 65_536
_MAX_REPLY_BYTES = 64 * 1024 * 1024
_MAX_EVENT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class StageReply:
    """What one attempt brought.

    Attributes:
        result: How the attempt ended.
        output: The stage's output, of any JSON type, when it completed.
        detail: What went wrong, for logs and traces.
    """

    result: AttemptResult
    output: Any = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AttemptLimits:
    """What one attempt must respect.

    Attributes:
        deadline: Absolute monotonic time in seconds.
        first_byte_timeout_s: Silence after which the connection is suspect.
        fresh_connection: Whether a pooled connection must not be used.
        caller_socket: The caller's socket, whose end cancels the attempt.
        once: Whether an entry host that takes the call over must send it at
            most once.
    """

    deadline: float
    first_byte_timeout_s: float
    fresh_connection: bool = False
    caller_socket: socket.socket | None = None
    once: bool = False


class _AttemptError(Exception):
    """Ends an attempt with an outcome other than completed."""

    def __init__(
        self, outcome: Outcome, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class _Exchange:
    """The state of one attempt on its connection."""

    connection: HTTPConnection
    limits: AttemptLimits
    started: float
    sent: bool = False
    first_byte_s: float | None = None
    cached_tokens: int = 0
    reusable: bool = False


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    since: float = field(default_factory=time.monotonic)


class ConnectionPool:
    """Idle connections to backend servers, bounded in number and in age."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}

    def take(self, address: str) -> HTTPConnection | None:
        """Return an idle connection that is not known to be dead."""
        oldest = time.monotonic() - _IDLE_LIMIT_S
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                entry = idle.pop()
            if entry.since >= oldest and not _is_readable(entry.connection.sock):
                return entry.connection
            entry.connection.close()

    def put(self, address: str, connection: HTTPConnection) -> None:
        """Keep a connection for a later call, or close it."""
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(_IdleConnection(connection))
                return
        connection.close()

    def discard(self, address: str) -> None:
        """Close all idle connections to an address that fell silent."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.discard(address)


class StageClient:
    """Sends stage calls and checks that each reply belongs to its call."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self.rejected_replies = 0

    def call(
        self,
        dispatch: Dispatch,
        payload: Any,
        traceparent: str | None,
        limits: AttemptLimits,
        on_delta: Callable[[str], None] | None = None,
    ) -> StageReply:
        """Send one attempt and wait for its end.

        Args:
            dispatch: The call and the server it goes to.
            payload: The JSON body.
            traceparent: W3C trace context of the attempt's span.
            limits: Times, and the socket to watch.
            on_delta: Takes each part of a streamed reply as it arrives; an
                OSError that it raises cancels the attempt.
        """
        started = time.monotonic()
        try:
            connection = self._connect(dispatch.address, limits)
        except (OSError, HTTPError) as error:
            return _failed(started, Outcome.NOT_RUN, f"can't connect: {error}")
        exchange = _Exchange(connection, limits, started)
        try:
            output = self._exchange(exchange, dispatch, payload, traceparent, on_delta)
        except _AttemptError as error:
            reply = self._fail(exchange, dispatch, error)
        except (OSError, HTTPError, ValueError) as error:
            outcome = Outcome.UNKNOWN if exchange.sent else Outcome.NOT_RUN
            failure = _AttemptError(outcome, f"{type(error).__name__}: {error}")
            reply = self._fail(exchange, dispatch, failure)
        else:
            reply = StageReply(_result(exchange, Outcome.COMPLETED), output)
        self._release(dispatch.address, exchange)
        return reply

    def _connect(self, address: str, limits: AttemptLimits) -> HTTPConnection:
        if not limits.fresh_connection:
            pooled = self._pool.take(address)
            if pooled is not None:
                return pooled
        host, port = split_address(address)
        left_s = max(0.001, limits.deadline - time.monotonic())
        connection = HTTPConnection(
            host,
            port,
            timeout=min(_CONNECT_TIMEOUT_S, left_s),
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        connection.connect()
        return connection

    def _exchange(
        self,
        exchange: _Exchange,
        dispatch: Dispatch,
        payload: Any,
        traceparent: str | None,
        on_delta: Callable[[str], None] | None,
    ) -> Any:
        response = _send(exchange, dispatch, payload, traceparent)
        _check_status(response, exchange)
        self._check_echo(response, dispatch)
        if response.headers.get("Content-Type", "").startswith(EVENT_STREAM):
            output = _read_stream(response, exchange, on_delta)
        else:
            output = _read_whole(response, exchange)
        exchange.reusable = response.headers.get("Connection", "") != "close"
        return output

    def _check_echo(self, response: HTTPResponse, dispatch: Dispatch) -> None:
        for name, value in _identity_headers(dispatch).items():
            if response.headers.get(name) != value:
                self.rejected_replies += 1
                raise _AttemptError(
                    Outcome.UNKNOWN, f"reply of another call: {name} differs"
                )

    def _fail(
        self, exchange: _Exchange, dispatch: Dispatch, error: _AttemptError
    ) -> StageReply:
        if error.outcome is Outcome.UNKNOWN and exchange.first_byte_s is None:
            # Something between the two ends may have lost track of the
            # connections of this age, so later calls get new ones.
            self._pool.discard(dispatch.address)
        result = _result(exchange, error.outcome, error.retry_after_s)
        return StageReply(result, detail=str(error))

    def _release(self, address: str, exchange: _Exchange) -> None:
        if exchange.reusable:
            self._pool.put(address, exchange.connection)
        else:
            exchange.connection.close()


def _identity_headers(dispatch: Dispatch) -> dict[str, str]:
    call = dispatch.call
    return {
        REQUEST_ID_HEADER: call.request.request_id,
        STAGE_HEADER: call.stage,
        ATTEMPT_HEADER: str(call.attempt),
    }


def _send(
    exchange: _Exchange, dispatch: Dispatch, payload: Any, traceparent: str | None
) -> HTTPResponse:
    left_s = exchange.limits.deadline - time.monotonic()
    if left_s <= 0:
        raise _AttemptError(Outcome.NOT_RUN, "the deadline passed before sending")
    body = json.dumps(payload).encode()
    headers = _identity_headers(dispatch)
    headers[DEADLINE_HEADER] = str(int(left_s * 1_000))
    headers[PRIORITY_HEADER] = str(dispatch.call.request.priority)
    headers["Content-Type"] = "application/json"
    if dispatch.forward_zone is not None:
        headers.update(_forward_headers(dispatch, exchange.limits))
    if traceparent:
        headers["traceparent"] = traceparent
    exchange.connection.sock.settimeout(left_s)
    exchange.sent = True
    path = STAGES_PREFIX + dispatch.call.stage
    exchange.connection.request("POST", path, body, headers, preload_content=False)
    _wait_first_byte(exchange)
    response = exchange.connection.getresponse()
    exchange.first_byte_s = time.monotonic() - exchange.started
    return response


def _forward_headers(dispatch: Dispatch, limits: AttemptLimits) -> dict[str, str]:
    request = dispatch.call.request
    return {
        ORGANISATION_HEADER: request.organisation,
        WEIGHT_HEADER: str(request.weight),
        ONCE_HEADER: "true" if limits.once else "false",
    }


def _wait_first_byte(exchange: _Exchange) -> None:
    limits = exchange.limits
    silent_until = time.monotonic() + limits.first_byte_timeout_s
    until = min(limits.deadline, silent_until)
    if _wait_readable(exchange.connection.sock, limits.caller_socket, until):
        return
    if silent_until < limits.deadline:
        raise _AttemptError(Outcome.UNKNOWN, "no first byte in time")
    raise _AttemptError(Outcome.CANCELLED, "the deadline passed")


def _wait_readable(
    server_socket: socket.socket, caller_socket: socket.socket | None, until: float
) -> bool:
    poller = select.poll()
    poller.register(server_socket, select.POLLIN)
    if caller_socket is not None:
        poller.register(caller_socket, select.POLLIN)
    while True:
        left_s = until - time.monotonic()
        if left_s <= 0:
            return False
        ready = [fd for fd, _ in poller.poll(left_s * 1_000)]
        if server_socket.fileno() in ready:
            return True
        if ready and caller_socket is not None:
            if has_left(caller_socket):
                raise _AttemptError(Outcome.CANCELLED, "the caller left")
            # Bytes of a next request on the same connection; stop watching.
            poller.unregister(caller_socket)


def has_left(caller_socket: socket.socket) -> bool:
    """Return whether the caller closed its connection; never waits."""
    # A socket with a timeout waits in recv whatever flags it is given.
    if not _is_readable(caller_socket):
        return False
    try:
        return caller_socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def _is_readable(sock: socket.socket | None) -> bool:
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _check_status(response: HTTPResponse, exchange: _Exchange) -> None:
    if response.status == 200:
        return
    retry_after_s = _retry_after(response)
    outcome = Outcome.FAILED
    run = response.headers.get(RUN_HEADER)
    if run == NOT_RUN:
        outcome = Outcome.NOT_RUN
    elif run == UNKNOWN:
        outcome = Outcome.UNKNOWN
    detail = f"server answered {response.status}"
    raise _AttemptError(outcome, detail, retry_after_s)


def _retry_after(response: HTTPResponse) -> float | None:
    text = response.headers.get("Retry-After", "")
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def _read_part(response: HTTPResponse, exchange: _Exchange) -> bytes:
    left_s = exchange.limits.deadline - time.monotonic()
    if left_s <= 0:
        raise _AttemptError(Outcome.CANCELLED, "the deadline passed")
    sock = exchange.connection.sock
    if sock is not None:
        sock.settimeout(left_s)
    return response.read1(_READ_SIZE_BYTES)


def _read_whole(response: HTTPResponse, exchange: _Exchange) -> Any:
    parts = []
    size = 0
    while part := _read_part(response, exchange):
        parts.append(part)
        size += len(part)
        if size > _MAX_REPLY_BYTES:
            raise _AttemptError(Outcome.FAILED, "the reply is too large")
    reply = json.loads(b"".join(parts))
    if not isinstance(reply, dict) or "output" not in reply:
        raise _AttemptError(Outcome.FAILED, "the reply has no output")
    exchange.cached_tokens = _count(reply.get("cached_tokens"))
    return reply["output"]


def _read_stream(
    response: HTTPResponse,
    exchange: _Exchange,
    on_delta: Callable[[str], None] | None,
) -> str:
    digest = hashlib.sha256()
    deltas: list[str] = []
    buffer = b""
    while part := _read_part(response, exchange):
        buffer += part
        if len(buffer) > _MAX_EVENT_BYTES:
            raise _AttemptError(Outcome.UNKNOWN, "an event is too large")
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            name, data = parse_event(event)
            if name == "done":
                _check_digest(data, digest.hexdigest())
                exchange.cached_tokens = _count(data.get("cached_tokens"))
                _drain(response, exchange)
                return "".join(deltas)
            _take_delta(str(data["delta"]), deltas, digest, on_delta)
        _check_caller(exchange)
    raise _AttemptError(Outcome.UNKNOWN, "the stream ended before its last event")


def _take_delta(
    delta: str,
    deltas: list[str],
    digest: Any,
    on_delta: Callable[[str], None] | None,
) -> None:
    digest.update(delta.encode())
    deltas.append(delta)
    if on_delta is None:
        return
    try:
        on_delta(delta)
    except OSError:
        raise _AttemptError(Outcome.CANCELLED, "the caller left") from None


def _check_caller(exchange: _Exchange) -> None:
    caller_socket = exchange.limits.caller_socket
    if caller_socket is not None and has_left(caller_socket):
        raise _AttemptError(Outcome.CANCELLED, "the caller left")


def _check_digest(data: dict[str, Any], digest: str) -> None:
    if data.get("digest") != digest:
        raise _AttemptError(Outcome.UNKNOWN, "the stream's digest differs")


def _drain(response: HTTPResponse, exchange: _Exchange) -> None:
    while _read_part(response, exchange):
        pass


def parse_event(event: bytes) -> tuple[str, dict[str, Any]]:
    """Return the name and the JSON data of one server-sent event.

    Raises:
        ValueError: The event has no JSON object as its data.
    """
    name = "message"
    data = ""
    for line in event.decode().splitlines():
        key, _, value = line.partition(":")
        if key == "event":
            name = value.strip()
        elif key == "data":
            data += value.strip()
    parsed = json.loads(data)
    if not isinstance(parsed, dict):
        raise ValueError("the data of an event is not an object")
    return name, parsed


def _count(value: Any) -> int:
    return value if isinstance(value, int) and value > 0 else 0


def _result(
    exchange: _Exchange, outcome: Outcome, retry_after_s: float | None = None
) -> AttemptResult:
    return AttemptResult(
        outcome,
        time.monotonic() - exchange.started,
        exchange.first_byte_s,
        exchange.cached_tokens,
        retry_after_s,
    )


def _failed(started: float, outcome: Outcome, detail: str) -> StageReply:
    result = AttemptResult(outcome, time.monotonic() - started)
    return StageReply(result, detail=detail)
