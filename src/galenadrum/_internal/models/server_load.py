"""Load that a backend server reports in its responses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a backend server at the time of a response.

    Attributes:
        running: Number of requests that run on the server.
        waiting: Number of requests queued on the server.
        slots: Number of requests that the server can run at once.
        work_time_factor: Time that work takes on the server's machine now, divided by
            the normal time; None if not reported.
    """

    running: int
    waiting: int = 0
    slots: int = 0
    work_time_factor: float | None = None
