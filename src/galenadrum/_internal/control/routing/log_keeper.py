"""Keeps a member of the replicated log running.

A disk that refuses writes or an identity that the cluster no longer accepts ends
the member, not the process: the host goes on with what needs no log, and the
member is opened anew.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from pathlib import Path

from grpclib.server import Stream

from galenadrum._internal.configuration.state import ConfigurationState
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.replication.state import ReplicaOptions
from galenadrum._internal.control.routing.identity import (
    MemberIdentity,
    load_identity,
    renew_identity,
)
from galenadrum._internal.control.routing.member_removal import member_to_remove
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    GalenadrumError,
    LogBusyError,
    MemberRefusedError,
    MembershipError,
    NotLeaderError,
    OutcomeUnknownError,
    StorageError,
)
from galenadrum._internal.models.settings import ControlMember, ControlSettings
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.replication_grpc import ReplicationBase

logger = logging.getLogger(__name__)

_REOPEN_DELAY_S = 1.0
_REVIEW_INTERVAL_S = 1.0
_REMOVE_TIMEOUT_S = 2.0
_STEP_DOWN_TIMEOUT_S = 1.0
# A configuration with thousands of routes, compressed, fits by far.
_MAX_COMMAND_BYTES = 8 * 1024 * 1024
_HEARTBEAT_S = 0.15
_ELECTION_TIMEOUT_S = 0.6
_LEASE_S = 0.5

ROUTING_OPTIONS = ReplicaOptions(
    heartbeat_s=_HEARTBEAT_S,
    election_timeout_s=_ELECTION_TIMEOUT_S,
    lease_s=_LEASE_S,
    max_command_bytes=_MAX_COMMAND_BYTES,
    max_uncommitted_bytes=4 * _MAX_COMMAND_BYTES,
)


class LogKeeper:
    """The member of this host, reopened when it fails.

    Args:
        data_folder: Holds the member's identity and its log.
        peer_address: IP number and port for other hosts.
        founders: As for `load_identity`.
        seeds: Returns peer addresses of members to join through.
        state: Holds what the log replicates; survives the member.
    """

    def __init__(
        self,
        data_folder: Path,
        peer_address: str,
        zone: str,
        founders: tuple[str, ...],
        seeds: Callable[[], tuple[str, ...]],
        state: ConfigurationState,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._data_folder = data_folder
        self._peer_address = peer_address
        self._zone = zone
        self._founders = founders
        self._seeds = seeds
        self._state = state
        self._metrics = metrics
        self._rng = rng
        self._identity: MemberIdentity | None = None
        self.log: ReplicatedLog | None = None

    async def run(self) -> None:
        """Run the member until cancelled."""
        while True:
            try:
                await self._run_member()
            except MemberRefusedError as error:
                logger.warning("the cluster does not accept this member: %s", error)
                self._renew_identity()
            except (GalenadrumError, OSError) as error:
                logger.error("the log is closed and opened anew: %s", error)
                self._metrics.increment("log_reopened")
                await asyncio.sleep(_REOPEN_DELAY_S)

    def _renew_identity(self) -> None:
        try:
            self._identity = renew_identity(
                self._data_folder, self._peer_address, self._identity, self._rng
            )
        except StorageError as error:
            logger.error("the identity could not be renewed: %s", error)

    async def _run_member(self) -> None:
        self._identity = load_identity(
            self._data_folder, self._peer_address, self._founders, self._rng
        )
        log = ReplicatedLog(
            self._settings(self._identity),
            self._state,
            self._rng,
            on_leadership=self._note_leadership,
            options=ROUTING_OPTIONS,
        )
        try:
            await log.start()
            self.log = log
            logger.info("member %s takes part", self._identity.member_id)
            await self._wait_failed(log)
        finally:
            self.log = None
            await log.stop()

    async def _wait_failed(self, log: ReplicatedLog) -> None:
        failed = asyncio.ensure_future(log.wait_failed())
        review = asyncio.ensure_future(self._review_members(log))
        try:
            done, _ = await asyncio.wait(
                {failed, review}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            failed.cancel()
            review.cancel()

    def _settings(self, identity: MemberIdentity) -> ControlSettings:
        seeds = tuple(s for s in self._seeds() if s != self._peer_address)
        return ControlSettings(
            member_id=identity.member_id,
            zone=self._zone,
            data_folder=identity.log_folder(self._data_folder),
            operator_address="",
            peer_address=self._peer_address,
            members=tuple(ControlMember(a, a) for a in identity.founders),
            operators=(),
            join_addresses=() if identity.founders else seeds,
        )

    def _note_leadership(self, term: int, lease_until: float | None) -> None:
        self._metrics.increment(
            "leadership_changes", kind="lost" if lease_until is None else "held"
        )

    async def _review_members(self, log: ReplicatedLog) -> None:
        """Remove members that are lost for good, while this host leads."""
        while True:
            await asyncio.sleep(_REVIEW_INTERVAL_S)
            if not log.is_leader:
                continue
            members = tuple(p.member for p in log.status.members)
            member_id = member_to_remove(members, log.silences_by_id())
            if member_id is not None:
                await self._remove(log, member_id)

    async def _remove(self, log: ReplicatedLog, member_id: str) -> None:
        try:
            await log.remove_member(member_id, _REMOVE_TIMEOUT_S)
        except (
            NotLeaderError,
            MembershipError,
            LogBusyError,
            OutcomeUnknownError,
            ControlUnreachableError,
        ) as error:
            logger.info("member %s is not removed now: %s", member_id, error)
        else:
            logger.warning("member %s was silent for long and is removed", member_id)

    async def step_down(self) -> None:
        """Let another member lead before this host stops."""
        if self.log is not None:
            await self.log.step_down(_STEP_DOWN_TIMEOUT_S)

    def member_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of all members that are known."""
        if self.log is None:
            return ()
        return tuple(p.member.address for p in self.log.status.members)


class CurrentReplication(ReplicationBase):
    """Hands streams to the member that runs now; it may be opened anew."""

    def __init__(self, keeper: LogKeeper) -> None:
        self._keeper = keeper

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Serve a stream of another member until it ends."""
        for service in self._services():
            await service.Exchange(stream)

    async def Join(self, stream: Stream) -> None:  # noqa: N802
        """Answer a host that wants to become a member."""
        for service in self._services():
            await service.Join(stream)

    def _services(self) -> list[ReplicationBase]:
        log = self._keeper.log
        return list(log.services()) if log is not None else []
