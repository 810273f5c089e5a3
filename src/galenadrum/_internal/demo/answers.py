"""JSON answers of the stand-ins."""

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
    """Answer with a document."""
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
