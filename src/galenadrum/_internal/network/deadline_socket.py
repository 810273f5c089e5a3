"""Socket with one deadline for all its reads."""

from __future__ import annotations

import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Connected socket whose reads share one deadline.

    A timeout for each read would let a peer that sends a byte at a time keep the
    reader waiting without limit. The given socket is detached and must not be used
    any more.

    Attributes:
        deadline: Monotonic time in seconds after which reads fail.
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
        """Receive bytes into a buffer before the deadline.

        Raises:
            TimeoutError: The deadline passed.
        """
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the response did not arrive before its deadline")
        self.settimeout(remaining_s)
        return super().recv_into(*arguments)
