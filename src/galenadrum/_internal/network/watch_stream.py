"""Server side of watches: streams of change events with heartbeats."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.declarations.resource_table import split_event
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent, WatchRequest

HEARTBEAT_INTERVAL_S = 3.0
MAX_SOURCE_AGE_MS = 2**32 - 1
_SEND_TIMEOUT_S = 10.0


class WatchSource(Protocol):
    """Source of the resources of a watch."""

    @property
    def revision(self) -> int: ...

    @property
    def cluster_id(self) -> str: ...

    def build_event_after(self, revision: int) -> WatchEvent: ...


class ChangeSignal:
    """Notifies the watches of a process of a new revision."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Notify all current waiters."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change, at most ``timeout_s`` seconds."""
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
    """Send events and heartbeats until the watcher disconnects.

    Args:
        stream: Stream to the watcher.
        request: Request of the watcher.
        source: Resources to watch.
        signal: Signal of a new revision of ``source``.
        source_age_ms: Returns the age of the resources in milliseconds.

    Raises:
        GRPCError: The watcher belongs to another cluster.
        TimeoutError: The watcher didn't receive an event in time.
    """
    check_cluster(request, source)
    revision = request.from_revision
    while True:
        event = source.build_event_after(revision)
        event.source_age_ms = source_age_ms()
        async with asyncio.timeout(_SEND_TIMEOUT_S):
            for part in split_event(event):
                await stream.send_message(part)
        revision = max(revision, event.revision)
        # Only sending awaits between build_event_after and this check, so a change
        # during sending is noticed here instead of after the next heartbeat.
        if source.revision <= revision:
            await signal.wait(HEARTBEAT_INTERVAL_S)


def check_cluster(request: WatchRequest, source: WatchSource) -> None:
    """Check that a watcher doesn't hold resources of another cluster.

    Raises:
        GRPCError: The cluster differs; the status is ``ABORTED``.
    """
    if request.cluster_id and source.cluster_id not in ("", request.cluster_id):
        raise GRPCError(Status.ABORTED, f"this is cluster {source.cluster_id}")
