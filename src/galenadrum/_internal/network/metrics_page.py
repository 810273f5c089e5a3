"""Serves the metrics of a process as text."""

from __future__ import annotations

from galenadrum._internal.network.http1.server import (
    ConnectionLimits,
    Exchange,
    Http1Server,
)
from galenadrum._internal.observability.metrics import Metrics

_LIMITS = ConnectionLimits(max_body_bytes=0)
_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


def metrics_server(address: str, metrics: Metrics) -> Http1Server:
    """Return a server whose every page is the metrics."""

    async def handle(exchange: Exchange) -> None:
        exchange.respond(200, [_CONTENT_TYPE], metrics.render_text().encode())

    return Http1Server(address, handle, lambda: _LIMITS, "metrics")
