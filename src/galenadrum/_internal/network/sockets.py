"""Non-blocking checks of sockets."""

from __future__ import annotations

import select
import socket


def is_closed_by_peer(caller_socket: socket.socket) -> bool:
    """Return whether the caller closed its connection, without blocking."""
    # recv on a socket with a timeout blocks even with MSG_DONTWAIT.
    if not is_readable(caller_socket):
        return False
    try:
        return caller_socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def is_readable(sock: socket.socket | None) -> bool:
    """Return whether a read would not block; True for a missing socket."""
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
