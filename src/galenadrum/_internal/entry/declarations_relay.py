"""Serves an entry host's declarations to the other hosts of its zone."""

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

_MAX_WATCHES = 256


class DeclarationsRelay(DeclarationsBase):
    """Relays events downwards and confirmations upwards.

    Args:
        view: What this host serves from.
        follower: Keeps the view current.
    """

    def __init__(self, view: DeclarationsView, follower: DeclarationsFollower) -> None:
        self._view = view
        self._follower = follower
        self._watch_count = 0

    async def Watch(self, stream: Stream[WatchRequest, WatchEvent]) -> None:  # noqa: N802
        """Send the watcher all that happens after its revision."""
        request = await stream.recv_message()
        if request is None:
            return
        if self._watch_count >= _MAX_WATCHES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watches")
        self._watch_count += 1
        try:
            await serve_watch(
                stream,
                request,
                self._view,
                self._follower.signal,
                self._follower.source_age_ms,
            )
        finally:
            self._watch_count -= 1

    async def Confirm(  # noqa: N802
        self, stream: Stream[ConfirmRequest, ConfirmResponse]
    ) -> None:
        """Take the revisions that other hosts serve from."""
        request = await stream.recv_message()
        if request is None:
            return
        self._follower.gather(request.hosts)
        await stream.send_message(ConfirmResponse())
