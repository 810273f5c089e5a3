"""Streams to and from the other members.

The member that asks opens the stream, and the answers come back on it. So a
stream on which nothing comes back has gone silent, and is replaced by one on
a new connection.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream as ServerStream

from galenadrum._internal.control.replication import codec
from galenadrum._internal.control.replication.messages import Message
from galenadrum._internal.protocol import replication_pb2 as pb
from galenadrum._internal.protocol.replication_grpc import ReplicationStub
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_MAX_QUEUED_MESSAGES = 64
_MIN_RECONNECT_DELAY_S = 0.05
_IDLE_CLOSE_S = 10.0

STREAM_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class Outbox:
    """Messages that wait for a stream; the oldest give way when it is full."""

    def __init__(self) -> None:
        self._records: deque[pb.PeerMessage] = deque(maxlen=_MAX_QUEUED_MESSAGES)
        self.changed = asyncio.Event()

    def add(self, message: Message) -> None:
        """Queue a message."""
        self._records.append(codec.encode_message(message))
        self.changed.set()

    async def wait_for_message(self) -> None:
        """Wait until a message is queued."""
        while not self._records:
            self.changed.clear()
            await self.changed.wait()

    def take(self) -> pb.PeerFrame | None:
        """Return all that wait as one frame, or None."""
        self.changed.clear()
        if not self._records:
            return None
        frame = pb.PeerFrame(messages=self._records)
        self._records.clear()
        return frame

    def clear(self) -> None:
        """Drop what waits; the core sends again what still matters."""
        self._records.clear()
        self.changed.clear()


class PeerLink:
    """The stream to one member, opened when there is something to ask.

    Args:
        address: IP number and port.
        deliver: Called with each answer.
        silence_s: Time without any answer after which the connection is
            replaced, and the longest wait between two connections.
        rng: Spreads reconnects.
    """

    def __init__(
        self,
        address: str,
        deliver: Callable[[Message], None],
        silence_s: float,
        rng: random.Random,
    ) -> None:
        self.address = address
        self._deliver = deliver
        self._silence_s = silence_s
        self._rng = rng
        self._outbox = Outbox()
        self._exchange: asyncio.Task[None] | None = None
        self._unanswered_since: float | None = None
        self._answered = False
        self._loop = asyncio.get_running_loop()

    def send(self, message: Message) -> None:
        """Queue a message, and replace the connection if it is silent."""
        now = self._loop.time()
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since > self._silence_s and self._exchange:
            # Each stream to a member that is cut off is silent: say it once.
            level = logging.INFO if self._answered else logging.DEBUG
            logger.log(level, "the stream to %s is silent", self.address)
            self._exchange.cancel()
            self._outbox.clear()
        self._outbox.add(message)

    async def run(self) -> None:
        """Keep a stream while there are messages, until cancelled."""
        delay_s = _MIN_RECONNECT_DELAY_S
        while True:
            await self._outbox.wait_for_message()
            # The time starts anew with each connection.
            self._unanswered_since = self._loop.time()
            self._answered = False
            self._exchange = asyncio.create_task(self._run_exchange())
            try:
                # Unlike awaiting it, this tells its cancellation from the own.
                await asyncio.wait([self._exchange])
            finally:
                self._exchange.cancel()
            if not self._exchange.cancelled():
                # Otherwise the message that found the silence still waits.
                self._outbox.clear()
            delay_s = _MIN_RECONNECT_DELAY_S if self._answered else delay_s * 2
            delay_s = min(delay_s, self._silence_s)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random() / 2))

    async def _run_exchange(self) -> None:
        host, port = split_address(self.address)
        channel = Channel(host, port)
        try:
            async with ReplicationStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(self._silence_s):
                    await stream.send_request()
                reader = asyncio.create_task(self._read(stream))
                try:
                    await self._write(stream, reader)
                finally:
                    reader.cancel()
                    await stream.cancel()
        except STREAM_ERRORS as error:
            logger.debug("the stream to %s ended: %r", self.address, error)
        finally:
            channel.close()

    async def _write(self, stream: ClientStream, reader: asyncio.Task[None]) -> None:
        reader.add_done_callback(lambda _: self._outbox.changed.set())
        while not reader.done():
            frame = self._outbox.take()
            if frame is not None:
                await stream.send_message(frame)
                continue
            try:
                async with asyncio.timeout(_IDLE_CLOSE_S):
                    await self._outbox.changed.wait()
            except TimeoutError:
                return

    async def _read(self, stream: ClientStream) -> None:
        try:
            while (frame := await stream.recv_message()) is not None:
                self._unanswered_since = None
                self._answered = True
                for record in frame.messages:
                    self._deliver(codec.decode_message(record))
        except STREAM_ERRORS as error:
            logger.debug("the stream to %s ended: %r", self.address, error)


class InboundStream:
    """A stream that another member has opened to this one."""

    def __init__(self, stream: ServerStream) -> None:
        self._stream = stream
        self._outbox = Outbox()

    def send(self, message: Message) -> None:
        """Queue an answer."""
        self._outbox.add(message)

    async def write(self) -> None:
        """Send what is queued until the stream ends or the task is cancelled."""
        try:
            while True:
                await self._outbox.changed.wait()
                frame = self._outbox.take()
                if frame is not None:
                    await self._stream.send_message(frame)
        except STREAM_ERRORS as error:
            logger.debug("an inbound stream ended: %r", error)
