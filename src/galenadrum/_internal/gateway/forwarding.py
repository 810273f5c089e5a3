"""Helpers common to all forwarders: connections, headers and failed requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.gateway.dialect import Dialect, ResponseMetadata
from galenadrum._internal.gateway.error_responder import ErrorResponder
from galenadrum._internal.gateway.server_paths import PathAttempts, ServerPaths
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
)
from galenadrum._internal.network.http1.heads import (
    ResponseHead,
    select_end_to_end_headers,
)
from galenadrum._internal.network.http1.server import Exchange

logger = logging.getLogger(__name__)

# Connecting takes a few milliseconds within a zone. If the listen queue is full, TCP
# retries only after a second, which is too late.
_CONNECT_TIMEOUT_S = 0.4
# The server may close a connection that was idle for longer while a request is being
# sent; a request that may not be repeated would then be lost.
_MAX_IDLE_NON_REPEATABLE_S = 0.5
# A request with less time before its deadline is not sent: no server could respond.
MIN_SEND_TIME_S = 0.02
# Interval of checks whether a request that hangs may be sent to another server.
_HUNG_CHECK_INTERVAL_S = 0.1


async def connect(
    paths: ServerPaths,
    server_id: str,
    address: str,
    context: RequestContext,
    remaining_s: float,
    attempts: PathAttempts,
) -> BackendConnection:
    """Return a pooled or new connection on which the request may be sent.

    Raises:
        ConnectError: No connection could be made; nothing was sent.
    """
    max_idle_s = None if context.route.is_repeatable else _MAX_IDLE_NON_REPEATABLE_S
    timeout_s = min(_CONNECT_TIMEOUT_S, remaining_s)
    return await paths.connect(server_id, address, timeout_s, max_idle_s, attempts)


@asynccontextmanager
async def limit_wait(
    ends_at: float, hangs_at: float, may_send_elsewhere: Callable[[], bool]
) -> AsyncIterator[None]:
    """Limit the wait for a server, which is shorter if another one can be asked.

    A request that can't be sent again goes on waiting: its server may still respond.
    Time for which this process was suspended doesn't count against the server.

    Args:
        ends_at: Loop time in seconds at which the wait ends.
        hangs_at: Loop time in seconds from which the server counts as hung.
        may_send_elsewhere: Returns whether the request may be sent to another server;
            the wait ends then.

    Raises:
        TimeoutError: The wait has ended.
    """
    loop = asyncio.get_running_loop()
    check: asyncio.TimerHandle | None = None

    def check_hung(due_at: float) -> None:
        late_s = loop.time() - due_at
        if late_s > _HUNG_CHECK_INTERVAL_S:
            schedule_check(loop.time() + late_s)
        elif may_send_elsewhere():
            limit.reschedule(loop.time())
        else:
            schedule_check(loop.time() + _HUNG_CHECK_INTERVAL_S)

    def schedule_check(due_at: float) -> None:
        nonlocal check
        check = loop.call_at(due_at, check_hung, due_at)

    async with asyncio.timeout_at(ends_at) as limit:
        if hangs_at < ends_at:
            schedule_check(max(hangs_at, loop.time()))
        try:
            yield
        finally:
            if check is not None:
                check.cancel()


def send_failure(
    answers: ErrorResponder,
    exchange: Exchange,
    context: RequestContext,
    attempts: Attempts,
    reason: str,
    retry_after_s: float,
    now: float,
) -> None:
    """Respond that a request failed: with a refusal if no server can have run it."""
    detail = f"servers={','.join(sorted(attempts.excluded_ids))}"
    if not attempts.possible_runs:
        answers.refuse_request(
            exchange, context.metadata, reason, retry_after_s, detail
        )
        return
    is_late = now >= context.deadline_at - MIN_SEND_TIME_S
    answers.fail_request(
        exchange, context.metadata, 504 if is_late else 502, reason, detail
    )


def check_signature(head: ResponseHead, metadata: ResponseMetadata) -> None:
    """Reject a success response without a signature, as its sender is unknown.

    Raises:
        BrokenResponseError: The signature is missing; the request may have run.
    """
    if 200 <= head.status < 300 and not metadata.is_signed:
        raise BrokenResponseError(
            f"response with status {head.status} has no server signature"
        )


async def read_response_head(
    connection: BackendConnection, dialect: Dialect
) -> tuple[ResponseHead, ResponseMetadata]:
    """Read the head of the response to the current request of a connection.

    Responses to other requests, which a faulty server writes once more, are discarded.
    The connection has sent the id that is read for only once.

    Raises:
        BrokenResponseError: The response is invalid, or it can't be told to which
            request it belongs; the request may have run.
    """
    while True:
        head = await connection.read_head()
        metadata = dialect.parse_response_head(head)
        if _is_own_response(metadata, connection):
            return head, metadata
        await connection.read_body()
        logger.info(
            "discarded a response of %s with status %d to another request, %s (%s)",
            connection.address,
            head.status,
            metadata.request_id,
            connection.use,
            extra={"request_id": connection.request_id},
        )
        connection.discard_response()


def _is_own_response(metadata: ResponseMetadata, connection: BackendConnection) -> bool:
    """Return whether a response belongs to the current request of its connection.

    Servers name the request in each response, and a connection carries each request id
    once. If a response names none, only the first request on a connection, or the host
    that relays it, can be sure.

    Raises:
        BrokenResponseError: It can't be told; the request may have run.
    """
    if metadata.request_id:
        return metadata.request_id == connection.request_id
    if connection.is_fresh or connection.is_relayed:
        return True
    raise BrokenResponseError(
        f"{connection.address}: a response on a connection that carried other requests "
        f"names no request, expected {connection.request_id}"
    )


def forwarded_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a server's response to forward to the caller."""
    return [
        (name, value)
        for name, value in select_end_to_end_headers(head.headers)
        if name.lower() != b"content-length"
    ]
