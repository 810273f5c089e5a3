"""Decoding heartbeats and deregistrations."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.models.announcements import ServerState
from galenadrum_platform.announcements import decode_announcement, decode_deregistration

HEARTBEAT = {
    "Service": "llm",
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Concurrency": 64,
    "State": "ready",
    "WarmupLeftMs": 500,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}


def decode(**changes):
    beat = {**HEARTBEAT, **changes}
    body = {name: value for name, value in beat.items() if value is not ...}
    return decode_announcement("i-1", json.dumps(body).encode())


class TestAnnouncement:
    def test_all_fields(self):
        announcement = decode()
        assert announcement.server_id == "i-1"
        assert announcement.order == (1_700_000_000_000, 4)
        assert announcement.warm_up_s == 0.5
        assert announcement.state is ServerState.READY
        assert announcement.software_version == "v1"

    def test_draining(self):
        assert decode(State="draining").state is ServerState.DRAINING

    def test_missing_start_of_the_incarnation(self):
        assert decode(born=...).incarnation_ms == 0

    @pytest.mark.parametrize(
        "changes",
        [
            {"State": "odd"},
            {"Service": ...},
            {"Address": 7},
            {"Address": "host:80"},
            {"Concurrency": "many"},
            {"Sequence": -1},
            {"born": "then"},
        ],
    )
    def test_missing_or_invalid_field(self, changes):
        assert decode(**changes) is None

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes(self, body):
        assert decode_announcement("i-1", body) is None


class TestDeregistration:
    def test_empty_body(self):
        assert decode_deregistration("i-1", b"").incarnation_ms == 0

    def test_start_of_the_incarnation(self):
        assert decode_deregistration("i-1", b'{"born": 5}').incarnation_ms == 5

    def test_invalid_body(self):
        assert decode_deregistration("i-1", b"[").incarnation_ms == 0
