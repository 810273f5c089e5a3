"""Encoding of placement requests between hosts whose clocks differ."""

from dataclasses import replace

import pytest

from galenadrum._internal.dispatch.messages import StageResults
from galenadrum._internal.gateway.link_codec import (
    RemotePlacementRequest,
    decode_announcement,
    decode_crash,
    decode_limit,
    decode_quarantine,
    encode_crash,
    encode_limit,
    encode_quarantine,
    encode_request,
    encode_server_entry,
)
from galenadrum._internal.models.quarantine import QuarantinedPart, ServerCrash
from galenadrum._internal.models.server_limits import ServerLimit
from galenadrum._internal.protocol.gateway_pb2 import LinkMessage
from lib.routing_values import entry, request

CLOCK_OFFSET_S = 500.0


class TestServerEntry:
    def test_software_version_is_kept(self):
        message = encode_server_entry(entry(software_version="v1.1"), 0.0)
        record = LinkMessage.FromString(message.SerializeToString()).server
        assert decode_announcement(record).software_version == "v1.1"


class TestPlacementRequest:
    def transfer(self, original, now):
        data = encode_request(original, "", 7, now).SerializeToString()
        record = LinkMessage.FromString(data).place
        return RemotePlacementRequest(record).resolve(
            original.route, now + CLOCK_OFFSET_S
        )

    def test_times_are_converted_to_the_receivers_clock(self):
        original = request(pieces=(1, 6), now=100.0, is_returning=True)
        decoded = self.transfer(original, 100.25)
        assert decoded.objective_at == pytest.approx(
            original.objective_at + 500, abs=2e-3
        )
        assert decoded.give_up_at == pytest.approx(original.give_up_at + 500, abs=2e-3)
        without_times = {"objective_at": 0.0, "give_up_at": 0.0}
        assert replace(decoded, **without_times) == replace(original, **without_times)

    def test_results_keep_their_remaining_time(self):
        results = (StageResults(0, ("10.0.0.1:80/a",), 103.0),)
        original = request(now=100.0, is_resumed=True, results=results)
        decoded = self.transfer(original, 100.25)
        assert decoded.is_resumed
        assert decoded.results[0].handles == ("10.0.0.1:80/a",)
        assert decoded.results[0].expires_at == pytest.approx(603.0, abs=2e-3)

    def test_expired_results_are_not_extended(self):
        results = (StageResults(0, ("10.0.0.1:80/a",), 99.0),)
        original = request(now=100.0, is_resumed=True, results=results)
        decoded = self.transfer(original, 100.25)
        assert decoded.results[0].expires_at <= 100.25 + CLOCK_OFFSET_S


class TestNewsOfServersAndPrompts:
    def test_crash_keeps_its_age_and_prompts(self):
        crash = ServerCrash("s", 7, 10.0, (("first", "own"), ("other",)))
        record = encode_crash(crash, 10.5).crash
        assert decode_crash(record, 100.5) == replace(crash, broken_at=100.0)

    @pytest.mark.parametrize("is_lifted", [False, True])
    @pytest.mark.parametrize("left_s", [600.0, -5.0])
    def test_quarantine_keeps_the_rest_of_its_term(self, left_s, is_lifted):
        record = QuarantinedPart("part", "host", 2, 10.0 + left_s, 3, is_lifted, 7.0)
        encoded = encode_quarantine(record, 10.0).quarantine
        decoded = decode_quarantine(encoded, 100.0)
        assert decoded == replace(
            record, expires_at=100.0 + left_s, suspected_since=97.0
        )

    @pytest.mark.parametrize("per_s", [1.4, 0.0, None])
    def test_limit_keeps_its_rate_and_age(self, per_s):
        limit = ServerLimit("s", 7, per_s, 9.0)
        record = encode_limit(limit, 10.0).limit
        assert decode_limit(record, 100.0) == replace(limit, heard_at=99.0)
