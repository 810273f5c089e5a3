"""Routing of WSGI requests by method and path."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

logger = logging.getLogger(__name__)

Handler = Callable[[dict[str, Any], Any], Iterable[bytes]]


def build_routes(
    exact: Mapping[tuple[str, str], Handler],
    by_prefix: Mapping[tuple[str, str], Handler] | None = None,
) -> Handler:
    """Create a WSGI application that routes requests to handlers.

    Args:
        exact: Handlers by method and whole path.
        by_prefix: Handlers by method and path prefix, for paths not in
            ``exact``.
    """
    prefixes = dict(by_prefix or {})
    exact_paths = {path for _, path in exact}

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        handler = exact.get((method, path))
        if handler is not None:
            return handler(environ, start_response)
        for (prefix_method, prefix), prefix_handler in prefixes.items():
            if path.startswith(prefix) and len(path) > len(prefix):
                if method == prefix_method:
                    return prefix_handler(environ, start_response)
                return _send_error(
                    start_response, "405 Method Not Allowed", method, path
                )
        if path in exact_paths:
            return _send_error(start_response, "405 Method Not Allowed", method, path)
        return _send_error(start_response, "404 Not Found", method, path)

    return application


def _send_error(
    start_response: Any, status: str, method: str, path: str
) -> Iterable[bytes]:
    code = "method_not_allowed" if status.startswith("405") else "not_found"
    message = f"{method} {path} is not served here"
    body = json.dumps({"error": {"code": code, "message": message, "run": "not_run"}})
    encoded = body.encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(encoded))),
    ]
    start_response(status, headers)
    return [encoded]
