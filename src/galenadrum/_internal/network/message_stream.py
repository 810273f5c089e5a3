"""Streams of messages in both directions, independent of their transport."""

from __future__ import annotations

from typing import Protocol, TypeVar

MessageT = TypeVar("MessageT")


class MessageStream(Protocol[MessageT]):
    """A connection on which both sides send messages as they like."""

    async def send(self, message: MessageT) -> None:
        """Send one message; waits while the connection can't take it."""

    async def receive(self) -> MessageT | None:
        """Return the next message, or None when the other side has ended."""

    def close(self) -> None:
        """Drop the connection at once, without a farewell."""
