"""Operators' calls as they run on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from galenadrum._internal.control.orders.status import ModelStatus
from galenadrum._internal.control.proposals import Log, Proposer
from galenadrum._internal.control.state.in_force import (
    HostStatus,
    InForce,
    InForceStatus,
)
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.models.resources import Kind, Resource
from galenadrum._internal.network.watch_stream import ChangeSignal
from galenadrum._internal.protocol.commands_pb2 import ChangeResult, ChangeSet
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent

ModelStatusOf = Callable[[str], ModelStatus | None]

CALL_TIMEOUT_S = 10.0
_LEADER = "leader"
_LEADER_WITHOUT_LEASE = "leader_without_lease"


class OperatorCalls:
    """Reads and changes the state; all methods belong to the loop.

    Args:
        log: The replicated log.
        state: The state of this member.
        in_force: Confirmations of entry hosts.
        proposer: Proposes changes while this member leads.
        model_status_of: Returns how the engines run a model, when it is known.
    """

    def __init__(
        self,
        log: Log,
        state: ControlState,
        in_force: InForce,
        proposer: Proposer,
        model_status_of: ModelStatusOf = lambda model: None,
    ) -> None:
        self._log = log
        self._state = state
        self._in_force = in_force
        self._proposer = proposer
        self._model_status_of = model_status_of
        self._signal = ChangeSignal()
        self._is_closing = False
        state.add_listener(self._signal.set)

    async def check(self, change_set: ChangeSet) -> ChangeResult:
        """Say what would become of a change."""
        await self._log.read_barrier(CALL_TIMEOUT_S)
        return self._state.check(change_set)

    async def change(self, change_set: ChangeSet) -> ChangeResult:
        """Carry out a change."""
        result = await self._proposer.propose_change(change_set, CALL_TIMEOUT_S)
        return result.change

    async def remove_member(self, member_id: str) -> None:
        """Remove a control host for good."""
        await self._log.remove_member(member_id, CALL_TIMEOUT_S)

    async def read(
        self, kind: Kind | None, owner: str | None
    ) -> tuple[int, tuple[Resource, ...]]:
        """Return the current revision and resources."""
        await self._log.read_barrier(CALL_TIMEOUT_S)
        return self._state.revision, self._state.resources(kind, owner)

    async def hosts(self) -> tuple[HostStatus, ...]:
        """Return what this member has heard from entry hosts."""
        return self._in_force.hosts(asyncio.get_running_loop().time())

    async def in_force_by_revision(
        self, revisions: frozenset[int]
    ) -> dict[int, InForceStatus]:
        """Return where each of ``revisions`` is in force."""
        now = asyncio.get_running_loop().time()
        return {
            revision: self._in_force.status(revision, now) for revision in revisions
        }

    async def model_statuses(
        self, models: tuple[str, ...]
    ) -> dict[str, ModelStatus | None]:
        """Return how the engines run each of ``models``."""
        return {model: self._model_status_of(model) for model in models}

    def end_watches(self) -> None:
        """End all watches, as this member is about to stop."""
        self._is_closing = True
        self._signal.set()

    async def next_event(self, revision: int, wait_s: float) -> WatchEvent | None:
        """Return what happened after ``revision``, or a heartbeat in time.

        None ends the watch.
        """
        if self._state.revision <= revision and not self._is_closing:
            await self._signal.wait(wait_s)
        if self._is_closing:
            return None
        return self._state.events_after(revision)

    async def status(self) -> tuple[Any, str, int]:
        """Return this member's view of the log, its role and its revision.

        A member that won an election but has no lease yet can't answer as
        leader, and so isn't shown as one.
        """
        log_status = self._log.status
        role = str(log_status.role)
        if role == _LEADER and not self._log.is_leader:
            role = _LEADER_WITHOUT_LEASE
        return log_status, role, self._state.revision
