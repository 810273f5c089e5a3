"""gRPC service that the members of the replicated log call on each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from grpclib.server import Stream

from galenadrum._internal.control.replication import codec
from galenadrum._internal.control.replication.messages import Message
from galenadrum._internal.control.replication.peer_streams import (
    STREAM_ERRORS,
    InboundStream,
)
from galenadrum._internal.protocol import replication_pb2 as pb
from galenadrum._internal.protocol.replication_grpc import ReplicationBase

_INBOUND_IDLE_TIMEOUT_S = 30.0


class ReplicationService(ReplicationBase):
    """Passes messages and requests to join or leave to the driver.

    Args:
        on_message: Called with each message and the stream for its answer.
        on_stream_closed: Called with each stream that has ended.
        handle_join_request: Called with each join request; returns the response.
        handle_leave_request: The same for requests of members that stop.
    """

    def __init__(
        self,
        on_message: Callable[[Message, InboundStream], None],
        on_stream_closed: Callable[[InboundStream], None],
        handle_join_request: Callable[[pb.JoinRequest], pb.JoinResponse],
        handle_leave_request: Callable[[pb.LeaveRequest], pb.LeaveResponse],
    ) -> None:
        self._on_message = on_message
        self._on_stream_closed = on_stream_closed
        self._handle_join_request = handle_join_request
        self._handle_leave_request = handle_leave_request

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Receive messages until the other member ends the stream."""
        inbound = InboundStream(stream)
        writer = asyncio.create_task(inbound.write())
        try:
            while (frame := await self._receive_frame(stream)) is not None:
                for record in frame.messages:
                    self._on_message(codec.decode_message(record), inbound)
        except STREAM_ERRORS:
            return
        finally:
            writer.cancel()
            self._on_stream_closed(inbound)

    async def _receive_frame(self, stream: Stream) -> pb.PeerFrame | None:
        async with asyncio.timeout(_INBOUND_IDLE_TIMEOUT_S):
            return await stream.recv_message()

    async def Join(self, stream: Stream) -> None:  # noqa: N802
        """Answer the join request of a member."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._handle_join_request(request))

    async def Leave(self, stream: Stream) -> None:  # noqa: N802
        """Answer the request of a member that is about to stop."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._handle_leave_request(request))
