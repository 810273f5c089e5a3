"""Requests of callers and recorded responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's HTTP request after parsing and before authentication.

    Attributes:
        key: API key of the caller's organisation, as sent.
        input: Input of the first stage, of any JSON type.
        input_text: The input as canonical JSON.
        stream: True if the output of the last stage is requested as a stream.
        max_output_tokens: Output limit set by the caller, or 0 for none.
        deadline_ms: Time allowed by the caller in milliseconds, or None.
        arrived_at: Loop time in seconds at which the request was received.
    """

    key: str
    pipeline: str
    input: Any
    input_text: str
    stream: bool = False
    max_output_tokens: int = 0
    deadline_ms: int | None = None
    idempotency_key: str | None = None
    traceparent: str | None = None
    arrived_at: float = 0.0


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A response recorded for retries with the same idempotency key.

    Attributes:
        status: HTTP status code.
        body: Encoded JSON body.
    """

    status: int
    body: bytes
