"""Renewals that worker threads accept without waiting for the event loop."""

from __future__ import annotations

import threading
from collections.abc import Callable, Container
from dataclasses import dataclass

from galenadrum._internal.membership.announcement_codec import (
    RenewalBody,
    parse_renewal,
)
from galenadrum._internal.membership.entries import PeerRenewal
from galenadrum._internal.membership.validation import MAX_COUNTER, load_problems
from galenadrum._internal.models.servers import LoadReport

# The loop takes what waits at least this often, in seconds.
DRAIN_INTERVAL_S = 0.25
# Shorter leases can't spare the time that a renewal waits here.
_MIN_TTL_S = 12 * DRAIN_INTERVAL_S
_MAX_LEASE_SHARE = 0.5
_MAX_SEQUENCE_STEP = 100
_SPARE_HELD = 16


@dataclass(frozen=True, slots=True)
class _Held:
    """The last announcement that this host accepted of one server.

    Attributes:
        content: Everything in the body that renewals don't change.
        heard_at: Loop time in seconds.
    """

    content: str
    ref: int
    peer_ip: str | None
    ttl_s: float
    renew_after_s: float
    sequence: int
    heard_at: float


@dataclass(frozen=True, slots=True)
class _Waiting:
    ref: int
    sequence: int
    heard_at: float
    load: LoadReport | None


class RenewalInbox:
    """Accepts announcements that only renew what the registry holds.

    An announcement goes this way when its body differs from the last one of its
    server, over the same IP number, in nothing but sequence and load, and when
    at least half of the lease is left. All others go to the registry. The
    registry decides on what waits here as on the renewals that peers pass on, so
    a renewal can't bring back a server that left.

    All methods may be called by any thread.

    Args:
        clock: Returns the loop time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._held_by_id: dict[str, _Held] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}

    def take(self, body: bytes, peer_ip: str | None) -> float | None:
        """Return the seconds to the next renewal, or None to ask the registry."""
        renewal = parse_renewal(body)
        if renewal is None or renewal.sequence > MAX_COUNTER:
            return None
        if any(load_problems(renewal.load)):
            return None
        now = self._clock()
        with self._lock:
            held = self._held_by_id.get(renewal.server_id)
            if held is None or not _renews(held, renewal, peer_ip, now):
                return None
            self._held_by_id[renewal.server_id] = _renewed(held, renewal.sequence, now)
            self._waiting_by_id[renewal.server_id] = _Waiting(
                held.ref, renewal.sequence, now, renewal.load
            )
            return held.renew_after_s

    def hold(
        self,
        body: bytes,
        peer_ip: str | None,
        ref: int,
        ttl_s: float,
        renew_after_s: float,
    ) -> None:
        """Remember an announcement of a serving server that the registry took."""
        renewal = parse_renewal(body)
        if renewal is None or ttl_s < _MIN_TTL_S:
            return
        held = _Held(
            content=renewal.content,
            ref=ref,
            peer_ip=peer_ip,
            ttl_s=ttl_s,
            renew_after_s=renew_after_s,
            sequence=renewal.sequence,
            heard_at=self._clock(),
        )
        with self._lock:
            self._held_by_id[renewal.server_id] = held

    def forget(self, server_id: str) -> None:
        """Let the registry decide on the server's next announcement."""
        with self._lock:
            self._held_by_id.pop(server_id, None)

    def drain(self) -> dict[str, PeerRenewal]:
        """Return and forget the newest renewal of each server, by its id."""
        now = self._clock()
        with self._lock:
            waiting_by_id, self._waiting_by_id = self._waiting_by_id, {}
        return {
            server_id: PeerRenewal(
                waiting.ref, waiting.sequence, now - waiting.heard_at, waiting.load
            )
            for server_id, waiting in waiting_by_id.items()
        }

    def trim(self, known_ids: Container[str], size: int) -> None:
        """Forget servers that the registry doesn't know, once there are many.

        Args:
            known_ids: Ids of the servers that the registry knows.
            size: How many they are.
        """
        with self._lock:
            if len(self._held_by_id) <= 2 * size + _SPARE_HELD:
                return
            for server_id in list(self._held_by_id):
                if server_id not in known_ids:
                    del self._held_by_id[server_id]


def _renews(held: _Held, renewal: RenewalBody, peer_ip: str | None, now: float) -> bool:
    if renewal.content != held.content or peer_ip != held.peer_ip:
        return False
    if not 0 < renewal.sequence - held.sequence <= _MAX_SEQUENCE_STEP:
        return False
    return now - held.heard_at <= _MAX_LEASE_SHARE * held.ttl_s


def _renewed(held: _Held, sequence: int, now: float) -> _Held:
    return _Held(
        content=held.content,
        ref=held.ref,
        peer_ip=held.peer_ip,
        ttl_s=held.ttl_s,
        renew_after_s=held.renew_after_s,
        sequence=sequence,
        heard_at=now,
    )
