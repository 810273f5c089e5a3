"""Long-lived grpclib streams between hosts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import grpclib.client
import grpclib.exceptions
import grpclib.server
import h2.exceptions

from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.utils.addresses import split_address

_LINK_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    # Raised for a message on a stream that has just ended.
    h2.exceptions.H2Error,
)


class LinkLostError(GalenadrumError):
    """Raised when a stream can't be opened or its connection is lost."""


class _LinkStream:
    """Base class of both sides of a stream."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def send(self, message: Any) -> None:
        """Send one message.

        Raises:
            LinkLostError: The connection is lost.
        """
        try:
            await self._stream.send_message(message)
        except _LINK_ERRORS as error:
            raise LinkLostError(str(error)) from error

    async def receive(self) -> Any | None:
        """Return the next message, or None at the end of the stream.

        Raises:
            LinkLostError: The connection is lost.
        """
        try:
            return await self._stream.recv_message()
        except _LINK_ERRORS as error:
            raise LinkLostError(str(error)) from error


class ClientStream(_LinkStream):
    """Dialling side of a stream that has its own connection."""

    def __init__(self, channel: grpclib.client.Channel, stream: Any) -> None:
        super().__init__(stream)
        self._channel = channel

    def close(self) -> None:
        """Close the connection without ending the stream orderly."""
        self._channel.close()


class ServerStream(_LinkStream):
    """Accepting side of a stream that has its own connection."""

    def close(self) -> None:
        """Close the connection without ending the stream orderly.

        grpclib has no public API for this in a handler. Returning from the handler
        leaves the connection open, and its socket would leak if the network dropped
        the connection without notice.
        """
        self._stream._stream.connection.close()


@asynccontextmanager
async def open_stream(
    address: str,
    method: Callable[[grpclib.client.Channel], Any],
    timeout_s: float,
) -> AsyncIterator[ClientStream]:
    """Open a stream on a new connection, which is closed on exit.

    Args:
        address: IP address and port of the other process.
        method: Returns the method of a stub for a channel, such as
            ``lambda channel: ZoneStub(channel).Exchange``.
        timeout_s: Timeout for connecting and sending the head of the request.

    Raises:
        LinkLostError: Connecting failed or timed out.
    """
    host, port = split_address(address)
    channel = grpclib.client.Channel(host, port)
    try:
        async with method(channel).open() as stream:
            try:
                async with asyncio.timeout(timeout_s):
                    await stream.send_request()
            except _LINK_ERRORS as error:
                raise LinkLostError(
                    f"failed to open a stream to {address}: {error}"
                ) from error
            try:
                yield ClientStream(channel, stream)
            finally:
                # Close the connection first, so that grpclib doesn't wait for an
                # orderly end of the stream.
                channel.close()
    finally:
        channel.close()
