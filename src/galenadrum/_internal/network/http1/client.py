"""Asyncio HTTP/1.1 connections to backend servers and a pool of idle ones.

A connection carries one request at a time. Response bodies are read incrementally.

A faulty server may write a response once more where the next one is expected. Responses
name the request by its id, so that a connection carries each request id once: a copy
then never names the request that is read for.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import httptools

from galenadrum._internal.exceptions import GalenadrumError, InvariantError
from galenadrum._internal.network.http1.heads import STATUSES, Headers, ResponseHead
from galenadrum._internal.network.http1.memory_account import MemoryAccount
from galenadrum._internal.network.sockets import count_unacknowledged_bytes
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

# Limit on the idle connections to one backend server.
_MAX_IDLE_PER_ADDRESS = 8
# Backend servers announce their keep-alive timeout in whole seconds. A connection is
# dropped earlier by this margin, because a request sent while the server closes it
# may be reset.
_KEEP_ALIVE_MARGIN_S = 1.0
_DEFAULT_MAX_IDLE_S = 3.0
# A connection is closed after this number of requests, as it remembers their ids.
MAX_REQUESTS = 256
# Reading from the socket pauses while more bytes of a body than this are buffered.
_MAX_UNREAD_BYTES = 256 * 1024
# Limit on the head of a response, and on the bytes between two parts of its body:
# chunk extensions and trailers.
_MAX_HEAD_BYTES = 64 * 1024
_MAX_HEADERS = 256
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Servers may send errors before they have received the request.
_MIN_ERROR_STATUS = 400
_NO_BODY_STATUSES = frozenset({204, 304})
# Responses that are kept until it is known which of them belongs to the request.
_MAX_RESPONSES = 4


class BackendError(GalenadrumError):
    """Base class of errors of calls to backend servers."""


class ConnectError(BackendError):
    """Raised when connecting fails; no part of the request was sent."""


class ConnectionLimitError(ConnectError):
    """Raised when this host may not open another connection to a backend server."""


class ConnectionRefusedByServerError(ConnectError):
    """Raised when the host of a backend server answers that nothing listens there."""


class BrokenResponseError(BackendError):
    """Raised when a response is invalid or incomplete.

    The backend server may have executed the request.
    """


class Framing(Enum):
    """How the end of a response body is marked (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclass(slots=True)
class _Response:
    """A response as far as it was received.

    Attributes:
        headers: Headers before the head is complete.
        unread: Bytes of the body that were received and not read yet.
        has_length: Whether the end of the body is marked in it.
    """

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    head: ResponseHead | None = None
    unread: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    has_length: bool = True


class BackendConnection(asyncio.Protocol):
    """Connection to a backend server.

    A faulty server may write a response to an earlier request before that to the
    current one, so the responses that follow the first are kept as well.

    Attributes:
        address: IP address and port of the backend server.
        number: Number of the connection in this process, for logs.
        request_id: Id of the current request; empty if it has none.
        idle_since: Loop time in seconds at which the last request was completed, or
            the connection was created.
        is_fresh: Whether no request was completed on the connection yet.
        max_idle_s: Idle time in seconds after which the connection isn't reused.
        on_lost: Called once with the address when the connection has ended.
        memory: Limits what the responses of all connections hold; None for no limit.
    """

    _numbers = itertools.count(1)

    def __init__(self, address: str) -> None:
        self.address = address
        self.number = next(self._numbers)
        self.request_id = ""
        self._loop = asyncio.get_running_loop()
        self._request_count = 0
        # Hashes, as callers choose the length of an id.
        self._sent_ids: set[int] = set()
        self._sent_at = 0.0
        self.idle_since = self._loop.time()
        self.is_fresh = True
        self.max_idle_s = _DEFAULT_MAX_IDLE_S
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._responses: deque[_Response] = deque([_Response()])
        self._overhead_bytes = 0
        self._error: str | None = None
        self._end = "open"
        self._is_paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._is_busy = False
        self._is_head_request = False
        self._has_unexpected_data = False
        self.on_lost: Callable[[str], None] | None = None
        self.memory: MemoryAccount | None = None
        self._kept_bytes = 0
        self._held_bytes = 0
        self._is_broken_off = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def eof_received(self) -> None:
        self._end = "closed by the back end"
        head = self._responses[0].head
        if not self._is_busy or head is None or head.status >= _MIN_ERROR_STATUS:
            return
        unreceived_bytes = self._transport.get_write_buffer_size()
        unreceived_bytes += count_unacknowledged_bytes(
            self._transport.get_extra_info("socket")
        )
        if unreceived_bytes:
            self._fail(
                f"the back end ended its response before it received the last "
                f"{unreceived_bytes} bytes of the request"
            )

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._end = str(exc)
        elif self._end == "open":
            self._end = "closed by this host"
        if self._error is None:
            last = self._responses[-1]
            if exc is None and last.head is not None and not last.has_length:
                last.is_complete = True
            self._error = f"the connection ended: {exc or 'closed by the back end'}"
        self._report_loss()
        self._notify_reader()

    def data_received(self, data: bytes) -> None:
        if not self._is_busy:
            # Data that arrives after a complete response belongs to no request.
            self._has_unexpected_data = True
            self.close()
            return
        if self._has_unexpected_data:
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the back end wants another protocol")
        except httptools.HttpParserError as error:
            if self._responses[0].is_complete:
                self._has_unexpected_data = True
            else:
                self._fail(f"the response can't be parsed: {error}")
        is_complete = self._responses[-1].is_complete
        if self._overhead_bytes > _MAX_HEAD_BYTES and not is_complete:
            self._fail(
                f"the response has more than {_MAX_HEAD_BYTES} bytes before the end of "
                f"its head or between two parts of its body"
            )
        self._record_held()
        self._notify_reader()

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        if self._responses[-1].head is None:
            self._responses[-1].headers = []
        elif len(self._responses) < _MAX_RESPONSES:
            self._responses.append(_Response())
        else:
            self._has_unexpected_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self._responses[-1].headers
        if len(headers) < _MAX_HEADERS:
            headers.append((name, value))
        else:
            self._fail(f"the response has more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._has_unexpected_data:
            return
        response = self._responses[-1]
        if status not in STATUSES:
            self._fail(
                f"the response has the status {status:03}, expected one from "
                f"{STATUSES[0]} to {STATUSES[-1]}"
            )
            return
        if status < 200:
            response.headers = []
            return
        self._overhead_bytes = 0
        headers: Headers = tuple(response.headers)
        if sum(len(name) + len(value) for name, value in headers) > _MAX_HEAD_BYTES:
            self._fail(
                f"the head of the response has more than {_MAX_HEAD_BYTES} bytes"
            )
            return
        head = ResponseHead(status, headers, self._parser.should_keep_alive())
        response.has_length = (
            head.get(b"content-length") is not None
            or head.get(b"transfer-encoding") is not None
            or status in _NO_BODY_STATUSES
        )
        response.head = head
        if self._is_head_request:
            response.is_complete = True

    def on_body(self, data: bytes) -> None:
        response = self._responses[-1]
        if self._has_unexpected_data or response.is_complete:
            return
        self._overhead_bytes = 0
        response.unread += data
        unread_bytes = sum(len(response.unread) for response in self._responses)
        if unread_bytes > _MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        response = self._responses[-1]
        if response.head is not None and not self._has_unexpected_data:
            response.is_complete = True

    # Public interface.

    @property
    def framing(self) -> Framing | None:
        """Framing of the current response; None before its head is received."""
        response = self._responses[0]
        if response.head is None:
            return None
        if not response.has_length:
            return Framing.CONNECTION
        if response.head.get(b"transfer-encoding") is not None:
            return Framing.CHUNKS
        return Framing.LENGTH

    @property
    def end(self) -> str:
        """How the connection ended, for logs; ``open`` while it has not."""
        return self._end

    @property
    def use(self) -> str:
        """Which request the connection carries, and how old it is, for logs."""
        age_s = self._loop.time() - self._sent_at
        return (
            f"request {self._request_count} on connection {self.number}, sent "
            f"{age_s:.4f} s ago"
        )

    @property
    def is_relayed(self) -> bool:
        """Whether requests pass another host of the system."""
        return False

    @property
    def has_response(self) -> bool:
        """Whether the head of the current response was received."""
        return self._responses[0].head is not None

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._error is None and not self._has_unexpected_data and not self._is_busy
        )

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with an id was sent on the connection."""
        return hash(request_id) in self._sent_ids

    def send(
        self, data: bytes, is_head_request: bool = False, request_id: str = ""
    ) -> None:
        """Send a complete request.

        Args:
            data: Head and body of the request.
            is_head_request: Whether the method is HEAD, whose response has no body.
            request_id: Id by which the response names the request; empty if it has
                none.

        Raises:
            InvariantError: The connection has carried the id before, so that a copy of
                the earlier response couldn't be told from the response.
        """
        if request_id:
            if self.has_sent(request_id):
                raise InvariantError(
                    f"{self.address}: request {request_id} was sent on connection "
                    f"{self.number} before, expected another connection"
                )
            self._sent_ids.add(hash(request_id))
        self.request_id = request_id
        self._is_busy = True
        self._request_count += 1
        self._sent_at = self._loop.time()
        self._is_head_request = is_head_request
        self._responses = deque([_Response()])
        self._overhead_bytes = 0
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        Raises:
            BrokenResponseError: The response is invalid, or the connection ended
                before it.
        """
        while self._responses[0].head is None:
            if self._error is not None:
                raise BrokenResponseError(f"{self.address}: {self._error}")
            await self._wait_for_event()
        return self._responses[0].head

    async def read_part(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        Raises:
            BrokenResponseError: The response is invalid, or the connection ended
                before the end of the body.
        """
        response = self._responses[0]
        while not response.unread:
            if response.is_complete:
                return b""
            if self._error is not None:
                raise BrokenResponseError(f"{self.address}: {self._error}")
            await self._wait_for_event()
        data, response.unread = bytes(response.unread), bytearray()
        self._record_held()
        self._resume_reading()
        return data

    def record_kept(self, kept_bytes: int) -> None:
        """Record the bytes of the current response that its reader keeps."""
        self._kept_bytes = kept_bytes
        self._record_held()

    def _record_held(self) -> None:
        if self.memory is None or self._is_broken_off:
            return
        unread_bytes = sum(len(response.unread) for response in self._responses)
        held_bytes = self._overhead_bytes + unread_bytes + self._kept_bytes
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self.memory.record_response(self._break_off, held_bytes)

    def _break_off(self, reason: str) -> None:
        """End the connection and drop what was received."""
        self._is_broken_off = True
        self._held_bytes = 0
        for response in self._responses:
            response.unread.clear()
            response.is_complete = False
        self.fail(reason)

    def _resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenResponseError: The body is larger than 8 MiB, or as for `read_part`.
        """
        self._check_length()
        body = bytearray()
        while part := await self.read_part():
            body += part
            if len(body) > _MAX_BODY_BYTES:
                raise BrokenResponseError(
                    f"{self.address}: the body of the response has more than "
                    f"{_MAX_BODY_BYTES} bytes"
                )
            self.record_kept(len(body))
        return bytes(body)

    def _check_length(self) -> None:
        """Reject a body whose head already says that it is too large."""
        head = self._responses[0].head
        if head is None or self._is_head_request:
            return
        length = head.get(b"content-length")
        if length is not None and length.isdigit() and int(length) > _MAX_BODY_BYTES:
            raise BrokenResponseError(
                f"{self.address}: the body of the response has {int(length)} bytes, "
                f"more than the {_MAX_BODY_BYTES} allowed"
            )

    def discard_response(self) -> None:
        """Drop the current response, so that `read_head` waits for the next one.

        Used when the response belongs to a request other than the one sent.
        """
        self._responses.popleft()
        self.record_kept(0)
        if not self._responses:
            self._responses.append(_Response())
            if self._has_unexpected_data:
                self.fail("invalid bytes followed the response to another request")
        self._resume_reading()

    def finish(self) -> None:
        """Mark the current request as completed.

        The connection is closed if it can't be reused.
        """
        self._is_busy = False
        self.is_fresh = False
        self._release_held()
        self.idle_since = self._loop.time()
        response = self._responses[0]
        head = response.head
        if head is None or not head.keep_alive or not response.has_length:
            self.close()
        elif len(self._responses) > 1 or self._request_count >= MAX_REQUESTS:
            # A further response belongs to no request.
            self.close()
        elif self._transport.get_write_buffer_size():
            # The backend server responded before it had read the whole request.
            self.close()
        else:
            self.max_idle_s = _parse_keep_alive_timeout(head)

    def _release_held(self) -> None:
        self._kept_bytes = self._held_bytes = 0
        if self.memory is not None:
            self.memory.record_response(self._break_off, 0)

    def _report_loss(self) -> None:
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost(self.address)

    def close(self) -> None:
        """Abort the connection."""
        self._report_loss()
        if self._error is None:
            self._error = "closed"
        self._release_held()
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """End the connection, so that reading raises an error with the reason."""
        self._fail(reason)
        self._notify_reader()

    def _fail(self, reason: str) -> None:
        if self._error is None:
            self._error = reason
        self._transport.abort()

    async def _wait_for_event(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _parse_keep_alive_timeout(head: ResponseHead) -> float:
    value = head.get(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - _KEEP_ALIVE_MARGIN_S)
    return _DEFAULT_MAX_IDLE_S


class ConnectionPool:
    """Pool of idle connections to backend servers.

    Args:
        on_connected: Called with the address after each new connection.
        connection_class: Class of the connections.
        find_limit: Returns the number of connections to an address that may be open;
            None for any.
        memory: Limits what the responses of all connections hold; None for no limit.
    """

    def __init__(
        self,
        on_connected: Callable[[str], None] | None = None,
        connection_class: type[BackendConnection] = BackendConnection,
        find_limit: Callable[[str], int | None] = lambda address: None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._memory = memory
        self._idle_by_address: dict[str, list[BackendConnection]] = defaultdict(list)
        self._on_connected = on_connected
        self._connection_class = connection_class
        self._find_limit = find_limit
        self._open_by_address: Counter[str] = Counter()
        self._waiters_by_address: dict[str, deque[asyncio.Future[None]]] = {}

    def has_room(self, address: str) -> bool:
        """Return whether a request may be sent to an address now."""
        limit = self._find_limit(address)
        if limit is None or self._open_by_address[address] < limit:
            return True
        return bool(self._idle_by_address.get(address))

    async def wait_for_room(self, address: str, timeout_s: float) -> bool:
        """Wait until a request may be sent to an address.

        Args:
            address: IP address and port of the backend server.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether it may be sent; another request may use the room first.
        """
        if self.has_room(address):
            return True
        waiters = self._waiters_by_address.setdefault(address, deque())
        waiter = asyncio.get_running_loop().create_future()
        waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters_by_address.pop(address, None)
        return True

    def _notify_waiter(self, address: str) -> None:
        waiters = self._waiters_by_address.get(address, deque())
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def get(
        self,
        address: str,
        timeout_s: float,
        max_idle_s: float | None = None,
        request_id: str = "",
    ) -> BackendConnection:
        """Return an idle connection, or open a new one.

        Args:
            address: IP address and port of the backend server.
            timeout_s: Timeout for opening a new connection.
            max_idle_s: Limit on the idle time of a reused connection, in addition to
                the limit of the connection itself.
            request_id: Id of the request to send; connections that carried it are left
                out. Empty if it has none.

        Raises:
            ConnectError: Connecting failed or timed out.
            ConnectionLimitError: All connections that this host may have are in use.
        """
        connection = self._pop_idle(address, max_idle_s, request_id)
        if connection is not None:
            return connection
        limit = self._find_limit(address)
        if limit is not None and self._open_by_address[address] >= limit:
            # One that was idle for too long, or carried the request, gives way.
            if limit == 0 or not self._idle_by_address.get(address):
                raise ConnectionLimitError(
                    f"{address}: all {limit} connections of this host are in use"
                )
            self._idle_by_address[address].pop(0).close()
        return await self._connect(address, timeout_s)

    async def _connect(self, address: str, timeout_s: float) -> BackendConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        connection = self._connection_class(address)
        connection.on_lost = self._count_lost
        connection.memory = self._memory
        self._open_by_address[address] += 1
        is_connected = False
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: connection, host, port)
            is_connected = True
        except ConnectionRefusedError as error:
            raise ConnectionRefusedByServerError(f"{address}: {error}") from error
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"{address}: {error or 'timed out'}") from error
        finally:
            if not is_connected:
                connection.close()
        if self._on_connected is not None:
            self._on_connected(address)
        return connection

    def _count_lost(self, address: str) -> None:
        self._open_by_address[address] -= 1
        if self._open_by_address[address] <= 0:
            del self._open_by_address[address]
        self._notify_waiter(address)

    def _pop_idle(
        self, address: str, max_idle_s: float | None, request_id: str
    ) -> BackendConnection | None:
        idle = self._idle_by_address.get(address, [])
        now = asyncio.get_running_loop().time()
        for connection in reversed(tuple(idle)):
            idle_s = now - connection.idle_since
            if not connection.is_usable or idle_s >= connection.max_idle_s:
                idle.remove(connection)
                connection.close()
                continue
            is_too_old = max_idle_s is not None and idle_s >= max_idle_s
            if not is_too_old and not connection.has_sent(request_id):
                idle.remove(connection)
                return connection
        return None

    def put(self, connection: BackendConnection) -> None:
        """Return a connection to the pool after its response was read completely."""
        connection.finish()
        if connection.is_usable:
            self._keep(connection)
        else:
            connection.close()

    def put_unused(self, connection: BackendConnection) -> None:
        """Return a connection to the pool on which nothing was sent since `get`."""
        if connection.is_usable:
            self._keep(connection)
        else:
            connection.close()

    async def open_idle(self, address: str, timeout_s: float) -> None:
        """Open a connection and keep it idle for a later request.

        Raises:
            ConnectError: As for `get`.
        """
        self._keep(await self._connect(address, timeout_s))

    def _keep(self, connection: BackendConnection) -> None:
        idle = self._idle_by_address[connection.address]
        idle.append(connection)
        if len(idle) > _MAX_IDLE_PER_ADDRESS:
            idle.pop(0).close()
        self._notify_waiter(connection.address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that expired or can't be reused."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_by_address.items()):
            usable = []
            for connection in idle:
                if connection.is_usable and now - connection.idle_since < (
                    connection.max_idle_s
                ):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]
