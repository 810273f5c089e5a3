"""The grpclib service that members offer each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from grpclib.server import Stream

from galenadrum._internal.control.replication import codec
from galenadrum._internal.control.replication.messages import Message
from galenadrum._internal.control.replication.peers import (
    STREAM_ERRORS,
    InboundStream,
)
from galenadrum._internal.protocol import replication_pb2 as pb
from galenadrum._internal.protocol.replication_grpc import ReplicationBase

_INBOUND_IDLE_S = 30.0


class ReplicationService(ReplicationBase):
    """Hands what other members send to the driver.

    Args:
        deliver: Called with each message and the stream for answers.
        closed: Called when a stream has ended.
        join: Answers a member that wants to be added.
    """

    def __init__(
        self,
        deliver: Callable[[Message, InboundStream], None],
        closed: Callable[[InboundStream], None],
        join: Callable[[pb.JoinRequest], pb.JoinResponse],
    ) -> None:
        self._deliver = deliver
        self._closed = closed
        self._join = join

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Take messages until the other member ends the stream."""
        inbound = InboundStream(stream)
        writer = asyncio.create_task(inbound.write())
        try:
            while (frame := await self._receive(stream)) is not None:
                for record in frame.messages:
                    self._deliver(codec.decode_message(record), inbound)
        except STREAM_ERRORS:
            return
        finally:
            writer.cancel()
            self._closed(inbound)

    async def _receive(self, stream: Stream) -> pb.PeerFrame | None:
        async with asyncio.timeout(_INBOUND_IDLE_S):
            return await stream.recv_message()

    async def Join(self, stream: Stream) -> None:  # noqa: N802
        """Answer a member that wants to be added."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._join(request))
