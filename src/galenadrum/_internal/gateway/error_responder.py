"""Error responses that the entry host generates itself.

The status tells whether the request ran: 503, 429, 408 and 421 guarantee that it
did not and will not run; 502 and 504 guarantee nothing.
"""

from __future__ import annotations

import logging
import random

from galenadrum._internal.gateway.dialect import Dialect, RequestMetadata
from galenadrum._internal.network.http1.server import Exchange
from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

# Largest random share added to Retry-After, so that callers that are refused at the
# same time do not retry at the same time.
_RETRY_AFTER_JITTER_SHARE = 0.5


class ErrorResponder:
    """Sends and logs the error responses that the host generates itself."""

    def __init__(self, dialect: Dialect, metrics: Metrics, rng: random.Random) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._rng = rng

    def refuse_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata | None,
        reason: str,
        retry_after_s: float,
        detail: str = "",
    ) -> None:
        """Respond 503: the request has not run; set Retry-After with jitter."""
        jittered_s = retry_after_s * (
            1 + _RETRY_AFTER_JITTER_SHARE * self._rng.random()
        )
        headers = [(b"Retry-After", b"%.2f" % jittered_s)]
        text = f"not run: {reason}"
        exchange.own_reason = reason
        self._send(
            exchange, metadata, 503, text, headers, f"{detail} retry={jittered_s:.2f}"
        )

    def deny_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata | None,
        status: int,
        reason: str,
    ) -> None:
        """Respond that the request is not allowed, with the given status."""
        exchange.own_reason = reason
        self._send(exchange, metadata, status, reason, [], "")

    def fail_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata | None,
        status: int,
        reason: str,
        detail: str = "",
    ) -> None:
        """Respond that the request was sent and its outcome is unknown."""
        exchange.own_reason = reason
        self._send(exchange, metadata, status, f"outcome unknown: {reason}", [], detail)

    def _send(
        self,
        exchange: Exchange,
        metadata: RequestMetadata | None,
        status: int,
        text: str,
        headers: list[tuple[bytes, bytes]],
        detail: str,
    ) -> None:
        self._metrics.increment("own_answers", status=str(status), reason=text[:60])
        logger.info(
            "responded with status %d to %s: %s %s",
            status,
            metadata.request_id if metadata else "a request",
            text,
            detail,
            extra={"request_id": metadata.request_id if metadata else ""},
        )
        if exchange.is_caller_disconnected or exchange.is_finished:
            return
        if exchange.bytes_sent:
            exchange.abort()
            return
        headers = [
            (b"Content-Type", b"text/plain"),
            *self._dialect.own_response_headers(metadata),
            *headers,
        ]
        exchange.respond(status, headers, text.encode())
