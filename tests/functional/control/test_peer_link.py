import asyncio
import random

from grpclib.server import Server

from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.peer_streams import PeerLink
from galenadrum._internal.control.replication.service import ReplicationService
from lib.log_cluster import address_of, bind_free_port

_TIMEOUT_S = 60


def vote_request_message():
    return m.Message("a", "disk-a", "b", "disk-b", 1, m.VoteRequest(0, 0))


def send_vote_response(message, inbound):
    inbound.send(m.Message("b", "disk-b", "a", "disk-a", 1, m.VoteResponse(True)))


async def read_until_closed(reader, writer):
    while await reader.read(4096):
        pass
    writer.close()


class TestPeerLink:
    def test_replaces_silent_connection(self):
        async def scenario():
            sock = bind_free_port()
            # This server accepts the first connection but never answers.
            silent = await asyncio.start_server(read_until_closed, sock=sock.dup())
            answered = asyncio.Event()
            link = PeerLink(
                address_of(sock), lambda _: answered.set(), 0.2, random.Random(1)
            )
            running = asyncio.create_task(link.run())
            for _ in range(20):
                link.send(vote_request_message())
                await asyncio.sleep(0.02)
            silent.close()
            service = ReplicationService(
                send_vote_response, lambda _: None, lambda _: None, lambda _: None
            )
            server = Server([service])
            await server.start(sock=sock.dup())
            while not answered.is_set():
                link.send(vote_request_message())
                await asyncio.sleep(0.02)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            server.close()
            await server.wait_closed()
            sock.close()

        asyncio.run(asyncio.wait_for(scenario(), _TIMEOUT_S))

    def test_infrequent_requests_reach_restarted_member(self):
        async def scenario():
            sock = bind_free_port()
            answered = asyncio.Event()
            link = PeerLink(
                address_of(sock), lambda _: answered.set(), 0.1, random.Random(1)
            )
            running = asyncio.create_task(link.run())
            for _ in range(3):
                link.send(vote_request_message())
                await asyncio.sleep(0.3)
            service = ReplicationService(
                send_vote_response, lambda _: None, lambda _: None, lambda _: None
            )
            server = Server([service])
            await server.start(sock=sock.dup())
            # The interval exceeds the silence timeout after which a connection is
            # replaced.
            while not answered.is_set():
                link.send(vote_request_message())
                await asyncio.sleep(0.3)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            server.close()
            await server.wait_closed()
            sock.close()

        asyncio.run(asyncio.wait_for(scenario(), _TIMEOUT_S))
