"""Permits for requests to plain servers that name a limit."""

import asyncio
from dataclasses import replace

import pytest

from galenadrum._internal.gateway.permits import Permit, PermitClient
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.server_room import ServerRoom
from lib.paused_loop import run_paused


class FakeLink:
    """Link to a control host that records the requests for permits."""

    address = "10.0.0.1:80"
    peer = None

    def __init__(self):
        self.requests = []

    def send(self, message):
        self.requests.append(message.permit_request)


def build_client(link):
    room = ServerRoom(lambda server_id: None)
    return PermitClient(lambda: link, RequestPacer(lambda server_id: 0.5), room)


class TestPermit:
    def test_control_host_grants_a_permit(self):
        async def run():
            link = FakeLink()
            client = build_client(link)
            task = asyncio.ensure_future(client.request_permit("s", 0.3))
            await asyncio.sleep(0)
            (request,) = link.requests
            assert (request.server_id, request.max_wait_ms) == ("s", 300)
            answer = pb.Permit(number=request.number, is_granted=True, wait_ms=200)
            client.handle_permit(link, answer)
            permit = await task
            assert replace(permit, usable_until=0.0) == Permit(
                True, 0.2, server_id="s", usable_until=0.0
            )

        run_paused(run())

    def test_silent_control_host_is_not_waited_for(self):
        async def run():
            client = build_client(FakeLink())
            started_at = asyncio.get_running_loop().time()
            permit = await client.request_permit("s", 5.0)
            assert not permit.is_granted
            elapsed_s = asyncio.get_running_loop().time() - started_at
            assert elapsed_s == pytest.approx(0.1, abs=0.01)

        run_paused(run())

    def test_late_answer_is_ignored(self):
        async def run():
            link = FakeLink()
            client = build_client(link)
            await client.request_permit("s", 5.0)
            number = link.requests[0].number
            client.handle_permit(link, pb.Permit(number=number, is_granted=True))

        run_paused(run())

    def test_host_without_links_uses_its_share(self):
        async def run():
            client = build_client(None)
            assert await client.request_permit("s", 1.0) == Permit(False, 2.0)
            permit = await client.request_permit("s", 2.0)
            assert replace(permit, usable_until=0.0) == Permit(
                True, 2.0, usable_until=0.0
            )
            assert await client.request_permit("s", 2.0) == Permit(False, 4.0)

        run_paused(run())


class TestSuspendedHost:
    """A process that is suspended must not use what it was permitted before."""

    def request(self, advance_s, wait_s=0.0):
        """Return a permit whose answer came just before the host was suspended."""

        async def run():
            link = FakeLink()
            client = build_client(link)
            task = asyncio.ensure_future(client.request_permit("s", 5.0))
            await asyncio.sleep(0)
            answer = pb.Permit(
                number=link.requests[0].number,
                is_granted=True,
                wait_ms=int(wait_s * 1_000),
            )
            client.handle_permit(link, answer)
            asyncio.get_running_loop().advance(advance_s)
            return client, await task

        return run()

    def test_permit_is_refused_if_the_host_wakes_after_its_term(self):
        async def run():
            _, permit = await self.request(3.0)
            assert not permit.is_granted

        run_paused(run())

    def test_permit_holds_for_a_host_that_is_only_busy(self):
        async def run():
            client, permit = await self.request(0.05)
            assert permit.is_granted
            assert not client.release_expired(permit)

        run_paused(run())

    def test_permit_runs_out_while_the_host_waits_for_its_turn(self):
        async def run():
            client, permit = await self.request(0.0, wait_s=1.0)
            assert permit.is_granted
            asyncio.get_running_loop().advance(1.0)
            assert not client.release_expired(permit)
            asyncio.get_running_loop().advance(2.0)
            assert client.release_expired(permit)

        run_paused(run())
