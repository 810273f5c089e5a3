"""Serves a watch: events as they happen and heartbeats in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.declarations.table import split_event
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent, WatchRequest

HEARTBEAT_INTERVAL_S = 3.0
MAX_SOURCE_AGE_MS = 2**32 - 1
_SEND_TIMEOUT_S = 10.0


class WatchSource(Protocol):
    """Resources that can be watched."""

    @property
    def revision(self) -> int: ...

    @property
    def cluster_id(self) -> str: ...

    def events_after(self, revision: int) -> WatchEvent: ...


class ChangeSignal:
    """Wakes the watches of one process when its revision changed."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake all that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change, or after ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            pass


async def serve_watch(
    stream: Stream[WatchRequest, WatchEvent],
    request: WatchRequest,
    source: WatchSource,
    signal: ChangeSignal,
    source_age_ms: Callable[[], int],
) -> None:
    """Send events until the watcher leaves or takes nothing for too long.

    Raises:
        GRPCError: The watcher belongs to another cluster.
    """
    check_cluster(request, source)
    revision = request.from_revision
    while True:
        event = source.events_after(revision)
        event.source_age_ms = source_age_ms()
        async with asyncio.timeout(_SEND_TIMEOUT_S):
            for part in split_event(event):
                await stream.send_message(part)
        revision = max(revision, event.revision)
        # No await stands between here and events_after but the sending, so
        # that a change during it is seen at once.
        if source.revision <= revision:
            await signal.wait(HEARTBEAT_INTERVAL_S)


def check_cluster(request: WatchRequest, source: WatchSource) -> None:
    """Refuse a watcher that holds the resources of another cluster.

    Raises:
        GRPCError: With status ``ABORTED``.
    """
    if request.cluster_id and source.cluster_id not in ("", request.cluster_id):
        raise GRPCError(Status.ABORTED, f"this is cluster {source.cluster_id}")
