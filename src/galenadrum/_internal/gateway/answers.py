"""Answers of the system's own: refusals and failures.

The status tells whether the request ran: 503, 429, 408 and 421 promise that it
did not and will not; 502 and 504 promise nothing.
"""

from __future__ import annotations

import logging
import random

from galenadrum._internal.gateway.dialect import Dialect, RequestFacts
from galenadrum._internal.network.http1.server import Exchange
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

# Callers that are refused together should not come back together.
_RETRY_SPREAD = 0.5


class Answers:
    """Sends answers of the system's own, with a log line for each."""

    def __init__(self, dialect: Dialect, metrics: Metrics, rng: random.Random) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._rng = rng

    def refuse(
        self,
        exchange: Exchange,
        facts: RequestFacts | None,
        reason: str,
        retry_after_s: float,
        detail: str = "",
    ) -> None:
        """Say that the request has not run and when to come back."""
        spread_s = retry_after_s * (1 + _RETRY_SPREAD * self._rng.random())
        headers = [(b"Retry-After", b"%.2f" % spread_s)]
        text = f"not run: {reason}"
        self._send(
            exchange, facts, 503, text, headers, f"{detail} retry={spread_s:.2f}"
        )

    def deny(
        self, exchange: Exchange, facts: RequestFacts | None, status: int, reason: str
    ) -> None:
        """Say that the request is not allowed."""
        self._send(exchange, facts, status, reason, [], "")

    def fail(
        self,
        exchange: Exchange,
        facts: RequestFacts | None,
        status: int,
        reason: str,
        detail: str = "",
    ) -> None:
        """Say that the request was sent and its outcome isn't known."""
        self._send(exchange, facts, status, f"outcome unknown: {reason}", [], detail)

    def _send(
        self,
        exchange: Exchange,
        facts: RequestFacts | None,
        status: int,
        text: str,
        headers: list[tuple[bytes, bytes]],
        detail: str,
    ) -> None:
        self._metrics.increment("own_answers", status=str(status), reason=text[:60])
        logger.info(
            "answered %d to %s: %s %s",
            status,
            facts.request_id if facts else "a request",
            text,
            detail,
            extra={"request_id": facts.request_id if facts else ""},
        )
        if exchange.is_gone or exchange.is_finished:
            return
        if exchange.bytes_sent:
            exchange.abort()
            return
        headers = [
            (b"Content-Type", b"text/plain"),
            *self._dialect.answer_headers(facts),
            *headers,
        ]
        exchange.respond(status, headers, text.encode())
