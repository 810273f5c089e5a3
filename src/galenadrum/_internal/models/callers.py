"""What callers send and what they are answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's HTTP request after parsing, before it was authenticated.

    Attributes:
        key: The key of the caller's organisation, as it was sent.
        input: The input of the first stage, of any JSON type.
        input_text: The input as canonical JSON.
        stream: Whether the caller wants the last stage's output as a stream.
        max_output_tokens: Limit that the caller sets, or 0.
        deadline_ms: Milliseconds that the caller allows, or None.
        arrived: Loop time in seconds at which the request was read.
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
    arrived: float = 0.0


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An answer as it is recorded for later requests with the same key.

    Attributes:
        status: HTTP status.
        body: The JSON body, encoded.
    """

    status: int
    body: bytes
