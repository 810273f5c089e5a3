"""Asyncio HTTP/1.1 server.

A request is passed to the handler once its whole body is received. Pipelined
requests on a connection are handled one at a time, in order, and each only after the
caller has read most of the response before. What connections hold is recorded in the
memory account of the process.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from galenadrum._internal.network.http1.heads import (
    Headers,
    RequestHead,
    encode_response,
)
from galenadrum._internal.network.http1.memory_account import Holding, MemoryAccount
from galenadrum._internal.network.sockets import limit_buffers, set_reset_on_close
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_TIMEOUT_CHECK_INTERVAL_S = 0.25
_LISTEN_BACKLOG = 1_024
# Limit on the pipelined requests read from a connection; reading pauses beyond it.
_MAX_PIPELINED = 8
# Closing a socket with unread bytes resets the connection, and the caller may then
# lose the last response. A rejected connection stays open for this long.
_REJECTION_LINGER_S = 0.5
# A connection without a request isn't closed before: its first one is on its way.
_FIRST_REQUEST_GRACE_S = 0.5
# Largest read from a socket. By default asyncio reads 256 KiB, which hundreds of
# connections may do before the first of them can be paused.
_READ_BYTES = 64 * 1024
# Costs in memory of a header line (two bytes objects, a tuple and its place in the
# list), of a request, and of each byte of a body, which is copied to the connection to
# a backend server and to its buffer.
_HEADER_LINE_COST = 160
_REQUEST_COST = 1_024
_BODY_COPIES = 3
_MAX_TRAILER_COST = 128 * 1024
# Chunks of one byte, with sizes of eight digits, have 12 bytes of overhead each.
_CHUNK_OVERHEAD_PER_BYTE = 16
# Callers that are rejected or closed for memory return after this time at least.
_RETRY_AFTER_S = 0.5
# Connections beyond the limit stay open for a moment, so that their callers read why
# they are rejected. Beyond this part of the limit they are reset.
_REJECTED_SHARE = 1 / 4
# What is read of a rejected request, beyond the largest body, so that its caller reads
# the response. A caller that sends without end isn't read any further.
_REJECTED_READ_BYTES = 1024 * 1024
# Larger output is written in parts as the caller reads it, so that the transport keeps
# no copies of it.
_WRITE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Size limits and timeouts of a connection.

    Attributes:
        max_header_bytes: Limit on the head of a request.
        max_body_bytes: Limit on the body of a request.
        max_header_lines: Limit on the header lines of a request. A head of 16,384
            bytes has no more than the default.
        max_trailer_bytes: Limit on the trailers that follow a chunked body.
        max_chunk_overhead_bytes: Limit on the bytes of chunk sizes, extensions and
            trailers, in addition to 16 for each byte of the body.
        header_timeout_s: Limit on the time from the first byte of a request to the
            end of its head.
        body_timeout_s: Limit on the time between two reads of a body.
        idle_timeout_s: Time after which a connection without a request is closed.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_lines: int = 4_096
    max_trailer_bytes: int = 16 * 1024
    max_chunk_overhead_bytes: int = 32 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class CallerDisconnectedError(Exception):
    """Raised by `Exchange.send` after the caller closed the connection."""


class Exchange:
    """A request, with methods that send its response.

    Attributes:
        head: Head of the request.
        body: Body of the request.
        received_at: Loop time in seconds at which the first byte was received.
        is_caller_disconnected: Whether the caller closed the connection before the
            end of the response.
        on_caller_disconnected: Called once when the caller does so.
        bytes_sent: Number of bytes of the response sent so far, including its head.
        is_finished: Whether the response was sent completely or aborted.
        is_complete: Whether the response was sent completely.
        status: Status of the response; 0 before it began.
        began_at: Loop time in seconds at which the response began; None before.
        own_reason: Reason of a response that this host generated itself; else empty.
    """

    def __init__(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        received_at: float,
    ) -> None:
        self._connection = connection
        self.head = head
        self.body = body
        self.received_at = received_at
        self.is_caller_disconnected = False
        self.on_caller_disconnected: Callable[[], None] | None = None
        self.bytes_sent = 0
        self.is_finished = False
        self.is_complete = False
        self.status = 0
        self.began_at: float | None = None
        self.own_reason = ""
        self._is_chunked = False
        self._keep_alive = head.keep_alive

    def respond(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        self._record_begin(status)
        head = [*headers, (b"Content-Length", b"%d" % len(body))]
        payload = b"" if self.head.method == b"HEAD" else body
        self._write(
            encode_response(status, self._add_connection_header(head)) + payload
        )
        self._finish()

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length.

        A response to HTTP/1.0 ends with its connection. The connection is therefore
        reset, unless `finish` is called, however it ends.
        """
        self._record_begin(status)
        if self.head.is_http10:
            self._keep_alive = False
            self._connection.set_reset_on_close(True)
        else:
            self._is_chunked = True
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._write(encode_response(status, self._add_connection_header(headers)))

    async def send(self, data: bytes) -> None:
        """Send a part of the response body and wait until the write buffer drains.

        Raises:
            CallerDisconnectedError: The caller closed the connection.
        """
        if self.is_caller_disconnected:
            raise CallerDisconnectedError
        if data:
            self._write(
                b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data
            )
        await self._connection.wait_until_writable()

    def finish(self) -> None:
        """End a response that `start` began."""
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        else:
            self._connection.set_reset_on_close(False)
        self._finish()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete response."""
        self.is_finished = True
        self._connection.abort()

    def _add_connection_header(
        self, headers: list[tuple[bytes, bytes]]
    ) -> list[tuple[bytes, bytes]]:
        if self._connection.closes_after_response:
            self._keep_alive = False
        if not self._keep_alive:
            return [*headers, (b"Connection", b"close")]
        return headers

    def _record_begin(self, status: int) -> None:
        self.status = status
        self.began_at = asyncio.get_running_loop().time()

    def _write(self, data: bytes) -> None:
        self.bytes_sent += len(data)
        self._connection.write(data)

    def _finish(self) -> None:
        self.is_finished = self.is_complete = True
        self._connection.answered(self._keep_alive)


Handler = Callable[[Exchange], Awaitable[None]]

# Shares of the process's descriptors for connections to its addresses. The rest is for
# files, connections to backend servers and those to other hosts.
CALLER_SHARE = 3 / 8
RELAY_SHARE = 1 / 8
PROBE_SHARE = 1 / 16


class _Connection(asyncio.Protocol):
    """Parses the requests of a connection and handles them in order."""

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._limits = server.limits()
        self._request_target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._read_bytes = 0
        self._body = bytearray()
        self._overhead_bytes = 0
        self._trailer_bytes = 0
        self._message_started_at: float | None = None
        self._opened_at = self._last_data_at = self._loop.time()
        self._has_had_request = False
        self._is_reading_body = False
        # Head, body, time of the first byte and cost of each request.
        self._pending_requests: list[tuple[RequestHead, bytes, float, int]] = []
        self._pending_cost = 0
        self._current_cost = 0
        self._holding = Holding(self)
        self._is_held_back = False
        self._is_reading = True
        self._output: deque[memoryview] = deque()
        self._rejected_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since = 0.0
        self._current_exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._write_resumed: asyncio.Future[None] | None = None
        self._is_lost = False
        self._is_rejected = False

    @property
    def closes_after_response(self) -> bool:
        return self._server.is_closing or self._is_rejected

    @property
    def is_idle(self) -> bool:
        return (
            self._current_exchange is None
            and not self._pending_requests
            and self._message_started_at is None
        )

    @property
    def awaits_first_request(self) -> bool:
        """Whether the caller has just connected, so that its request is on its way."""
        age_s = self._loop.time() - self._opened_at
        return not self._has_had_request and age_s < _FIRST_REQUEST_GRACE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        transport.max_size = _READ_BYTES
        self._server.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._server.connections.discard(self)
        self._drop_received()
        self._output.clear()
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        # The handler of a running request holds it until it ends.
        self._record_held()
        exchange = self._current_exchange
        if exchange is not None and not exchange.is_finished:
            exchange.is_caller_disconnected = True
            if exchange.on_caller_disconnected is not None:
                exchange.on_caller_disconnected()

    def data_received(self, data: bytes) -> None:
        self._last_data_at = self._loop.time()
        if self._is_rejected:
            self._rejected_bytes += len(data)
            if self._rejected_bytes > self._limits.max_body_bytes + (
                _REJECTED_READ_BYTES
            ):
                self.hold_back(True)
            return
        size = self._read_bytes = len(data)
        if self._is_reading_body:
            self._overhead_bytes += size
        else:
            self._header_bytes += size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            limit_error = error.__context__
            if not isinstance(limit_error, _RequestLimitError):
                raise
            self._reject(limit_error.status, limit_error.reason)
        except httptools.HttpParserError as error:
            self._reject(400, f"the request can't be parsed: {error}")
        if self._message_started_at is not None:
            self._check_incomplete_request()
        if not self._is_rejected:
            self._record_held()

    def _check_incomplete_request(self) -> None:
        limits = self._limits
        if not self._is_reading_body:
            if self._header_bytes > limits.max_header_bytes:
                self._reject(431, "the request's head is too large")
        elif self._overhead_bytes > (
            limits.max_chunk_overhead_bytes + len(self._body) * _CHUNK_OVERHEAD_PER_BYTE
        ):
            self._reject(413, "the request's chunks have too much overhead")

    def _record_held(self) -> None:
        """Record in the account what the connection holds now."""
        cost = self._pending_cost + self._current_cost
        is_receiving = self._message_started_at is not None
        if is_receiving:
            cost += (
                len(self._headers) * _HEADER_LINE_COST
                + self._header_bytes
                + len(self._body) * _BODY_COPIES
                # The parser keeps an incomplete trailer.
                + max(0, min(self._overhead_bytes, _MAX_TRAILER_COST))
            )
        is_sending = self._is_writing_paused
        if is_sending:
            cost += self._count_unsent_bytes()
        if cost or self._holding.held_bytes:
            self._server.memory.record_caller(
                self._holding, cost, is_receiving, is_sending
            )

    def _drop_received(self) -> None:
        """Drop all that was received and isn't handled yet."""
        self._pending_requests.clear()
        self._pending_cost = 0
        self._headers = []
        self._body = bytearray()
        self._message_started_at = None

    # Methods for the memory account.

    def hold_back(self, is_held_back: bool) -> None:
        """Pause or resume reading on behalf of the memory account."""
        self._is_held_back = is_held_back
        self._update_reading()

    def close_for_memory(self, reason: str) -> None:
        """Reject the request that is being received, or abort the connection."""
        is_unanswered = self._current_exchange is None and not self._pending_requests
        if is_unanswered and not self._is_writing_paused:
            self._reject(503, reason)
        elif not self._is_lost:
            self._drop_received()
            self._transport.abort()
            self._record_held()

    def describe_peer(self) -> str:
        """Return the address of the caller."""
        return str(self._transport.get_extra_info("peername"))

    def _update_reading(self) -> None:
        reads = not self._is_held_back and (
            self._is_rejected or len(self._pending_requests) < _MAX_PIPELINED
        )
        if reads == self._is_reading or self._is_lost:
            return
        self._is_reading = reads
        if reads:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        if self._write_resumed is None or self._write_resumed.done():
            self._write_resumed = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_output()
        self._record_held()
        self._start_next()

    @property
    def _is_writing_paused(self) -> bool:
        return (
            self._write_resumed is not None
            and not self._write_resumed.done()
            and not self._is_lost
        )

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        self._limits = self._server.limits()
        self._request_target = b""
        self._headers = []
        self._body = bytearray()
        self._overhead_bytes = self._trailer_bytes = 0
        self._message_started_at = self._last_data_at
        self._has_had_request = True

    def on_url(self, url: bytes) -> None:
        self._request_target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_reading_body:
            # Trailers, which aren't forwarded.
            self._trailer_bytes += len(name) + len(value)
            if self._trailer_bytes > self._limits.max_trailer_bytes:
                raise _RequestLimitError(413, "the request's trailers are too large")
            return
        self._headers.append((name, value))
        if len(self._headers) > self._limits.max_header_lines:
            raise _RequestLimitError(431, "the request has too many header lines")

    def on_headers_complete(self) -> None:
        limits = self._limits
        if max(self._read_bytes, self._header_bytes) > limits.max_header_bytes:
            self._check_head_size()
        if self._server.is_shedding:
            raise _RequestLimitError(503, "this host is overloaded")
        self._is_reading_body = True
        self._header_bytes = 0
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"content-length" and int(value) > limits.max_body_bytes:
                raise _RequestLimitError(413, "the request's body is too large")
            if lower_name == b"expect" and value.lower() == b"100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _check_head_size(self) -> None:
        """Reject a head that came in one read and is larger than the limit."""
        size = len(self._request_target) + sum(
            len(name) + len(value) + len(":\r\n") for name, value in self._headers
        )
        if size > self._limits.max_header_bytes:
            raise _RequestLimitError(431, "the request's head is too large")

    def on_body(self, data: bytes) -> None:
        self._overhead_bytes -= len(data)
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            raise _RequestLimitError(413, "the request's body is too large")

    def on_message_complete(self) -> None:
        head = RequestHead(
            self._parser.get_method(),
            self._request_target,
            tuple(self._headers),
            self._parser.get_http_version() == "1.0",
            self._parser.should_keep_alive(),
        )
        cost = (
            _REQUEST_COST
            + len(self._headers) * _HEADER_LINE_COST
            + len(self._body) * _BODY_COPIES
        )
        self._pending_requests.append(
            (head, bytes(self._body), self._message_started_at, cost)
        )
        self._pending_cost += cost
        self._is_reading_body = False
        self._message_started_at = None
        self._headers = []
        self._body = bytearray()
        self._update_reading()
        self._start_next()

    # Methods for Exchange.

    def write(self, data: bytes) -> None:
        if self._is_lost:
            return
        if self._output or len(data) > _WRITE_BYTES:
            self._output.append(memoryview(data))
            self._write_output()
        else:
            self._transport.write(data)
        if self._is_writing_paused:
            self._record_held()

    def _write_output(self) -> None:
        """Write parts of the output until the caller has to read them first."""
        output = self._output
        while output and not self._is_writing_paused and not self._is_lost:
            data = output.popleft()
            if len(data) > _WRITE_BYTES:
                output.appendleft(data[_WRITE_BYTES:])
            self._transport.write(data[:_WRITE_BYTES])

    def _count_unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() + sum(map(len, self._output))

    def set_reset_on_close(self, resets: bool) -> None:
        """Set whether the connection is reset when its socket is closed."""
        if not self._is_lost:
            set_reset_on_close(self._transport.get_extra_info("socket"), resets)

    async def wait_until_writable(self) -> None:
        while self._is_writing_paused:
            await asyncio.shield(self._write_resumed)

    def answered(self, keep_alive: bool) -> None:
        self._current_exchange = None
        self._current_cost = 0
        self._last_data_at = self._loop.time()
        if not keep_alive:
            self._drop_received()
            self._record_held()
            self._close()
            return
        self._record_held()
        self._update_reading()
        self._loop.call_soon(self._start_next)

    def abort(self) -> None:
        self._current_exchange = None
        self._current_cost = 0
        self._drop_received()
        self._transport.abort()
        self._record_held()

    def release_request(self) -> None:
        """Record that the handler of the last request has ended."""
        if self._is_lost:
            self._current_cost = 0
            self._record_held()

    # Timeouts and rejection.

    def check_timeouts(self, now: float, limits: ConnectionLimits) -> None:
        """Close the connection if it is idle, or reject its request, after a timeout.

        Args:
            now: Loop time in seconds.
            limits: Current limits of the server.
        """
        self._check_unsent(now, limits)
        if self._is_rejected or self._current_exchange is not None:
            return
        if self._message_started_at is None:
            if (
                not self._pending_requests
                and now - self._last_data_at > limits.idle_timeout_s
            ):
                self._close()
        elif self._is_reading_body:
            if now - self._last_data_at > limits.body_timeout_s:
                self._reject(408, "the request's body did not come in time")
        elif now - self._message_started_at > limits.header_timeout_s:
            self._reject(408, "the request's head did not come in time")

    def _check_unsent(self, now: float, limits: ConnectionLimits) -> None:
        """Abort the connection if its caller reads none of the output for too long."""
        unsent_bytes = self._count_unsent_bytes()
        if unsent_bytes != self._unsent_bytes or not unsent_bytes:
            self._unsent_bytes, self._unsent_since = unsent_bytes, now
        elif now - self._unsent_since > limits.idle_timeout_s:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is expected, received or handled."""
        if self.is_idle and not self.awaits_first_request:
            self._close()

    def _start_next(self) -> None:
        if (
            self._current_exchange is not None
            or not self._pending_requests
            or self._is_lost
            or self._is_writing_paused
        ):
            return
        head, body, received_at, cost = self._pending_requests.pop(0)
        self._pending_cost -= cost
        self._current_cost = cost
        self._current_exchange = Exchange(self, head, body, received_at)
        self._update_reading()
        self._task = self._loop.create_task(self._server.handle(self._current_exchange))

    def _reject(self, status: int, reason: str) -> None:
        if self._is_rejected or self._is_lost:
            return
        self._is_rejected = True
        self._server.memory.record_rejection(status, reason, self.describe_peer())
        is_answering = self._current_exchange is not None
        # An answer in place of that of an earlier request would be taken for it.
        is_silent = bool(self._pending_requests) or self._is_writing_paused
        self._drop_received()
        self.hold_back(False)
        self._record_held()
        if is_answering:
            # The response in progress is sent first; the connection is closed after it.
            self._server.close_after_response(self)
        elif is_silent:
            self._close()
        else:
            self._send_rejection(status, reason.encode())

    def _send_rejection(self, status: int, body: bytes) -> None:
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        if status == 503:
            # Callers that are rejected at the same time return at different ones.
            retry_after_s = _RETRY_AFTER_S * (1 + random.random())
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
            headers += self._server.shed_headers
        self._transport.write(encode_response(status, headers) + body)
        self._loop.call_later(_REJECTION_LINGER_S, self._close)

    def reject_connection(self) -> None:
        """Reject all requests of a connection that is one too many."""
        self._reject(503, "this host has too many connections")

    def close_to_make_room(self) -> bool:
        """Close the connection if no request is expected on it; return whether."""
        is_unused = self.is_idle and not self.awaits_first_request
        if not is_unused or self._is_rejected or self._count_unsent_bytes():
            return False
        # The end of the connection is reported later, after others were accepted.
        self._server.connections.discard(self)
        self._transport.abort()
        return True

    def _close(self) -> None:
        # The transport closes after its buffer is empty, which `resume_writing` fills
        # until all output is written.
        if not self._is_lost:
            self._transport.close()


class _RequestLimitError(Exception):
    """Raised in a parser callback when a request exceeds a limit.

    Attributes:
        status: HTTP status of the response.
        reason: Body of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Http1Server:
    """Listens on an address and calls a handler for each request.

    Attributes:
        limits: Returns the current limits of connections.
        connections: Open connections.
        is_closing: Whether connections are closed after their current response.

    Args:
        address: IP address and port to listen on.
        handler: Responds to an exchange. Its exceptions are logged, and the
            connection is aborted unless the response was finished.
        limits: Returns the limits of connections; called for each request.
        name: Name of the server in logs.
        memory: Account of the memory that connections hold; None for one of the
            server alone.
        share: Share of the process's descriptors for connections to the server.
        sheds: Whether requests are rejected when memory is short.
        shed_headers: Headers of the responses to requests rejected for that.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        name: str,
        memory: MemoryAccount | None = None,
        share: float = CALLER_SHARE,
        sheds: bool = True,
        shed_headers: Headers = (),
    ) -> None:
        self.memory = memory or MemoryAccount()
        self._share = share
        self._sheds = sheds
        self.shed_headers = shed_headers
        self._address = address
        self._handler = handler
        self._name = name
        self.limits = limits
        self.connections: set[_Connection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None

    async def run(self) -> None:
        """Listen and serve requests until cancelled.

        Raises:
            OSError: The server can't listen on the address.
        """
        await self.listen()
        try:
            await self._check_timeouts_periodically()
        finally:
            self.stop_listening()

    async def listen(self) -> None:
        """Start listening.

        Raises:
            OSError: The server can't listen on the address.
        """
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port), family=family, backlog=_LISTEN_BACKLOG
        )
        limit_buffers(self._socket)
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=self._socket, backlog=_LISTEN_BACKLOG
        )
        logger.info("listening for %s on %s", self._name, self._address)

    async def _check_timeouts_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            limits = self.limits()
            now = loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now, limits)
            self.memory.relieve_periodically()

    @property
    def is_shedding(self) -> bool:
        """Whether new requests are rejected because memory is short."""
        return self._sheds and self.memory.is_shedding

    def admit(self, connection: _Connection) -> None:
        """Add a connection, in place of an unused one if there are too many."""
        limit = self.memory.find_max_connections(self._share)
        count = len(self.connections)
        self.connections.add(connection)
        if count < limit:
            return
        if any(other.close_to_make_room() for other in list(self.connections)):
            return
        if count < limit * (1 + _REJECTED_SHARE):
            connection.reject_connection()
        else:
            connection.abort()

    def close_connections_when_idle(self) -> None:
        """Close idle connections now and the others after their response.

        Later responses carry ``Connection: close``.
        """
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept_last_connections(self) -> None:
        """Stop listening once all connections that callers have opened are accepted.

        Closing the listening socket resets those that are queued.
        """
        accepted = self._accept_queued() if self._server is not None else []
        self.stop_listening()
        loop = asyncio.get_running_loop()
        for connected in accepted:
            connected.setblocking(False)
            await loop.connect_accepted_socket(lambda: _Connection(self), connected)

    def _accept_queued(self) -> list[socket.socket]:
        accepted: list[socket.socket] = []
        try:
            while len(accepted) < _LISTEN_BACKLOG:
                accepted.append(self._socket.accept()[0])
        except BlockingIOError:
            logger.debug("accepted the last %d connections", len(accepted))
        except OSError as error:
            logger.warning(
                "failed to accept the connections queued for %s on %s: %s; they are "
                "reset",
                self._name,
                self._address,
                error,
            )
        return accepted

    @property
    def busy_count(self) -> int:
        """Number of connections with a request being received or handled."""
        return sum(not connection.is_idle for connection in self.connections)

    @property
    def unfinished_count(self) -> int:
        """Number of connections with a request expected, received or handled."""
        return sum(
            not connection.is_idle or connection.awaits_first_request
            for connection in self.connections
        )

    def close_after_response(self, connection: _Connection) -> None:
        """Close a connection after its response in progress is sent."""
        exchange = connection._current_exchange
        if exchange is not None:
            exchange._keep_alive = False

    async def handle(self, exchange: Exchange) -> None:
        """Run the handler; abort the connection if the response is unfinished."""
        try:
            await self._handler(exchange)
        except CallerDisconnectedError:
            logger.debug(
                "the caller closed the connection before the end of the response"
            )
        except Exception:
            logger.exception(
                "unhandled exception in the request handler of %s", self._name
            )
        if not exchange.is_finished and not exchange.is_caller_disconnected:
            exchange.abort()
        exchange._connection.release_request()
