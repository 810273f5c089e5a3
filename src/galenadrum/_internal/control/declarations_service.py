"""gRPC service of a control host for watches and revision confirmations."""

from __future__ import annotations

import asyncio
import math

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.control.proposer import Log
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.revision_confirmations import (
    RevisionConfirmations,
)
from galenadrum._internal.network.leader_redirect import build_redirect_error
from galenadrum._internal.network.watch_stream import (
    MAX_SOURCE_AGE_MS,
    ChangeSignal,
    serve_watch,
)
from galenadrum._internal.protocol.declarations_grpc import DeclarationsBase
from galenadrum._internal.protocol.declarations_pb2 import (
    ConfirmRequest,
    ConfirmResponse,
    WatchEvent,
    WatchRequest,
)

MAX_WATCHES = 512
_MAX_HOSTS_IN_CONFIRMATION = 500


class DeclarationsService(DeclarationsBase):
    """Serves watches on any member and records confirmations on the leader.

    Args:
        log: The replicated log.
        state: State machine of this member.
        in_force: Revisions that entry hosts have confirmed.
        max_watches: Maximum number of watches open at the same time.
    """

    def __init__(
        self,
        log: Log,
        state: ControlState,
        in_force: RevisionConfirmations,
        max_watches: int = MAX_WATCHES,
    ) -> None:
        self._log = log
        self._state = state
        self._in_force = in_force
        self._max_watches = max_watches
        self._open_watch_count = 0
        self._leader_last_known_at = -math.inf
        self._change_signal = ChangeSignal()
        state.add_listener(self._change_signal.notify)

    async def Watch(self, stream: Stream[WatchRequest, WatchEvent]) -> None:  # noqa: N802
        """Stream all changes after the revision in the request."""
        request = await stream.recv_message()
        if request is None:
            return
        if self._open_watch_count >= self._max_watches:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many watches")
        self._open_watch_count += 1
        try:
            await serve_watch(
                stream, request, self._state, self._change_signal, self._source_age_ms
            )
        finally:
            self._open_watch_count -= 1

    async def Confirm(  # noqa: N802
        self, stream: Stream[ConfirmRequest, ConfirmResponse]
    ) -> None:
        """Record the revisions that entry hosts have applied."""
        request = await stream.recv_message()
        if request is None:
            return
        if not self._log.is_leader:
            raise build_redirect_error(self._log.leader_address)
        if len(request.hosts) > _MAX_HOSTS_IN_CONFIRMATION:
            raise GRPCError(Status.INVALID_ARGUMENT, "too many hosts at once")
        now = asyncio.get_running_loop().time()
        for host in request.hosts:
            self._in_force.record_confirmation(
                host.host_id, host.zone, host.revision, now
            )
        await stream.send_message(ConfirmResponse())

    def _source_age_ms(self) -> int:
        """Return the time in milliseconds since this member last knew a leader.

        A partitioned member still serves the state that it has applied; the age
        lets its watchers detect that the state may be stale.
        """
        now = asyncio.get_running_loop().time()
        if self._log.is_leader or self._log.leader_address is not None:
            self._leader_last_known_at = now
        age_ms = (now - self._leader_last_known_at) * 1_000
        return int(min(age_ms, MAX_SOURCE_AGE_MS))
