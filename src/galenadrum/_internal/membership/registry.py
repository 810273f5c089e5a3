"""Registry of the backend servers of a zone, as held by one entry host."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, KeysView
from dataclasses import dataclass, replace

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.membership.announcement_results import (
    AnnouncementResult,
    Change,
    Rejection,
    RejectReason,
)
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
from galenadrum._internal.membership.report_queue import ReportQueue
from galenadrum._internal.membership.validation import MAX_TTL_S, check_announcement
from galenadrum._internal.models.servers import Announcement, ServerState

_RENEWALS_PER_TTL = 3
_MAX_SERVERS = 2_000
_MAX_TOMBSTONES = 4_096
_TOMBSTONE_RETENTION_S = 3_600.0
# An incarnation may be a counter or Unix time in milliseconds; this is one day.
_MAX_INCARNATION_JUMP = 24 * 3_600 * 1_000
_MAX_INCARNATIONS_PER_S = 2_000
_MAX_SEQUENCE_JUMP = 1_000
_MAX_SEQUENCES_PER_S = 1_000

_ALREADY_KNOWN = Rejection(RejectReason.REPLAYED, "already known")
_LEASE_ENDED = Rejection(RejectReason.EXPIRED, "the lease has ended")
_SERVER_GONE = Rejection(RejectReason.GONE, "the server is gone")


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """Rank and times of the last announcement of a server that is gone."""

    rank: Rank
    received_at: float
    expires_at: float


class ServerRegistry:
    """Stores the zone's backend servers and lists those available for new work.

    The registry does no I/O and reads no clock: ``now`` is the event loop's time
    in seconds and must not decrease between calls.

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
        """Counter that rises when a server joins, leaves, expires or changes."""
        return self._version

    @property
    def size(self) -> int:
        """Number of registered backend servers, including leaving ones."""
        return len(self._entries_by_id)

    @property
    def has_reports(self) -> bool:
        """Whether reports are queued for ``drain_reports``."""
        return bool(self._reports)

    @property
    def digest(self) -> int:
        """XOR of the references of all entries; equal on hosts with equal entries."""
        return self._digest

    def apply_announcement(
        self, announcement: Announcement, now: float, peer_ip: str | None = None
    ) -> AnnouncementResult:
        """Apply an announcement that a backend server sent to this host.

        Args:
            announcement: The parsed announcement.
            now: Loop time in seconds.
            peer_ip: IP address of the connection's peer; None skips the comparison
                with the announced address.
        """
        self.expire(now)
        rejection = check_announcement(announcement, self._zone, peer_ip)
        if rejection is None:
            rejection = self._check_rank(announcement, now)
        if rejection is None:
            rejection = self._check_id_and_address(announcement)
        if rejection is not None:
            return AnnouncementResult(announcement.server_id, rejection=rejection)
        return self._store_entry(announcement, content_ref(announcement), now)

    def merge(
        self, peer_entries: Iterable[PeerEntry], now: float
    ) -> tuple[AnnouncementResult, ...]:
        """Apply entries that another entry host forwarded, in any order."""
        self.expire(now)
        return tuple(self._merge_peer_entry(entry, now) for entry in peer_entries)

    def merge_renewal(
        self, renewal: PeerRenewal, now: float
    ) -> AnnouncementResult | None:
        """Apply a renewal; return None if the entry that it renews is unknown."""
        server_id = self._id_by_ref.get(renewal.ref)
        if server_id is None:
            return None
        entry = self._entries_by_id[server_id]
        if renewal.sequence <= entry.announcement.sequence:
            return AnnouncementResult(server_id, rejection=_ALREADY_KNOWN)
        received_at = now - max(0.0, renewal.age_s)
        if received_at + _lease_duration_s(entry.announcement) <= now:
            return AnnouncementResult(server_id, rejection=_LEASE_ENDED)
        announcement = replace(
            entry.announcement, sequence=renewal.sequence, load=renewal.load
        )
        return self._store_entry(announcement, renewal.ref, received_at)

    def merge_cache_events(self, cache_events: PeerCacheEvents) -> PeerCacheEvents:
        """Queue cache events that a peer forwarded; return those that are new."""
        entry = self.entry_by_ref(cache_events.ref)
        if entry is None:
            return PeerCacheEvents(cache_events.ref, ())
        events = self._reports.add_events(entry.announcement, cache_events.events)
        return PeerCacheEvents(cache_events.ref, events)

    def merge_tombstone(self, tombstone: PeerTombstone, now: float) -> None:
        """Remove an entry that a peer reports gone, unless the entry is newer."""
        entry = self._entries_by_id.get(tombstone.server_id)
        if entry is not None and entry.rank <= tombstone.rank:
            self._replace_with_tombstone(tombstone.server_id, now, tombstone.rank)

    def tombstone_by_id(self, server_id: str) -> PeerTombstone | None:
        """Return the tombstone of a server in the form sent to peers, or None."""
        tombstone = self._tombstones_by_id.get(server_id)
        return None if tombstone is None else PeerTombstone(server_id, tombstone.rank)

    def entry_by_id(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a server, or None when there is none."""
        return self._entries_by_id.get(server_id)

    def entry_by_ref(self, ref: int) -> ServerEntry | None:
        """Return the entry with this content reference, or None."""
        server_id = self._id_by_ref.get(ref)
        return None if server_id is None else self._entries_by_id[server_id]

    def ids(self) -> KeysView[str]:
        """Return the ids of all registered servers."""
        return self._entries_by_id.keys()

    def refs(self) -> tuple[int, ...]:
        """Return the references of all entries."""
        return tuple(self._id_by_ref)

    def peer_entry(self, entry: ServerEntry, now: float) -> PeerEntry:
        """Return an entry in the form sent to peers."""
        return PeerEntry(entry.announcement, now - entry.received_at)

    def servers_by_stage(self, stage: str, now: float) -> tuple[Announcement, ...]:
        """Return the servers of a stage available for new work, ordered by id."""
        return self._list_available(self._ids_by_stage.get(stage, ()), now)

    def servers(self, now: float) -> tuple[Announcement, ...]:
        """Return all servers available for new work, ordered by id."""
        return self._list_available(self._entries_by_id, now)

    def drain_reports(self, now: float) -> tuple[Announcement, ...]:
        """Return the reports queued since the last call, one per server.

        Each is an announcement with its load report, aged to ``now``, and only
        the cache events that no earlier call returned.
        """
        reports = []
        for server_id, events in self._reports.drain():
            entry = self._entries_by_id.get(server_id)
            if entry is not None and entry.is_available(now):
                report = replace(entry.announcement_at(now), cache_events=events)
                reports.append(report)
        return tuple(reports)

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove entries with expired leases and evict old tombstones.

        Returns:
            Ids of the servers whose lease expired.
        """
        self._evict_tombstones(now)
        if now < self._earliest_expiry:
            return ()
        expired = tuple(
            server_id
            for server_id, entry in self._entries_by_id.items()
            if entry.expires_at <= now
        )
        for server_id in expired:
            self._replace_with_tombstone(server_id, now)
        entries = self._entries_by_id.values()
        self._earliest_expiry = min(
            (entry.expires_at for entry in entries), default=math.inf
        )
        return expired

    def next_expiry(self) -> float:
        """Return a loop time before which no lease expires, infinity if no servers."""
        return self._earliest_expiry

    def _check_rank(self, announcement: Announcement, now: float) -> Rejection | None:
        """Reject an announcement that is outdated, repeated or too far ahead."""
        rank, received_at = self._get_last_rank(announcement.server_id)
        if rank is None:
            return None
        incarnation, has_left, sequence, _ = rank
        if announcement.incarnation < incarnation:
            message = f"incarnation {incarnation} was seen; restart with a higher one"
            return Rejection(RejectReason.OLD_INCARNATION, message)
        elapsed_s = max(0.0, now - received_at)
        if announcement.incarnation > incarnation:
            limit = _MAX_INCARNATION_JUMP + _MAX_INCARNATIONS_PER_S * elapsed_s
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
        limit = _MAX_SEQUENCE_JUMP + _MAX_SEQUENCES_PER_S * elapsed_s
        if announcement.sequence - sequence > limit:
            message = f"sequence is too far above {sequence}"
            return Rejection(RejectReason.SEQUENCE_JUMP, message)
        return None

    def _check_id_and_address(self, announcement: Announcement) -> Rejection | None:
        """Reject a conflict over a live server's id or address, or a full registry."""
        server_id, address = announcement.server_id, announcement.address
        existing = self._entries_by_id.get(server_id)
        if existing is not None and existing.announcement.address != address:
            is_serving = existing.announcement.state is ServerState.SERVING
            is_same_incarnation = (
                existing.announcement.incarnation == announcement.incarnation
            )
            if is_serving or is_same_incarnation:
                message = f"{server_id} lives at another address"
                return Rejection(RejectReason.ID_BOUND, message)
        if self._serving_id_by_address.get(address, server_id) != server_id:
            message = f"{address} belongs to a live server"
            return Rejection(RejectReason.ADDRESS_TAKEN, message)
        if existing is None and len(self._entries_by_id) >= _MAX_SERVERS:
            message = f"the zone has {_MAX_SERVERS} backend servers already"
            return Rejection(RejectReason.TABLE_FULL, message)
        return None

    def _merge_peer_entry(
        self, peer_entry: PeerEntry, now: float
    ) -> AnnouncementResult:
        announcement = peer_entry.announcement
        rejection = check_announcement(announcement, self._zone, None)
        if rejection is not None:
            return AnnouncementResult(announcement.server_id, rejection=rejection)
        last_rank, _ = self._get_last_rank(announcement.server_id)
        ref = content_ref(announcement)
        rank = rank_of(announcement, ref)
        if last_rank is not None and last_rank >= rank:
            is_gone = announcement.server_id in self._tombstones_by_id
            rejection = _SERVER_GONE if is_gone else _ALREADY_KNOWN
            return AnnouncementResult(announcement.server_id, rejection=rejection)
        if _lease_duration_s(announcement) <= peer_entry.age_s:
            return AnnouncementResult(announcement.server_id, rejection=_LEASE_ENDED)
        if not self._resolve_address_conflict(announcement, now):
            return _reject_announcement(
                announcement, RejectReason.ADDRESS_TAKEN, "address taken"
            )
        if (
            announcement.server_id not in self._entries_by_id
            and len(self._entries_by_id) >= _MAX_SERVERS
        ):
            return _reject_announcement(
                announcement, RejectReason.TABLE_FULL, "table is full"
            )
        return self._store_entry(announcement, ref, now - max(0.0, peer_entry.age_s))

    def _resolve_address_conflict(self, announcement: Announcement, now: float) -> bool:
        """Resolve a conflict between two servers accepted for the same address.

        Different hosts may have accepted them. All hosts keep the server with the
        higher incarnation, or the higher id when the incarnations are equal.

        Returns:
            Whether the announced server may be stored.
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
        self._replace_with_tombstone(holder, now)
        return True

    def _store_entry(
        self, announcement: Announcement, ref: int, received_at: float
    ) -> AnnouncementResult:
        server_id = announcement.server_id
        previous = self._entries_by_id.get(server_id)
        events = announcement.cache_events
        stripped = replace(announcement, cache_events=()) if events else announcement
        entry = ServerEntry(
            stripped,
            ref,
            received_at,
            received_at + _lease_duration_s(stripped),
        )
        if previous is not None and previous.rank >= entry.rank:
            raise InvariantError(
                f"{server_id}: an announcement does not rank above the stored one"
            )
        tombstone = self._tombstones_by_id.pop(server_id, None)
        if tombstone is not None and tombstone.rank >= entry.rank:
            raise InvariantError(
                f"{server_id}: an announcement does not rank above the tombstone"
            )
        new_events = self._reports.add_report(stripped, events)
        self._earliest_expiry = min(self._earliest_expiry, entry.expires_at)
        if previous is not None and previous.ref == ref:
            self._entries_by_id[server_id] = entry
            change = Change.LEASE
        else:
            if previous is not None:
                self._remove_entry(previous)
            self._insert_entry(entry)
            change = Change.CONTENT
        renew_after_s = announcement.ttl_s / _RENEWALS_PER_TTL
        return AnnouncementResult(server_id, change, None, renew_after_s, new_events)

    def _insert_entry(self, entry: ServerEntry) -> None:
        server_id = entry.announcement.server_id
        self._entries_by_id[server_id] = entry
        self._id_by_ref[entry.ref] = server_id
        self._digest ^= entry.ref
        if entry.announcement.state is ServerState.SERVING:
            self._serving_id_by_address[entry.announcement.address] = server_id
        for stage in entry.announcement.stages:
            self._ids_by_stage.setdefault(stage, set()).add(server_id)
        self._version += 1

    def _remove_entry(self, entry: ServerEntry) -> None:
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

    def _replace_with_tombstone(
        self, server_id: str, now: float, rank: Rank | None = None
    ) -> None:
        """Replace an entry with a tombstone, so that peers can't reinstate it."""
        entry = self._entries_by_id[server_id]
        self._remove_entry(entry)
        self._reports.remove_server(server_id)
        self._tombstones_by_id[server_id] = _Tombstone(
            rank or entry.rank,
            entry.received_at,
            now + _TOMBSTONE_RETENTION_S,
        )
        self._tombstones_by_id.move_to_end(server_id)

    def _evict_tombstones(self, now: float) -> None:
        tombstones = self._tombstones_by_id
        while tombstones:
            oldest = next(iter(tombstones.values()))
            if len(tombstones) <= _MAX_TOMBSTONES and oldest.expires_at > now:
                return
            tombstones.popitem(last=False)

    def _get_last_rank(self, server_id: str) -> tuple[Rank | None, float]:
        entry = self._entries_by_id.get(server_id)
        if entry is not None:
            return entry.rank, entry.received_at
        tombstone = self._tombstones_by_id.get(server_id)
        if tombstone is not None:
            return tombstone.rank, tombstone.received_at
        return None, 0.0

    def _list_available(
        self, ids: Iterable[str], now: float
    ) -> tuple[Announcement, ...]:
        entries = [self._entries_by_id[server_id] for server_id in sorted(ids)]
        available = tuple(
            entry.announcement_at(now) for entry in entries if entry.is_available(now)
        )
        if len({announcement.address for announcement in available}) != len(available):
            raise InvariantError("two available servers share one address")
        for announcement in available:
            tombstone = self._tombstones_by_id.get(announcement.server_id)
            if tombstone is not None or announcement.state is not ServerState.SERVING:
                raise InvariantError(
                    f"{announcement.server_id} is gone but listed as available"
                )
        return available


def _lease_duration_s(announcement: Announcement) -> float:
    """Return the lease duration of an entry, in seconds.

    A leave is kept for the longest lease allowed, so that it outlives every
    earlier announcement that a peer may still hold.
    """
    if announcement.state is ServerState.LEAVING:
        return MAX_TTL_S
    return announcement.ttl_s


def _reject_announcement(
    announcement: Announcement, reason: RejectReason, message: str
) -> AnnouncementResult:
    return AnnouncementResult(
        announcement.server_id, rejection=Rejection(reason, message)
    )
