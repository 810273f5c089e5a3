"""Proposes commands to the replicated log in the leader's name."""

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
    """What this package needs of the replicated log."""

    is_leader: bool
    leader_address: str | None
    term: int

    async def propose(self, command: bytes, timeout_s: float) -> bytes: ...

    async def read_barrier(self, timeout_s: float) -> None: ...

    async def remove_member(self, member_id: str, timeout_s: float) -> None: ...


class Proposer:
    """Stamps commands with time, retention and cluster and proposes them.

    Args:
        log: The replicated log that ``state`` is the state machine of.
        state: The state of this member.
        rng: Draws the identity of a new cluster.
        change_id_retention_s: How long a resent change finds its outcome.
        claim_retention_s: How long a claim's outcome is kept.
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
        self._cluster_id = f"{rng.getrandbits(_CLUSTER_ID_BITS):032x}"
        self._change_id_retention_ms = change_id_retention_s * 1_000
        self._claim_retention_ms = claim_retention_s * 1_000

    async def check_leader(self, timeout_s: float) -> None:
        """Wait until a majority confirmed that this member leads.

        Raises:
            NotLeaderError: This member doesn't lead.
            OutcomeUnknownError: No majority confirmed it in time.
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
        """Propose claims and outcomes as one command; see ``_propose``."""
        return await self._propose(Command(claim_batch=batch), timeout_s)

    async def propose_order(
        self, order: EngineOrder, timeout_s: float
    ) -> CommandResult:
        """Propose to record an order; see ``_propose`` for the errors."""
        return await self._propose(Command(record_order=order), timeout_s)

    async def propose_order_closing(
        self, closing: OrderClosing, timeout_s: float
    ) -> CommandResult:
        """Propose how an order ended; see ``_propose`` for the errors."""
        return await self._propose(Command(close_order=closing), timeout_s)

    async def _propose(self, command: Command, timeout_s: float) -> CommandResult:
        """Stamp and propose a command.

        Raises:
            LogBusyError: It certainly was not accepted; too much waits.
            NotLeaderError: It certainly was not accepted.
            OutcomeUnknownError: It may have been accepted.
        """
        if not self._log.is_leader:
            raise NotLeaderError(self._log.leader_address)
        now = asyncio.get_running_loop().time()
        command.time_ms = self._clock.read(self._log.term, self._state.time_ms, now)
        command.cluster_id = self._state.cluster_id or self._cluster_id
        command.change_id_retention_ms = self._change_id_retention_ms
        command.claim_retention_ms = self._claim_retention_ms
        result = await self._log.propose(command.SerializeToString(), timeout_s)
        return CommandResult.FromString(result)
