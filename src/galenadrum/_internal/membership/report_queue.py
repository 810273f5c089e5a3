"""Queue of load reports and cache events for the routing policy."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from galenadrum._internal.models.servers import Announcement, CacheEvent

_MAX_QUEUED_EVENTS = 512


class ReportQueue:
    """Queues new load reports and cache events until the policy drains them.

    Repeated and late cache events are dropped.
    """

    def __init__(self) -> None:
        self._events_by_id: dict[str, deque[CacheEvent]] = {}
        self._last_position_by_id: dict[str, tuple[int, int]] = {}

    def add_report(
        self, announcement: Announcement, events: Iterable[CacheEvent]
    ) -> tuple[CacheEvent, ...]:
        """Queue a load report with its cache events.

        Returns:
            The cache events that are newer than any queued before.
        """
        self._events_by_id.setdefault(
            announcement.server_id, deque(maxlen=_MAX_QUEUED_EVENTS)
        )
        return self.add_events(announcement, events)

    def add_events(
        self, announcement: Announcement, events: Iterable[CacheEvent]
    ) -> tuple[CacheEvent, ...]:
        """Queue cache events of a server.

        Event sequences start anew with each incarnation of a server. An event
        that arrives after one with a higher sequence is dropped: the policy has
        to expect gaps and treats it as one.

        Returns:
            The cache events that are newer than any queued before.
        """
        server_id = announcement.server_id
        last_position = self._last_position_by_id.get(server_id, (-1, -1))
        new = []
        for event in sorted(events, key=lambda event: event.sequence):
            position = (announcement.incarnation, event.sequence)
            if position > last_position:
                last_position = position
                new.append(event)
        if new:
            self._last_position_by_id[server_id] = last_position
            waiting = self._events_by_id.setdefault(
                server_id, deque(maxlen=_MAX_QUEUED_EVENTS)
            )
            waiting.extend(new)
        return tuple(new)

    def __bool__(self) -> bool:
        return bool(self._events_by_id)

    def drain(self) -> tuple[tuple[str, tuple[CacheEvent, ...]], ...]:
        """Empty the queue.

        Returns:
            A pair for each server that reported: its id and its queued events.
        """
        waiting = self._events_by_id
        self._events_by_id = {}
        return tuple(
            (server_id, tuple(events)) for server_id, events in waiting.items()
        )

    def remove_server(self, server_id: str) -> None:
        """Discard the queued events and the last event position of a server."""
        self._events_by_id.pop(server_id, None)
        self._last_position_by_id.pop(server_id, None)
