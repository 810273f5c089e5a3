"""Non-blocking checks of sockets, and how closing them ends their connections."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

# Value of SO_LINGER: whether closing waits, and for how many seconds. Waiting no time
# discards unsent data and resets the connection.
_LINGER = struct.Struct("ii")

_INT = struct.Struct("i")

# The kernel lets buffers grow to several MB for each connection, also for one that this
# process doesn't read from, or whose peer doesn't read.
_SOCKET_BUFFER_BYTES = 256 * 1024


def limit_buffers(listener: socket.socket) -> None:
    """Limit the kernel's buffers of connections that a socket accepts."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)


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


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the bytes written to a TCP socket that its peer has not acknowledged.

    They include those that were not sent yet. 0 where the system can't tell.
    """
    try:
        value = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return max(0, *_INT.unpack(value))
