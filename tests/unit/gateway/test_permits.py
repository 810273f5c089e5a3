"""Permits for requests to plain servers that name a limit."""

import asyncio

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
            assert await task == Permit(True, 0.2, server_id="s")

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
            assert await client.request_permit("s", 2.0) == Permit(True, 2.0)
            assert await client.request_permit("s", 2.0) == Permit(False, 4.0)

        run_paused(run())
