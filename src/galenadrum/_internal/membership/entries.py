"""Entries of the registry, as a host holds them and as hosts exchange them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)

Rank = tuple[int, bool, int, int]


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """An announcement as one entry host passes it on to another.

    Attributes:
        age_s: Seconds since the zone heard the announcement; hosts exchange
            durations only, since their clocks have nothing in common.
    """

    announcement: Announcement
    age_s: float


@dataclass(frozen=True, slots=True)
class PeerRenewal:
    """A renewal of an entry whose other attributes did not change.

    Attributes:
        ref: Reference of the entry, see ``content_ref``.
        sequence: Sequence of the renewing announcement.
        age_s: Seconds since the zone heard it.
        load: The load report that came with it.
    """

    ref: int
    sequence: int
    age_s: float
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerCacheEvents:
    """Cache events of one server on their way between entry hosts."""

    ref: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class PeerTombstone:
    """Word that a server is gone, for a peer that still holds an entry of it.

    Attributes:
        rank: Rank of the last announcement; newer ones are not affected.
    """

    server_id: str
    rank: Rank


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as this host knows it.

    Attributes:
        announcement: The latest announcement, without cache events.
        ref: Reference of the announcement's content.
        heard_at: Loop time at which the zone heard the announcement, in seconds.
        expires_at: Loop time at which the lease ends, in seconds.
    """

    announcement: Announcement
    ref: int
    heard_at: float
    expires_at: float

    @property
    def rank(self) -> Rank:
        """The position in the order of all announcements of one server."""
        return rank_of(self.announcement, self.ref)

    def is_offered(self, now: float) -> bool:
        """Whether new work may go to the server."""
        serving = self.announcement.state is ServerState.SERVING
        return serving and self.expires_at > now

    def announcement_at(self, now: float) -> Announcement:
        """Return the announcement with the load report's age as of ``now``."""
        load = self.announcement.load
        if load is None:
            return self.announcement
        age_s = load.age_s + max(0.0, now - self.heard_at)
        return replace(self.announcement, load=replace(load, age_s=age_s))


def rank_of(announcement: Announcement, ref: int) -> Rank:
    """Order the announcements of one server; the highest one is in force.

    Leaving goes before the sequence: nothing of an incarnation that has left
    brings it back. The reference orders two different announcements that carry
    the same numbers, so that all hosts keep the same one.
    """
    leaving = announcement.state is ServerState.LEAVING
    return (announcement.incarnation, leaving, announcement.sequence, ref)


def content_ref(announcement: Announcement) -> int:
    """Return a 64-bit hash of everything that isn't renewed by each announcement."""
    content = (
        announcement.server_id,
        announcement.incarnation,
        announcement.address,
        announcement.zone,
        announcement.stages,
        announcement.capacity,
        float(announcement.ttl_s),
        str(announcement.state),
        announcement.model_versions,
        announcement.adapters,
        announcement.role,
        announcement.checks_fencing,
        announcement.checks_orderer,
    )
    digest = hashlib.blake2b(repr(content).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
