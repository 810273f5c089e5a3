"""Idle connections to backend servers."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from urllib3.connection import HTTPConnection

from galenadrum._internal.network.sockets import is_readable

_IDLE_LIMIT_S = 4.0
_MAX_IDLE_PER_ADDRESS = 64
# A server that left a new connection without an answer counts as slow or dead
# for this long, so that its silence is not taken for that of connections.
_UNRESPONSIVE_S = 10.0


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    since: float = field(default_factory=time.monotonic)


class ConnectionPool:
    """Idle connections to backend servers, bounded in number and in age."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[_IdleConnection]] = {}
        self._unresponsive_until_by_address: dict[str, float] = {}

    def take(self, address: str) -> HTTPConnection | None:
        """Return an idle connection that is not known to be dead."""
        oldest = time.monotonic() - _IDLE_LIMIT_S
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                entry = idle.pop()
            if entry.since >= oldest and not is_readable(entry.connection.sock):
                return entry.connection
            entry.connection.close()

    def put(self, address: str, connection: HTTPConnection) -> None:
        """Keep a connection for a later call, or close it."""
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(_IdleConnection(connection))
                return
        connection.close()

    def discard(self, address: str) -> None:
        """Close all idle connections to an address that fell silent."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def mark_unresponsive(self, address: str) -> None:
        """Note that a new connection to an address brought no answer in time."""
        now = time.monotonic()
        with self._lock:
            self._unresponsive_until_by_address = {
                other: until
                for other, until in self._unresponsive_until_by_address.items()
                if until > now
            }
            self._unresponsive_until_by_address[address] = now + _UNRESPONSIVE_S

    def is_unresponsive(self, address: str) -> bool:
        """Return whether a new connection brought no answer of late."""
        with self._lock:
            until = self._unresponsive_until_by_address.get(address, 0.0)
        return time.monotonic() < until

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.discard(address)
