"""Blocking client for stage calls to backend servers, based on urllib3."""

from __future__ import annotations

import json
import select
import socket
import time
from dataclasses import dataclass, replace
from http.client import HTTPException
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
)
from galenadrum._internal.network.connection_pool import BlockingConnectionPool
from galenadrum._internal.network.deadline_socket import DeadlineSocket
from galenadrum._internal.network.sockets import is_closed_by_peer
from galenadrum._internal.network.stage_protocol import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    ONCE_HEADER,
    ORGANISATION_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    STAGE_HEADER,
    STAGES_PREFIX,
    WEIGHT_HEADER,
)
from galenadrum._internal.network.stage_replies import (
    AttemptError,
    AttemptLimits,
    Exchange,
    OnDelta,
    check_status,
    read_output,
)
from galenadrum._internal.utils.addresses import split_address

_CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class StageReply:
    """Result of an attempt of a stage call.

    Attributes:
        result: Outcome and timing of the attempt.
        output: Output of the stage, a JSON value, if the attempt completed.
        detail: Description of the failure for logs and traces, else empty.
    """

    result: AttemptResult
    output: Any = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class _AcquiredConnection:
    connection: HTTPConnection
    reused: bool


@dataclass(frozen=True, slots=True)
class _SendResult:
    """Result of sending an attempt once.

    Attributes:
        stale: Whether the cause of the failure may be a stale pooled connection
            instead of the server.
    """

    reply: StageReply
    stale: bool = False


