"""JSON responses of the fake backend servers and engines."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any


def send_json(
    start_response: Any,
    body: dict[str, Any],
    headers: Iterable[tuple[str, str]] = (),
    status: str = "200 OK",
) -> Iterable[bytes]:
    """Start a JSON response and return its body."""
    encoded = json.dumps(body).encode()
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(encoded))),
            *headers,
        ],
    )
    return [encoded]
