"""Announcements whose service no configuration names.

Such an announcement names no server to use yet: it may come before its service is
named, or from another writer. It is held until its service is named.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

from galenadrum._internal.models.announcements import Announcement

# Beyond it, the oldest are dropped; a server announces itself again.
MAX_HELD = 10_000


@dataclass(frozen=True, slots=True)
class HeldAnnouncement:
    """An announcement and the loop time in seconds at which it was received."""

    announcement: Announcement
    received_at: float


class HeldAnnouncements:
    """Latest announcement for each server id and service, in order of receipt."""

    def __init__(self) -> None:
        self._held_by_key: dict[tuple[str, str], HeldAnnouncement] = {}

    def __len__(self) -> int:
        return len(self._held_by_key)

    def __iter__(self) -> Iterator[Announcement]:
        return (held.announcement for held in self._held_by_key.values())

    def hold(self, announcement: Announcement, now: float) -> bool:
        """Hold an announcement unless it is outdated.

        Returns:
            Whether it says something new about its server.
        """
        key = (announcement.server_id, announcement.service)
        known = self._held_by_key.get(key)
        if known is not None and not announcement.supersedes(known.announcement):
            return False
        self._held_by_key.pop(key, None)
        self._held_by_key[key] = HeldAnnouncement(announcement, now)
        if len(self._held_by_key) > MAX_HELD:
            del self._held_by_key[next(iter(self._held_by_key))]
        return known is None or _is_changed(announcement, known.announcement)

    def release(self, services: Collection[str]) -> list[HeldAnnouncement]:
        """Remove and return the announcements of the given services."""
        released = [
            held
            for held in self._held_by_key.values()
            if held.announcement.service in services
        ]
        for held in released:
            announcement = held.announcement
            del self._held_by_key[announcement.server_id, announcement.service]
        return released

    def find_latest(self, server_id: str) -> Announcement | None:
        """Return the announcement of a server id that was received last."""
        found = [a for a in self if a.server_id == server_id]
        return found[-1] if found else None

    def prune(self, received_before: float) -> None:
        """Remove the announcements that were received before a loop time in seconds."""
        for key, held in list(self._held_by_key.items()):
            if held.received_at >= received_before:
                return
            del self._held_by_key[key]


def _is_changed(announcement: Announcement, known: Announcement) -> bool:
    before = replace(known, sequence=0, warm_up_s=0.0)
    return replace(announcement, sequence=0, warm_up_s=0.0) != before
