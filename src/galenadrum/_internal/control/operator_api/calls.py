"""Operations of the operator API; they run on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from galenadrum._internal.control.orders.status import ModelStatus
from galenadrum._internal.control.proposer import Log, Proposer
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.revision_confirmations import (
    HostConfirmation,
    RevisionConfirmations,
    RolloutStatus,
)
from galenadrum._internal.models.resources import Kind, Resource
from galenadrum._internal.network.watch_stream import ChangeSignal
from galenadrum._internal.protocol.commands_pb2 import ChangeResult, ChangeSet
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent

GetModelStatus = Callable[[str], ModelStatus | None]

CALL_TIMEOUT_S = 10.0
_LEADER = "leader"
_LEADER_WITHOUT_LEASE = "leader_without_lease"


class OperatorOperations:
    """Reads and changes the control state; call it only on the event loop.

    Args:
        log: The replicated log.
        state: State machine of this member.
        in_force: Revisions that entry hosts have confirmed.
        proposer: Proposes changes while this member is the leader.
        get_model_status: Returns the status of a model on the engines, or None
            if it is unknown.
    """

    def __init__(
        self,
        log: Log,
        state: ControlState,
        in_force: RevisionConfirmations,
        proposer: Proposer,
        get_model_status: GetModelStatus = lambda model: None,
    ) -> None:
        self._log = log
        self._state = state
        self._in_force = in_force
        self._proposer = proposer
        self._get_model_status = get_model_status
        self._change_signal = ChangeSignal()
        self._is_stopping = False
        state.add_listener(self._change_signal.notify)

    async def check(self, change_set: ChangeSet) -> ChangeResult:
        """Validate a change set without applying it."""
        await self._log.read_barrier(CALL_TIMEOUT_S)
        return self._state.check(change_set)

    async def change(self, change_set: ChangeSet) -> ChangeResult:
        """Commit a change set and return its result."""
        result = await self._proposer.propose_change(change_set, CALL_TIMEOUT_S)
        return result.change

    async def remove_member(self, member_id: str) -> None:
        """Remove a control host from the cluster permanently."""
        await self._log.remove_member(member_id, CALL_TIMEOUT_S)

    async def read_resources(
        self, kind: Kind | None, owner: str | None
    ) -> tuple[int, tuple[Resource, ...]]:
        """Return the current revision and its resources.

        Args:
            kind: Kind of the resources; None for all kinds.
            owner: Owner of the resources; None for all owners.
        """
        await self._log.read_barrier(CALL_TIMEOUT_S)
        return self._state.revision, self._state.resources(kind, owner)

    async def hosts(self) -> tuple[HostConfirmation, ...]:
        """Return the latest confirmation of each entry host at this member."""
        return self._in_force.hosts(asyncio.get_running_loop().time())

    async def in_force_by_revision(
        self, revisions: frozenset[int]
    ) -> dict[int, RolloutStatus]:
        """Return the rollout status of each of ``revisions``."""
        now = asyncio.get_running_loop().time()
        return {
            revision: self._in_force.status(revision, now) for revision in revisions
        }

    async def model_statuses(
        self, models: tuple[str, ...]
    ) -> dict[str, ModelStatus | None]:
        """Return the status of each of ``models`` on the engines."""
        return {model: self._get_model_status(model) for model in models}

    def end_watches(self) -> None:
        """End all watches before this member stops."""
        self._is_stopping = True
        self._change_signal.notify()

    async def wait_for_event(self, revision: int, wait_s: float) -> WatchEvent | None:
        """Return the changes after ``revision``, waiting for them if necessary.

        Args:
            revision: Last revision that the watcher has received.
            wait_s: Seconds after which an event without changes is returned as
                a heartbeat.

        Returns:
            The event, or None when the watch has to end.
        """
        if self._state.revision <= revision and not self._is_stopping:
            await self._change_signal.wait(wait_s)
        if self._is_stopping:
            return None
        return self._state.build_event_after(revision)

    async def status(self) -> tuple[Any, str, int]:
        """Return this member's view of the log, its role and its revision.

        An elected leader without a lease can't serve requests as the leader, so
        its role is shown as ``leader_without_lease``.
        """
        log_status = self._log.status
        role = str(log_status.role)
        if role == _LEADER and not self._log.is_leader:
            role = _LEADER_WITHOUT_LEASE
        return log_status, role, self._state.revision
