"""One dispatcher for all zones while it bears the load."""

import asyncio
import random

import pytest

from galenadrum._internal.dispatch.division import RequestRate, is_dispatcher_shared
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.placement_client import PlacementClient
from galenadrum._internal.protocol.gateway_pb2 import LinkMessage, LinkPong
from lib.paused_loop import run_paused
from lib.routing_values import FakeLink, request


class TestRequestRate:
    @pytest.mark.parametrize("rate", [20, 150, 600])
    def test_steady_rate_is_found(self, rate):
        counter = RequestRate()
        for number in range(rate * 40):
            counter.record(number / rate)
        assert counter.per_s(40.0) == pytest.approx(rate, rel=0.05)

    def test_short_burst_changes_it_little(self):
        counter = RequestRate()
        for number in range(150 * 40):
            counter.record(number / 150)
        for number in range(400):
            counter.record(40.0 + number / 400)
        assert counter.per_s(41.0) < 200

    def test_rate_ends_with_the_requests(self):
        counter = RequestRate()
        assert counter.per_s(0.0) == 0.0
        for number in range(400):
            counter.record(number / 100)
        assert counter.per_s(60.0) < 1


class TestDivision:
    """195 hosts with one request a second each need no dispatcher for each zone."""

    def domain_at(self, rate):
        async def run():
            link = FakeLink("first")
            placements = PlacementClient("a", lambda: [link], None, lambda: 7, rate)
            task = asyncio.ensure_future(placements.place(request(pieces=(2,))))
            await asyncio.sleep(0)
            task.cancel()
            (submitted,) = link.placed()
            return submitted.domain

        return run_paused(run())

    @pytest.mark.parametrize(("rate", "domain"), [(158, ""), (255, ""), (900, "a")])
    def test_zones_are_divided_by_load(self, rate, domain):
        assert self.domain_at(lambda: rate) == domain

    def test_load_of_the_design_size_is_divided(self):
        assert not is_dispatcher_shared(3_100)


class TestPublishedRate:
    def test_rates_of_all_linked_hosts_are_added(self):
        async def run():
            links = ControlLinks(
                None, lambda: (), None, lambda *_: None, None, random.Random(1)
            )
            for name, rate in (("10.0.0.1:1", 120), ("10.0.0.2:1", 90)):
                links._add_link(name, 0.0)
                link, task = links._links_by_address[name]
                link.is_up = True
                pong = LinkPong(token=1, dispatched_per_s=rate)
                links._handle_message(link, LinkMessage(pong=pong))
                task.cancel()
            assert links.dispatched_per_s == 210
            links._links_by_address["10.0.0.1:1"][0].is_up = False
            assert links.dispatched_per_s == 90

        run_paused(run())
