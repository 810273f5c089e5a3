"""An HTTP/1.1 server on the event loop.

A request is handed on when its whole body is in. Requests on one connection are
answered in their order; what comes in during an answer waits.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from galenadrum._internal.network.http1.heads import (
    Headers,
    RequestHead,
    encode_response,
)
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_SWEEP_INTERVAL_S = 0.25
_LISTEN_BACKLOG = 1_024
# Requests read ahead on one connection; more stay in the kernel's buffer.
_MAX_PIPELINED = 8
# A connection with unread bytes resets when it is closed; the caller then
# might lose the answer that was sent last.
_LINGER_S = 0.5


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on what one connection may send and how long it may take.

    Attributes:
        body_timeout_s: Longest pause between two parts of a body.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class CallerGoneError(Exception):
    """Raised in a handler that writes after its caller has left."""


class Exchange:
    """One request and the way to answer it.

    Attributes:
        received_at: Loop time at which the first byte came, in seconds.
        is_gone: Whether the caller has closed the connection.
        on_gone: Called once when the caller leaves before the answer's end.
        bytes_sent: Of the answer, its head included.
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
        self.is_gone = False
        self.on_gone: Callable[[], None] | None = None
        self.bytes_sent = 0
        self.is_finished = False
        self._is_chunked = False
        self._keep_alive = head.keep_alive

    def respond(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer."""
        head = [*headers, (b"Content-Length", b"%d" % len(body))]
        payload = b"" if self.head.method == b"HEAD" else body
        self._write(encode_response(status, self._framed(head)) + payload)
        self._finish()

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose length isn't known."""
        if self.head.is_http10:
            self._keep_alive = False
        else:
            self._is_chunked = True
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._write(encode_response(status, self._framed(headers)))

    async def send(self, data: bytes) -> None:
        """Send a part of the answer; waits while the caller reads too slowly.

        Raises:
            CallerGoneError: The caller has closed the connection.
        """
        if self.is_gone:
            raise CallerGoneError
        if data:
            self._write(
                b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data
            )
        await self._connection.writable()

    def finish(self) -> None:
        """End an answer that was started."""
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Break the answer off, so that it can't pass for a whole one."""
        self.is_finished = True
        self._connection.abort()

    def _framed(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        if self._connection.is_closing_after_answer:
            self._keep_alive = False
        if not self._keep_alive:
            return [*headers, (b"Connection", b"close")]
        return headers

    def _write(self, data: bytes) -> None:
        self.bytes_sent += len(data)
        self._connection.write(data)

    def _finish(self) -> None:
        self.is_finished = True
        self._connection.answered(self._keep_alive)


Handler = Callable[[Exchange], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """Parses requests of one connection and runs them one after the other."""

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._message_started_at: float | None = None
        self._last_data_at = self._loop.time()
        self._in_body = False
        self._waiting: list[tuple[RequestHead, bytes, float]] = []
        self._current: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_lost = False
        self._is_rejected = False

    @property
    def is_closing_after_answer(self) -> bool:
        return self._server.is_closing

    @property
    def is_idle(self) -> bool:
        return (
            self._current is None
            and not self._waiting
            and self._message_started_at is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._server.connections.discard(self)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        exchange = self._current
        if exchange is not None and not exchange.is_finished:
            exchange.is_gone = True
            if exchange.on_gone is not None:
                exchange.on_gone()

    def data_received(self, data: bytes) -> None:
        self._last_data_at = self._loop.time()
        if self._is_rejected:
            return
        if not self._in_body:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "protocol upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, _LimitExceeded):
                raise
            self._reject(cause.status, cause.reason)
        except httptools.HttpParserError as error:
            self._reject(400, f"the request can't be parsed: {error}")
        is_in_head = not self._in_body and self._message_started_at is not None
        if is_in_head and self._header_bytes > self._server.limits().max_header_bytes:
            self._reject(431, "the request's head is too large")

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        if self._drained is None or self._drained.done():
            self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._message_started_at = self._last_data_at

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_body = True
        self._header_bytes = 0
        limits = self._server.limits()
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"content-length" and int(value) > limits.max_body_bytes:
                raise _LimitExceeded(413, "the request's body is too large")
            if lowered == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits().max_body_bytes:
            raise _LimitExceeded(413, "the request's body is too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            self._parser.get_http_version() == "1.0",
            self._parser.should_keep_alive(),
        )
        self._waiting.append((head, b"".join(self._body), self._message_started_at))
        self._in_body = False
        self._message_started_at = None
        self._body = []
        if len(self._waiting) >= _MAX_PIPELINED:
            self._transport.pause_reading()
        self._start_next()

    # What the exchange calls.

    def write(self, data: bytes) -> None:
        if not self._is_lost:
            self._transport.write(data)

    async def writable(self) -> None:
        if self._drained is not None and not self._drained.done():
            await asyncio.shield(self._drained)

    def answered(self, keep_alive: bool) -> None:
        self._current = None
        self._last_data_at = self._loop.time()
        if not keep_alive:
            self._close()
            return
        if len(self._waiting) < _MAX_PIPELINED and not self._is_lost:
            self._transport.resume_reading()
        self._loop.call_soon(self._start_next)

    def abort(self) -> None:
        self._current = None
        self._waiting.clear()
        self._transport.abort()

    # Limits.

    def sweep(self, now: float, limits: ConnectionLimits) -> None:
        """Close the connection if its caller is too slow or idle too long."""
        if self._is_rejected or self._current is not None:
            return
        if self._message_started_at is None:
            if not self._waiting and now - self._last_data_at > limits.idle_timeout_s:
                self._close()
        elif self._in_body:
            if now - self._last_data_at > limits.body_timeout_s:
                self._reject(408, "the request's body did not come in time")
        elif now - self._message_started_at > limits.header_timeout_s:
            self._reject(408, "the request's head did not come in time")

    def close_if_idle(self) -> None:
        """Close the connection unless a request is read or answered."""
        if self.is_idle:
            self._close()

    def _start_next(self) -> None:
        if self._current is not None or not self._waiting or self._is_lost:
            return
        head, body, received_at = self._waiting.pop(0)
        self._current = Exchange(self, head, body, received_at)
        self._task = self._loop.create_task(self._server.handle(self._current))

    def _reject(self, status: int, reason: str) -> None:
        if self._is_rejected:
            return
        self._is_rejected = True
        if self._current is not None or self._waiting:
            # Answers that are due go first; the connection ends with them.
            self._waiting.clear()
            self._server.close_after_answer(self)
            return
        body = reason.encode()
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        self._transport.write(encode_response(status, headers) + body)
        logger.info("rejected a request with %d: %s", status, reason)
        self._loop.call_later(_LINGER_S, self._transport.close)

    def _close(self) -> None:
        if not self._is_lost:
            self._transport.close()


class _LimitExceeded(Exception):
    """Raised in a callback of the parser when a request is over a limit."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Http1Server:
    """Listens on an address and hands each request to a handler.

    Args:
        address: IP number and port.
        handler: Answers an exchange; what it raises is logged, and the
            connection is aborted unless the answer was finished.
        limits: Read anew for each request.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        name: str,
    ) -> None:
        self._address = address
        self._handler = handler
        self._name = name
        self.limits = limits
        self.connections: set[_Connection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def run(self) -> None:
        """Serve until cancelled.

        Raises:
            OSError: The address can't be listened on.
        """
        await self.listen()
        try:
            await self._sweep()
        finally:
            self.stop_listening()

    async def listen(self) -> None:
        """Listen; `OSError` if the address can't be listened on."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            host,
            port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )
        logger.info("listening for %s on %s", self._name, self._address)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            limits = self.limits()
            now = loop.time()
            for connection in list(self.connections):
                connection.sweep(now, limits)

    def close_connections_when_idle(self) -> None:
        """Announce the end in every answer and close idle connections."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def busy_count(self) -> int:
        """Number of connections on which a request is read or answered."""
        return sum(not connection.is_idle for connection in self.connections)

    def close_after_answer(self, connection: _Connection) -> None:
        """End a connection once the answer under way on it is sent."""
        exchange = connection._current
        if exchange is not None:
            exchange._keep_alive = False

    async def handle(self, exchange: Exchange) -> None:
        """Run the handler; an answer that it left unfinished is broken off."""
        try:
            await self._handler(exchange)
        except CallerGoneError:
            logger.debug("the caller left during its answer")
        except Exception:
            logger.exception("the handler of %s failed", self._name)
        if not exchange.is_finished and not exchange.is_gone:
            exchange.abort()
