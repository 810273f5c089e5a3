"""Requests on their way between hosts whose clocks differ."""

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
    def cross(self, asked, now):
        data = encode_request(asked, "", 7, now).SerializeToString()
        record = LinkMessage.FromString(data).place
        return RemotePlacementRequest(record).resolve(asked.route, now + CLOCK_OFFSET_S)

    def test_it_arrives_on_the_other_hosts_clock(self):
        asked = request(pieces=(1, 6), now=100.0, is_returning=True)
        arrived = self.cross(asked, 100.25)
        assert arrived.objective_at == pytest.approx(asked.objective_at + 500, abs=2e-3)
        assert arrived.give_up_at == pytest.approx(asked.give_up_at + 500, abs=2e-3)
        same = {"objective_at": 0.0, "give_up_at": 0.0}
        assert replace(arrived, **same) == replace(asked, **same)

    def test_results_arrive_with_the_time_that_is_left_to_them(self):
        results = (StageResults(0, ("10.0.0.1:80/a",), 103.0),)
        asked = request(now=100.0, is_resumed=True, results=results)
        arrived = self.cross(asked, 100.25)
        assert arrived.is_resumed
        assert arrived.results[0].handles == ("10.0.0.1:80/a",)
        assert arrived.results[0].expires_at == pytest.approx(603.0, abs=2e-3)

    def test_expired_results_are_not_given_more_time(self):
        results = (StageResults(0, ("10.0.0.1:80/a",), 99.0),)
        asked = request(now=100.0, is_resumed=True, results=results)
        arrived = self.cross(asked, 100.25)
        assert arrived.results[0].expires_at <= 100.25 + CLOCK_OFFSET_S
