"""Memory that a process holds for callers and for the responses of backend servers.

Each connection limits its own request and response, but a host may have hundreds of
them. The account adds up what all hold and acts before the process's memory is used up.
docs/design/caller-memory.md describes the levels and the options that were weighed.
"""

from __future__ import annotations

import asyncio
import logging
import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from galenadrum._internal.observability.metrics import Metrics

logger = logging.getLogger(__name__)

# Shares of the process's memory. An idle process uses up to 60 MB of 160; what remains
# of the rest is for connections, fragmentation and messages between hosts.
_RESPONSE_SHARE = 1 / 8
_CALLER_SHARE = 1 / 4
# Used where the settings name no memory limit.
_DEFAULT_RESPONSE_BYTES = 64 * 1024 * 1024
_DEFAULT_CALLER_BYTES = 256 * 1024 * 1024
# Levels, as shares of the callers' limit. Reading resumes below a lower level than that
# at which it pauses, so that connections don't alternate between the two.
_PAUSE_SHARE = 0.5
_RESUME_SHARE = 0.4
_SHED_SHARE = 0.75
# A connection that holds less is neither paused nor closed. At the largest number of
# connections all of these together stay below a quarter of the callers' limit.
_SMALL_BYTES = 8 * 1024
# Memory of the objects of a connection without a request, with a margin.
_CONNECTION_BYTES = 12 * 1024
# What a connection whose reading resumes may add by one read of 64 KiB.
_READ_COST_BYTES = 3 * 64 * 1024
# Time after which connections are closed while new requests are rejected.
_SHED_AGE_S = 1.0
# The same while others only wait to be read, one at a time. A body of 4 MiB arrives
# within this time at 8 Mbit/s.
_PAUSED_AGE_S = 4.0
_LOG_INTERVAL_S = 1.0


