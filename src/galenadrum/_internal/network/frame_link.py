"""Streams of small messages between hosts, many messages to a frame.

All messages that are queued in one pass of the event loop leave as one frame.
The dialling side sends pings; a stream on which no pong comes back is silent
and is replaced, since a network may lose track of an open connection.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from grpclib.server import Stream as GrpcStream

from galenadrum._internal.network.peer_link import (
    LinkLostError,
    ServerStream,
    open_stream,
)
from galenadrum._internal.protocol.gateway_grpc import GatewayControlStub
from galenadrum._internal.protocol.gateway_pb2 import (
    LinkFrame,
    LinkHello,
    LinkMessage,
    LinkPing,
)

logger = logging.getLogger(__name__)

# A packet that is lost twice is sent again 0.6 s later: that does not replace the
# stream. Requests that wait at a frozen host lose this time and the interval.
SILENCE_S = 0.8
# Interval of pings on a link that requests wait at, and on one that is in reserve:
# a ping costs a small host half a millisecond of processor time.
CLOSE_PING_INTERVAL_S = 0.2
RESERVE_PING_INTERVAL_S = 0.8
# The accepting side waits longer: the dialling side is to notice first.
_INBOUND_SILENCES = 3
_CONNECT_TIMEOUT_S = 1.0
_MIN_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 1.0
# A receiver that takes nothing for long is disconnected, not buffered for.
_MAX_QUEUED_MESSAGES = 4_096


class Outbox:
    """Messages that wait for the next frame."""

    def __init__(self) -> None:
        self._messages: list[LinkMessage] = []
        self._changed = asyncio.Event()
        self.is_overrun = False

    def add(self, message: LinkMessage) -> None:
        """Queue a message; beyond the bound the stream is given up."""
        if len(self._messages) >= _MAX_QUEUED_MESSAGES:
            self.is_overrun = True
        else:
            self._messages.append(message)
        self._changed.set()

    async def write_to(self, send: Callable) -> None:
        """Send frames until cancelled.

        Raises:
            LinkLostError: The stream broke or its receiver is too slow.
        """
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self.is_overrun:
                raise LinkLostError("the receiver takes messages too slowly")
            messages, self._messages = self._messages, []
            if messages:
                await send(LinkFrame(messages=messages))


class HostLink:
    """The dialling side: a link to one control host, kept open.

    Attributes:
        peer: What the other side said of itself last.
        available_at: Loop time in seconds since which the other side has worked
            without a break.

    Args:
        address: IP number and port for other hosts.
        hello: Returns what this host says of itself.
        deliver: Called with each message.
        on_up: Called when the first message of a connection has come.
        on_down: Called when a connection that was up has ended.
        rng: Spreads reconnects.
        is_close: Whether the loss of the other side is to be noticed soon.
    """

    def __init__(
        self,
        address: str,
        hello: Callable[[], LinkHello],
        deliver: Callable[[HostLink, LinkMessage], None],
        on_up: Callable[[HostLink], None],
        on_down: Callable[[HostLink], None],
        rng: random.Random,
        is_close: bool = True,
    ) -> None:
        self.address = address
        self.is_up = False
        self._is_close = is_close
        self.peer: LinkHello | None = None
        self.available_at = 0.0
        self._hello = hello
        self._deliver = deliver
        self._on_up = on_up
        self._on_down = on_down
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._outbox = Outbox()
        # Loop time in seconds of the first ping since the other side was heard.
        self._unanswered_since: float | None = None
        self._is_checked = asyncio.Event()
        self._ping_token = 0
        self._sent_at_by_token: dict[int, float] = {}

    def send(self, message: LinkMessage) -> None:
        """Queue a message; it is lost if the link goes down."""
        self._outbox.add(message)

    def watch(self, is_close: bool) -> None:
        """Set whether the loss of the other side is to be noticed soon."""
        if is_close and not self._is_close:
            self.check()
        self._is_close = is_close

    def check(self) -> None:
        """Ask at once whether the other side is there."""
        self._is_checked.set()

    def take_ping_time(self, token: int) -> float | None:
        """Return the loop time at which a ping was sent, once, in seconds."""
        sent_at = self._sent_at_by_token.pop(token, None)
        for older in [t for t in self._sent_at_by_token if t < token]:
            del self._sent_at_by_token[older]
        return sent_at

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        delay_s = _MIN_RECONNECT_DELAY_S
        while True:
            try:
                await self._run_connection()
            except LinkLostError as error:
                logger.debug("link to %s: %s", self.address, error)
            except TimeoutError:
                logger.info("link to %s is silent; connecting anew", self.address)
            if self.is_up:
                delay_s = _MIN_RECONNECT_DELAY_S
                self._set_down()
            else:
                delay_s = min(delay_s * 2, _MAX_RECONNECT_DELAY_S)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random() / 2))

    async def _run_connection(self) -> None:
        self._outbox = Outbox()
        self._sent_at_by_token.clear()
        self._unanswered_since = self._loop.time()
        self._outbox.add(LinkMessage(hello=self._hello()))
        async with open_stream(
            self.address,
            lambda channel: GatewayControlStub(channel).Link,
            _CONNECT_TIMEOUT_S,
        ) as stream:
            parts = [
                asyncio.ensure_future(self._outbox.write_to(stream.send)),
                asyncio.ensure_future(self._read(stream)),
                asyncio.ensure_future(self._ping()),
            ]
            await _run_until_first_ends(parts)

    async def _read(self, stream) -> None:
        while (frame := await stream.receive()) is not None:
            self._unanswered_since = None
            for message in frame.messages:
                if message.HasField("hello"):
                    self._set_up(message.hello)
                else:
                    self._deliver(self, message)
        raise LinkLostError("the other side ended the stream")

    async def _ping(self) -> None:
        ping_at = self._loop.time()
        while True:
            now = self._loop.time()
            if now >= ping_at or self._is_checked.is_set():
                self._is_checked.clear()
                self._send_ping(now)
                ping_at = now + (
                    CLOSE_PING_INTERVAL_S if self._is_close else RESERVE_PING_INTERVAL_S
                )
            silent_at = (self._unanswered_since or now) + SILENCE_S
            if now >= silent_at:
                raise TimeoutError
            try:
                async with asyncio.timeout_at(min(ping_at, silent_at)):
                    await self._is_checked.wait()
            except TimeoutError:
                continue

    def _send_ping(self, now: float) -> None:
        self._ping_token += 1
        self._sent_at_by_token[self._ping_token] = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        ping = LinkPing(token=self._ping_token, version=self._hello().version)
        self._outbox.add(LinkMessage(ping=ping))

    def _set_up(self, peer: LinkHello) -> None:
        self.peer = peer
        self.available_at = self._loop.time() - peer.available_ms / 1_000
        if self.is_up:
            return
        self.is_up = True
        logger.info("link to %s (%s) is up", peer.host_id, self.address)
        self._on_up(self)

    def _set_down(self) -> None:
        self.is_up = False
        logger.warning("link to %s is down", self.address)
        self._on_down(self)


class InboundLink:
    """The accepting side of a link, alive as long as its connection.

    Attributes:
        peer: What the dialling host said of itself.
    """

    def __init__(self, stream: GrpcStream) -> None:
        self._stream = ServerStream(stream)
        self._outbox = Outbox()
        self.peer = LinkHello()

    def send(self, message: LinkMessage) -> None:
        """Queue a message; it is lost if the link goes down."""
        self._outbox.add(message)

    async def serve(self, deliver: Callable[[InboundLink, LinkMessage], None]) -> None:
        """Hand on messages until the other side ends or falls silent."""
        writer = asyncio.ensure_future(self._outbox.write_to(self._stream.send))
        reader = asyncio.ensure_future(self._read(deliver))
        try:
            await _run_until_first_ends([writer, reader])
        except (LinkLostError, TimeoutError) as error:
            logger.debug("inbound link of %s ended: %s", self.peer.host_id, error)
        finally:
            self._stream.close()

    async def _read(self, deliver: Callable[[InboundLink, LinkMessage], None]) -> None:
        while True:
            async with asyncio.timeout(SILENCE_S * _INBOUND_SILENCES):
                frame = await self._stream.receive()
            if frame is None:
                raise LinkLostError("ended")
            for message in frame.messages:
                deliver(self, message)


async def _run_until_first_ends(parts: list[asyncio.Future]) -> None:
    """Wait for the first part to end, end the others and raise why it ended."""
    try:
        done, _ = await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for part in parts:
            part.cancel()
        # Several may fail together: one reason is enough.
        await asyncio.gather(*parts, return_exceptions=True)
    for part in done:
        part.result()
