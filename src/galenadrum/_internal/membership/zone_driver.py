"""Runs the exchange of a zone over message streams and the loop's clock."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.membership.exchange import ZoneExchange
from galenadrum._internal.membership.messages import CloseLink, Send, ZoneMessage
from galenadrum._internal.membership.zone_codec import decode_message, encode_message
from galenadrum._internal.network.message_stream import MessageStream
from galenadrum._internal.network.peer_link import LinkLostError
from galenadrum._internal.protocol import zone_pb2

logger = logging.getLogger(__name__)

_MIN_SLEEP_S = 0.001

ZoneStream = MessageStream[zone_pb2.ZoneMessage]


@dataclass(slots=True)
class _LinkTasks:
    """The tasks of one link; the outbox holds at most one message."""

    outbox: asyncio.Queue[ZoneMessage]
    reader: asyncio.Task[None] | None = None
    writer: asyncio.Task[None] | None = None


class ZoneDriver:
    """Feeds a ``ZoneExchange`` with links, messages and time.

    Args:
        exchange: The decisions.
        on_change: Called on the loop after servers joined, left, changed or
            reported; several changes may share a call.
    """

    def __init__(
        self, exchange: ZoneExchange, on_change: Callable[[], None] | None = None
    ) -> None:
        self.exchange = exchange
        self._on_change = on_change
        self._seen_version = exchange.registry.version
        self._wake = asyncio.Event()
        self._tasks_by_link_id: dict[int, _LinkTasks] = {}
        self._link_ids = itertools.count(1)

    @property
    def link_count(self) -> int:
        """The number of links that stand."""
        return len(self._tasks_by_link_id)

    def wake(self) -> None:
        """Let the exchange act soon, after it was told something."""
        self._wake.set()

    async def run(self) -> None:
        """Carry out what the exchange decides, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            self._carry_out(loop.time())
            self._notify()
            due = max(self.exchange.next_wakeup(), loop.time() + _MIN_SLEEP_S)
            timer = loop.call_at(due, self._wake.set)
            try:
                await self._wake.wait()
            finally:
                timer.cancel()

    async def run_link(self, stream: ZoneStream) -> None:
        """Run the exchange over a stream until either side ends it.

        The stream is closed when this returns, also when it is cancelled.
        """
        link_id = next(self._link_ids)
        tasks = _LinkTasks(asyncio.Queue(1))
        tasks.reader = asyncio.create_task(self._read(link_id, stream))
        tasks.writer = asyncio.create_task(self._write(link_id, stream, tasks.outbox))
        self._tasks_by_link_id[link_id] = tasks
        self.exchange.link_opened(link_id, asyncio.get_running_loop().time())
        self.wake()
        both = (tasks.reader, tasks.writer)
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._tasks_by_link_id[link_id]
            self.exchange.link_closed(link_id)
            stream.close()
            for task in both:
                task.cancel()
            for result in await asyncio.gather(*both, return_exceptions=True):
                _log_end(link_id, result)

    async def _read(self, link_id: int, stream: ZoneStream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            encoded = await stream.receive()
            if encoded is None:
                return
            self.exchange.receive(link_id, decode_message(encoded), loop.time())
            self.wake()

    async def _write(
        self, link_id: int, stream: ZoneStream, outbox: asyncio.Queue[ZoneMessage]
    ) -> None:
        while True:
            message = await outbox.get()
            await stream.send(encode_message(message))
            if self.exchange.message_sent(link_id, asyncio.get_running_loop().time()):
                self.wake()

    def _carry_out(self, now: float) -> None:
        for action in self.exchange.tick(now):
            tasks = self._tasks_by_link_id.get(action.link_id)
            if tasks is None:
                continue
            match action:
                case Send(message=message):
                    tasks.outbox.put_nowait(message)
                case CloseLink():
                    tasks.reader.cancel()

    def _notify(self) -> None:
        registry = self.exchange.registry
        if registry.version == self._seen_version and not registry.has_reports:
            return
        self._seen_version = registry.version
        if self._on_change is not None:
            self._on_change()


def _log_end(link_id: int, result: BaseException | None) -> None:
    """Log why a link ended, unless that is how links usually end."""
    if result is None or isinstance(result, asyncio.CancelledError | LinkLostError):
        return
    logger.error("link %d ended by an error", link_id, exc_info=result)
