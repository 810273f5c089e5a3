"""Value types of the limits and rests that backend servers ask for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """The rate of requests that a server accepts from all hosts together.

    Attributes:
        incarnation_ms: Start time of the server process, in Unix milliseconds.
        per_s: Requests per second; None once the server names no limit any more.
        heard_at: Loop time in seconds of the latest response with this limit.
        max_rejections_per_s: Requests that it can reject in a second for want of room
            without falling over; None if it isn't brittle.
    """

    server_id: str
    incarnation_ms: int
    per_s: float | None
    heard_at: float
    max_rejections_per_s: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the server names any limit."""
        return self.per_s is not None or self.max_rejections_per_s is not None


@dataclass(frozen=True, slots=True)
class ServerRest:
    """A rest that a server asked one host for.

    Attributes:
        left_s: Time in seconds until the host may send it a request.
    """

    server_id: str
    left_s: float
