"""Cuts a stream of events into whole events."""

from __future__ import annotations

_EVENT_END = b"\n\n"
# A single event above this is passed on in parts; none of a model is as large.
_MAX_EVENT_BYTES = 256 * 1024


class EventCutter:
    """Holds back what is not a whole event yet.

    Attributes:
        last_event_id: Of the last whole event; None before one had an id.
        events: Whole events that were taken.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id: bytes | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that they complete."""
        data = (
            self._rest + data.replace(b"\r\n", b"\n")
            if b"\r" in data
            else (self._rest + data)
        )
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > _MAX_EVENT_BYTES:
                self._rest = b""
                return data
            self._rest = data
            return b""
        whole = data[: end + len(_EVENT_END)]
        self._rest = data[end + len(_EVENT_END) :]
        self._note_events(whole)
        return whole

    def _note_events(self, whole: bytes) -> None:
        self.events += whole.count(_EVENT_END)
        start = (b"\n" + whole).rfind(b"\nid:")
        if start >= 0:
            line_end = whole.find(b"\n", start)
            self.last_event_id = whole[start + len(b"id:") : line_end].strip()

    def take_rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest, self._rest = self._rest, b""
        return rest
