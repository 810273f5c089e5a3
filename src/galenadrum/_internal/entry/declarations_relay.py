"""gRPC service that relays declarations to the other entry hosts of a zone."""

from __future__ import annotations

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.entry.declarations_follower import DeclarationsFollower
from galenadrum._internal.network.watch_stream import serve_watch
from galenadrum._internal.protocol.declarations_grpc import DeclarationsBase
from galenadrum._internal.protocol.declarations_pb2 import (
    ConfirmRequest,
    ConfirmResponse,
    WatchEvent,
    WatchRequest,
)

_MAX_OPEN_WATCHES = 256


class DeclarationsRelay(DeclarationsBase):
    """Relays events to watching hosts and their confirmations to the source.

    Args:
        view: This host's view of the declared resources.
        follower: Keeps the view current and forwards the confirmations.
    """

    def __init__(self, view: DeclarationsView, follower: DeclarationsFollower) -> None:
        self._view = view
        self._follower = follower
        self._open_watch_count = 0

    async def Watch(self, stream: Stream[WatchRequest, WatchEvent]) -> None:  # noqa: N802
        """Stream the changes after the watcher's revision.

        Raises:
            GRPCError: Too many watches are open.
        """
        request = await stream.recv_message()
        if request is None:
            return
        if self._open_watch_count >= _MAX_OPEN_WATCHES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watches")
        self._open_watch_count += 1
        try:
            await serve_watch(
                stream,
                request,
                self._view,
                self._follower.signal,
                self._follower.source_age_ms,
            )
        finally:
            self._open_watch_count -= 1

    async def Confirm(  # noqa: N802
        self, stream: Stream[ConfirmRequest, ConfirmResponse]
    ) -> None:
        """Queue the revisions that other hosts confirm, for forwarding."""
        request = await stream.recv_message()
        if request is None:
            return
        self._follower.add_confirmations(request.hosts)
        await stream.send_message(ConfirmResponse())
