"""Encoding of placement requests between hosts whose clocks differ."""

from dataclasses import replace

import pytest

from galenadrum._internal.dispatch.messages import StageResults
from galenadrum._internal.gateway.link_codec import (
    RemotePlacementRequest,
    encode_request,
)
from galenadrum._internal.protocol.gateway_pb2 import LinkMessage
from lib.routing_values import request

CLOCK_OFFSET_S = 500.0


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
