"""Bidirectional streams of small messages between hosts, batched into frames.

All messages queued in one iteration of the event loop are sent as one frame.
The dialling side sends pings and reconnects when nothing is received in reply,
since a network may drop an open connection without notice.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from grpclib.server import Stream as GrpcStream

from galenadrum._internal.exceptions import InvariantError
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

# If a packet is lost twice, TCP retransmits it 0.6 s later, which must not end the
# stream. Requests that wait at a frozen host are delayed by this time plus the ping
# interval.
SILENCE_TIMEOUT_S = 0.8
# Intervals for links on which requests wait and for standby links. A ping takes
# half a millisecond of processor time on a small host.
FREQUENT_PING_INTERVAL_S = 0.2
RESERVE_PING_INTERVAL_S = 0.8
# The accepting side waits longer, so that the dialling side times out first.
_INBOUND_SILENCE_FACTOR = 3
_SLOW_ANSWER_S = 0.4
_CONNECT_TIMEOUT_S = 1.0
_MIN_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 1.0
# A receiver that reads too slowly is disconnected instead of buffering without bound.
_MAX_QUEUED_MESSAGES = 4_096


class Outbox:
    """Bounded queue of messages for the next frame."""

    def __init__(self) -> None:
        self._messages: list[LinkMessage] = []
        self._message_added = asyncio.Event()
        self.is_overflowed = False

    def add(self, message: LinkMessage) -> None:
        """Queue a message; if the queue is full, `write_to` ends the stream."""
        if len(self._messages) >= _MAX_QUEUED_MESSAGES:
            self.is_overflowed = True
        else:
            self._messages.append(message)
        self._message_added.set()

    async def write_to(self, send: Callable) -> None:
        """Send queued messages as frames until cancelled.

        Args:
            send: Coroutine function that sends one frame.

        Raises:
            LinkLostError: The stream broke or its receiver reads too slowly.
        """
        while True:
            await self._message_added.wait()
            self._message_added.clear()
            if self.is_overflowed:
                raise LinkLostError(
                    "the receiver reads too slowly: the queue of messages is full"
                )
            messages, self._messages = self._messages, []
            if messages:
                await send(LinkFrame(messages=messages))


class HostLink:
    """Dialling side of a link to one control host; reconnects when it is lost.

    Attributes:
        peer: Latest hello message of the peer, None before the first.
        available_at: Loop time in seconds since which the peer has been available
            without interruption.

    Args:
        address: Peer address of the control host.
        hello: Returns the hello message of this host.
        deliver: Called with each received message except the hello.
        on_up: Called when the peer's first hello of a connection is received.
        on_down: Called when a connection that was up has ended.
        rng: Source of the jitter of reconnection delays.
        pings_often: Whether to use the short ping interval, which detects the loss
            of the peer sooner.
    """

    def __init__(
        self,
        address: str,
        hello: Callable[[], LinkHello],
        deliver: Callable[[HostLink, LinkMessage], None],
        on_up: Callable[[HostLink], None],
        on_down: Callable[[HostLink], None],
        rng: random.Random,
        pings_often: bool = True,
    ) -> None:
        self.address = address
        self.is_up = False
        self._pings_often = pings_often
        self.peer: LinkHello | None = None
        self.available_at = 0.0
        self._hello = hello
        self._deliver = deliver
        self._on_up = on_up
        self._on_down = on_down
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._outbox = Outbox()
        # Loop time in seconds of the first ping, or of connecting, since the last
        # received frame; None if nothing was sent since.
        self._unanswered_ping_at: float | None = None
        self._ping_requested = asyncio.Event()
        self._ping_token = 0
        self._sent_at_by_token: dict[int, float] = {}

    @property
    def is_silent(self) -> bool:
        """Whether the peer has not answered for longer than pings usually take."""
        sent_at = self._unanswered_ping_at
        return sent_at is not None and self._loop.time() - sent_at > _SLOW_ANSWER_S

    def send(self, message: LinkMessage) -> None:
        """Queue a message; it is dropped if the link goes down."""
        self._outbox.add(message)

    def watch(self, pings_often: bool) -> None:
        """Select the short or the long ping interval.

        Changing to the short one also sends a ping at once.
        """
        if pings_often and not self._pings_often:
            self.check()
        self._pings_often = pings_often

    def check(self) -> None:
        """Send a ping at once."""
        self._ping_requested.set()

    def pop_ping_sent_at(self, token: int) -> float | None:
        """Remove the send time of a ping and of all earlier pings.

        Returns:
            Loop time in seconds at which the ping was sent, or None if its token is
            unknown or was removed before.
        """
        sent_at = self._sent_at_by_token.pop(token, None)
        for older in [t for t in self._sent_at_by_token if t < token]:
            del self._sent_at_by_token[older]
        return sent_at

    async def run(self) -> None:
        """Connect, and reconnect after each loss, until cancelled."""
        delay_s = _MIN_RECONNECT_DELAY_S
        while True:
            try:
                await self._run_connection()
            except LinkLostError as error:
                logger.debug(
                    "connection of the link to %s failed: %s", self.address, error
                )
            except TimeoutError:
                logger.info(
                    "no reply to pings on the link to %s; reconnecting", self.address
                )
            except Exception:
                logger.exception("the link to %s failed; reconnecting", self.address)
            if self.is_up:
                delay_s = _MIN_RECONNECT_DELAY_S
                self._handle_loss()
            else:
                delay_s = min(delay_s * 2, _MAX_RECONNECT_DELAY_S)
            await asyncio.sleep(delay_s * (0.5 + self._rng.random() / 2))

    async def _run_connection(self) -> None:
        self._outbox = Outbox()
        self._sent_at_by_token.clear()
        self._unanswered_ping_at = self._loop.time()
        self._outbox.add(LinkMessage(hello=self._hello()))
        async with open_stream(
            self.address,
            lambda channel: GatewayControlStub(channel).Link,
            _CONNECT_TIMEOUT_S,
        ) as stream:
            parts = [
                asyncio.ensure_future(self._outbox.write_to(stream.send)),
                asyncio.ensure_future(self._receive_messages(stream)),
                asyncio.ensure_future(self._send_pings()),
            ]
            await _run_until_first_ends(parts)

    async def _receive_messages(self, stream) -> None:
        while (frame := await stream.receive()) is not None:
            self._unanswered_ping_at = None
            for message in frame.messages:
                if message.HasField("hello"):
                    self._handle_hello(message.hello)
                else:
                    _deliver_or_skip(self._deliver, self, message)
        raise LinkLostError("the peer ended the stream")

    async def _send_pings(self) -> None:
        ping_at = self._loop.time()
        while True:
            now = self._loop.time()
            if now >= ping_at or self._ping_requested.is_set():
                self._ping_requested.clear()
                self._send_ping(now)
                ping_at = now + (
                    FREQUENT_PING_INTERVAL_S
                    if self._pings_often
                    else RESERVE_PING_INTERVAL_S
                )
            expires_at = (self._unanswered_ping_at or now) + SILENCE_TIMEOUT_S
            if now >= expires_at:
                raise TimeoutError
            try:
                async with asyncio.timeout_at(min(ping_at, expires_at)):
                    await self._ping_requested.wait()
            except TimeoutError:
                continue

    def _send_ping(self, now: float) -> None:
        self._ping_token += 1
        self._sent_at_by_token[self._ping_token] = now
        if self._unanswered_ping_at is None:
            self._unanswered_ping_at = now
        ping = LinkPing(token=self._ping_token, version=self._hello().version)
        self._outbox.add(LinkMessage(ping=ping))

    def _handle_hello(self, peer: LinkHello) -> None:
        self.peer = peer
        self.available_at = self._loop.time() - peer.available_ms / 1_000
        if self.is_up:
            return
        self.is_up = True
        logger.info("link to %s (%s) is up", peer.host_id, self.address)
        self._on_up(self)

    def _handle_loss(self) -> None:
        self.is_up = False
        logger.warning("link to %s is down; reconnecting", self.address)
        self._on_down(self)


class InboundLink:
    """Accepting side of a link; ends with its connection.

    Attributes:
        peer: Hello message of the dialling host; empty until it is received.
    """

    def __init__(self, stream: GrpcStream) -> None:
        self._stream = ServerStream(stream)
        self._outbox = Outbox()
        self.peer = LinkHello()

    def send(self, message: LinkMessage) -> None:
        """Queue a message; it is dropped if the link goes down."""
        self._outbox.add(message)

    def close(self) -> None:
        """End the link, so that `serve` returns."""
        self._stream.close()

    async def serve(self, deliver: Callable[[InboundLink, LinkMessage], None]) -> None:
        """Pass on received messages until the stream ends or the peer falls silent."""
        writer = asyncio.ensure_future(self._outbox.write_to(self._stream.send))
        reader = asyncio.ensure_future(self._receive_messages(deliver))
        try:
            await _run_until_first_ends([writer, reader])
        except (LinkLostError, TimeoutError) as error:
            logger.debug(
                "inbound link from host %s ended: %s", self.peer.host_id, error
            )
        finally:
            self._stream.close()

    async def _receive_messages(
        self, deliver: Callable[[InboundLink, LinkMessage], None]
    ) -> None:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S * _INBOUND_SILENCE_FACTOR):
                frame = await self._stream.receive()
            if frame is None:
                raise LinkLostError("the peer ended the stream")
            for message in frame.messages:
                _deliver_or_skip(deliver, self, message)


def _deliver_or_skip(
    deliver: Callable[[Any, LinkMessage], None],
    link: HostLink | InboundLink,
    message: LinkMessage,
) -> None:
    """Deliver a message; skip one with values that this build doesn't accept.

    A host of another build may pass on what this one rejects. Ending the link would
    only bring the same message again.
    """
    try:
        deliver(link, message)
    except InvariantError:
        raise
    except Exception:
        logger.exception(
            "skipped a message %s of host %s",
            message.WhichOneof("body"),
            link.peer.host_id if link.peer is not None else "unknown",
        )


async def _run_until_first_ends(parts: list[asyncio.Future]) -> None:
    """Run tasks until the first ends, cancel the others and raise its exception."""
    try:
        done, _ = await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for part in parts:
            part.cancel()
        # Several tasks may fail together; only the first failure is reported.
        await asyncio.gather(*parts, return_exceptions=True)
    for part in done:
        part.result()
