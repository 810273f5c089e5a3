"""HTTP responses of an entry host: statuses, headers and bodies."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable
from typing import Any

from galenadrum._internal.models.requests import Refusal, RefusalReason

StartResponse = Callable[..., Callable[[bytes], object]]

_STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNAUTHORISED: 401,
    RefusalReason.UNKNOWN_PIPELINE: 404,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.TOO_SLOW: 408,
    RefusalReason.NOT_READY: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.OVER_SHARE: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.STAGE_FAILED: 502,
    RefusalReason.CONTROL_UNREACHABLE: 503,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.ALREADY_RUN: 409,
}

_REASON_PHRASE_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def get_refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status code of a refusal."""
    return _STATUS_BY_REASON[refusal.reason]


def build_refusal_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    error: dict[str, Any] = {
        "code": str(refusal.reason),
        "run": str(refusal.run),
        "message": refusal.message,
        "request_id": request_id,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_ms"] = math.ceil(refusal.retry_after_s * 1_000)
    return {"error": error}


def build_refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the additional response headers of a refusal."""
    if refusal.retry_after_s is None:
        return []
    # Retry-After takes whole seconds; rounding down would make the caller retry
    # too early.
    return [("Retry-After", str(math.ceil(refusal.retry_after_s)))]


def send_refusal(
    start_response: StartResponse, refusal: Refusal, request_id: str
) -> Iterable[bytes]:
    """Send a refusal as the response."""
    body = build_refusal_body(refusal, request_id)
    headers = build_refusal_headers(refusal)
    return send_json(start_response, get_refusal_status(refusal), body, headers)


def send_json(
    start_response: StartResponse,
    status: int,
    body: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Send a response with a JSON body."""
    return send_bytes(start_response, status, json.dumps(body).encode(), headers)


def send_bytes(
    start_response: StartResponse,
    status: int,
    body: bytes,
    headers: Iterable[tuple[str, str]] = (),
    content_type: str = "application/json",
) -> Iterable[bytes]:
    """Send a response with an encoded body."""
    all_headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(f"{status} {_REASON_PHRASE_BY_STATUS[status]}", all_headers)
    return [body]


def encode_event(data: Any, name: str | None = None) -> bytes:
    """Encode one server-sent event with JSON data."""
    prefix = f"event: {name}\n" if name else ""
    return f"{prefix}data: {json.dumps(data)}\n\n".encode()
