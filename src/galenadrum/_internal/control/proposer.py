"""Proposal of commands to the replicated log by the leader."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from galenadrum._internal.control.state.leader_clock import LeaderClock
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.exceptions import NotLeaderError
from galenadrum._internal.protocol.claims_pb2 import (
    ClaimBatchRequest,
    ClaimRequest,
    RecordOutcomeRequest,
)
from galenadrum._internal.protocol.commands_pb2 import (
    ChangeSet,
    Command,
    CommandResult,
)
from galenadrum._internal.protocol.engines_pb2 import EngineOrder, OrderClosing

CHANGE_ID_RETENTION_S = 86_400
CLAIM_RETENTION_S = 86_400
_CLUSTER_ID_BITS = 128


class Log(Protocol):
    """Part of the replicated log's interface that this package uses."""

    is_leader: bool
    leader_address: str | None
    term: int

    async def propose(self, command: bytes, timeout_s: float) -> bytes: ...

    async def read_barrier(self, timeout_s: float) -> None: ...

    async def remove_member(self, member_id: str, timeout_s: float) -> None: ...


class Proposer:
    """Adds time, retention times and cluster id to commands and proposes them.

    Args:
        log: The replicated log; its commands are applied to ``state``.
        state: State machine of this member.
        rng: Generates the id of a new cluster.
        change_id_retention_s: Retention of a change's result, in seconds; a change
            resent within it returns the stored result.
        claim_retention_s: Retention of a claim's outcome, in seconds.
    """

    def __init__(
        self,
        log: Log,
        state: ControlState,
        rng: random.Random,
        change_id_retention_s: int = CHANGE_ID_RETENTION_S,
        claim_retention_s: int = CLAIM_RETENTION_S,
    ) -> None:
        self._log = log
        self._state = state
        self._clock = LeaderClock()
        self._new_cluster_id = f"{rng.getrandbits(_CLUSTER_ID_BITS):032x}"
        self._change_id_retention_ms = change_id_retention_s * 1_000
        self._claim_retention_ms = claim_retention_s * 1_000

    async def check_leader(self, timeout_s: float) -> None:
        """Wait until a quorum has confirmed that this member is the leader.

        Raises:
            NotLeaderError: This member isn't the leader.
            LogBusyError: Too many reads are pending.
            ControlUnreachableError: No quorum confirmed it within ``timeout_s``.
        """
        await self._log.read_barrier(timeout_s)

    async def propose_change(
        self, change_set: ChangeSet, timeout_s: float
    ) -> CommandResult:
        """Propose a change set; see ``_propose`` for the errors."""
        return await self._propose(Command(change_set=change_set), timeout_s)

    async def propose_claim(
        self, request: ClaimRequest, timeout_s: float
    ) -> CommandResult:
        """Propose a claim; see ``_propose`` for the errors."""
        return await self._propose(Command(claim=request), timeout_s)

    async def propose_outcome(
        self, request: RecordOutcomeRequest, timeout_s: float
    ) -> CommandResult:
        """Propose the outcome of a claim; see ``_propose`` for the errors."""
        return await self._propose(Command(record_outcome=request), timeout_s)

    async def propose_claim_batch(
        self, batch: ClaimBatchRequest, timeout_s: float
    ) -> CommandResult:
        """Propose claims and outcomes as one command.

        See ``_propose`` for the errors.
        """
        return await self._propose(Command(claim_batch=batch), timeout_s)

    async def propose_order(
        self, order: EngineOrder, timeout_s: float
    ) -> CommandResult:
        """Propose recording an order; see ``_propose`` for the errors."""
        return await self._propose(Command(record_order=order), timeout_s)

    async def propose_order_closing(
        self, closing: OrderClosing, timeout_s: float
    ) -> CommandResult:
        """Propose the closing of an order; see ``_propose`` for the errors."""
        return await self._propose(Command(close_order=closing), timeout_s)

    async def _propose(self, command: Command, timeout_s: float) -> CommandResult:
        """Complete a command with time, retention and cluster and propose it.

        Raises:
            LogBusyError: The command was not accepted: too many proposals wait.
            NotLeaderError: The command was not accepted: this member doesn't lead.
            OutcomeUnknownError: The command may have been accepted.
        """
        if not self._log.is_leader:
            raise NotLeaderError(self._log.leader_address)
        now = asyncio.get_running_loop().time()
        command.time_ms = self._clock.read(self._log.term, self._state.time_ms, now)
        command.cluster_id = self._state.cluster_id or self._new_cluster_id
        command.change_id_retention_ms = self._change_id_retention_ms
        command.claim_retention_ms = self._claim_retention_ms
        result = await self._log.propose(command.SerializeToString(), timeout_s)
        return CommandResult.FromString(result)
