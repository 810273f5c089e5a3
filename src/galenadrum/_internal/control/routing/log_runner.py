"""Runs the log member of a control host and restarts it after a failure.

A failing disk or an identity that the cluster refuses stops the member, not the
process: the host keeps serving calls that need no log, and the member is restarted.
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
    replace_identity,
)
from galenadrum._internal.control.routing.member_removal import select_member_to_remove
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
_LOST_MEMBER_CHECK_INTERVAL_S = 1.0
_REMOVE_TIMEOUT_S = 2.0
_STEP_DOWN_TIMEOUT_S = 1.0
_LEAVE_TIMEOUT_S = 1.0
# Well above the compressed size of a configuration with thousands of routes.
_MAX_COMMAND_BYTES = 8 * 1024 * 1024
_HEARTBEAT_S = 0.15
_ELECTION_TIMEOUT_S = 0.6
_LEASE_S = 0.5
_NEWCOMER_WAIT_S = 1.0

ROUTING_OPTIONS = ReplicaOptions(
    heartbeat_s=_HEARTBEAT_S,
    election_timeout_s=_ELECTION_TIMEOUT_S,
    lease_s=_LEASE_S,
    newcomer_wait_s=_NEWCOMER_WAIT_S,
    max_command_bytes=_MAX_COMMAND_BYTES,
    max_uncommitted_bytes=4 * _MAX_COMMAND_BYTES,
)


class LogRunner:
    """Runs the log member of this host, restarting it after each failure.

    Args:
        data_folder: Folder of the member's identity and log.
        peer_address: IP address and port at which other hosts reach this one.
        zone: Availability zone of this host.
        founders: As for `load_identity`.
        seeds: Returns peer addresses of members to join through.
        state: Replicated configuration state; kept when the member is restarted.
        metrics: Metrics of this host.
        rng: Random generator; must be seeded differently on each host.

    Attributes:
        log: Running log member; None while there is none.
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
        """Run the member, restarting it when it fails, until cancelled."""
        while True:
            try:
                await self._run_member()
            except MemberRefusedError as error:
                logger.warning(
                    "the cluster refused this member; joining under a new identity: %s",
                    error,
                )
                self._replace_identity()
            except (GalenadrumError, OSError) as error:
                logger.error("replicated log failed; reopening it: %s", error)
                self._metrics.increment("log_reopened")
                await asyncio.sleep(_REOPEN_DELAY_S)

    def _replace_identity(self) -> None:
        try:
            self._identity = replace_identity(
                self._data_folder, self._peer_address, self._identity, self._rng
            )
        except StorageError as error:
            logger.error("could not replace the member identity: %s", error)

    async def _run_member(self) -> None:
        self._identity = load_identity(
            self._data_folder, self._peer_address, self._founders, self._rng
        )
        log = ReplicatedLog(
            self._build_settings(self._identity),
            self._state,
            self._rng,
            on_leadership=self._record_leadership,
            options=ROUTING_OPTIONS,
        )
        try:
            await log.start()
            self.log = log
            logger.info("log member %s started", self._identity.member_id)
            await self._run_until_failed(log)
        finally:
            self.log = None
            await log.stop()

    async def _run_until_failed(self, log: ReplicatedLog) -> None:
        failed = asyncio.ensure_future(log.wait_for_failure())
        removal = asyncio.ensure_future(self._remove_lost_members(log))
        try:
            done, _ = await asyncio.wait(
                {failed, removal}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            failed.cancel()
            removal.cancel()

    def _build_settings(self, identity: MemberIdentity) -> ControlSettings:
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

    def _record_leadership(self, term: int, lease_until: float | None) -> None:
        self._metrics.increment(
            "leadership_changes", kind="lost" if lease_until is None else "held"
        )

    async def _remove_lost_members(self, log: ReplicatedLog) -> None:
        """Remove permanently lost members while this host leads."""
        while True:
            await asyncio.sleep(_LOST_MEMBER_CHECK_INTERVAL_S)
            if not log.is_leader:
                continue
            members = tuple(p.member for p in log.status.members)
            member_id = select_member_to_remove(members, log.silences_by_id())
            if member_id is not None:
                await self._remove_member(log, member_id)

    async def _remove_member(self, log: ReplicatedLog, member_id: str) -> None:
        try:
            await log.remove_member(member_id, _REMOVE_TIMEOUT_S)
        except (
            NotLeaderError,
            MembershipError,
            LogBusyError,
            OutcomeUnknownError,
            ControlUnreachableError,
        ) as error:
            logger.info(
                "could not remove lost member %s; retrying: %s", member_id, error
            )
        else:
            logger.warning("removed member %s: no answer for too long", member_id)

    async def step_down(self) -> None:
        """Hand over leadership and the vote of this host before it stops."""
        log = self.log
        if log is not None:
            await log.step_down(_STEP_DOWN_TIMEOUT_S)
            await log.leave(_LEAVE_TIMEOUT_S)

    def member_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of all known members."""
        if self.log is None:
            return ()
        return tuple(p.member.address for p in self.log.status.members)


class ReplicationProxy(ReplicationBase):
    """Forwards calls to the currently running member, which may be restarted."""

    def __init__(self, runner: LogRunner) -> None:
        self._runner = runner

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Forward a stream of another member until it ends."""
        for service in self._services():
            await service.Exchange(stream)

    async def Join(self, stream: Stream) -> None:  # noqa: N802
        """Forward a join request."""
        for service in self._services():
            await service.Join(stream)

    async def Leave(self, stream: Stream) -> None:  # noqa: N802
        """Forward the request of a member that is about to stop."""
        for service in self._services():
            await service.Leave(stream)

    def _services(self) -> list[ReplicationBase]:
        log = self._runner.log
        return list(log.services()) if log is not None else []
