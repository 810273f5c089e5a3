"""WSGI application for the balancer and the operators of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from typing import Any

from galenadrum._internal.entry.http_responses import (
    StartResponse,
    send_bytes,
    send_json,
)
from galenadrum._internal.network.wsgi_routes import Handler, build_routes


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry host, as returned by ``GET /v1/status``.

    Attributes:
        ready: True if the balancer may send callers to this host.
        reason: Reason why the host is not ready; empty if it is ready.
        revision: Revision of the declarations in use; 0 before the first.
        in_flight: Number of requests that have no final answer yet.
        server_ids: Ids of the backend servers that accept new calls.
    """

    host_id: str
    zone: str
    ready: bool
    reason: str
    revision: int
    in_flight: int
    server_ids: tuple[str, ...]


def build_platform_app(
    read_status: Callable[[], EntryStatus], render_metrics: Callable[[], str]
) -> Handler:
    """Return the WSGI application.

    Args:
        read_status: Returns the status; called in worker threads.
        render_metrics: Returns the metrics as text; called in worker threads.
    """

    def answer_ready(_: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        status = read_status()
        body = {"ready": status.ready, "reason": status.reason}
        return send_json(start, 200 if status.ready else 503, body)

    def answer_alive(_: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        return send_json(start, 200, {"alive": True})

    def answer_status(_: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        return send_json(start, 200, asdict(read_status()))

    def answer_metrics(_: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        text = render_metrics().encode()
        return send_bytes(start, 200, text, (), "text/plain; version=0.0.4")

    return build_routes(
        {
            ("GET", "/readyz"): answer_ready,
            ("GET", "/livez"): answer_alive,
            ("GET", "/v1/status"): answer_status,
            ("GET", "/metrics"): answer_metrics,
        }
    )
