"""Driver that runs a ``ZoneExchange`` on message streams and the event loop."""

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
    """Tasks of one link; the outbox holds at most one message."""

    outbox: asyncio.Queue[ZoneMessage]
    reader: asyncio.Task[None] | None = None
    writer: asyncio.Task[None] | None = None


class ZoneDriver:
    """Passes links, messages and time to a ``ZoneExchange`` and executes its actions.

    Args:
        exchange: Decides what is sent on which link; does no I/O.
        on_change: Called on the event loop after servers joined, left, changed or
            reported; several changes may share a call.
    """

    def __init__(
        self, exchange: ZoneExchange, on_change: Callable[[], None] | None = None
    ) -> None:
        self.exchange = exchange
        self._on_change = on_change
        self._notified_version = exchange.registry.version
        self._tick_requested = asyncio.Event()
        self._tasks_by_link_id: dict[int, _LinkTasks] = {}
        self._link_ids = itertools.count(1)

    @property
    def link_count(self) -> int:
        """Number of open links."""
        return len(self._tasks_by_link_id)

    def request_tick(self) -> None:
        """Request a tick of the exchange; call this after each input to it."""
        self._tick_requested.set()

    async def run(self) -> None:
        """Tick the exchange when it is due or requested, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._tick_requested.clear()
            self._tick_exchange(loop.time())
            self._notify_change()
            wake_at = max(self.exchange.next_wakeup(), loop.time() + _MIN_SLEEP_S)
            timer = loop.call_at(wake_at, self._tick_requested.set)
            try:
                await self._tick_requested.wait()
            finally:
                timer.cancel()

    async def run_link(self, stream: ZoneStream) -> None:
        """Run the exchange over a stream until either side closes it.

        The stream is closed on return, also after a cancellation.
        """
        link_id = next(self._link_ids)
        tasks = _LinkTasks(asyncio.Queue(1))
        tasks.reader = asyncio.create_task(self._receive_messages(link_id, stream))
        tasks.writer = asyncio.create_task(
            self._send_messages(link_id, stream, tasks.outbox)
        )
        self._tasks_by_link_id[link_id] = tasks
        self.exchange.link_opened(link_id, asyncio.get_running_loop().time())
        self.request_tick()
        link_tasks = (tasks.reader, tasks.writer)
        try:
            await asyncio.wait(link_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._tasks_by_link_id[link_id]
            self.exchange.link_closed(link_id)
            stream.close()
            for task in link_tasks:
                task.cancel()
            for result in await asyncio.gather(*link_tasks, return_exceptions=True):
                _log_link_error(link_id, result)

    async def _receive_messages(self, link_id: int, stream: ZoneStream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            encoded = await stream.receive()
            if encoded is None:
                return
            self.exchange.receive(link_id, decode_message(encoded), loop.time())
            self.request_tick()

    async def _send_messages(
        self, link_id: int, stream: ZoneStream, outbox: asyncio.Queue[ZoneMessage]
    ) -> None:
        while True:
            message = await outbox.get()
            await stream.send(encode_message(message))
            if self.exchange.message_sent(link_id, asyncio.get_running_loop().time()):
                self.request_tick()

    def _tick_exchange(self, now: float) -> None:
        for action in self.exchange.tick(now):
            tasks = self._tasks_by_link_id.get(action.link_id)
            if tasks is None:
                continue
            match action:
                case Send(message=message):
                    tasks.outbox.put_nowait(message)
                case CloseLink():
                    tasks.reader.cancel()

    def _notify_change(self) -> None:
        registry = self.exchange.registry
        if registry.version == self._notified_version and not registry.has_reports:
            return
        self._notified_version = registry.version
        if self._on_change is not None:
            self._on_change()


def _log_link_error(link_id: int, result: BaseException | None) -> None:
    """Log the error that ended a link, except a cancellation or a lost connection."""
    if result is None or isinstance(result, asyncio.CancelledError | LinkLostError):
        return
    logger.error(
        "link %d was closed after an unexpected error", link_id, exc_info=result
    )
