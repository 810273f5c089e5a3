"""Tests of closing a declarations watch whose stream the server keeps open."""

import asyncio
import contextlib

from grpclib.server import Server

from galenadrum._internal.entry.declarations_follower import open_watch
from galenadrum._internal.protocol.declarations_grpc import DeclarationsBase
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent, WatchRequest

READ_TIMEOUT_S = 20.0


class EndlessWatch(DeclarationsBase):
    """Service that sends one event and keeps the stream open."""

    async def Watch(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(WatchEvent(revision=7))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()

    async def Confirm(self, stream):  # noqa: N802
        raise NotImplementedError


async def read_one_event():
    server = Server([EndlessWatch()])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            async with open_watch(f"127.0.0.1:{port}", WatchRequest()) as events:
                event = await anext(events)
            return event.revision
    finally:
        server.close()


class TestOpenWatch:
    def test_closing_the_reader_does_not_wait_for_the_end_of_the_stream(self):
        assert asyncio.run(read_one_event()) == 7
