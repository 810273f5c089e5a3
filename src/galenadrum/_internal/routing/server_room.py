"""Requests that run at once at brittle servers, counted over all hosts.

Load pattern: a server falls over when it has to reject more than a few requests in a
second for want of room, and many hosts choose it by loads that are old when they
arrive. So one host counts the requests to it, and grants no more than it has slots.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

# Reservations of hosts that don't release them end after this time; requests to plain
# servers end sooner.
_RESERVATION_TTL_S = 10.0
# Time without a rejection after which one more request may run.
_LEARNING_INTERVAL_S = 1.0
# A server may reject this share of the number at which it falls over.
_REJECTION_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class BrittleServer:
    """What is known of a brittle server.

    Attributes:
        slots: Requests that it runs at once.
        max_rejections_per_s: Rejections in a second that it survives.
    """

    slots: int
    max_rejections_per_s: float

    @property
    def rejection_pause_s(self) -> float:
        """Seconds after a rejection in which nothing is sent to it."""
        return 1 / max(_REJECTION_SHARE, _REJECTION_SHARE * self.max_rejections_per_s)


@dataclass(slots=True)
class _Room:
    """Reservations at one server.

    Attributes:
        expires_at_by_key: Loop time in seconds at which each reservation ends.
        closed_until: Loop time in seconds before which none is granted.
        learned_slots: Requests that ran when it rejected another, and one more for each
            second since then; None if it never did.
        learned_at: Loop time in seconds of the last change of these.
    """

    expires_at_by_key: dict[tuple[str, int], float] = field(default_factory=dict)
    closed_until: float = 0.0
    learned_slots: int | None = None
    learned_at: float = 0.0


class ServerRoom:
    """Reservations at brittle servers.

    Args:
        find_brittle: Returns what is known of a server that is brittle, else None.
        share: Returns the share of the slots that this host may use.
    """

    def __init__(
        self,
        find_brittle: Callable[[str], BrittleServer | None],
        share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._find_brittle = find_brittle
        self._share = share
        self._rooms_by_server: dict[str, _Room] = {}

    def is_brittle(self, server_id: str) -> bool:
        """Return whether requests to a server need a reservation."""
        return self._find_brittle(server_id) is not None

    def reserve(self, server_id: str, holder: str, number: int, now: float) -> bool:
        """Reserve a slot of a server; always granted if it isn't brittle.

        Args:
            server_id: Id of the server.
            holder: Id of the host that sends the request.
            number: Number of the reservation, unique for its holder.
            now: Loop time in seconds.
        """
        brittle = self._find_brittle(server_id)
        if brittle is None:
            self._rooms_by_server.pop(server_id, None)
            return True
        room = self._rooms_by_server.setdefault(server_id, _Room())
        expired = [k for k, at in room.expires_at_by_key.items() if now >= at]
        for key in expired:
            del room.expires_at_by_key[key]
        slots = max(1, int(brittle.slots * self._share()))
        if room.learned_slots is not None:
            if now - room.learned_at >= _LEARNING_INTERVAL_S:
                room.learned_slots += 1
                room.learned_at = now
            slots = min(slots, room.learned_slots)
        if now < room.closed_until or len(room.expires_at_by_key) >= slots:
            return False
        room.expires_at_by_key[holder, number] = now + _RESERVATION_TTL_S
        return True

    def release(
        self, server_id: str, holder: str, number: int, is_rejected: bool, now: float
    ) -> None:
        """End a reservation; grant none for a while if the server rejected it."""
        room = self._rooms_by_server.get(server_id)
        brittle = self._find_brittle(server_id)
        if room is None or brittle is None:
            return
        room.expires_at_by_key.pop((holder, number), None)
        if is_rejected:
            room.closed_until = now + brittle.rejection_pause_s
            room.learned_slots = max(1, len(room.expires_at_by_key))
            room.learned_at = now

    def release_all(self, holder: str) -> None:
        """End all reservations of a host whose link is lost."""
        for room in self._rooms_by_server.values():
            for key in [k for k in room.expires_at_by_key if k[0] == holder]:
                del room.expires_at_by_key[key]
