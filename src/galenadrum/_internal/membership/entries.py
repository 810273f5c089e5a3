"""Registry entries, in the local form and in the form sent between hosts."""

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
    """An announcement in the form sent between entry hosts.

    Attributes:
        age_s: Seconds since an entry host received the announcement from the
            server. Hosts exchange durations only, since their clocks are not
            synchronised.
    """

    announcement: Announcement
    age_s: float


@dataclass(frozen=True, slots=True)
class PeerRenewal:
    """A lease renewal of an entry whose attributes are unchanged.

    Attributes:
        ref: Reference of the entry, see ``content_ref``.
        sequence: Sequence of the renewing announcement.
        age_s: Seconds since an entry host received the renewal from the server.
        load: Load report of the renewing announcement.
    """

    ref: int
    sequence: int
    age_s: float
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerCacheEvents:
    """Cache events of one server in the form sent between entry hosts."""

    ref: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class PeerTombstone:
    """Notice that a server is gone, for a peer that still holds its entry.

    Attributes:
        rank: Rank of the last announcement; entries of higher rank are kept.
    """

    server_id: str
    rank: Rank


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The registry's entry of a backend server.

    Attributes:
        announcement: The latest announcement, without cache events.
        ref: Reference of the announcement's content.
        received_at: Loop time at which an entry host received the announcement from
            the server, in seconds.
        expires_at: Loop time at which the lease ends, in seconds.
    """

    announcement: Announcement
    ref: int
    received_at: float
    expires_at: float

    @property
    def rank(self) -> Rank:
        """Rank among all announcements of the server, see ``rank_of``."""
        return rank_of(self.announcement, self.ref)

    def is_available(self, now: float) -> bool:
        """Return whether the server may be given new work at ``now``."""
        serving = self.announcement.state is ServerState.SERVING
        return serving and self.expires_at > now

    def announcement_at(self, now: float) -> Announcement:
        """Return the announcement with the load report's age as of ``now``."""
        load = self.announcement.load
        if load is None:
            return self.announcement
        age_s = load.age_s + max(0.0, now - self.received_at)
        return replace(self.announcement, load=replace(load, age_s=age_s))


def rank_of(announcement: Announcement, ref: int) -> Rank:
    """Return the sort key of an announcement among those of one server.

    The announcement with the highest rank is in force. The leaving state is
    compared before the sequence, so that no other announcement of an incarnation
    that has left reinstates it. The reference breaks ties between different
    announcements with equal numbers, so that all hosts keep the same one.
    """
    leaving = announcement.state is ServerState.LEAVING
    return (announcement.incarnation, leaving, announcement.sequence, ref)


def content_ref(announcement: Announcement) -> int:
    """Return a 64-bit hash of all fields that a renewal leaves unchanged."""
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
