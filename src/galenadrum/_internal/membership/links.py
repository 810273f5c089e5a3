"""What waits to be sent on one link between two entry hosts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from galenadrum._internal.membership.entries import PeerCacheEvents

HEARTBEAT_INTERVAL_S = 0.75
SILENCE_LIMIT_S = 2.25
URGENT_DELAY_S = 0.02
_MAX_WAITING_EVENTS = 64
_SUMMARY_INTERVAL_S = 3.0
_MAX_SUMMARY_INTERVAL_S = 48.0
_MISMATCH_GRACE_S = 0.5
_WANTED_INTERVAL_S = 2.0
_MAX_WANTED = 4_096


@dataclass(slots=True)
class Link:
    """The state of one link; entries that wait are named, not copied.

    Attributes:
        is_writing: Whether the last message has not left yet.
        flush_at: Loop time in seconds at which the next message is due.
        server_ids: Servers whose full entries wait.
        renewed_ids: Servers whose renewals wait.
        host_ids: Hosts whose full records wait.
        beat_ids: Hosts whose beats wait.
        gone_ids: Servers that are gone, which the peer still holds.
        zones: Zones whose digests wait.
    """

    link_id: int
    heard_at: float
    flush_at: float
    peer_host_id: str | None = None
    has_said_hello: bool = False
    is_writing: bool = False
    server_ids: set[str] = field(default_factory=set)
    renewed_ids: set[str] = field(default_factory=set)
    host_ids: set[str] = field(default_factory=set)
    beat_ids: set[str] = field(default_factory=set)
    gone_ids: set[str] = field(default_factory=set)
    zones: set[str] = field(default_factory=set)
    wanted: set[int] = field(default_factory=set)
    says_held: bool = False
    cache_events: deque[PeerCacheEvents] = field(
        default_factory=lambda: deque(maxlen=_MAX_WAITING_EVENTS)
    )
    mismatch_since: float | None = None
    summary_interval_s: float = _SUMMARY_INTERVAL_S
    next_summary_at: float = 0.0
    wanted_at_by_ref: dict[int, float] = field(default_factory=dict)

    def hurry(self, now: float) -> None:
        """Send the next message soon, with what else comes until then."""
        self.flush_by(now + URGENT_DELAY_S)

    def flush_by(self, at: float) -> None:
        """Send the next message at ``at``, in loop time, at the latest."""
        self.flush_at = min(self.flush_at, at)

    def want(self, ref: int, now: float) -> None:
        """Ask for an entry, unless it was asked for a moment ago."""
        asked_at = self.wanted_at_by_ref.get(ref)
        if asked_at is not None and now - asked_at < _WANTED_INTERVAL_S:
            return
        if len(self.wanted_at_by_ref) >= _MAX_WANTED:
            self.wanted_at_by_ref.clear()
        self.wanted_at_by_ref[ref] = now
        self.wanted.add(ref)
        self.hurry(now)

    def compare_digest(self, matches: bool, now: float) -> bool:
        """Return whether to send all references, since the two sides differ.

        Entries that are under way make digests differ for a moment, so only a
        difference that lasts counts. Summaries that do not help get rarer.
        """
        if matches:
            self.mismatch_since = None
            self.summary_interval_s = _SUMMARY_INTERVAL_S
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
