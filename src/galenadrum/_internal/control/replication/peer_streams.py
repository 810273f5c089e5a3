"""Streams to and from the other members.

The member that sends requests opens the stream and receives the answers on it. A
stream with requests but no answers is therefore considered dead, and is replaced
by one on a new connection.
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
    """Bounded queue of messages for a stream; drops the oldest when full."""

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

    def pop_frame(self) -> pb.PeerFrame | None:
        """Remove all queued messages and return them as one frame; None if empty."""
        self.changed.clear()
        if not self._records:
            return None
        frame = pb.PeerFrame(messages=self._records)
        self._records.clear()
        return frame

    def clear(self) -> None:
        """Drop all queued messages; the core resends those still needed."""
        self._records.clear()
        self.changed.clear()


class PeerLink:
    """Request stream to one member, opened when there is a message to send.

    Args:
        address: IP address and port of the member.
        on_message: Called with each answer.
        silence_timeout_s: Time without any answer after which the connection is
            replaced; also the maximum delay between two connections.
        rng: Random generator for the jitter of reconnects.
    """

    def __init__(
        self,
        address: str,
        on_message: Callable[[Message], None],
        silence_timeout_s: float,
        rng: random.Random,
    ) -> None:
        self.address = address
        self._on_message = on_message
        self._silence_timeout_s = silence_timeout_s
        self._rng = rng
        self._outbox = Outbox()
        self._exchange: asyncio.Task[None] | None = None
        self._unanswered_since: float | None = None
        self._has_received_answer = False
        self._loop = asyncio.get_running_loop()

    def send(self, message: Message) -> None:
        """Queue a message; replace the connection if it is silent for too long."""
        now = self._loop.time()
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since > self._silence_timeout_s and self._exchange:
            # Every new stream to an unreachable member is silent too, so only the
            # end of a stream that had answers is logged at INFO.
            level = logging.INFO if self._has_received_answer else logging.DEBUG
            logger.log(
                level,
                "no answer on the stream to %s; replacing the connection",
                self.address,
            )
            self._exchange.cancel()
            self._outbox.clear()
        self._outbox.add(message)

    async def run(self) -> None:
        """Keep a stream open while there are messages, until cancelled."""
        delay_s = _MIN_RECONNECT_DELAY_S
        while True:
            await self._outbox.wait_for_message()
            # The silence timeout restarts with each connection.
            self._unanswered_since = self._loop.time()
            self._has_received_answer = False
            self._exchange = asyncio.create_task(self._run_exchange())
            try:
                # Unlike awaiting the task, asyncio.wait distinguishes the cancellation
                # of the exchange from that of this task.
                await asyncio.wait([self._exchange])
            finally:
                self._exchange.cancel()
            if not self._exchange.cancelled():
                # After a cancellation in send(), the queue holds only the message that
                # send() added, so it isn't dropped.
                self._outbox.clear()
            delay_s = (
                _MIN_RECONNECT_DELAY_S if self._has_received_answer else delay_s * 2
            )
            delay_s = min(delay_s, self._silence_timeout_s)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random() / 2))

    async def _run_exchange(self) -> None:
        host, port = split_address(self.address)
        channel = Channel(host, port)
        try:
            async with ReplicationStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(self._silence_timeout_s):
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
            frame = self._outbox.pop_frame()
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
                self._has_received_answer = True
                for record in frame.messages:
                    self._on_message(codec.decode_message(record))
        except STREAM_ERRORS as error:
            logger.debug("the stream to %s ended: %r", self.address, error)


class InboundStream:
    """Stream opened by another member, to which this one sends answers."""

    def __init__(self, stream: ServerStream) -> None:
        self._stream = stream
        self._outbox = Outbox()

    def send(self, message: Message) -> None:
        """Queue an answer."""
        self._outbox.add(message)

    async def write(self) -> None:
        """Send queued answers until the stream ends or the task is cancelled."""
        try:
            while True:
                await self._outbox.changed.wait()
                frame = self._outbox.pop_frame()
                if frame is not None:
                    await self._stream.send_message(frame)
        except STREAM_ERRORS as error:
            logger.debug("an inbound stream ended: %r", error)
