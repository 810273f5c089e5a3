"""Splits a server-sent event stream at event boundaries."""

from __future__ import annotations

_EVENT_END = b"\n\n"
# A single event larger than this is passed on in parts; no model sends one as large.
_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Buffers an event stream and returns only complete events.

    Attributes:
        last_event_id: Id of the last complete event with an id; None before any.
        events: Number of complete events so far.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.last_event_id: bytes | None = None
        self.events = 0

    def begin_response(self) -> None:
        """Discard the incomplete event of an earlier response.

        A response that continues a broken one sends that event again, whole.
        """
        self._buffer = b""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Append bytes and return the events that are complete now; may be empty."""
        data = (
            self._buffer + data.replace(b"\r\n", b"\n")
            if b"\r" in data
            else (self._buffer + data)
        )
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > _MAX_EVENT_BYTES:
                self._buffer = b""
                return data
            self._buffer = data
            return b""
        complete = data[: end + len(_EVENT_END)]
        self._buffer = data[end + len(_EVENT_END) :]
        self._record_events(complete)
        return complete

    def _record_events(self, complete: bytes) -> None:
        self.events += complete.count(_EVENT_END)
        start = (b"\n" + complete).rfind(b"\nid:")
        if start >= 0:
            line_end = complete.find(b"\n", start)
            self.last_event_id = complete[start + len(b"id:") : line_end].strip()

    def flush(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        remainder, self._buffer = self._buffer, b""
        return remainder
