"""Pool of idle keep-alive connections to backend servers."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from urllib3.connection import HTTPConnection

from galenadrum._internal.network.sockets import is_readable

_MAX_IDLE_S = 4.0
_MAX_IDLE_PER_ADDRESS = 64
# A server that didn't respond on a new connection is considered slow or dead for
# this long, so that its timeouts aren't attributed to stale pooled connections.
_UNRESPONSIVE_PERIOD_S = 10.0


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    idle_since: float = field(default_factory=time.monotonic)


class BlockingConnectionPool:
    """Thread-safe pool that bounds the number and idle time of connections."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}
        self._unresponsive_until_by_address: dict[str, float] = {}

    def acquire(self, address: str) -> HTTPConnection | None:
        """Remove a usable idle connection from the pool and return it.

        Expired connections, and those that the server closed, are closed.

        Returns:
            The connection, or None if the pool has none for ``address``.
        """
        oldest_idle_since = time.monotonic() - _MAX_IDLE_S
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                entry = idle.pop()
            if entry.idle_since >= oldest_idle_since and not is_readable(
                entry.connection.sock
            ):
                return entry.connection
            entry.connection.close()

    def put(self, address: str, connection: HTTPConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(_IdleConnection(connection))
                return
        connection.close()

    def close_idle(self, address: str) -> None:
        """Close all idle connections to ``address``."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def mark_unresponsive(self, address: str) -> None:
        """Record that a server didn't respond in time on a new connection."""
        now = time.monotonic()
        with self._lock:
            self._unresponsive_until_by_address = {
                other: until
                for other, until in self._unresponsive_until_by_address.items()
                if until > now
            }
            self._unresponsive_until_by_address[address] = now + _UNRESPONSIVE_PERIOD_S

    def is_unresponsive(self, address: str) -> bool:
        """Return whether a server recently didn't respond on a new connection."""
        with self._lock:
            until = self._unresponsive_until_by_address.get(address, 0.0)
        return time.monotonic() < until

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
