"""Cutting a stream into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.gateway.event_stream import EventCutter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 6))


class TestCutting:
    def test_part_of_an_event_is_held_back(self):
        cutter = EventCutter()
        assert cutter.feed(b"id: 1\ndata: x") == b""
        assert cutter.feed(b"\n\nid: 2") == b"id: 1\ndata: x\n\n"
        assert cutter.take_rest() == b"id: 2"

    def test_id_is_that_of_the_last_whole_event(self):
        cutter = EventCutter()
        cutter.feed(b"id: 1\ndata: x\n\nid: 2\ndata: y")
        assert cutter.last_event_id == b"1"

    def test_id_inside_data_is_no_id(self):
        cutter = EventCutter()
        cutter.feed(b"id: 7\ndata: the id: 9\n\n")
        assert cutter.last_event_id == b"7"

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_any_split_gives_the_same_bytes(self, cuts):
        cutter = EventCutter()
        places = sorted({0, *cuts, len(STREAM)})
        parts = [STREAM[a:b] for a, b in zip(places, places[1:], strict=False)]
        passed = [cutter.feed(part) for part in parts]
        assert all(not p or p.endswith(b"\n\n") for p in passed)
        assert b"".join(passed) + cutter.take_rest() == STREAM
        assert cutter.last_event_id == b"5"
        assert cutter.events == 5
