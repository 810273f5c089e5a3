"""Splits a server-sent event stream at event boundaries."""

from __future__ import annotations

import re

_EVENT_END = b"\n\n"
# Lines may also end with CR LF or CR (WHATWG HTML, section 9.2.5).
_ANY_EVENT_END = re.compile(rb"(?>\r\n|\r|\n)(?>\r\n|\r|\n)")
_LINE_END = re.compile(rb"\r\n|\r|\n")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
# A single event larger than this is passed on in parts; no model sends one as large.
_MAX_BUFFERED_BYTES = 256 * 1024
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventSplitter:
    """Buffers an event stream and returns only complete events.

    Attributes:
        last_event_id: Id of the last complete event with an id; None before any.
        events: Number of complete events so far.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._is_event_divided = False
        self._divided_bytes = 0
        self.last_event_id: bytes | None = None
        self.events = 0
        self._has_returned_part = False

    def begin_response(self) -> None:
        """Discard the incomplete event of an earlier response.

        A response that continues a broken one sends that event again, whole.
        """
        self._buffer = b""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def may_continue(self) -> bool:
        """Whether a response of another server may go on after what was returned.

        It goes on after an event with a known id, or begins anew.
        """
        if self._has_returned_part:
            return False
        return self.events == 0 or self.last_event_id is not None

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and isn't complete.

        Blank lines and comments between events begin none.
        """
        if self._is_event_divided:
            return True
        *lines, unfinished_line = _LINE_END.split(self._buffer)
        return bool(unfinished_line) or any(
            line and not line.startswith(b":") for line in lines
        )

    @property
    def is_event_too_large(self) -> bool:
        """Whether the event that has begun is larger than a complete one may be."""
        return self._divided_bytes > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Append bytes and return the events that are complete now; may be empty."""
        data = self._buffer + data
        end, events = _find_events(data)
        if not end:
            if len(data) > _MAX_BUFFERED_BYTES:
                self._buffer = b""
                self._is_event_divided = True
                self._divided_bytes += len(data)
                self._has_returned_part = True
                return data
            self._buffer = data
            return b""
        complete, self._buffer = data[:end], data[end:]
        self._is_event_divided = False
        self._divided_bytes = 0
        self.events += events
        event_id = _find_last_id(complete)
        if event_id is not None:
            self.last_event_id = event_id
        return complete

    def flush(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        remainder, self._buffer = self._buffer, b""
        return remainder


def _find_events(data: bytes) -> tuple[int, int]:
    """Return the offset after the last complete event and the number of events."""
    if b"\r" not in data:
        end = data.rfind(_EVENT_END)
        return (end + len(_EVENT_END), data.count(_EVENT_END)) if end >= 0 else (0, 0)
    ends = [match.end() for match in _ANY_EVENT_END.finditer(data)]
    return (ends[-1], len(ends)) if ends else (0, 0)


def _find_last_id(events: bytes) -> bytes | None:
    """Return the id of the last event that has one."""
    if b"\r" in events:
        ids = _ID_LINE.findall(events)
        return ids[-1].strip() if ids else None
    start = (b"\n" + events).rfind(b"\nid:")
    if start < 0:
        return None
    return events[start + len(b"id:") : events.find(b"\n", start)].strip()