class Holder(Protocol):
    """Connection of a caller."""

    def hold_back(self, is_held_back: bool) -> None:
        """Pause or resume reading."""

    def close_for_memory(self, reason: str) -> None:
        """Reject the request or abort the connection, and drop what it holds."""

    def describe_peer(self) -> str:
        """Return the address of the caller, for logs."""


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection of a caller holds.

    Attributes:
        held_bytes: Estimated cost in memory, including copies and objects.
        is_receiving: Whether a request is incomplete, so that reads add to it.
        is_sending: Whether output waits for the caller.
        large_since: Loop time in seconds since which it holds more than a small part;
            None if it doesn't.
        is_closed: Whether it was closed for memory already.
    """

    owner: Holder
    held_bytes: int = 0
    is_receiving: bool = False
    is_sending: bool = False
    large_since: float | None = None
    is_closed: bool = False


class MemoryAccount:
    """Adds up what connections hold, and acts at several levels.

    Responses of backend servers: beyond an eighth of the process's memory the largest
    is broken off. Callers: beyond levels of a quarter of it, reading pauses for the
    connections that hold most, new requests are rejected, and the connection that has
    held most for longest is closed.

    Attributes:
        response_bytes: Bytes of responses that connections to backend servers hold.
        caller_bytes: Cost of what connections of callers hold.

    Args:
        process_bytes: Memory limit of the process in bytes; 0 if it has none.
        metrics: Counts what the account does; None to count nothing.
    """

    def __init__(self, process_bytes: int = 0, metrics: Metrics | None = None) -> None:
        self._response_limit = (
            int(process_bytes * _RESPONSE_SHARE) or _DEFAULT_RESPONSE_BYTES
        )
        self._caller_limit = int(process_bytes * _CALLER_SHARE) or _DEFAULT_CALLER_BYTES
        self._pause_bytes = int(self._caller_limit * _PAUSE_SHARE)
        self._resume_bytes = int(self._caller_limit * _RESUME_SHARE)
        self._shed_bytes = int(self._caller_limit * _SHED_SHARE)
        self._metrics = metrics
        self._held_by_response: dict[Callable[[str], None], int] = {}
        self.response_bytes = 0
        self.caller_bytes = 0
        # Used as ordered sets.
        self._large: dict[Holding, None] = {}
        self._paused: dict[Holding, None] = {}
        # One connection is always read on, so that bodies complete one by one.
        self._unpaused: Holding | None = None
        self._is_pausing = False
        self._closed_at = float("-inf")
        self._logged_at = float("-inf")
        self._unlogged = 0
        if metrics is not None:
            metrics.register_gauge("response_bytes_held", lambda: self.response_bytes)
            metrics.register_gauge("caller_bytes_held", lambda: self.caller_bytes)
            metrics.register_gauge(
                "caller_connections_paused", lambda: len(self._paused)
            )

    # Responses of backend servers.

    def record_response(self, fail: Callable[[str], None], held_bytes: int) -> None:
        """Record the bytes that one connection to a backend server holds now.

        Args:
            fail: Method of the connection that breaks off its response with a reason.
                It identifies the connection.
            held_bytes: All bytes of its response that are kept.
        """
        before = self._held_by_response.pop(fail, 0)
        self.response_bytes += held_bytes - before
        if held_bytes:
            self._held_by_response[fail] = held_bytes
        while self.response_bytes > self._response_limit:
            self._break_off_largest()

    def _break_off_largest(self) -> None:
        fail, held_bytes = max(self._held_by_response.items(), key=lambda item: item[1])
        total_bytes = self.response_bytes
        del self._held_by_response[fail]
        self.response_bytes -= held_bytes
        self._count("responses_broken_off_for_memory")
        logger.warning(
            "all responses together hold %d bytes, more than the limit of %d; breaking "
            "off the largest, which holds %d",
            total_bytes,
            self._response_limit,
            held_bytes,
        )
        fail(
            f"the response was the largest, with {held_bytes} bytes, when all together "
            f"held more than {self._response_limit}"
        )

    # Connections of callers.

    @property
    def is_shedding(self) -> bool:
        """Whether new requests are to be rejected."""
        return self.caller_bytes > self._shed_bytes

    def find_max_connections(self, share: float) -> int:
        """Return the number of connections that one address may have open.

        Args:
            share: Share of the process's descriptors for the address.
        """
        by_memory = self._caller_limit * share / _CONNECTION_BYTES
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            return int(by_memory)
        return int(min(by_memory, descriptors * share))

    def record_caller(
        self, holding: Holding, held_bytes: int, is_receiving: bool, is_sending: bool
    ) -> None:
        """Record what the connection of a caller holds now.

        Args:
            holding: Holding of the connection.
            held_bytes: Cost of what it holds; 0 once nothing is left of it.
            is_receiving: Whether a request is incomplete.
            is_sending: Whether output waits for the caller.
        """
        self.caller_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        holding.is_receiving = is_receiving
        holding.is_sending = is_sending
        if held_bytes > _SMALL_BYTES or holding.large_since is not None:
            self._track(holding)
        if self._is_pausing or self.caller_bytes > self._pause_bytes:
            self._relieve(holding)

    def _track(self, holding: Holding) -> None:
        is_large = holding.held_bytes > _SMALL_BYTES
        if is_large and holding.large_since is None:
            holding.large_since = asyncio.get_running_loop().time()
            self._large[holding] = None
        elif not is_large:
            holding.large_since = None
            self._large.pop(holding, None)
        if not (is_large and holding.is_receiving):
            if self._paused.pop(holding, False) is None:
                holding.owner.hold_back(False)
            if self._unpaused is holding:
                self._unpaused = None

    def _relieve(self, holding: Holding) -> None:
        """Act on the level that the callers' total has reached."""
        while self.caller_bytes > self._caller_limit:
            worst = self._find_worst(min_age_s=0.0, closes_running=True)
            if worst is None:
                break
            self._close(worst)
        if self.caller_bytes > self._pause_bytes:
            for large in list(self._large) if not self._is_pausing else (holding,):
                self._pause(large)
            self._is_pausing = True
            self._choose_unpaused()
        else:
            self._resume_some()

    def _pause(self, holding: Holding) -> None:
        can_grow = holding.large_since is not None and holding.is_receiving
        if not can_grow or holding in self._paused or holding is self._unpaused:
            return
        if self._unpaused is None:
            self._unpaused = holding
            return
        self._paused[holding] = None
        self._count("caller_reads_paused")
        holding.owner.hold_back(True)

    def _choose_unpaused(self) -> None:
        if self._unpaused is None and self._paused:
            self._unpaused = next(iter(self._paused))
            self._resume(self._unpaused)

    def _resume(self, holding: Holding) -> None:
        del self._paused[holding]
        holding.owner.hold_back(False)

    def _resume_some(self) -> None:
        """Resume as many connections as may read once below the level."""
        room_bytes = self._resume_bytes - self.caller_bytes
        if room_bytes <= 0:
            self._choose_unpaused()
            return
        for holding in list(self._paused)[: 1 + room_bytes // _READ_COST_BYTES]:
            self._resume(holding)
        if not self._paused:
            self._is_pausing = False
            self._unpaused = None

    def relieve_periodically(self) -> None:
        """Close connections that have held much for long, and resume others.

        Called several times a second by each server that uses the account.
        """
        if not self._is_pausing:
            return
        now = asyncio.get_running_loop().time()
        if self.is_shedding:
            while self.caller_bytes > self._resume_bytes and self._close_worst(
                _SHED_AGE_S
            ):
                pass
        elif self._paused and now - self._closed_at >= _PAUSED_AGE_S:
            self._close_worst(_PAUSED_AGE_S)
        if self.caller_bytes <= self._pause_bytes:
            self._resume_some()
        else:
            self._choose_unpaused()

    def _close_worst(self, min_age_s: float) -> bool:
        """Close the connection that has held most for longest; return whether."""
        worst = self._find_worst(min_age_s, closes_running=False)
        if worst is not None:
            self._close(worst)
        return worst is not None

    def _find_worst(self, min_age_s: float, closes_running: bool) -> Holding | None:
        """Return the connection that has held most for longest.

        Connections whose request is running are returned only if no other is left.
        """
        now = asyncio.get_running_loop().time()

        def find_weight(holding: Holding) -> tuple[bool, float]:
            is_waiting = holding.is_receiving or holding.is_sending
            # A moment is added so that size decides among those of the same moment.
            return is_waiting, holding.held_bytes * (now - holding.large_since + 0.01)

        candidates = [
            holding
            for holding in self._large
            if not holding.is_closed
            and now - holding.large_since >= min_age_s
            and (closes_running or holding.is_receiving or holding.is_sending)
        ]
        return max(candidates, key=find_weight, default=None)

    def _close(self, holding: Holding) -> None:
        now = asyncio.get_running_loop().time()
        holding.is_closed = True
        self._closed_at = now
        self._count("caller_connections_closed_for_memory")
        self._log(
            "connections of callers hold %d bytes, limit %d; closing that of %s, which "
            "has held %d bytes for %.1f s",
            self.caller_bytes,
            self._caller_limit,
            holding.owner.describe_peer(),
            holding.held_bytes,
            now - holding.large_since,
        )
        holding.owner.close_for_memory(
            "this host has too little memory for the request now"
        )

    def record_rejection(self, status: int, reason: str, peer: str) -> None:
        """Count a request that a server rejects unread, and log it."""
        self._count("caller_requests_rejected", status=str(status))
        self._log(
            "rejected a request of %s with HTTP status %d: %s (callers hold %d bytes, "
            "limit %d)",
            peer,
            status,
            reason,
            self.caller_bytes,
            self._caller_limit,
        )

    def _log(self, message: str, *arguments: object) -> None:
        """Log at most one line a second, since callers decide how many there are."""
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < _LOG_INTERVAL_S:
            self._unlogged += 1
            return
        logger.warning(message + "; %d lines left out", *arguments, self._unlogged)
        self._logged_at, self._unlogged = now, 0

    def _count(self, name: str, **labels: str) -> None:
        if self._metrics is not None:
            self._metrics.increment(name, **labels)
