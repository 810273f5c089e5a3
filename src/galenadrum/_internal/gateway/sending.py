"""What forwarders do alike: limits of a sending, and the end of a failed one."""

from __future__ import annotations

from galenadrum._internal.gateway.answers import Answers
from galenadrum._internal.gateway.attempts import Attempts, RequestContext
from galenadrum._internal.gateway.dialect import ReplyFacts
from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectionPool,
)
from galenadrum._internal.network.http1.heads import ResponseHead, end_to_end
from galenadrum._internal.network.http1.server import Exchange

# A connection within a zone takes a few milliseconds; one that is refused for a
# full queue is tried again by the network after a second, which is too late.
_CONNECT_TIMEOUT_S = 0.4
# A connection that was idle for longer may be closed by its server as the
# request leaves; a request that may not be repeated would be lost with it.
_MAX_IDLE_UNREPEATABLE_S = 0.5
# A request with less time left is not sent: no server could answer it.
UNSENT_MARGIN_S = 0.02


async def connect(
    pool: ConnectionPool, address: str, context: RequestContext, left_s: float
) -> BackendConnection:
    """Return a connection that a request may be sent on.

    Raises:
        ConnectError: None could be made; nothing was sent.
    """
    max_idle_s = None if context.route.may_repeat else _MAX_IDLE_UNREPEATABLE_S
    return await pool.get(address, min(_CONNECT_TIMEOUT_S, left_s), max_idle_s)


def give_up(
    answers: Answers,
    exchange: Exchange,
    context: RequestContext,
    attempts: Attempts,
    reason: str,
    retry_after_s: float,
    now: float,
) -> None:
    """Give the final answer: a refusal only where no server can have run it."""
    detail = f"servers={','.join(sorted(attempts.excluded))}"
    if not attempts.may_have_run:
        answers.refuse(exchange, context.facts, reason, retry_after_s, detail)
        return
    is_late = now >= context.deadline_at - UNSENT_MARGIN_S
    answers.fail(exchange, context.facts, 504 if is_late else 502, reason, detail)


def check_signature(head: ResponseHead, facts: ReplyFacts) -> None:
    """Reject a success that a server didn't sign: it may be anybody's.

    Raises:
        BrokenResponseError: The signature is missing; the request may have run.
    """
    if 200 <= head.status < 300 and not facts.is_signed:
        raise BrokenResponseError(f"status {head.status} without a signature")


def forwarded_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of a server's response that its caller is sent."""
    return [
        (name, value)
        for name, value in end_to_end(head.headers)
        if name.lower() != b"content-length"
    ]
