"""Non-blocking checks of sockets, and how closing them ends their connections."""

from __future__ import annotations

import select
import socket
import struct

# Value of SO_LINGER: whether closing waits, and for how many seconds. Waiting no time
# discards unsent data and resets the connection.
_LINGER = struct.Struct("ii")


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


def set_reset_on_close(sock: socket.socket, resets: bool) -> None:
    """Set whether closing the socket resets its connection.

    The setting also holds for a socket that is closed by the end of the process.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(resets, 0))
