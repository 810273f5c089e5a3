"""Long-lived grpclib streams between processes of the system."""

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
    # A message for a stream that has just ended.
    h2.exceptions.H2Error,
)


class LinkLostError(GalenadrumError):
    """Raised when a link can't be opened or its connection breaks."""


class _LinkStream:
    """What both sides of a stream do alike."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def send(self, message: Any) -> None:
        """Send one message."""
        try:
            await self._stream.send_message(message)
        except _LINK_ERRORS as error:
            raise LinkLostError(str(error)) from error

    async def receive(self) -> Any | None:
        """Return the next message, or None at the end of the stream."""
        try:
            return await self._stream.recv_message()
        except _LINK_ERRORS as error:
            raise LinkLostError(str(error)) from error


class ClientStream(_LinkStream):
    """The dialling side of a stream, alone on its connection."""

    def __init__(self, channel: grpclib.client.Channel, stream: Any) -> None:
        super().__init__(stream)
        self._channel = channel

    def close(self) -> None:
        """Drop the connection at once."""
        self._channel.close()


class ServerStream(_LinkStream):
    """The accepting side of a stream, alone on its connection."""

    def close(self) -> None:
        """Drop the connection at once.

        grpclib offers no way to do that from a handler. Ending the handler
        leaves the connection open, and when the network has lost track of it
        nothing else would ever free its socket.
        """
        self._stream._stream.connection.close()


@asynccontextmanager
async def open_stream(
    address: str,
    method: Callable[[grpclib.client.Channel], Any],
    timeout_s: float,
) -> AsyncIterator[ClientStream]:
    """Open a stream on a connection of its own.

    Args:
        address: IP number and port of the other process.
        method: Returns the stub's method for a channel, such as
            ``lambda channel: ZoneStub(channel).Exchange``.
        timeout_s: Limit for connecting and sending the head of the request.

    Raises:
        LinkLostError: The connection can't be made in time.
    """
    host, port = split_address(address)
    channel = grpclib.client.Channel(host, port)
    try:
        async with method(channel).open() as stream:
            try:
                async with asyncio.timeout(timeout_s):
                    await stream.send_request()
            except _LINK_ERRORS as error:
                raise LinkLostError(f"{address}: {error}") from error
            try:
                yield ClientStream(channel, stream)
            finally:
                # The connection goes first, so that grpclib doesn't wait for an
                # orderly end of the stream.
                channel.close()
    finally:
        channel.close()
