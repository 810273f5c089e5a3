"""Splitting an event stream into complete events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.gateway.event_stream import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))


class TestEventSplitter:
    def test_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x") == b""
        assert splitter.feed(b"\n\nid: 2") == b"id: 1\ndata: x\n\n"
        assert splitter.flush() == b"id: 2"

    def test_last_event_id_is_that_of_last_complete_event(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: x\n\nid: 2\ndata: y")
        assert splitter.last_event_id == b"1"

    def test_id_inside_data_is_ignored(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 7\ndata: the id: 9\n\n")
        assert splitter.last_event_id == b"7"

    @pytest.mark.parametrize(
        ("data", "is_inside"),
        [
            (b"", False),
            (b"id: 1\ndata: x\n\n", False),
            (b"id: 1\ndata: x\n\n\n", False),
            (b"id: 1\r\ndata: x\r\n\r\n", False),
            (b"id: 1\ndata: x\n\n: keep-alive\n", False),
            (b"id: 1\ndata: x\n", True),
            (b"id: 1\ndata: x\n\nid", True),
            (b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n", True),
            (b"id: 1\ndata: x\n\n: keep", True),
        ],
    )
    def test_event_without_its_end_is_noticed(self, data, is_inside):
        splitter = EventSplitter()
        splitter.feed(data)
        assert splitter.is_inside_event is is_inside

    def test_large_event_is_passed_on_in_parts_and_not_continued(self):
        splitter = EventSplitter()
        part = b"id: 1\ndata: " + b"x" * 300_000
        assert splitter.feed(part) == part
        assert splitter.is_inside_event
        assert splitter.feed(b"x\n\n") == b"x\n\n"
        assert not splitter.is_inside_event
        assert not splitter.may_continue

    @given(st.sampled_from([b"\r\n", b"\r"]), st.lists(st.integers(0, 150), max_size=8))
    def test_split_line_end_does_not_hold_events_back(self, line_end, cuts):
        # A CR LF that two reads divided kept the event until the end of the stream.
        stream = STREAM.replace(b"\n", line_end)
        splitter = EventSplitter()
        offsets = sorted({0, *cuts, len(stream)})
        parts = [stream[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]
        output = b"".join(splitter.feed(part) for part in parts)
        assert output.rstrip(b"\r\n") == stream.rstrip(b"\r\n")
        assert output + splitter.flush() == stream
        assert splitter.last_event_id == b"5"
        assert splitter.events == 5

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_any_split_gives_the_same_bytes(self, cuts):
        splitter = EventSplitter()
        offsets = sorted({0, *cuts, len(STREAM)})
        parts = [STREAM[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]
        outputs = [splitter.feed(part) for part in parts]
        assert all(not p or p.endswith(b"\n\n") for p in outputs)
        assert b"".join(outputs) + splitter.flush() == STREAM
        assert splitter.last_event_id == b"5"
        assert splitter.events == 5
