"""Load reports and cache events that wait to be taken by the routing policy."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from galenadrum._internal.models.servers import Announcement, CacheEvent

_MAX_WAITING_EVENTS = 512


class ReportQueue:
    """Holds what servers reported since the policy last asked, without repeats."""

    def __init__(self) -> None:
        self._waiting_by_id: dict[str, deque[CacheEvent]] = {}
        self._last_event_by_id: dict[str, tuple[int, int]] = {}

    def add(
        self, announcement: Announcement, events: Iterable[CacheEvent]
    ) -> tuple[CacheEvent, ...]:
        """Note a new announcement; return those of its events that are new."""
        self._waiting_by_id.setdefault(
            announcement.server_id, deque(maxlen=_MAX_WAITING_EVENTS)
        )
        return self.add_events(announcement, events)

    def add_events(
        self, announcement: Announcement, events: Iterable[CacheEvent]
    ) -> tuple[CacheEvent, ...]:
        """Note cache events and return those that were not known.

        Events of a server count from its start, so a new incarnation begins
        again. An event that comes after a later one is dropped: the policy
        treats it as one of the gaps that it has to expect.
        """
        server_id = announcement.server_id
        last = self._last_event_by_id.get(server_id, (-1, -1))
        new = []
        for event in sorted(events, key=lambda event: event.sequence):
            position = (announcement.incarnation, event.sequence)
            if position > last:
                last = position
                new.append(event)
        if new:
            self._last_event_by_id[server_id] = last
            waiting = self._waiting_by_id.setdefault(
                server_id, deque(maxlen=_MAX_WAITING_EVENTS)
            )
            waiting.extend(new)
        return tuple(new)

    def __bool__(self) -> bool:
        return bool(self._waiting_by_id)

    def drain(self) -> tuple[tuple[str, tuple[CacheEvent, ...]], ...]:
        """Return and forget the ids of servers that reported, with their events."""
        waiting = self._waiting_by_id
        self._waiting_by_id = {}
        return tuple(
            (server_id, tuple(events)) for server_id, events in waiting.items()
        )

    def forget(self, server_id: str) -> None:
        """Drop everything about a server that is gone."""
        self._waiting_by_id.pop(server_id, None)
        self._last_event_by_id.pop(server_id, None)
