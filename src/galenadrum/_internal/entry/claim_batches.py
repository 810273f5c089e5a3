"""Batching of the claims and outcomes that an entry host sends to control."""

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
# Bounds the delay of queued messages while a call finds no leader.
_CALL_TIMEOUT_S = 2.0
_STATUS_BY_CODE = {
    ClaimFailure.MALFORMED: Status.INVALID_ARGUMENT,
    ClaimFailure.FULL: Status.RESOURCE_EXHAUSTED,
}


@dataclass(eq=False, slots=True)
class _QueuedItem:
    """A message that is queued or awaits its answer.

    Attributes:
        message: The claim or outcome to send.
        deadline: Event loop time in seconds at which the sender stops waiting.
        answer: Future that holds the message's own answer or error.
        call_deadline: Deadline of the call that carries the message, as event
            loop time in seconds; None while the message is queued.
    """

    message: Message
    deadline: float
    answer: asyncio.Future[Any] = field(default_factory=asyncio.Future)
    call_deadline: float | None = None


class ClaimBatcher:
    """Sends messages to control, batching those that arrive during a call.

    A message is sent at once when no call is in flight. Otherwise it is queued
    and sent in one call with the other queued messages.

    Args:
        send_one: Sends one message by a deadline in event loop seconds.
        send_batch: Sends several messages in one call by such a deadline.

    Attributes:
        calls: Number of calls made.
        sent: Number of messages sent in these calls.
    """

    def __init__(self, send_one: SendOne, send_batch: SendBatch) -> None:
        self._send_one = send_one
        self._send_batch = send_batch
        self._queue: deque[_QueuedItem] = deque()
        self._send_task: asyncio.Task[None] | None = None
        self.calls = 0
        self.sent = 0

    async def send(self, message: Message, deadline: float) -> Any:
        """Send a message and return its own answer.

        Args:
            message: The claim or outcome to send.
            deadline: Event loop time in seconds at which to stop waiting.

        Raises:
            ControlUnreachableError: The message was not applied.
            OutcomeUnknownError: The message may have been applied.
            GRPCError: The message was refused with a final status and was not
                applied.
        """
        loop = asyncio.get_running_loop()
        item = _QueuedItem(message, deadline)
        self._queue.append(item)
        timer = loop.call_at(deadline, self._expire, item)
        if self._send_task is None:
            self._send_task = loop.create_task(self._send_queued())
        try:
            return await item.answer
        finally:
            timer.cancel()
            if item.call_deadline is None and item in self._queue:
                self._queue.remove(item)

    def _expire(self, item: _QueuedItem) -> None:
        """Fail an item at its deadline, unless its call ends at the same time."""
        if item.answer.done():
            return
        if item.call_deadline is None:
            item.answer.set_exception(
                ControlUnreachableError("the message was not sent before its deadline")
            )
        elif item.deadline < item.call_deadline:
            item.answer.set_exception(
                OutcomeUnknownError("no answer arrived before the deadline")
            )

    async def _send_queued(self) -> None:
        try:
            while items := self._dequeue_batch():
                try:
                    await self._process_batch(items)
                finally:
                    _fail_items(items, OutcomeUnknownError("the call was aborted"))
        finally:
            self._send_task = None

    def _dequeue_batch(self) -> list[_QueuedItem]:
        """Dequeue the items of the next call in order of arrival.

        Skips items whose sender gave up in the same event loop iteration: the
        sender relies on the message not having been sent.
        """
        items: list[_QueuedItem] = []
        size_bytes = 0
        while self._queue and len(items) < MAX_ITEMS:
            size_bytes += self._queue[0].message.ByteSize()
            if items and size_bytes > MAX_BATCH_BYTES:
                break
            item = self._queue.popleft()
            if not item.answer.done():
                items.append(item)
        return items

    async def _process_batch(self, items: Sequence[_QueuedItem]) -> None:
        now = asyncio.get_running_loop().time()
        latest = max(item.deadline for item in items)
        deadline = min(latest, now + _CALL_TIMEOUT_S)
        for item in items:
            item.call_deadline = deadline
        self.calls += 1
        self.sent += len(items)
        try:
            answers = await self._call_leader(items, deadline)
        except (ControlUnreachableError, OutcomeUnknownError, GRPCError) as error:
            _fail_items(items, error)
            return
        for item, answer in zip(items, answers, strict=True):
            _resolve_item(item, answer)

    async def _call_leader(
        self, items: Sequence[_QueuedItem], deadline: float
    ) -> Sequence[Any]:
        if len(items) == 1:
            return [await self._send_one(items[0].message, deadline)]
        batch = ClaimBatchRequest(items=[_batch_item(item.message) for item in items])
        response = await self._send_batch(batch, deadline)
        if len(response.answers) != len(items):
            raise OutcomeUnknownError(
                "the number of answers differs from the number of messages in the batch"
            )
        return response.answers


def _batch_item(message: Message) -> ClaimBatchItem:
    if isinstance(message, ClaimRequest):
        return ClaimBatchItem(claim=message)
    return ClaimBatchItem(record_outcome=message)


def _fail_items(items: Sequence[_QueuedItem], error: Exception) -> None:
    for item in items:
        if not item.answer.done():
            item.answer.set_exception(error)


def _resolve_item(item: _QueuedItem, answer: Any) -> None:
    """Set the answer of an item, or the failure that its answer reports."""
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
        item.answer.set_exception(
            OutcomeUnknownError(f"the answer has an unexpected body: {kind}")
        )
