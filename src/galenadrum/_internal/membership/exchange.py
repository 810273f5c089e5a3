"""Gossip of zone membership between the entry hosts of a zone.

Each host keeps links to a few others and forwards every change that it receives
over its other links, so that a join or a leave reaches every host over several
paths. Hosts detect lost changes by comparing digests and request the missing
entries.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterable

from galenadrum._internal.membership.announcement_results import (
    AnnouncementResult,
    Change,
    RejectReason,
)
from galenadrum._internal.membership.digests import DigestTable, PeerDigest
from galenadrum._internal.membership.entries import PeerCacheEvents, PeerRenewal
from galenadrum._internal.membership.hosts import (
    ControlReach,
    HostBeat,
    HostTable,
    PeerHost,
)
from galenadrum._internal.membership.links import (
    HEARTBEAT_INTERVAL_S,
    SILENCE_LIMIT_S,
    Link,
)
from galenadrum._internal.membership.messages import (
    Action,
    CloseLink,
    CloseReason,
    Hello,
    Send,
    ZoneMessage,
)
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.models.servers import Announcement, ServerState

logger = logging.getLogger(__name__)

_MAX_ENTRIES_PER_MESSAGE = 100
_MAX_CACHE_HASHES_PER_MESSAGE = 4
_SHORT_TTL_LIMIT_S = 8.0
# The host that receives a renewal of a short lease from the server sends it to its
# peers at once. Up to three further hosts on a path each delay it by the lease divided
# by this number. Including the time that the renewal waited on the first host, and
# after one lost renewal, a sixteenth of a 3 s lease is left.
_FORWARD_DELAYS_PER_SHORT_TTL = 16
_MIN_PROPAGATIONS_PER_TTL = 4
_FLUSH_COALESCING_S = 0.15
_MAX_PROPAGATED_RENEWALS_PER_S = 20.0


class ZoneExchange:
    """Gossip protocol of one entry host with the other hosts of its zone.

    The exchange does no I/O. The driver reports link events and messages, calls
    ``tick`` after each report and at ``next_wakeup``, and performs the actions
    that ``tick`` returns. Times are the event loop's, in seconds.

    Args:
        registry: Registry of the zone's backend servers.
        hosts: Table of the zone's entry hosts.
        digests: Digests of other zones.
        zone: The zone of this host.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        hosts: HostTable,
        digests: DigestTable,
        zone: str,
    ) -> None:
        self.registry = registry
        self.hosts = hosts
        self.digests = digests
        self._zone = zone
        self._links_by_id: dict[int, Link] = {}
        self._pending_closes: list[CloseLink] = []
        self._last_tick_at = -math.inf
        self.closed_link_count_by_reason: Counter[CloseReason] = Counter()
        self._propagated_at_by_id: dict[str, float] = {}
        self._deferred_until_by_id: dict[str, float] = {}

    def apply_announcement(
        self, announcement: Announcement, now: float, peer_ip: str | None = None
    ) -> AnnouncementResult:
        """Apply an announcement from a backend server and queue it for the peers."""
        result = self.registry.apply_announcement(announcement, now, peer_ip)
        if result.change is Change.CONTENT:
            self._propagate_change(announcement, now)
        elif result.change is Change.LEASE:
            self._propagate_renewal(announcement, now)
        if result.cache_events:
            entry = self.registry.entry_by_id(announcement.server_id)
            self._queue_cache_events(PeerCacheEvents(entry.ref, result.cache_events))
        return result

    def apply_renewal(self, renewal: PeerRenewal, now: float) -> bool:
        """Apply a lease renewal from a backend server and queue it for the peers.

        Returns:
            Whether the renewal was accepted; False when its entry is unknown or the
            renewal is outdated.
        """
        result = self.registry.merge_renewal(renewal, now)
        if result is None or not result.accepted:
            return False
        entry = self.registry.entry_by_id(result.server_id)
        self._propagate_renewal(entry.announcement, now)
        return True

    def update_host(
        self,
        now: float,
        revision: int | None = None,
        control: ControlReach | None = None,
        leaving: bool | None = None,
    ) -> None:
        """Update this host's record and queue it for the peers if it changed."""
        if self.hosts.update(now, revision, control, leaving):
            self._queue_host(self.hosts.own.host_id, now)

    def add_digest(self, digest: PeerDigest, now: float) -> None:
        """Store another zone's digest and queue it for the peers if it is newer."""
        if self.digests.merge(digest, now):
            for link in self._links_by_id.values():
                link.zones.add(digest.zone)

    def link_opened(self, link_id: int, now: float) -> None:
        """Handle a new connection to a peer; its hello is due at once."""
        self._links_by_id[link_id] = Link(link_id, received_at=now, flush_at=now)

    def link_closed(self, link_id: int) -> None:
        """Handle the end of a connection."""
        self._links_by_id.pop(link_id, None)

    def message_sent(self, link_id: int, now: float) -> bool:
        """Handle the completed write of a link's last message.

        Returns:
            Whether the next message is already due, so that ``tick`` must be called.
        """
        link = self._links_by_id.get(link_id)
        if link is None:
            return False
        link.is_writing = False
        return link.flush_at <= now

    def receive(self, link_id: int, message: ZoneMessage, now: float) -> None:
        """Apply a message from a peer, unless its link is closed."""
        link = self._links_by_id.get(link_id)
        if link is None:
            return
        if now - link.received_at >= SILENCE_LIMIT_S:
            # This process was blocked or suspended. The ages in messages that its
            # sockets buffered meanwhile are too low by the length of the pause.
            self._close_link(link, CloseReason.SILENT)
            return
        link.received_at = now
        if message.hello is not None and not self._accept_hello(link, message.hello):
            return
        if link.peer_host_id is None:
            self._close_link(link, CloseReason.NO_HELLO)
            return
        self._merge_servers(link, message, now)
        self._merge_hosts(link, message, now)
        self._merge_cache_events(link, message.cache_events)
        self._merge_digests(link, message.digests, now)
        self._queue_wanted_entries(link, message.wanted, now)
        if message.held is not None:
            self._reconcile_refs(link, message.held, now)
        else:
            self._compare_digest(link, message, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Expire old entries; return the messages to send and the links to close."""
        self._last_tick_at = now
        self.registry.expire(now)
        self.hosts.expire(now)
        self.digests.expire(now)
        if self.hosts.beat(now):
            for link in self._links_by_id.values():
                link.beat_ids.add(self.hosts.own.host_id)
        self._queue_deferred_renewals(now)
        for link in list(self._links_by_id.values()):
            self._close_if_silent(link, now)
        actions: list[Action] = list(self._pending_closes)
        self._pending_closes = []
        for link in self._list_due_links(now):
            actions.append(Send(link.link_id, self._build_message(link, now)))
        return tuple(actions)

    def next_wakeup(self) -> float:
        """Return the loop time at which ``tick`` must be called at the latest."""
        due = [self.hosts.next_beat(), self.registry.next_expiry()]
        due.append(min(self._deferred_until_by_id.values(), default=math.inf))
        for link in self._links_by_id.values():
            due.append(link.received_at + SILENCE_LIMIT_S)
            # A due link whose write is still pending is flushed after ``message_sent``.
            if not link.is_writing or link.flush_at > self._last_tick_at:
                due.append(link.flush_at)
        return min(due)

    def _list_due_links(self, now: float) -> list[Link]:
        """Return the idle links that are due, or will be shortly, if any is due.

        One wakeup that writes to several links costs less than one for each link.
        """
        idle_links = [
            link for link in self._links_by_id.values() if not link.is_writing
        ]
        if not any(link.flush_at <= now for link in idle_links):
            return []
        return [
            link for link in idle_links if link.flush_at <= now + _FLUSH_COALESCING_S
        ]

    def _accept_hello(self, link: Link, hello: Hello) -> bool:
        if hello.zone != self._zone:
            self._close_link(link, CloseReason.WRONG_ZONE)
            return False
        if hello.host_id == self.hosts.own.host_id:
            self._close_link(link, CloseReason.OWN_HOST)
            return False
        link.peer_host_id = hello.host_id
        # If the digests differ on a new link, references are exchanged at once.
        link.mismatch_since = -math.inf
        return True

    def _close_link(self, link: Link, reason: CloseReason) -> None:
        self._links_by_id.pop(link.link_id, None)
        self._pending_closes.append(CloseLink(link.link_id, reason))
        self.closed_link_count_by_reason[reason] += 1
        is_misconfigured = reason in (CloseReason.WRONG_ZONE, CloseReason.OWN_HOST)
        logger.log(
            logging.WARNING if is_misconfigured else logging.INFO,
            "closing the membership link to host %s: %s",
            link.peer_host_id,
            reason,
        )

    def _close_if_silent(self, link: Link, now: float) -> None:
        if now - link.received_at >= SILENCE_LIMIT_S:
            self._close_link(link, CloseReason.SILENT)

    def _merge_servers(self, link: Link, message: ZoneMessage, now: float) -> None:
        for tombstone in message.gone:
            self.registry.merge_tombstone(tombstone, now)
        results = self.registry.merge(message.servers, now)
        for peer_entry, result in zip(message.servers, results, strict=True):
            sequence = peer_entry.announcement.sequence
            self._forward_server(link, result, sequence, now)
        for renewal in message.renewals:
            result = self.registry.merge_renewal(renewal, now)
            if result is None:
                link.request_entry(renewal.ref, now)
            else:
                self._forward_server(link, result, renewal.sequence, now)

    def _forward_server(
        self, link: Link, result: AnnouncementResult, sequence: int, now: float
    ) -> None:
        server_id = result.server_id
        if result.change is Change.CONTENT:
            self._queue_server(server_id, now, skip=link)
        elif result.change is Change.LEASE:
            self._queue_renewal(server_id, now, skip=link)
        elif result.rejection.reason is RejectReason.GONE:
            link.tombstone_ids.add(server_id)
            link.flush_soon(now)
            return
        elif result.rejection.reason is not RejectReason.REPLAYED:
            return
        entry = self.registry.entry_by_id(server_id)
        if entry is not None and entry.announcement.sequence == sequence:
            # The peer already holds this sequence.
            link.renewal_ids.discard(server_id)

    def _merge_hosts(self, link: Link, message: ZoneMessage, now: float) -> None:
        for peer_host in message.hosts:
            is_new = self.hosts.merge(peer_host, now)
            self._forward_host(link, peer_host.record.host_id, is_new, now)
        for beat in message.beats:
            entry = self.hosts.entry_by_ref(beat.ref)
            if entry is None:
                link.request_entry(beat.ref, now)
                continue
            is_newer = self.hosts.merge_beat(beat, now)
            if is_newer:
                self._forward_host(link, entry.record.host_id, False, now)
            elif entry.record.beat == beat.beat:
                link.beat_ids.discard(entry.record.host_id)

    def _forward_host(
        self, link: Link, host_id: str, is_new: bool | None, now: float
    ) -> None:
        if is_new:
            self._queue_host(host_id, now, skip=link)
        elif is_new is False:
            for other in self._links_by_id.values():
                if other is not link:
                    other.beat_ids.add(host_id)

    def _merge_cache_events(
        self, link: Link, cache_events: Iterable[PeerCacheEvents]
    ) -> None:
        for events in cache_events:
            new = self.registry.merge_cache_events(events)
            if new.events:
                self._queue_cache_events(new, skip=link)

    def _merge_digests(
        self, link: Link, digests: Iterable[PeerDigest], now: float
    ) -> None:
        for digest in digests:
            if self.digests.merge(digest, now):
                for other in self._links_by_id.values():
                    if other is not link:
                        other.zones.add(digest.zone)
            elif self.digests.is_stored(digest):
                link.zones.discard(digest.zone)

    def _queue_wanted_entries(
        self, link: Link, wanted: Iterable[int], now: float
    ) -> None:
        for ref in wanted:
            server = self.registry.entry_by_ref(ref)
            host = self.hosts.entry_by_ref(ref)
            if server is not None:
                link.server_ids.add(server.announcement.server_id)
                link.flush_soon(now)
            elif host is not None:
                link.host_ids.add(host.record.host_id)
                link.flush_soon(now)

    def _compare_digest(self, link: Link, message: ZoneMessage, now: float) -> None:
        matches = message.digest == self._compute_digest()
        if link.record_digest_match(matches, now):
            link.must_send_refs = True
            link.flush_soon(now)

    def _reconcile_refs(self, link: Link, held: tuple[int, ...], now: float) -> None:
        """Queue the entries that the peer lacks and request those this host lacks."""
        peer_refs = set(held)
        own = {*self.registry.refs(), *self.hosts.refs()}
        self._queue_wanted_entries(link, own - peer_refs, now)
        for ref in sorted(peer_refs - own):
            link.request_entry(ref, now)

    def _compute_digest(self) -> int:
        return self.registry.digest ^ self.hosts.digest

    def _propagate_change(self, announcement: Announcement, now: float) -> None:
        """Queue a change for all peers, urgently unless the server changes often."""
        server_id = announcement.server_id
        propagated_at = self._propagated_at_by_id.get(server_id, -math.inf)
        is_leaving = announcement.state is ServerState.LEAVING
        is_urgent = is_leaving or now - propagated_at >= HEARTBEAT_INTERVAL_S
        self._propagated_at_by_id[server_id] = now
        self._queue_server(server_id, now, is_urgent=is_urgent)

    def _propagate_renewal(self, announcement: Announcement, now: float) -> None:
        """Queue a renewal now, or later if the last one was too recent.

        The minimum interval between renewals of a server bounds the traffic.
        """
        server_id = announcement.server_id
        interval_s = self._propagation_interval_s(announcement)
        due = self._propagated_at_by_id.get(server_id, -math.inf) + interval_s
        if due <= now:
            self._propagated_at_by_id[server_id] = now
            self._deferred_until_by_id.pop(server_id, None)
            self._queue_renewal(server_id, now)
        else:
            self._deferred_until_by_id.setdefault(server_id, due)

    def _propagation_interval_s(self, announcement: Announcement) -> float:
        per_server_s = self.registry.size / _MAX_PROPAGATED_RENEWALS_PER_S
        return min(
            announcement.ttl_s / _MIN_PROPAGATIONS_PER_TTL,
            max(HEARTBEAT_INTERVAL_S, per_server_s),
        )

    def _queue_deferred_renewals(self, now: float) -> None:
        due = [key for key, at in self._deferred_until_by_id.items() if at <= now]
        for server_id in due:
            del self._deferred_until_by_id[server_id]
            self._propagated_at_by_id[server_id] = now
            self._queue_renewal(server_id, now)
        if len(self._propagated_at_by_id) > 2 * self.registry.size + 16:
            self._remove_stale_propagation_times()

    def _remove_stale_propagation_times(self) -> None:
        for server_id in list(self._propagated_at_by_id):
            if self.registry.entry_by_id(server_id) is None:
                del self._propagated_at_by_id[server_id]

    def _queue_server(
        self,
        server_id: str,
        now: float,
        skip: Link | None = None,
        is_urgent: bool = True,
    ) -> None:
        for link in self._links_by_id.values():
            if link is not skip:
                link.server_ids.add(server_id)
                if is_urgent:
                    link.flush_soon(now)

    def _queue_renewal(
        self, server_id: str, now: float, skip: Link | None = None
    ) -> None:
        entry = self.registry.entry_by_id(server_id)
        if entry is None:
            return
        ttl_s = entry.announcement.ttl_s
        for link in self._links_by_id.values():
            if link is not skip:
                link.renewal_ids.add(server_id)
                if ttl_s < _SHORT_TTL_LIMIT_S:
                    delay_s = (
                        0.0 if skip is None else ttl_s / _FORWARD_DELAYS_PER_SHORT_TTL
                    )
                    link.flush_by(now + delay_s)

    def _queue_host(self, host_id: str, now: float, skip: Link | None = None) -> None:
        for link in self._links_by_id.values():
            if link is not skip:
                link.host_ids.add(host_id)
                link.flush_soon(now)

    def _queue_cache_events(
        self, events: PeerCacheEvents, skip: Link | None = None
    ) -> None:
        for link in self._links_by_id.values():
            if link is not skip:
                link.cache_events.append(events)

    def _build_message(self, link: Link, now: float) -> ZoneMessage:
        """Build a message from the link's queued entries, up to the entry limit."""
        servers = _pop_sorted(link.server_ids, _MAX_ENTRIES_PER_MESSAGE)
        hosts = _pop_sorted(link.host_ids, _MAX_ENTRIES_PER_MESSAGE)
        # A full entry also carries the newest sequence or beat.
        link.renewal_ids.difference_update(servers)
        link.beat_ids.difference_update(hosts)
        hello = None
        if not link.has_sent_hello:
            hello = Hello(
                self.hosts.own.host_id, self._zone, self.hosts.own.peer_address
            )
            link.has_sent_hello = True
        message = ZoneMessage(
            digest=self._compute_digest(),
            hello=hello,
            servers=tuple(self._iter_peer_entries(servers, now)),
            renewals=tuple(
                self._iter_peer_renewals(_pop_sorted(link.renewal_ids), now)
            ),
            hosts=tuple(self._iter_peer_hosts(hosts, now)),
            beats=tuple(self._iter_host_beats(_pop_sorted(link.beat_ids), now)),
            held=self._build_ref_summary(link),
            wanted=tuple(_pop_sorted(link.wanted)),
            gone=tuple(self._iter_peer_tombstones(_pop_sorted(link.tombstone_ids))),
            cache_events=_pop_cache_events(link),
            digests=tuple(self._iter_peer_digests(_pop_sorted(link.zones), now)),
        )
        link.is_writing = True
        link.flush_at = now + HEARTBEAT_INTERVAL_S
        if link.server_ids or link.host_ids:
            link.flush_at = now
        return message

    def _build_ref_summary(self, link: Link) -> tuple[int, ...] | None:
        if not link.must_send_refs:
            return None
        link.must_send_refs = False
        return (*self.registry.refs(), *self.hosts.refs())

    def _iter_peer_entries(self, server_ids: Iterable[str], now: float):
        for server_id in server_ids:
            entry = self.registry.entry_by_id(server_id)
            if entry is not None:
                yield self.registry.peer_entry(entry, now)

    def _iter_peer_renewals(self, server_ids: Iterable[str], now: float):
        for server_id in server_ids:
            entry = self.registry.entry_by_id(server_id)
            if entry is not None:
                announcement = entry.announcement
                age_s = now - entry.received_at
                yield PeerRenewal(
                    entry.ref, announcement.sequence, age_s, announcement.load
                )

    def _iter_peer_tombstones(self, server_ids: Iterable[str]):
        for server_id in server_ids:
            tombstone = self.registry.tombstone_by_id(server_id)
            if tombstone is not None:
                yield tombstone

    def _iter_peer_hosts(self, host_ids: Iterable[str], now: float):
        for host_id in host_ids:
            entry = self.hosts.entry_by_id(host_id)
            if entry is not None:
                yield PeerHost(entry.record, now - entry.received_at)

    def _iter_host_beats(self, host_ids: Iterable[str], now: float):
        for host_id in host_ids:
            entry = self.hosts.entry_by_id(host_id)
            if entry is not None:
                yield HostBeat(entry.ref, entry.record.beat, now - entry.received_at)

    def _iter_peer_digests(self, zones: Iterable[str], now: float):
        for zone in zones:
            digest = self.digests.peer_digest(zone, now)
            if digest is not None:
                yield digest


def _pop_sorted(waiting: set, limit: int | None = None) -> list:
    """Remove and return up to ``limit`` members in sorted order."""
    popped = sorted(waiting)[:limit]
    waiting.difference_update(popped)
    return popped


def _pop_cache_events(link: Link) -> tuple[PeerCacheEvents, ...]:
    """Remove all queued cache events; return the newest that fit the size limit.

    Cache events are hints, so older ones that don't fit are dropped.
    """
    popped: list[PeerCacheEvents] = []
    hashes = 0
    while link.cache_events:
        events = link.cache_events.pop()
        for event in reversed(events.events):
            hashes += len(event.stored) + len(event.evicted)
            if hashes > _MAX_CACHE_HASHES_PER_MESSAGE:
                link.cache_events.clear()
                break
            popped.append(PeerCacheEvents(events.ref, (event,)))
    return tuple(reversed(popped))
