"""Responses and errors of the operator API."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.models.findings import Finding

StartResponse = Callable[..., Any]

_JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class ErrorCode(StrEnum):
    """Error codes of the operator API; the value is part of the response."""

    BAD_REQUEST = "bad_request"
    UNAUTHORISED = "unauthorised"
    NOT_OWNER = "not_owner"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    INVALID = "invalid"
    BUSY = "busy"
    NOT_LEADER = "not_leader"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: "400 Bad Request",
    ErrorCode.UNAUTHORISED: "401 Unauthorized",
    ErrorCode.NOT_OWNER: "403 Forbidden",
    ErrorCode.CONFLICT: "409 Conflict",
    ErrorCode.TOO_LARGE: "413 Content Too Large",
    ErrorCode.INVALID: "422 Unprocessable Content",
    ErrorCode.BUSY: "503 Service Unavailable",
    ErrorCode.NOT_LEADER: "503 Service Unavailable",
    ErrorCode.UNAVAILABLE: "503 Service Unavailable",
    ErrorCode.UNKNOWN: "503 Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class ApiError:
    """Error response of the operator API.

    Attributes:
        code: Error code; it also determines the HTTP status.
        message: Description of the error.
        findings: Errors in single fields or parameters of the request.
        current: JSON documents of the stored resources that prevented the
            change.
        leader: Operator API address of the leader, or None if it is unknown.
    """

    code: ErrorCode
    message: str
    findings: tuple[Finding, ...] = ()
    current: tuple[dict[str, Any], ...] = field(default=())
    leader: str | None = None


class ApiRefusedError(GalenadrumError):
    """Raised when a request of an operator is answered with an error.

    Attributes:
        error: Error response to send.
    """

    def __init__(self, error: ApiError) -> None:
        super().__init__(error.message)
        self.error = error


def build_refusal(
    code: ErrorCode, message: str, findings: Sequence[Finding] = ()
) -> ApiRefusedError:
    """Build the exception to raise for a request that can't be served."""
    return ApiRefusedError(ApiError(code, message, tuple(findings)))


def send_json(start_response: StartResponse, document: Any) -> Iterable[bytes]:
    """Send a JSON document with status 200."""
    return _send_document(start_response, "200 OK", document)


def send_text(
    start_response: StartResponse, text: str, content_type: str
) -> Iterable[bytes]:
    """Send text with status 200."""
    body = text.encode()
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response("200 OK", headers)
    return [body]


def send_error(start_response: StartResponse, error: ApiError) -> Iterable[bytes]:
    """Send an error as JSON, with the HTTP status of its code."""
    body: dict[str, Any] = {
        "code": error.code.value,
        "message": error.message,
        "findings": [
            {"path": finding.path, "message": finding.message}
            for finding in error.findings
        ],
        "current": list(error.current),
    }
    if error.code is ErrorCode.NOT_LEADER:
        body["leader"] = error.leader
    return _send_document(start_response, _STATUS_BY_CODE[error.code], {"error": body})


def start_json_lines(start_response: StartResponse) -> None:
    """Start a response of JSON Lines."""
    start_response(
        "200 OK",
        [("Content-Type", "application/jsonl"), ("Cache-Control", "no-store")],
    )


def _send_document(
    start_response: StartResponse, status: str, document: Any
) -> list[bytes]:
    body = json.dumps(document).encode()
    start_response(status, [_JSON_CONTENT_TYPE, ("Content-Length", str(len(body)))])
    return [body]
