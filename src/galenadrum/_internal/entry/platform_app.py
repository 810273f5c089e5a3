"""The WSGI application for the balancer and for operators of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from typing import Any

from galenadrum._internal.entry.answers import StartResponse, send_bytes, send_json
from galenadrum._internal.network.wsgi_routes import Handler, build_routes


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """The state of an entry host.

    Attributes:
        ready: Whether the balancer may send callers here.
        reason: Why it is not ready, or an empty string.
        revision: The revision that it serves from, or 0.
        in_flight: Requests that have no final answer yet.
        server_ids: Backend servers that take new work.
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
    """Return the application.

    Args:
        read_status: Returns the state; called in worker threads.
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
