"""Inbox for renewals that worker threads accept without the event loop."""

from __future__ import annotations

import threading
from collections.abc import Callable, Container
from dataclasses import dataclass

from galenadrum._internal.membership.announcement_codec import (
    RenewalBody,
    parse_renewal,
)
from galenadrum._internal.membership.entries import PeerRenewal
from galenadrum._internal.membership.validation import MAX_COUNTER, iter_load_problems
from galenadrum._internal.models.servers import LoadReport

# Longest interval between two drains by the event loop.
DRAIN_INTERVAL_S = 0.25
# A shorter lease can't spare the time that a renewal waits for the next drain.
_MIN_TTL_S = 12 * DRAIN_INTERVAL_S
_MAX_ELAPSED_LEASE_SHARE = 0.5
_MAX_SEQUENCE_STEP = 100
_MAX_SPARE_ANNOUNCEMENTS = 16


@dataclass(frozen=True, slots=True)
class _HeldAnnouncement:
    """Last announcement that this host accepted from a server.

    Attributes:
        content: The part of the body that must stay the same in a renewal.
        received_at: Loop time of receipt in seconds.
    """

    content: str
    ref: int
    peer_ip: str | None
    ttl_s: float
    renew_after_s: float
    sequence: int
    received_at: float


@dataclass(frozen=True, slots=True)
class _WaitingRenewal:
    """Newest renewal that was accepted from a server and isn't drained yet.

    Attributes:
        received_at: Loop time of receipt in seconds.
    """

    ref: int
    sequence: int
    received_at: float
    load: LoadReport | None


class RenewalInbox:
    """Accepts announcements that only renew a lease.

    An announcement is accepted here if it comes from the same IP address as the
    server's last one, its body differs only in sequence and load, and at least
    half of the lease is left. All others have to go to the registry. The registry
    checks drained renewals like renewals from peers, so a renewal can't restore a
    server that has left.

    All methods are thread-safe.

    Args:
        clock: Returns the loop time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._held_by_id: dict[str, _HeldAnnouncement] = {}
        self._waiting_by_id: dict[str, _WaitingRenewal] = {}

    def accept_renewal(self, body: bytes, peer_ip: str | None) -> float | None:
        """Accept a renewal.

        Args:
            body: Request body as received.
            peer_ip: IP address of the connection's other end.

        Returns:
            Seconds until the server should renew again; None if the announcement
            wasn't accepted and has to go to the registry.
        """
        renewal = parse_renewal(body)
        if renewal is None or renewal.sequence > MAX_COUNTER:
            return None
        if any(iter_load_problems(renewal.load)):
            return None
        now = self._clock()
        with self._lock:
            held = self._held_by_id.get(renewal.server_id)
            if held is None or not _can_renew(held, renewal, peer_ip, now):
                return None
            self._held_by_id[renewal.server_id] = _build_renewed(
                held, renewal.sequence, now
            )
            self._waiting_by_id[renewal.server_id] = _WaitingRenewal(
                held.ref, renewal.sequence, now, renewal.load
            )
            return held.renew_after_s

    def hold_announcement(
        self,
        body: bytes,
        peer_ip: str | None,
        ref: int,
        ttl_s: float,
        renew_after_s: float,
    ) -> None:
        """Store a serving server's announcement that the registry accepted."""
        renewal = parse_renewal(body)
        if renewal is None or ttl_s < _MIN_TTL_S:
            return
        held = _HeldAnnouncement(
            content=renewal.content,
            ref=ref,
            peer_ip=peer_ip,
            ttl_s=ttl_s,
            renew_after_s=renew_after_s,
            sequence=renewal.sequence,
            received_at=self._clock(),
        )
        with self._lock:
            self._held_by_id[renewal.server_id] = held

    def discard_announcement(self, server_id: str) -> None:
        """Remove a server, so that its next announcement goes to the registry."""
        with self._lock:
            self._held_by_id.pop(server_id, None)

    def drain_renewals(self) -> dict[str, PeerRenewal]:
        """Remove and return the newest renewal of each server, by server id."""
        now = self._clock()
        with self._lock:
            waiting_by_id, self._waiting_by_id = self._waiting_by_id, {}
        return {
            server_id: PeerRenewal(
                waiting.ref, waiting.sequence, now - waiting.received_at, waiting.load
            )
            for server_id, waiting in waiting_by_id.items()
        }

    def discard_unknown_servers(
        self, known_ids: Container[str], known_count: int
    ) -> None:
        """Remove servers that the registry doesn't know, once there are many.

        Args:
            known_ids: Ids of the servers that the registry knows.
            known_count: Number of these servers.
        """
        with self._lock:
            if len(self._held_by_id) <= 2 * known_count + _MAX_SPARE_ANNOUNCEMENTS:
                return
            for server_id in list(self._held_by_id):
                if server_id not in known_ids:
                    del self._held_by_id[server_id]


def _can_renew(
    held: _HeldAnnouncement, renewal: RenewalBody, peer_ip: str | None, now: float
) -> bool:
    if renewal.content != held.content or peer_ip != held.peer_ip:
        return False
    if not 0 < renewal.sequence - held.sequence <= _MAX_SEQUENCE_STEP:
        return False
    return now - held.received_at <= _MAX_ELAPSED_LEASE_SHARE * held.ttl_s


def _build_renewed(
    held: _HeldAnnouncement, sequence: int, now: float
) -> _HeldAnnouncement:
    return _HeldAnnouncement(
        content=held.content,
        ref=held.ref,
        peer_ip=held.peer_ip,
        ttl_s=held.ttl_s,
        renew_after_s=held.renew_after_s,
        sequence=sequence,
        received_at=now,
    )
