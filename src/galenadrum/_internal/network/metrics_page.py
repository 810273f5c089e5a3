"""HTTP server for the metrics of a process in text format."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType

from galenadrum._internal.network.http1.memory_account import MemoryAccount
from galenadrum._internal.network.http1.server import (
    PROBE_SHARE,
    ConnectionLimits,
    Exchange,
    Http1Server,
)
from galenadrum._internal.observability.metrics import Metrics

_LIMITS = ConnectionLimits(max_body_bytes=0)
_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


def create_metrics_server(
    address: str,
    metrics: Metrics,
    memory: MemoryAccount,
    pages_by_path: Mapping[str, Callable[[Exchange], None]] = MappingProxyType({}),
) -> Http1Server:
    """Create a server that responds with the metrics, except to paths of other pages.

    Args:
        address: IP address and port to listen on.
        metrics: Metrics of the process.
        memory: Account of the memory that connections hold.
        pages_by_path: Handlers of the other pages.
    """

    async def handle(exchange: Exchange) -> None:
        page = pages_by_path.get(exchange.head.path)
        if page is not None:
            page(exchange)
            return
        exchange.respond(200, [_CONTENT_TYPE], metrics.render_text().encode())

    return Http1Server(
        address, handle, lambda: _LIMITS, "metrics", memory, PROBE_SHARE, sheds=False
    )