class StageClient:
    """Sends stage calls and checks that each reply belongs to its call.

    Attributes:
        rejected_replies: Number of replies that belonged to another call.
        resent_calls: Number of calls resent over a new connection.
    """

    def __init__(self, pool: BlockingConnectionPool) -> None:
        self._pool = pool
        self.rejected_replies = 0
        self.resent_calls = 0

    def call(
        self,
        dispatch: Dispatch,
        payload: Any,
        traceparent: str | None,
        limits: AttemptLimits,
        on_delta: OnDelta | None = None,
    ) -> StageReply:
        """Send one attempt and wait for its reply.

        If no byte of a reply arrives on a reused connection, the call is resent once
        over a new connection, unless it may be sent only once or the server is
        unresponsive.

        Args:
            dispatch: Stage call and the server to send it to.
            payload: Request body, a JSON value.
            traceparent: W3C trace context of the attempt's span.
            limits: Deadline, timeouts and caller socket of the attempt.
            on_delta: Called with each part of a streamed reply; raises OSError to
                cancel the attempt.
        """
        sent = self._send_once(dispatch, payload, traceparent, limits, on_delta)
        if not sent.stale or limits.at_most_once or dispatch.forward_zone is not None:
            return sent.reply
        if self._pool.is_unresponsive(dispatch.address):
            return sent.reply
        self.resent_calls += 1
        resend_limits = replace(limits, fresh_connection=True)
        resent = self._send_once(
            dispatch, payload, traceparent, resend_limits, on_delta
        )
        return _resolve_resent_reply(resent.reply)

    def _send_once(
        self,
        dispatch: Dispatch,
        payload: Any,
        traceparent: str | None,
        limits: AttemptLimits,
        on_delta: OnDelta | None,
    ) -> _SendResult:
        started = time.monotonic()
        try:
            connected = self._connect(dispatch.address, limits)
        except (OSError, HTTPError) as error:
            return _SendResult(
                _build_failed_reply(started, Outcome.NOT_RUN, f"can't connect: {error}")
            )
        exchange = Exchange(connected.connection, limits, started)
        stale = False
        try:
            output = self._exchange_messages(
                exchange, dispatch, payload, traceparent, on_delta
            )
        except (
            AttemptError,
            OSError,
            HTTPError,
            # Raised for a reply without a valid status line or head.
            HTTPException,
            ValueError,
        ) as error:
            failure = _as_attempt_error(error, exchange)
            if failure.outcome is Outcome.UNKNOWN and exchange.first_byte_s is None:
                stale = connected.reused
                self._handle_missing_reply(dispatch.address, connected)
            result = _build_result(exchange, failure.outcome, failure.retry_after_s)
            reply = StageReply(result, detail=str(failure))
        else:
            reply = StageReply(_build_result(exchange, Outcome.COMPLETED), output)
        self._release(dispatch.address, exchange)
        return _SendResult(reply, stale)

    def _connect(self, address: str, limits: AttemptLimits) -> _AcquiredConnection:
        if not limits.fresh_connection:
            pooled = self._pool.acquire(address)
            if pooled is not None:
                return _AcquiredConnection(pooled, reused=True)
        host, port = split_address(address)
        remaining_s = max(0.001, limits.deadline - time.monotonic())
        connection = HTTPConnection(
            host,
            port,
            timeout=min(_CONNECT_TIMEOUT_S, remaining_s),
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        connection.connect()
        return _AcquiredConnection(connection, reused=False)

    def _exchange_messages(
        self,
        exchange: Exchange,
        dispatch: Dispatch,
        payload: Any,
        traceparent: str | None,
        on_delta: OnDelta | None,
    ) -> Any:
        response = _send_request(exchange, dispatch, payload, traceparent)
        check_status(response)
        self._check_echo(response, dispatch)
        output = read_output(response, exchange, on_delta)
        exchange.reusable = response.headers.get("Connection", "") != "close"
        return output

    def _check_echo(self, response: HTTPResponse, dispatch: Dispatch) -> None:
        for name, value in _identity_headers(dispatch).items():
            if response.headers.get(name) != value:
                self.rejected_replies += 1
                raise AttemptError(
                    Outcome.UNKNOWN, f"reply of another call: {name} differs"
                )

    def _handle_missing_reply(
        self, address: str, connected: _AcquiredConnection
    ) -> None:
        # The network may have dropped other idle connections of the same age without
        # notice, so later calls use new ones.
        self._pool.close_idle(address)
        if not connected.reused:
            self._pool.mark_unresponsive(address)

    def _release(self, address: str, exchange: Exchange) -> None:
        if exchange.reusable:
            self._pool.put(address, exchange.connection)
        else:
            exchange.connection.close()


def _resolve_resent_reply(reply: StageReply) -> StageReply:
    """Return the reply to a resent call as the reply of the whole attempt.

    If the server didn't run the resent call, it may still have run the first one, so
    the outcome is unknown.
    """
    if reply.result.outcome is not Outcome.NOT_RUN:
        return reply
    return replace(reply, result=replace(reply.result, outcome=Outcome.UNKNOWN))


def _as_attempt_error(error: Exception, exchange: Exchange) -> AttemptError:
    if isinstance(error, AttemptError):
        return error
    outcome = Outcome.UNKNOWN if exchange.sent else Outcome.NOT_RUN
    return AttemptError(outcome, f"{type(error).__name__}: {error}")


def _identity_headers(dispatch: Dispatch) -> dict[str, str]:
    call = dispatch.call
    return {
        REQUEST_ID_HEADER: call.request.request_id,
        STAGE_HEADER: call.stage,
        ATTEMPT_HEADER: str(call.attempt),
    }


def _send_request(
    exchange: Exchange, dispatch: Dispatch, payload: Any, traceparent: str | None
) -> HTTPResponse:
    remaining_s = exchange.limits.deadline - time.monotonic()
    if remaining_s <= 0:
        raise AttemptError(Outcome.NOT_RUN, "the deadline passed before sending")
    body = json.dumps(payload).encode()
    headers = _identity_headers(dispatch)
    headers[DEADLINE_HEADER] = str(int(remaining_s * 1_000))
    headers[PRIORITY_HEADER] = str(dispatch.call.request.priority)
    headers["Content-Type"] = "application/json"
    if dispatch.forward_zone is not None:
        headers.update(_forward_headers(dispatch, exchange.limits))
    if traceparent:
        headers["traceparent"] = traceparent
    _set_read_deadline(exchange.connection, exchange.limits.deadline)
    exchange.connection.sock.settimeout(remaining_s)
    exchange.sent = True
    path = STAGES_PREFIX + dispatch.call.stage
    exchange.connection.request("POST", path, body, headers, preload_content=False)
    _wait_for_first_byte(exchange)
    response = exchange.connection.getresponse()
    exchange.first_byte_s = time.monotonic() - exchange.started
    return response


def _set_read_deadline(connection: HTTPConnection, deadline: float) -> None:
    """Set one deadline for all reads, also those of a head or of trailers."""
    if isinstance(connection.sock, DeadlineSocket):
        connection.sock.deadline = deadline
    else:
        connection.sock = DeadlineSocket(connection.sock, deadline)


def _forward_headers(dispatch: Dispatch, limits: AttemptLimits) -> dict[str, str]:
    request = dispatch.call.request
    return {
        ORGANISATION_HEADER: request.organisation,
        WEIGHT_HEADER: str(request.weight),
        ONCE_HEADER: "true" if limits.at_most_once else "false",
    }


def _wait_for_first_byte(exchange: Exchange) -> None:
    limits = exchange.limits
    first_byte_deadline_at = time.monotonic() + limits.first_byte_timeout_s
    deadline_at = min(limits.deadline, first_byte_deadline_at)
    if _wait_until_readable(
        exchange.connection.sock, limits.caller_socket, deadline_at
    ):
        return
    if first_byte_deadline_at < limits.deadline:
        raise AttemptError(Outcome.UNKNOWN, "no first byte in time")
    raise AttemptError(Outcome.CANCELLED, "the deadline passed")


def _wait_until_readable(
    server_socket: socket.socket,
    caller_socket: socket.socket | None,
    deadline_at: float,
) -> bool:
    poller = select.poll()
    poller.register(server_socket, select.POLLIN)
    if caller_socket is not None:
        poller.register(caller_socket, select.POLLIN)
    while True:
        remaining_s = deadline_at - time.monotonic()
        if remaining_s <= 0:
            return False
        ready = [fd for fd, _ in poller.poll(remaining_s * 1_000)]
        if server_socket.fileno() in ready:
            return True
        if ready and caller_socket is not None:
            if is_closed_by_peer(caller_socket):
                raise AttemptError(Outcome.CANCELLED, "the caller left")
            # The caller sent bytes of its next request; stop polling its socket.
            poller.unregister(caller_socket)


def _build_result(
    exchange: Exchange, outcome: Outcome, retry_after_s: float | None = None
) -> AttemptResult:
    return AttemptResult(
        outcome,
        time.monotonic() - exchange.started,
        exchange.first_byte_s,
        exchange.cached_tokens,
        retry_after_s,
    )


def _build_failed_reply(started: float, outcome: Outcome, detail: str) -> StageReply:
    result = AttemptResult(outcome, time.monotonic() - started)
    return StageReply(result, detail=detail)
