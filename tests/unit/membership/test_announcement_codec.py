import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.membership.announcement_codec import (
    MAX_BODY_BYTES,
    dump_announcement,
    parse_announcement,
)
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)

_COUNTS = st.integers(0, 2**53)
_SECONDS = st.floats(0, 1e6, allow_nan=False)
_TEXTS = st.lists(st.text(max_size=8), max_size=3).map(tuple)
_ANNOUNCEMENTS = st.builds(
    Announcement,
    incarnation=_COUNTS,
    sequence=_COUNTS,
    stages=_TEXTS,
    capacity=_COUNTS,
    ttl_s=_SECONDS,
    state=st.sampled_from(ServerState),
    model_versions=st.lists(st.tuples(st.text(), st.text()), max_size=2).map(tuple),
    adapters=_TEXTS,
    load=st.none() | st.builds(LoadReport, _COUNTS, _COUNTS, _SECONDS),
    cache_events=st.lists(
        st.builds(CacheEvent, _COUNTS, _TEXTS, _TEXTS), max_size=2
    ).map(tuple),
)


def _finding_paths(body):
    with pytest.raises(CheckFailedError) as caught:
        parse_announcement(body)
    return {finding.path for finding in caught.value.findings}


class TestAnnouncementCodec:
    @given(_ANNOUNCEMENTS)
    def test_parsing_a_dumped_announcement_returns_it(self, announcement):
        assert parse_announcement(dump_announcement(announcement)) == announcement

    def test_all_problems_are_reported_together(self):
        body = {
            "server_id": 7,
            "incarnation": -1,
            "sequence": True,
            "zone": "nadi",
            "stages": ["encode", 3],
            "capacity": 1.5,
            "ttl_s": float("inf"),
            "state": "gone",
            "model_versions": [["llm"]],
            "load": {"running": 1, "extra": 1},
            "cache_events": [{"stored": "x"}, 4],
            "colour": "red",
        }
        assert _finding_paths(json.dumps(body).encode()) == {
            "server_id",
            "incarnation",
            "sequence",
            "address",
            "stages[1]",
            "capacity",
            "ttl_s",
            "state",
            "model_versions[0]",
            "load.queued",
            "load.extra",
            "cache_events[0].sequence",
            "cache_events[0].stored",
            "cache_events[1]",
            "colour",
        }

    @given(
        st.binary(max_size=200)
        | st.recursive(st.none() | st.text(), st.lists).map(
            lambda value: json.dumps(value).encode()
        )
    )
    def test_malformed_body_is_reported(self, body):
        assert _finding_paths(body)

    def test_body_that_is_too_large_or_nested_too_deep_is_reported(self):
        assert _finding_paths(b" " * MAX_BODY_BYTES + b"{}") == {""}
        assert _finding_paths(b"[" * 100_000) == {""}
