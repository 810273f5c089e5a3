"""Interface of bidirectional message streams, independent of the transport."""

from __future__ import annotations

from typing import Protocol, TypeVar

MessageT = TypeVar("MessageT")


class MessageStream(Protocol[MessageT]):
    """Connection on which both sides may send messages at any time."""

    async def send(self, message: MessageT) -> None:
        """Send one message; wait while the write buffer is full."""

    async def receive(self) -> MessageT | None:
        """Return the next message, or None after the peer ended the stream."""

    def close(self) -> None:
        """Close the connection at once, without ending the stream orderly."""
