"""The registry of a zone's backend servers on one entry host."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, KeysView
from dataclasses import dataclass, replace

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.membership.entries import (
    PeerCacheEvents,
    PeerEntry,
    PeerRenewal,
    PeerTombstone,
    Rank,
    ServerEntry,
    content_ref,
    rank_of,
)
from galenadrum._internal.membership.reports import ReportQueue
from galenadrum._internal.membership.validation import MAX_TTL_S, check_announcement
from galenadrum._internal.membership.verdicts import (
    Change,
    Rejection,
    RejectReason,
    Verdict,
)
from galenadrum._internal.models.servers import Announcement, ServerState

_RENEWALS_PER_TTL = 3
_MAX_SERVERS = 2_000
_MAX_TOMBSTONES = 4_096
_TOMBSTONE_RETENTION_S = 3_600.0
_INCARNATION_SLACK = 24 * 3_600 * 1_000
_INCARNATIONS_PER_S = 2_000
_SEQUENCE_SLACK = 1_000
_SEQUENCES_PER_S = 1_000

_ALREADY_KNOWN = Rejection(RejectReason.REPLAYED, "already known")
_LEASE_ENDED = Rejection(RejectReason.EXPIRED, "the lease has ended")
_GONE = Rejection(RejectReason.GONE, "the server is gone")


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """The last known announcement of a server that is gone."""

    rank: Rank
    heard_at: float
    forget_at: float


class ServerRegistry:
    """Knows the zone's backend servers and which of them take new work.

    The registry opens no socket and reads no clock: ``now`` is the event loop's
    time in seconds and must not decrease from call to call.

    Args:
        zone: The zone whose servers are accepted.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._ids_by_stage: dict[str, set[str]] = {}
        self._id_by_ref: dict[int, str] = {}
        self._tombstones_by_id: OrderedDict[str, _Tombstone] = OrderedDict()
        self._reports = ReportQueue()
        self._serving_id_by_address: dict[str, str] = {}
        self._earliest_expiry = math.inf
        self._digest = 0
        self._version = 0

    @property
    def version(self) -> int:
        """Rises whenever a server joins, leaves, expires or changes."""
        return self._version

    @property
    def size(self) -> int:
        """The number of backend servers that are known, leaving ones included."""
        return len(self._entries_by_id)

    @property
    def has_reports(self) -> bool:
        """Whether ``drain_reports`` has something to return."""
        return bool(self._reports)

    @property
    def digest(self) -> int:
        """XOR of the references of all entries; equal on hosts that agree."""
        return self._digest

    def announce(
        self, announcement: Announcement, now: float, peer_ip: str | None = None
    ) -> Verdict:
        """Take an announcement that a backend server made to this host.

        Args:
            announcement: The announcement as it was parsed.
            now: Loop time in seconds.
            peer_ip: IP number of the connection's other end; None skips the
                comparison with the announced address.
        """
        self.tick(now)
        rejection = check_announcement(announcement, self._zone, peer_ip)
        if rejection is None:
            rejection = self._check_order(announcement, now)
        if rejection is None:
            rejection = self._check_claims(announcement)
        if rejection is not None:
            return Verdict(announcement.server_id, rejection=rejection)
        return self._store(announcement, content_ref(announcement), now)

    def merge(
        self, peer_entries: Iterable[PeerEntry], now: float
    ) -> tuple[Verdict, ...]:
        """Take entries that another entry host passed on, in any order."""
        self.tick(now)
        return tuple(self._merge_entry(entry, now) for entry in peer_entries)

    def merge_renewal(self, renewal: PeerRenewal, now: float) -> Verdict | None:
        """Take a renewal that a peer passed on; None if its entry is unknown."""
        server_id = self._id_by_ref.get(renewal.ref)
        if server_id is None:
            return None
        entry = self._entries_by_id[server_id]
        if renewal.sequence <= entry.announcement.sequence:
            return Verdict(server_id, rejection=_ALREADY_KNOWN)
        heard_at = now - max(0.0, renewal.age_s)
        if heard_at + _lease_s(entry.announcement) <= now:
            return Verdict(server_id, rejection=_LEASE_ENDED)
        announcement = replace(
            entry.announcement, sequence=renewal.sequence, load=renewal.load
        )
        return self._store(announcement, renewal.ref, heard_at)

    def merge_cache_events(self, cache_events: PeerCacheEvents) -> PeerCacheEvents:
        """Take cache events that a peer passed on; return those that are new."""
        entry = self.entry_by_ref(cache_events.ref)
        if entry is None:
            return PeerCacheEvents(cache_events.ref, ())
        events = self._reports.add_events(entry.announcement, cache_events.events)
        return PeerCacheEvents(cache_events.ref, events)

    def merge_tombstone(self, tombstone: PeerTombstone, now: float) -> None:
        """Drop an entry that a peer knows to be gone, unless it is newer."""
        entry = self._entries_by_id.get(tombstone.server_id)
        if entry is not None and entry.rank <= tombstone.rank:
            self._bury(tombstone.server_id, now, tombstone.rank)

    def tombstone_by_id(self, server_id: str) -> PeerTombstone | None:
        """Return the tombstone of a server that is gone, to be told to peers."""
        tombstone = self._tombstones_by_id.get(server_id)
        return None if tombstone is None else PeerTombstone(server_id, tombstone.rank)

    def entry_by_id(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a server, or None when it isn't known."""
        return self._entries_by_id.get(server_id)

    def entry_by_ref(self, ref: int) -> ServerEntry | None:
        """Return the entry with this content, or None when it isn't known."""
        server_id = self._id_by_ref.get(ref)
        return None if server_id is None else self._entries_by_id[server_id]

    def ids(self) -> KeysView[str]:
        """Return the ids of all servers that are known."""
        return self._entries_by_id.keys()

    def refs(self) -> tuple[int, ...]:
        """Return the references of all entries."""
        return tuple(self._id_by_ref)

    def peer_entry(self, entry: ServerEntry, now: float) -> PeerEntry:
        """Return an entry in the form that is passed on to peers."""
        return PeerEntry(entry.announcement, now - entry.heard_at)

    def servers_by_stage(self, stage: str, now: float) -> tuple[Announcement, ...]:
        """Return the servers of a stage that take new work, by server id."""
        return self._offered(self._ids_by_stage.get(stage, ()), now)

    def servers(self, now: float) -> tuple[Announcement, ...]:
        """Return all servers that take new work, ordered by server id."""
        return self._offered(self._entries_by_id, now)

    def drain_reports(self, now: float) -> tuple[Announcement, ...]:
        """Return what servers reported since the last call, each report once.

        An announcement carries its load report, with the age as of ``now``, and
        only those cache events that no earlier call returned.
        """
        reports = []
        for server_id, events in self._reports.drain():
            entry = self._entries_by_id.get(server_id)
            if entry is not None and entry.is_offered(now):
                report = replace(entry.announcement_at(now), cache_events=events)
                reports.append(report)
        return tuple(reports)

    def tick(self, now: float) -> tuple[str, ...]:
        """Expire leases and forget old tombstones.

        Returns:
            Ids of the servers whose lease ended.
        """
        self._trim_tombstones(now)
        if now < self._earliest_expiry:
            return ()
        expired = tuple(
            server_id
            for server_id, entry in self._entries_by_id.items()
            if entry.expires_at <= now
        )
        for server_id in expired:
            self._bury(server_id, now)
        entries = self._entries_by_id.values()
        self._earliest_expiry = min(
            (entry.expires_at for entry in entries), default=math.inf
        )
        return expired

    def next_expiry(self) -> float:
        """Return a loop time before which no lease ends; infinity without any."""
        return self._earliest_expiry

    def _check_order(self, announcement: Announcement, now: float) -> Rejection | None:
        """Reject what is older than, equal to or impossibly far from the last."""
        rank, heard_at = self._last_known(announcement.server_id)
        if rank is None:
            return None
        incarnation, has_left, sequence, _ = rank
        if announcement.incarnation < incarnation:
            message = f"incarnation {incarnation} was seen; restart with a higher one"
            return Rejection(RejectReason.OLD_INCARNATION, message)
        elapsed_s = max(0.0, now - heard_at)
        if announcement.incarnation > incarnation:
            limit = _INCARNATION_SLACK + _INCARNATIONS_PER_S * elapsed_s
            if announcement.incarnation - incarnation > limit:
                message = (
                    f"incarnation is too far above {incarnation}; "
                    "use a counter or Unix time in milliseconds"
                )
                return Rejection(RejectReason.INCARNATION_JUMP, message)
            return None
        if announcement.state is ServerState.LEAVING and not has_left:
            return None
        if has_left and announcement.state is not ServerState.LEAVING:
            message = f"incarnation {incarnation} has left; restart with a higher one"
            return Rejection(RejectReason.LEFT, message)
        if announcement.sequence <= sequence:
            message = f"sequence {sequence} was seen; continue above it"
            return Rejection(RejectReason.REPLAYED, message)
        limit = _SEQUENCE_SLACK + _SEQUENCES_PER_S * elapsed_s
        if announcement.sequence - sequence > limit:
            message = f"sequence is too far above {sequence}"
            return Rejection(RejectReason.SEQUENCE_JUMP, message)
        return None

    def _check_claims(self, announcement: Announcement) -> Rejection | None:
        """Reject a second claim on a live server's id or address."""
        server_id, address = announcement.server_id, announcement.address
        known = self._entries_by_id.get(server_id)
        if known is not None and known.announcement.address != address:
            is_serving = known.announcement.state is ServerState.SERVING
            same = known.announcement.incarnation == announcement.incarnation
            if is_serving or same:
                message = f"{server_id} lives at another address"
                return Rejection(RejectReason.ID_BOUND, message)
        if self._serving_id_by_address.get(address, server_id) != server_id:
            message = f"{address} belongs to a live server"
            return Rejection(RejectReason.ADDRESS_TAKEN, message)
        if known is None and len(self._entries_by_id) >= _MAX_SERVERS:
            message = f"the zone has {_MAX_SERVERS} backend servers already"
            return Rejection(RejectReason.TABLE_FULL, message)
        return None

    def _merge_entry(self, peer_entry: PeerEntry, now: float) -> Verdict:
        announcement = peer_entry.announcement
        rejection = check_announcement(announcement, self._zone, None)
        if rejection is not None:
            return Verdict(announcement.server_id, rejection=rejection)
        known, _ = self._last_known(announcement.server_id)
        ref = content_ref(announcement)
        rank = rank_of(announcement, ref)
        if known is not None and known >= rank:
            is_gone = announcement.server_id in self._tombstones_by_id
            rejection = _GONE if is_gone else _ALREADY_KNOWN
            return Verdict(announcement.server_id, rejection=rejection)
        if _lease_s(announcement) <= peer_entry.age_s:
            return Verdict(announcement.server_id, rejection=_LEASE_ENDED)
        if not self._displace_holder(announcement, now):
            return _reject(announcement, RejectReason.ADDRESS_TAKEN, "address taken")
        if (
            announcement.server_id not in self._entries_by_id
            and len(self._entries_by_id) >= _MAX_SERVERS
        ):
            return _reject(announcement, RejectReason.TABLE_FULL, "table is full")
        return self._store(announcement, ref, now - max(0.0, peer_entry.age_s))

    def _displace_holder(self, announcement: Announcement, now: float) -> bool:
        """Decide between two servers that hosts accepted for one address.

        All hosts keep the one with the higher incarnation, then id.
        """
        holder = self._serving_id_by_address.get(announcement.address)
        if holder is None or holder == announcement.server_id:
            return True
        if announcement.state is ServerState.LEAVING:
            return True
        held = self._entries_by_id[holder].announcement
        if (held.incarnation, holder) > (
            announcement.incarnation,
            announcement.server_id,
        ):
            return False
        self._bury(holder, now)
        return True

    def _store(self, announcement: Announcement, ref: int, heard_at: float) -> Verdict:
        server_id = announcement.server_id
        previous = self._entries_by_id.get(server_id)
        events = announcement.cache_events
        bare = replace(announcement, cache_events=()) if events else announcement
        entry = ServerEntry(bare, ref, heard_at, heard_at + _lease_s(bare))
        if previous is not None and previous.rank >= entry.rank:
            raise InvariantError(f"{server_id}: an announcement went back")
        tombstone = self._tombstones_by_id.pop(server_id, None)
        if tombstone is not None and tombstone.rank >= entry.rank:
            raise InvariantError(f"{server_id}: an announcement outlived its lease")
        new_events = self._reports.add(bare, events)
        self._earliest_expiry = min(self._earliest_expiry, entry.expires_at)
        if previous is not None and previous.ref == ref:
            self._entries_by_id[server_id] = entry
            change = Change.LEASE
        else:
            if previous is not None:
                self._remove(previous)
            self._insert(entry)
            change = Change.CONTENT
        renew_after_s = announcement.ttl_s / _RENEWALS_PER_TTL
        return Verdict(server_id, change, None, renew_after_s, new_events)

    def _insert(self, entry: ServerEntry) -> None:
        server_id = entry.announcement.server_id
        self._entries_by_id[server_id] = entry
        self._id_by_ref[entry.ref] = server_id
        self._digest ^= entry.ref
        if entry.announcement.state is ServerState.SERVING:
            self._serving_id_by_address[entry.announcement.address] = server_id
        for stage in entry.announcement.stages:
            self._ids_by_stage.setdefault(stage, set()).add(server_id)
        self._version += 1

    def _remove(self, entry: ServerEntry) -> None:
        server_id = entry.announcement.server_id
        del self._entries_by_id[server_id]
        del self._id_by_ref[entry.ref]
        self._digest ^= entry.ref
        if entry.announcement.state is ServerState.SERVING:
            del self._serving_id_by_address[entry.announcement.address]
        for stage in entry.announcement.stages:
            ids = self._ids_by_stage[stage]
            ids.discard(server_id)
            if not ids:
                del self._ids_by_stage[stage]
        self._version += 1

    def _bury(self, server_id: str, now: float, rank: Rank | None = None) -> None:
        """Replace an entry by a tombstone, so that peers can't bring it back."""
        entry = self._entries_by_id[server_id]
        self._remove(entry)
        self._reports.forget(server_id)
        self._tombstones_by_id[server_id] = _Tombstone(
            rank or entry.rank,
            entry.heard_at,
            now + _TOMBSTONE_RETENTION_S,
        )
        self._tombstones_by_id.move_to_end(server_id)

    def _trim_tombstones(self, now: float) -> None:
        tombstones = self._tombstones_by_id
        while tombstones:
            oldest = next(iter(tombstones.values()))
            if len(tombstones) <= _MAX_TOMBSTONES and oldest.forget_at > now:
                return
            tombstones.popitem(last=False)

    def _last_known(self, server_id: str) -> tuple[Rank | None, float]:
        entry = self._entries_by_id.get(server_id)
        if entry is not None:
            return entry.rank, entry.heard_at
        tombstone = self._tombstones_by_id.get(server_id)
        if tombstone is not None:
            return tombstone.rank, tombstone.heard_at
        return None, 0.0

    def _offered(self, ids: Iterable[str], now: float) -> tuple[Announcement, ...]:
        entries = [self._entries_by_id[server_id] for server_id in sorted(ids)]
        offered = tuple(
            entry.announcement_at(now) for entry in entries if entry.is_offered(now)
        )
        if len({announcement.address for announcement in offered}) != len(offered):
            raise InvariantError("two servers are offered at one address")
        for announcement in offered:
            tombstone = self._tombstones_by_id.get(announcement.server_id)
            if tombstone is not None or announcement.state is not ServerState.SERVING:
                raise InvariantError(f"{announcement.server_id} is gone but offered")
        return offered


def _lease_s(announcement: Announcement) -> float:
    """Return how long an entry stands.

    A leave stands for the longest lease there can be, so that it outlives every
    earlier announcement that a peer may still hold.
    """
    if announcement.state is ServerState.LEAVING:
        return MAX_TTL_S
    return announcement.ttl_s


def _reject(announcement: Announcement, reason: RejectReason, message: str) -> Verdict:
    return Verdict(announcement.server_id, rejection=Rejection(reason, message))
