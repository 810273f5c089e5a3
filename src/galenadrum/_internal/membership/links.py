"""Send queue of one link between two entry hosts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from galenadrum._internal.membership.entries import PeerCacheEvents

HEARTBEAT_INTERVAL_S = 0.75
SILENCE_LIMIT_S = 2.25
URGENT_DELAY_S = 0.02
_MAX_QUEUED_EVENTS = 64
_INITIAL_SUMMARY_INTERVAL_S = 3.0
_MAX_SUMMARY_INTERVAL_S = 48.0
_MISMATCH_GRACE_S = 0.5
_REQUEST_RETRY_INTERVAL_S = 2.0
_MAX_TRACKED_REQUESTS = 4_096


@dataclass(slots=True)
class Link:
    """State of one link.

    Queued entries are held by id or reference and read when a message is built,
    so that the newest version is sent.

    Attributes:
        received_at: Loop time in seconds of the last message from the peer, or of the
            opening of the link.
        is_writing: Whether the last message is still being written.
        flush_at: Loop time in seconds at which the next message is due.
        server_ids: Ids of servers whose full entries are queued.
        renewal_ids: Ids of servers whose renewals are queued.
        host_ids: Ids of hosts whose full records are queued.
        beat_ids: Ids of hosts whose beats are queued.
        tombstone_ids: Ids of servers that are gone but whose entries the peer holds.
        zones: Zones whose digests are queued.
        wanted: References of the entries to request from the peer.
        must_send_refs: Whether the next message carries all references.
        mismatch_since: Loop time in seconds since which the digests of both sides
            differ; None while they match.
    """

    link_id: int
    received_at: float
    flush_at: float
    peer_host_id: str | None = None
    has_sent_hello: bool = False
    is_writing: bool = False
    server_ids: set[str] = field(default_factory=set)
    renewal_ids: set[str] = field(default_factory=set)
    host_ids: set[str] = field(default_factory=set)
    beat_ids: set[str] = field(default_factory=set)
    tombstone_ids: set[str] = field(default_factory=set)
    zones: set[str] = field(default_factory=set)
    wanted: set[int] = field(default_factory=set)
    must_send_refs: bool = False
    cache_events: deque[PeerCacheEvents] = field(
        default_factory=lambda: deque(maxlen=_MAX_QUEUED_EVENTS)
    )
    mismatch_since: float | None = None
    summary_interval_s: float = _INITIAL_SUMMARY_INTERVAL_S
    next_summary_at: float = 0.0
    requested_at_by_ref: dict[int, float] = field(default_factory=dict)

    def flush_soon(self, now: float) -> None:
        """Send the next message after a short delay, to batch it with other entries."""
        self.flush_by(now + URGENT_DELAY_S)

    def flush_by(self, at: float) -> None:
        """Send the next message no later than loop time ``at``, in seconds."""
        self.flush_at = min(self.flush_at, at)

    def request_entry(self, ref: int, now: float) -> None:
        """Request an entry from the peer, unless it was requested recently."""
        requested_at = self.requested_at_by_ref.get(ref)
        if requested_at is not None and now - requested_at < _REQUEST_RETRY_INTERVAL_S:
            return
        if len(self.requested_at_by_ref) >= _MAX_TRACKED_REQUESTS:
            self.requested_at_by_ref.clear()
        self.requested_at_by_ref[ref] = now
        self.wanted.add(ref)
        self.flush_soon(now)

    def record_digest_match(self, matches: bool, now: float) -> bool:
        """Record whether the digests match; return whether to send all references.

        Entries in transit make the digests differ briefly, so only a lasting
        mismatch counts. The interval between summaries doubles, up to a limit,
        for as long as they do not resolve the mismatch.
        """
        if matches:
            self.mismatch_since = None
            self.summary_interval_s = _INITIAL_SUMMARY_INTERVAL_S
            return False
        if self.mismatch_since is None:
            self.mismatch_since = now
            return False
        if now - self.mismatch_since < _MISMATCH_GRACE_S or now < self.next_summary_at:
            return False
        self.next_summary_at = now + self.summary_interval_s
        self.summary_interval_s = min(
            2 * self.summary_interval_s, _MAX_SUMMARY_INTERVAL_S
        )
        return True
