"""Control host's side of claims."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.control.proposals import Proposer
from galenadrum._internal.exceptions import (
    LogBusyError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.network.leader_redirect import redirect_error
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
    """Takes claims and their outcomes to the replicated log.

    Args:
        proposer: Proposes commands while this member leads.
    """

    def __init__(self, proposer: Proposer) -> None:
        self._proposer = proposer

    async def Claim(self, stream: Stream[ClaimRequest, ClaimResponse]) -> None:  # noqa: N802
        """Answer a claim."""
        request = await stream.recv_message()
        if request is None:
            return
        timeout_s = _timeout_of(stream)
        result = _refuse_error(
            await _translate_errors(self._proposer.propose_claim(request, timeout_s))
        )
        await stream.send_message(result.claim)

    async def RecordOutcome(  # noqa: N802
        self, stream: Stream[RecordOutcomeRequest, RecordOutcomeResponse]
    ) -> None:
        """Record the outcome of a claim."""
        request = await stream.recv_message()
        if request is None:
            return
        timeout_s = _timeout_of(stream)
        result = _refuse_error(
            await _translate_errors(self._proposer.propose_outcome(request, timeout_s))
        )
        await stream.send_message(result.record_outcome)

    async def Batch(  # noqa: N802
        self, stream: Stream[ClaimBatchRequest, ClaimBatchResponse]
    ) -> None:
        """Answer claims and outcomes that came together, each by itself."""
        request = await stream.recv_message()
        if request is None:
            return
        if not 1 <= len(request.items) <= _MAX_BATCH_ITEMS:
            message = f"a batch has 1 to {_MAX_BATCH_ITEMS} items"
            raise GRPCError(Status.INVALID_ARGUMENT, message)
        timeout_s = _timeout_of(stream)
        result = _refuse_error(
            await _translate_errors(
                self._proposer.propose_claim_batch(request, timeout_s)
            )
        )
        await stream.send_message(result.claim_batch)

    async def CheckLeader(  # noqa: N802
        self, stream: Stream[CheckLeaderRequest, CheckLeaderResponse]
    ) -> None:
        """Answer while a majority follows this member."""
        request = await stream.recv_message()
        if request is None:
            return
        await _translate_errors(self._proposer.check_leader(_timeout_of(stream)))
        await stream.send_message(CheckLeaderResponse())


def _timeout_of(stream: Stream) -> float:
    """Return how long the client still waits, within a bound."""
    if stream.deadline is None:
        return _MAX_TIMEOUT_S
    return min(max(stream.deadline.time_remaining(), 0.001), _MAX_TIMEOUT_S)


async def _translate_errors(proposal: Awaitable[T]) -> T:
    """Wait for a proposal; raise what goes wrong as a gRPC status.

    ``ABORTED`` says that the command may or may not have been accepted; all
    other statuses raised here say that it certainly was not.
    """
    try:
        return await proposal
    except NotLeaderError as error:
        raise redirect_error(error.leader_address) from None
    except OutcomeUnknownError as error:
        raise GRPCError(Status.ABORTED, str(error)) from None
    except LogBusyError as error:
        raise GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from None


def _refuse_error(result: CommandResult) -> CommandResult:
    if result.WhichOneof("body") == "error":
        raise GRPCError(_STATUS_BY_CODE[result.error.code], result.error.message)
    return result
