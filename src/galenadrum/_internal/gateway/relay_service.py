"""Forwards requests of other hosts to backend servers that they can't reach.

A request makes one hop at most: it is sent to the server directly, or not at all. Its
checks, budgets, limits and deadline are those of the host that received it from the
caller.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.directory.server_notices import SentRequest, ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.gateway.forwarding import read_response_head
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectError,
    ConnectionLimitError,
    ConnectionPool,
    Framing,
)
from galenadrum._internal.network.http1.heads import (
    encode_request,
    select_end_to_end_headers,
)
from galenadrum._internal.network.http1.server import (
    CallerDisconnectedError,
    ConnectionLimits,
    Exchange,
)
from galenadrum._internal.network.relayed_connection import (
    CHECK_HEADER,
    OUTCOME_HEADER,
    SENDER_HEADER,
    SERVER_HEADER,
    RelayOutcome,
    remove_relay_headers,
)
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

RELAY_LIMITS = ConnectionLimits(
    max_header_bytes=64 * 1024,
    max_body_bytes=16 * 1024 * 1024,
    # Those of the caller and of the host that it sent the request to.
    max_header_lines=4_160,
)
# Tells the sender that a request was rejected unread, so that it tries another host.
RELAY_SHED_HEADERS = ((OUTCOME_HEADER, RelayOutcome.BUSY.value.encode()),)
# The sender has waited for a connection of its own already.
_CONNECT_TIMEOUT_S = 0.15
_VERIFY_TIMEOUT_S = 0.1
# Limit on the duration of a request, also if its sender names no deadline.
_MAX_FORWARD_S = 120.0
# A server may close a connection that was idle for longer while a request is on its
# way, and the request may not be repeatable.
_MAX_IDLE_S = 0.5


class RelayService:
    """Handles the exchanges of the server that other hosts connect to.

    Attributes:
        is_stopping: Whether new requests are refused.

    Args:
        dialect: Wire formats of backend servers.
        pool: Connections to the backend servers.
        find_server: Returns the directory entry of a server id, None if unknown.
        is_cut_off: Returns whether this host can't reach a server itself.
        verify_cut: Returns whether this host is cut off from a server to which it can't
            connect for the given reason.
        max_requests: Requests that are forwarded at the same time.
        rests: Rests that servers asked this host for.
        notices: Records what responses say of their servers.
        metrics: Counts the requests by outcome.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        find_server: Callable[[str], ServerEntry | None],
        is_cut_off: Callable[[str], bool],
        verify_cut: Callable[[str, str], Awaitable[bool]],
        max_requests: int,
        rests: ServerRests,
        notices: ServerNotices,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._find_server = find_server
        self._is_cut_off = is_cut_off
        self._verify_cut = verify_cut
        self._max_requests = max_requests
        self._rests = rests
        self._notices = notices
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self.is_stopping = False
        self._running = 0
        self._checks: set[asyncio.Future[bool]] = set()
        metrics.register_gauge("relayed_running", lambda: self._running)

    async def handle(self, exchange: Exchange) -> None:
        """Forward one request, or say why it isn't forwarded."""
        server_id = (exchange.head.get(SERVER_HEADER) or b"").decode("latin-1")
        if self.is_stopping:
            self._respond(exchange, RelayOutcome.STOPPING)
            return
        if self._running >= self._max_requests:
            self._respond(exchange, RelayOutcome.BUSY)
            return
        entry = self._find_server(server_id)
        if entry is None or not entry.accepts_requests:
            self._respond(exchange, RelayOutcome.UNKNOWN_SERVER)
            return
        if self._is_cut_off(server_id):
            self._respond(exchange, RelayOutcome.CUT_OFF)
            return
        self._running += 1
        try:
            await self._connect_and_forward(exchange, entry)
        finally:
            self._running -= 1

    async def _connect_and_forward(
        self, exchange: Exchange, entry: ServerEntry
    ) -> None:
        address = entry.announcement.address
        is_check = exchange.head.get(CHECK_HEADER) is not None
        try:
            if is_check:
                await self._pool.open_idle(address, _CONNECT_TIMEOUT_S)
            else:
                connection = await self._pool.get(
                    address,
                    _CONNECT_TIMEOUT_S,
                    _MAX_IDLE_S,
                    self._find_request_id(exchange),
                )
        except ConnectionLimitError:
            self._respond(exchange, RelayOutcome.FULL)
            return
        except ConnectError as error:
            logger.info("server %s can't be reached either: %s", entry.server_id, error)
            is_cut_off = not is_check and await self._verify_soon(entry, str(error))
            outcome = RelayOutcome.CUT_OFF if is_cut_off else RelayOutcome.UNREACHABLE
            self._respond(exchange, outcome)
            return
        if is_check:
            self._respond(exchange, RelayOutcome.REACHABLE)
            return
        task = asyncio.current_task()
        exchange.on_caller_disconnected = task.cancel
        try:
            if exchange.is_caller_disconnected:
                raise CallerDisconnectedError
            reason = self._find_reason_to_hold_back(entry.server_id)
            if reason is not None:
                self._pool.put_unused(connection)
                self._respond(exchange, reason)
                return
            async with asyncio.timeout_at(self._find_end(exchange)):
                await self._forward(exchange, entry, connection)
        except (BrokenResponseError, CallerDisconnectedError, TimeoutError) as error:
            connection.close()
            exchange.abort()
            detail = str(error) or type(error).__name__
            self._record(exchange, entry, f"failed: {detail}", "failed")
        except asyncio.CancelledError:
            connection.close()
            if not exchange.is_caller_disconnected:
                raise
            self._record(exchange, entry, "cancelled by its sender", "cancelled")

    def _find_end(self, exchange: Exchange) -> float:
        """Return the loop time in seconds at which a request ends here.

        Its sender ends it at its deadline, unless the sender has failed silently.
        """
        deadline_s = self._dialect.parse_request_head(exchange.head).deadline_s
        limit_s = _MAX_FORWARD_S if deadline_s is None else deadline_s
        return exchange.received_at + min(limit_s, _MAX_FORWARD_S)

    async def _verify_soon(self, entry: ServerEntry, reason: str) -> bool:
        """Return whether this host is found to be cut off from a server at once.

        A server without power lets every host that is asked wait; the sender doesn't.
        """
        check = asyncio.ensure_future(self._verify_cut(entry.server_id, reason))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        try:
            async with asyncio.timeout(_VERIFY_TIMEOUT_S):
                return await asyncio.shield(check)
        except TimeoutError:
            return False

    async def _forward(
        self, exchange: Exchange, entry: ServerEntry, connection: BackendConnection
    ) -> None:
        head = exchange.head
        data = encode_request(
            head.method, head.target, remove_relay_headers(head.headers)
        )
        sent_at = self._loop.time()
        request_id = self._find_request_id(exchange)
        connection.send(data + exchange.body, head.method == b"HEAD", request_id)
        response, metadata = await read_response_head(connection, self._dialect)
        sent = SentRequest(
            entry.server_id, entry.announcement.incarnation_ms, sent_at, request_id
        )
        self._notices.record_response(sent, metadata, self._loop.time())
        headers = [
            (name, value)
            for name, value in select_end_to_end_headers(response.headers)
            if name.lower() != b"content-length"
        ]
        headers.append((OUTCOME_HEADER, RelayOutcome.FORWARDED.value.encode()))
        if head.method == b"HEAD":
            exchange.respond(response.status, headers, b"")
        else:
            exchange.start(response.status, headers)
            await self._forward_body(exchange, connection)
        detail = f"status {response.status} ({connection.use})"
        self._pool.put(connection)
        self._record(exchange, entry, detail, "complete")

    def _find_reason_to_hold_back(self, server_id: str) -> RelayOutcome | None:
        """Return why a server may be sent nothing since its connection was made."""
        if not self._is_accepting(server_id):
            return RelayOutcome.UNKNOWN_SERVER
        if not self._rests.may_send(server_id, "relay", self._loop.time()):
            return RelayOutcome.RESTING
        return None

    def _is_accepting(self, server_id: str) -> bool:
        entry = self._find_server(server_id)
        return entry is not None and entry.accepts_requests

    def _find_request_id(self, exchange: Exchange) -> str:
        return self._dialect.parse_request_head(exchange.head).request_id

    async def _forward_body(
        self, exchange: Exchange, connection: BackendConnection
    ) -> None:
        size = 0
        while part := await connection.read_part():
            size += len(part)
            await exchange.send(part)
        if not size and connection.framing is Framing.CONNECTION:
            raise BrokenResponseError("the connection ended before the body")
        exchange.finish()

    def _respond(self, exchange: Exchange, outcome: RelayOutcome) -> None:
        self._metrics.increment("relayed_for_others", outcome=outcome.value)
        if not exchange.is_caller_disconnected:
            headers = [(OUTCOME_HEADER, outcome.value.encode())]
            exchange.respond(503, headers, b"")

    def _record(
        self, exchange: Exchange, entry: ServerEntry, detail: str, outcome: str
    ) -> None:
        self._metrics.increment("relayed_for_others", outcome=outcome)
        sender = (exchange.head.get(SENDER_HEADER) or b"").decode("latin-1")
        logger.info(
            "forwarded a request of host %s to server %s: %s",
            sender,
            entry.server_id,
            detail,
            extra={"request_id": self._find_request_id(exchange)},
        )
