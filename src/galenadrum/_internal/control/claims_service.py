"""gRPC service of a control host for claims on idempotency keys."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.control.proposer import Proposer
from galenadrum._internal.exceptions import (
    LogBusyError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.network.leader_redirect import build_redirect_error
from galenadrum._internal.protocol.claims_grpc import ClaimsBase
from galenadrum._internal.protocol.claims_pb2 import (
    CheckLeaderRequest,
    CheckLeaderResponse,
    ClaimBatchRequest,
    ClaimBatchResponse,
    ClaimRequest,
    ClaimResponse,
    RecordOutcomeRequest,
    RecordOutcomeResponse,
)
from galenadrum._internal.protocol.commands_pb2 import CommandError, CommandResult

T = TypeVar("T")

_MAX_TIMEOUT_S = 5.0
_MAX_BATCH_ITEMS = 64
_STATUS_BY_CODE = {
    CommandError.MALFORMED: Status.INVALID_ARGUMENT,
    CommandError.FULL: Status.RESOURCE_EXHAUSTED,
}


class ClaimsService(ClaimsBase):
    """Commits claims and their outcomes to the replicated log.

    Args:
        proposer: Proposes commands while this member is the leader.
    """

    def __init__(self, proposer: Proposer) -> None:
        self._proposer = proposer

    async def Claim(self, stream: Stream[ClaimRequest, ClaimResponse]) -> None:  # noqa: N802
        """Commit a claim and send its result."""
        request = await stream.recv_message()
        if request is None:
            return
        timeout_s = _compute_timeout_s(stream)
        result = _check_command_result(
            await _await_proposal(self._proposer.propose_claim(request, timeout_s))
        )
        await stream.send_message(result.claim)

    async def RecordOutcome(  # noqa: N802
        self, stream: Stream[RecordOutcomeRequest, RecordOutcomeResponse]
    ) -> None:
        """Record the outcome of a claim."""
        request = await stream.recv_message()
        if request is None:
            return
        timeout_s = _compute_timeout_s(stream)
        result = _check_command_result(
            await _await_proposal(self._proposer.propose_outcome(request, timeout_s))
        )
        await stream.send_message(result.record_outcome)

    async def Batch(  # noqa: N802
        self, stream: Stream[ClaimBatchRequest, ClaimBatchResponse]
    ) -> None:
        """Commit a batch of claims and outcomes; each item has its own result."""
        request = await stream.recv_message()
        if request is None:
            return
        if not 1 <= len(request.items) <= _MAX_BATCH_ITEMS:
            message = f"a batch has 1 to {_MAX_BATCH_ITEMS} items"
            raise GRPCError(Status.INVALID_ARGUMENT, message)
        timeout_s = _compute_timeout_s(stream)
        result = _check_command_result(
            await _await_proposal(
                self._proposer.propose_claim_batch(request, timeout_s)
            )
        )
        await stream.send_message(result.claim_batch)

    async def CheckLeader(  # noqa: N802
        self, stream: Stream[CheckLeaderRequest, CheckLeaderResponse]
    ) -> None:
        """Respond if a quorum confirms that this member is the leader."""
        request = await stream.recv_message()
        if request is None:
            return
        await _await_proposal(self._proposer.check_leader(_compute_timeout_s(stream)))
        await stream.send_message(CheckLeaderResponse())


def _compute_timeout_s(stream: Stream) -> float:
    """Return the time left to the client's deadline, at most `_MAX_TIMEOUT_S`."""
    if stream.deadline is None:
        return _MAX_TIMEOUT_S
    return min(max(stream.deadline.time_remaining(), 0.001), _MAX_TIMEOUT_S)


async def _await_proposal(proposal: Awaitable[T]) -> T:
    """Wait for a proposal and convert its errors to gRPC statuses.

    ``ABORTED`` means that the command may have been accepted; every other
    status raised here means that it was not accepted.
    """
    try:
        return await proposal
    except NotLeaderError as error:
        raise build_redirect_error(error.leader_address) from None
    except OutcomeUnknownError as error:
        raise GRPCError(Status.ABORTED, str(error)) from None
    except LogBusyError as error:
        raise GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from None


def _check_command_result(result: CommandResult) -> CommandResult:
    if result.WhichOneof("body") == "error":
        raise GRPCError(_STATUS_BY_CODE[result.error.code], result.error.message)
    return result
