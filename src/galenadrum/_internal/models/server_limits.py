"""Value types of the limits that backend servers name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """The rate of requests that a server accepts from all hosts together.

    Attributes:
        incarnation_ms: Start time of the server process, in Unix milliseconds.
        per_s: Requests per second; None once the server names no limit any more.
        heard_at: Loop time in seconds of the latest response with this limit.
    """

    server_id: str
    incarnation_ms: int
    per_s: float | None
    heard_at: float
