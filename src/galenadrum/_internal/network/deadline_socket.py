"""A socket whose reads end together by one time."""

from __future__ import annotations

import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Takes over a connected socket; a peer that sends byte by byte can't hold it.

    Attributes:
        deadline: Monotonic time in seconds by which all reads end.
    """

    def __init__(self, connected: socket.socket, deadline: float) -> None:
        super().__init__(
            connected.family,
            connected.type,
            connected.proto,
            fileno=connected.detach(),
        )
        self.deadline = deadline

    def recv_into(self, *arguments: Any) -> int:
        """Read what is there, within the time that is left.

        Raises:
            TimeoutError: The time is over.
        """
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the answer took too long")
        self.settimeout(left_s)
        return super().recv_into(*arguments)
