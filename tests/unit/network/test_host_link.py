"""Ping intervals of host links and detection of unresponsive hosts."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from galenadrum._internal.network import host_link
from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.protocol.gateway_pb2 import (
    LinkFrame,
    LinkHello,
    LinkMessage,
    LinkPong,
)
from lib.paused_loop import run_paused

WARM_UP_S = 5.0


class FakeControlHost:
    """Fake control host that answers hellos and pings until it is frozen."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.frozen = False
        self.ping_times = []
        self.link_down_times = []
        self.connections = 0

    @asynccontextmanager
    async def open(self, address, method, timeout_s):
        self.connections += 1
        self._frames = asyncio.Queue()
        yield self

    async def send(self, frame):
        loop = asyncio.get_running_loop()
        for message in frame.messages:
            if self.frozen:
                continue
            if message.HasField("hello"):
                answer = LinkMessage(hello=LinkHello(host_id="far"))
            else:
                self.ping_times.append(loop.time())
                answer = LinkMessage(pong=LinkPong(token=message.ping.token))
            frame = LinkFrame(messages=[answer])
            loop.call_later(self.delay_s, self._frames.put_nowait, frame)

    async def receive(self):
        return await self._frames.get()


async def start_link(host, monkeypatch, pings_often):
    monkeypatch.setattr(host_link, "open_stream", host.open)
    loop = asyncio.get_running_loop()
    link = HostLink(
        "10.0.0.1:7700",
        LinkHello,
        lambda link, message: None,
        lambda link: None,
        lambda link: host.link_down_times.append(loop.time()),
        random.Random(1),
        pings_often,
    )
    return link, asyncio.ensure_future(link.run())


def measure_detection_s(monkeypatch, pings_often, check=False):
    """Return the seconds from the freeze of the host to the loss of the link."""
    host = FakeControlHost()

    async def run_scenario():
        link, task = await start_link(host, monkeypatch, pings_often)
        await asyncio.sleep(WARM_UP_S)
        host.frozen = True
        frozen_at = asyncio.get_running_loop().time()
        if check:
            link.check()
        await asyncio.sleep(4.0)
        task.cancel()
        return host.link_down_times[0] - frozen_at

    return run_paused(run_scenario())


class TestPingInterval:
    @pytest.mark.parametrize(("pings_often", "interval_s"), [(True, 0.2), (False, 0.8)])
    def test_sends_pings_at_the_configured_interval(
        self, monkeypatch, pings_often, interval_s
    ):
        host = FakeControlHost()

        async def run_scenario():
            _, task = await start_link(host, monkeypatch, pings_often)
            await asyncio.sleep(8.0)
            task.cancel()

        run_paused(run_scenario())
        assert len(host.ping_times) == pytest.approx(8.0 / interval_s, abs=1)

    def test_sends_a_ping_at_once_when_the_interval_is_shortened(self, monkeypatch):
        host = FakeControlHost()

        async def run_scenario():
            link, task = await start_link(host, monkeypatch, pings_often=False)
            await asyncio.sleep(WARM_UP_S + 0.1)
            shortened_at = asyncio.get_running_loop().time()
            link.watch(True)
            await asyncio.sleep(1.0)
            task.cancel()
            return [at - shortened_at for at in host.ping_times if at >= shortened_at]

        ping_delays_s = run_paused(run_scenario())
        assert ping_delays_s[0] == pytest.approx(0.0, abs=0.01)
        assert len(ping_delays_s) >= 5


class TestLossDetection:
    def test_loss_is_detected_within_a_second_with_frequent_pings(self, monkeypatch):
        assert measure_detection_s(monkeypatch, pings_often=True) <= 1.0

    def test_loss_is_detected_within_two_seconds_on_a_reserve_link(self, monkeypatch):
        assert measure_detection_s(monkeypatch, pings_often=False) <= 1.7

    def test_loss_is_detected_within_a_second_after_a_check(self, monkeypatch):
        assert measure_detection_s(monkeypatch, pings_often=False, check=True) <= 0.85

    @pytest.mark.parametrize("pings_often", [True, False])
    def test_late_pongs_do_not_cause_a_reconnect(self, monkeypatch, pings_often):
        host = FakeControlHost(delay_s=0.6)

        async def run_scenario():
            _, task = await start_link(host, monkeypatch, pings_often)
            await asyncio.sleep(20.0)
            task.cancel()

        run_paused(run_scenario())
        assert host.connections == 1
        assert not host.link_down_times
