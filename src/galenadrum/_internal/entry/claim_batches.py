"""Claims and outcomes of an entry host that go to control in common calls."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
)
from galenadrum._internal.protocol.claims_pb2 import (
    ClaimBatchAnswer,
    ClaimBatchItem,
    ClaimBatchRequest,
    ClaimBatchResponse,
    ClaimFailure,
    ClaimRequest,
    RecordOutcomeRequest,
)

Message = ClaimRequest | RecordOutcomeRequest
SendOne = Callable[[Message, float], Awaitable[Any]]
SendBatch = Callable[[ClaimBatchRequest, float], Awaitable[ClaimBatchResponse]]

MAX_ITEMS = 32
MAX_BATCH_BYTES = 256 * 1024
# A call that finds no leader holds up those behind it for no longer.
_CALL_TIMEOUT_S = 2.0
_STATUS_BY_CODE = {
    ClaimFailure.MALFORMED: Status.INVALID_ARGUMENT,
    ClaimFailure.FULL: Status.RESOURCE_EXHAUSTED,
}


@dataclass(eq=False, slots=True)
class _Item:
    """A message that waits for its answer.

    Attributes:
        deadline: Loop time in seconds at which its sender gives up.
        call_deadline: Deadline of the call that it went with, if it went.
    """

    message: Message
    deadline: float
    answer: asyncio.Future[Any] = field(default_factory=asyncio.Future)
    call_deadline: float | None = None


class ClaimBatcher:
    """Sends at once while no call is under way, else together with the next.

    Args:
        send_one: Sends one message by a deadline.
        send_batch: Sends several in one call by a deadline.

    Attributes:
        calls: Number of calls that were made.
        sent: Number of messages that went with them.
    """

    def __init__(self, send_one: SendOne, send_batch: SendBatch) -> None:
        self._send_one = send_one
        self._send_batch = send_batch
        self._waiting: deque[_Item] = deque()
        self._sender: asyncio.Task[None] | None = None
        self.calls = 0
        self.sent = 0

    async def send(self, message: Message, deadline: float) -> Any:
        """Send a message and return its own answer.

        Raises:
            ControlUnreachableError: It was not taken; it did nothing.
            OutcomeUnknownError: It may have been taken.
            GRPCError: It was refused for good; it did nothing.
        """
        loop = asyncio.get_running_loop()
        item = _Item(message, deadline)
        self._waiting.append(item)
        timer = loop.call_at(deadline, self._expire, item)
        if self._sender is None:
            self._sender = loop.create_task(self._send_waiting())
        try:
            return await item.answer
        finally:
            timer.cancel()
            if item.call_deadline is None and item in self._waiting:
                self._waiting.remove(item)

    def _expire(self, item: _Item) -> None:
        """End the wait of an item, unless its call ends at the same time."""
        if item.answer.done():
            return
        if item.call_deadline is None:
            item.answer.set_exception(ControlUnreachableError("not sent in time"))
        elif item.deadline < item.call_deadline:
            item.answer.set_exception(OutcomeUnknownError("no answer in time"))

    async def _send_waiting(self) -> None:
        try:
            while items := self._take_batch():
                try:
                    await self._call(items)
                finally:
                    _fail(items, OutcomeUnknownError("the call was given up"))
        finally:
            self._sender = None

    def _take_batch(self) -> list[_Item]:
        """Take what goes with the next call, in the order of its arrival.

        What was given up in the same turn of the loop is left out: its sender
        relies on it that it was not sent.
        """
        items: list[_Item] = []
        size_bytes = 0
        while self._waiting and len(items) < MAX_ITEMS:
            size_bytes += self._waiting[0].message.ByteSize()
            if items and size_bytes > MAX_BATCH_BYTES:
                break
            item = self._waiting.popleft()
            if not item.answer.done():
                items.append(item)
        return items

    async def _call(self, items: Sequence[_Item]) -> None:
        now = asyncio.get_running_loop().time()
        latest = max(item.deadline for item in items)
        deadline = min(latest, now + _CALL_TIMEOUT_S)
        for item in items:
            item.call_deadline = deadline
        self.calls += 1
        self.sent += len(items)
        try:
            answers = await self._send(items, deadline)
        except (ControlUnreachableError, OutcomeUnknownError, GRPCError) as error:
            _fail(items, error)
            return
        for item, answer in zip(items, answers, strict=True):
            _settle(item, answer)

    async def _send(self, items: Sequence[_Item], deadline: float) -> Sequence[Any]:
        if len(items) == 1:
            return [await self._send_one(items[0].message, deadline)]
        batch = ClaimBatchRequest(items=[_batch_item(item.message) for item in items])
        response = await self._send_batch(batch, deadline)
        if len(response.answers) != len(items):
            raise OutcomeUnknownError("a batch was answered with another number")
        return response.answers


def _batch_item(message: Message) -> ClaimBatchItem:
    if isinstance(message, ClaimRequest):
        return ClaimBatchItem(claim=message)
    return ClaimBatchItem(record_outcome=message)


def _fail(items: Sequence[_Item], error: Exception) -> None:
    for item in items:
        if not item.answer.done():
            item.answer.set_exception(error)


def _settle(item: _Item, answer: Any) -> None:
    """Give an item its answer, or its own failure."""
    if item.answer.done():
        return
    if not isinstance(answer, ClaimBatchAnswer):
        item.answer.set_result(answer)
        return
    kind = answer.WhichOneof("body")
    expected = "claim" if isinstance(item.message, ClaimRequest) else "record_outcome"
    if kind == expected:
        item.answer.set_result(getattr(answer, kind))
    elif kind == "failure":
        status = _STATUS_BY_CODE.get(answer.failure.code, Status.INTERNAL)
        item.answer.set_exception(GRPCError(status, answer.failure.message))
    else:
        item.answer.set_exception(OutcomeUnknownError(f"answered with {kind}"))
