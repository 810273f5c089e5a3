"""What backend servers say of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ServerState(StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Announcement:
    """One announcement of a backend server.

    Attributes:
        incarnation_ms: Start of this incarnation, in Unix milliseconds by the
            server's clock; it tells two incarnations of one id apart.
        sequence: Rises with each announcement of an incarnation.
        concurrency: Requests that it runs at once.
        warm_up_s: For how much longer it is slow after its start.
    """

    server_id: str
    incarnation_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    concurrency: int
    state: ServerState
    warm_up_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Which of two announcements of one id is newer."""
        return self.incarnation_ms, self.sequence


@dataclass(frozen=True, slots=True)
class Farewell:
    """A backend server's last word: it is about to end.

    Attributes:
        incarnation_ms: 0 where the server did not tell it.
    """

    server_id: str
    incarnation_ms: int
