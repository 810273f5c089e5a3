"""Pings of links, and how soon a silent host is noticed."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from galenadrum._internal.network import frame_link
from galenadrum._internal.network.frame_link import HostLink
from galenadrum._internal.protocol.gateway_pb2 import (
    LinkFrame,
    LinkHello,
    LinkMessage,
    LinkPong,
)
from lib.paused_loop import run_paused

WARM_S = 5.0


class FarSide:
    """Answers pings as a control host does, until it freezes."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.frozen = False
        self.pings_at = []
        self.down_at = []
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
                self.pings_at.append(loop.time())
                answer = LinkMessage(pong=LinkPong(token=message.ping.token))
            frame = LinkFrame(messages=[answer])
            loop.call_later(self.delay_s, self._frames.put_nowait, frame)

    async def receive(self):
        return await self._frames.get()


async def start(far, monkeypatch, is_close):
    monkeypatch.setattr(frame_link, "open_stream", far.open)
    loop = asyncio.get_running_loop()
    link = HostLink(
        "10.0.0.1:7700",
        LinkHello,
        lambda link, message: None,
        lambda link: None,
        lambda link: far.down_at.append(loop.time()),
        random.Random(1),
        is_close,
    )
    return link, asyncio.ensure_future(link.run())


def noticed_after_s(monkeypatch, is_close, check=False):
    """Return how long after its freeze the far side is given up."""
    far = FarSide()

    async def play():
        link, task = await start(far, monkeypatch, is_close)
        await asyncio.sleep(WARM_S)
        far.frozen = True
        frozen_at = asyncio.get_running_loop().time()
        if check:
            link.check()
        await asyncio.sleep(4.0)
        task.cancel()
        return far.down_at[0] - frozen_at

    return run_paused(play())


class TestPace:
    @pytest.mark.parametrize(("is_close", "interval_s"), [(True, 0.2), (False, 0.8)])
    def test_pings_leave_at_the_pace_of_the_link(
        self, monkeypatch, is_close, interval_s
    ):
        far = FarSide()

        async def play():
            _, task = await start(far, monkeypatch, is_close)
            await asyncio.sleep(8.0)
            task.cancel()

        run_paused(play())
        assert len(far.pings_at) == pytest.approx(8.0 / interval_s, abs=1)

    def test_link_that_becomes_close_is_asked_at_once(self, monkeypatch):
        far = FarSide()

        async def play():
            link, task = await start(far, monkeypatch, is_close=False)
            await asyncio.sleep(WARM_S + 0.1)
            asked_at = asyncio.get_running_loop().time()
            link.watch(True)
            await asyncio.sleep(1.0)
            task.cancel()
            return [at - asked_at for at in far.pings_at if at >= asked_at]

        after_s = run_paused(play())
        assert after_s[0] == pytest.approx(0.0, abs=0.01)
        assert len(after_s) >= 5


class TestSilence:
    def test_frozen_dispatcher_is_noticed_within_a_second(self, monkeypatch):
        assert noticed_after_s(monkeypatch, is_close=True) <= 1.0

    def test_frozen_host_in_reserve_is_noticed_within_two_seconds(self, monkeypatch):
        assert noticed_after_s(monkeypatch, is_close=False) <= 1.7

    def test_host_that_is_checked_is_noticed_within_a_second(self, monkeypatch):
        assert noticed_after_s(monkeypatch, is_close=False, check=True) <= 0.85

    @pytest.mark.parametrize("is_close", [True, False])
    def test_late_pongs_do_not_replace_the_link(self, monkeypatch, is_close):
        far = FarSide(delay_s=0.6)

        async def play():
            _, task = await start(far, monkeypatch, is_close)
            await asyncio.sleep(20.0)
            task.cancel()

        run_paused(play())
        assert far.connections == 1
        assert not far.down_at
