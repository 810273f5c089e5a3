"""Spreads the membership of a zone between its entry hosts.

Each host keeps links to a few others. What a host learns it passes on over its
other links, so that word of a join or a leave reaches every host over several
paths; what was lost is found by comparing digests and asked for again.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterable

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
from galenadrum._internal.membership.verdicts import Change, RejectReason, Verdict
from galenadrum._internal.models.servers import Announcement, ServerState

logger = logging.getLogger(__name__)

_MAX_ENTRIES_PER_MESSAGE = 100
_MAX_CACHE_HASHES_PER_MESSAGE = 4
_SHORT_TTL_S = 8.0
# The host that a server announces to passes a short renewal on at once, up to
# three others after this share of the lease each: with what it waited before and
# after one lost renewal, a sixteenth of a lease of 3 s is left.
_DELAYS_PER_SHORT_TTL = 16
_RENEWAL_SPREAD_PER_TTL = 4
_FLUSH_TOGETHER_S = 0.15
_RENEWALS_SPREAD_PER_S = 20.0


class ZoneExchange:
    """Decides what one entry host sends to the others of its zone.

    The driver reports links and messages and calls ``tick`` after each report
    and at ``next_wakeup``; it carries out the actions that ``tick`` returns.
    Times are the event loop's, in seconds.

    Args:
        registry: The zone's backend servers.
        hosts: The zone's entry hosts.
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
        self._closing: list[CloseLink] = []
        self._ticked_at = -math.inf
        self.closed_by_reason: Counter[CloseReason] = Counter()
        self._spread_at_by_id: dict[str, float] = {}
        self._deferred_by_id: dict[str, float] = {}

    def announce(
        self, announcement: Announcement, now: float, peer_ip: str | None = None
    ) -> Verdict:
        """Take an announcement that a backend server made to this host."""
        verdict = self.registry.announce(announcement, now, peer_ip)
        if verdict.change is Change.CONTENT:
            self._spread_change(announcement, now)
        elif verdict.change is Change.LEASE:
            self._spread_renewal(announcement, now)
        if verdict.cache_events:
            entry = self.registry.entry_by_id(announcement.server_id)
            self._queue_events(PeerCacheEvents(entry.ref, verdict.cache_events))
        return verdict

    def renew(self, renewal: PeerRenewal, now: float) -> bool:
        """Take a renewal that a backend server made to this host.

        Returns:
            Whether the registry still holds what it renews.
        """
        verdict = self.registry.merge_renewal(renewal, now)
        if verdict is None or not verdict.accepted:
            return False
        entry = self.registry.entry_by_id(verdict.server_id)
        self._spread_renewal(entry.announcement, now)
        return True

    def update_host(
        self,
        now: float,
        revision: int | None = None,
        control: ControlReach | None = None,
        leaving: bool | None = None,
    ) -> None:
        """Tell the zone what changed about this host."""
        if self.hosts.update(now, revision, control, leaving):
            self._queue_host(self.hosts.own.host_id, now)

    def add_digest(self, digest: PeerDigest, now: float) -> None:
        """Take a digest that another zone sent to this host."""
        if self.digests.merge(digest, now):
            for link in self._links_by_id.values():
                link.zones.add(digest.zone)

    def link_opened(self, link_id: int, now: float) -> None:
        """Note that a connection to a peer stands; its hello goes out at once."""
        self._links_by_id[link_id] = Link(link_id, heard_at=now, flush_at=now)

    def link_closed(self, link_id: int) -> None:
        """Note that a connection ended."""
        self._links_by_id.pop(link_id, None)

    def message_sent(self, link_id: int, now: float) -> bool:
        """Note that the last message of a link has left this process.

        Returns:
            Whether the next one became due meanwhile, so that ``tick`` has to be
            called.
        """
        link = self._links_by_id.get(link_id)
        if link is None:
            return False
        link.is_writing = False
        return link.flush_at <= now

    def receive(self, link_id: int, message: ZoneMessage, now: float) -> None:
        """Take a message from a peer; those of closed links are ignored."""
        link = self._links_by_id.get(link_id)
        if link is None:
            return
        if now - link.heard_at >= SILENCE_LIMIT_S:
            # This process stood still: what waited in its sockets carries ages
            # that are too low by that time.
            self._close(link, CloseReason.SILENT)
            return
        link.heard_at = now
        if message.hello is not None and not self._accept_hello(link, message.hello):
            return
        if link.peer_host_id is None:
            self._close(link, CloseReason.NO_HELLO)
            return
        self._merge_servers(link, message, now)
        self._merge_hosts(link, message, now)
        self._merge_events(link, message.cache_events)
        self._merge_digests(link, message.digests, now)
        self._answer_wanted(link, message.wanted, now)
        if message.held is not None:
            self._compare_held(link, message.held, now)
        else:
            self._compare_digest(link, message, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return what is due: messages to send and links to close."""
        self._ticked_at = now
        self.registry.tick(now)
        self.hosts.expire(now)
        self.digests.expire(now)
        if self.hosts.beat(now):
            for link in self._links_by_id.values():
                link.beat_ids.add(self.hosts.own.host_id)
        self._queue_deferred(now)
        for link in list(self._links_by_id.values()):
            self._check_silence(link, now)
        actions: list[Action] = list(self._closing)
        self._closing = []
        for link in self._due_links(now):
            actions.append(Send(link.link_id, self._build_message(link, now)))
        return tuple(actions)

    def next_wakeup(self) -> float:
        """Return the loop time at which ``tick`` must be called at the latest."""
        due = [self.hosts.next_beat(), self.registry.next_expiry()]
        due.append(min(self._deferred_by_id.values(), default=math.inf))
        for link in self._links_by_id.values():
            due.append(link.heard_at + SILENCE_LIMIT_S)
            # A write that takes longer is followed by ``message_sent``.
            if not link.is_writing or link.flush_at > self._ticked_at:
                due.append(link.flush_at)
        return min(due)

    def _due_links(self, now: float) -> list[Link]:
        """Return the links to write to; those that are due soon go with the others.

        One wakeup that writes to all links costs less than one for each.
        """
        free = [link for link in self._links_by_id.values() if not link.is_writing]
        if not any(link.flush_at <= now for link in free):
            return []
        return [link for link in free if link.flush_at <= now + _FLUSH_TOGETHER_S]

    def _accept_hello(self, link: Link, hello: Hello) -> bool:
        if hello.zone != self._zone:
            self._close(link, CloseReason.WRONG_ZONE)
            return False
        if hello.host_id == self.hosts.own.host_id:
            self._close(link, CloseReason.OWN_HOST)
            return False
        link.peer_host_id = hello.host_id
        # A new link starts with what both sides hold, in case that differs.
        link.mismatch_since = -math.inf
        return True

    def _close(self, link: Link, reason: CloseReason) -> None:
        self._links_by_id.pop(link.link_id, None)
        self._closing.append(CloseLink(link.link_id, reason))
        self.closed_by_reason[reason] += 1
        is_fault = reason in (CloseReason.WRONG_ZONE, CloseReason.OWN_HOST)
        logger.log(
            logging.WARNING if is_fault else logging.INFO,
            "closing the link to host %s: %s",
            link.peer_host_id,
            reason,
        )

    def _check_silence(self, link: Link, now: float) -> None:
        if now - link.heard_at >= SILENCE_LIMIT_S:
            self._close(link, CloseReason.SILENT)

    def _merge_servers(self, link: Link, message: ZoneMessage, now: float) -> None:
        for tombstone in message.gone:
            self.registry.merge_tombstone(tombstone, now)
        verdicts = self.registry.merge(message.servers, now)
        for peer_entry, verdict in zip(message.servers, verdicts, strict=True):
            sequence = peer_entry.announcement.sequence
            self._pass_on_server(link, verdict, sequence, now)
        for renewal in message.renewals:
            verdict = self.registry.merge_renewal(renewal, now)
            if verdict is None:
                link.want(renewal.ref, now)
            else:
                self._pass_on_server(link, verdict, renewal.sequence, now)

    def _pass_on_server(
        self, link: Link, verdict: Verdict, sequence: int, now: float
    ) -> None:
        server_id = verdict.server_id
        if verdict.change is Change.CONTENT:
            self._queue_server(server_id, now, skip=link)
        elif verdict.change is Change.LEASE:
            self._queue_renewal(server_id, now, skip=link)
        elif verdict.rejection.reason is RejectReason.GONE:
            link.gone_ids.add(server_id)
            link.hurry(now)
            return
        elif verdict.rejection.reason is not RejectReason.REPLAYED:
            return
        entry = self.registry.entry_by_id(server_id)
        if entry is not None and entry.announcement.sequence == sequence:
            # The peer has what would have been sent to it.
            link.renewed_ids.discard(server_id)

    def _merge_hosts(self, link: Link, message: ZoneMessage, now: float) -> None:
        for peer_host in message.hosts:
            is_new = self.hosts.merge(peer_host, now)
            self._pass_on_host(link, peer_host.record.host_id, is_new, now)
        for beat in message.beats:
            entry = self.hosts.entry_by_ref(beat.ref)
            if entry is None:
                link.want(beat.ref, now)
                continue
            is_newer = self.hosts.merge_beat(beat, now)
            if is_newer:
                self._pass_on_host(link, entry.record.host_id, False, now)
            elif entry.record.beat == beat.beat:
                link.beat_ids.discard(entry.record.host_id)

    def _pass_on_host(
        self, link: Link, host_id: str, is_new: bool | None, now: float
    ) -> None:
        if is_new:
            self._queue_host(host_id, now, skip=link)
        elif is_new is False:
            for other in self._links_by_id.values():
                if other is not link:
                    other.beat_ids.add(host_id)

    def _merge_events(
        self, link: Link, cache_events: Iterable[PeerCacheEvents]
    ) -> None:
        for events in cache_events:
            new = self.registry.merge_cache_events(events)
            if new.events:
                self._queue_events(new, skip=link)

    def _merge_digests(
        self, link: Link, digests: Iterable[PeerDigest], now: float
    ) -> None:
        for digest in digests:
            if self.digests.merge(digest, now):
                for other in self._links_by_id.values():
                    if other is not link:
                        other.zones.add(digest.zone)
            elif self.digests.holds(digest):
                link.zones.discard(digest.zone)

    def _answer_wanted(self, link: Link, wanted: Iterable[int], now: float) -> None:
        for ref in wanted:
            server = self.registry.entry_by_ref(ref)
            host = self.hosts.entry_by_ref(ref)
            if server is not None:
                link.server_ids.add(server.announcement.server_id)
                link.hurry(now)
            elif host is not None:
                link.host_ids.add(host.record.host_id)
                link.hurry(now)

    def _compare_digest(self, link: Link, message: ZoneMessage, now: float) -> None:
        matches = message.digest == self._digest()
        if link.compare_digest(matches, now):
            link.says_held = True
            link.hurry(now)

    def _compare_held(self, link: Link, held: tuple[int, ...], now: float) -> None:
        """Send what the peer lacks and ask for what this host lacks."""
        theirs = set(held)
        own = {*self.registry.refs(), *self.hosts.refs()}
        self._answer_wanted(link, own - theirs, now)
        for ref in sorted(theirs - own):
            link.want(ref, now)

    def _digest(self) -> int:
        return self.registry.digest ^ self.hosts.digest

    def _spread_change(self, announcement: Announcement, now: float) -> None:
        """Pass a change on at once, unless the server changes all the time."""
        server_id = announcement.server_id
        spread_at = self._spread_at_by_id.get(server_id, -math.inf)
        is_leaving = announcement.state is ServerState.LEAVING
        is_urgent = is_leaving or now - spread_at >= HEARTBEAT_INTERVAL_S
        self._spread_at_by_id[server_id] = now
        self._queue_server(server_id, now, is_urgent=is_urgent)

    def _spread_renewal(self, announcement: Announcement, now: float) -> None:
        """Pass a renewal on now or, to bound the traffic, a little later."""
        server_id = announcement.server_id
        interval_s = self._spread_interval_s(announcement)
        due = self._spread_at_by_id.get(server_id, -math.inf) + interval_s
        if due <= now:
            self._spread_at_by_id[server_id] = now
            self._deferred_by_id.pop(server_id, None)
            self._queue_renewal(server_id, now)
        else:
            self._deferred_by_id.setdefault(server_id, due)

    def _spread_interval_s(self, announcement: Announcement) -> float:
        per_server_s = self.registry.size / _RENEWALS_SPREAD_PER_S
        return min(
            announcement.ttl_s / _RENEWAL_SPREAD_PER_TTL,
            max(HEARTBEAT_INTERVAL_S, per_server_s),
        )

    def _queue_deferred(self, now: float) -> None:
        due = [key for key, at in self._deferred_by_id.items() if at <= now]
        for server_id in due:
            del self._deferred_by_id[server_id]
            self._spread_at_by_id[server_id] = now
            self._queue_renewal(server_id, now)
        if len(self._spread_at_by_id) > 2 * self.registry.size + 16:
            self._forget_gone_servers()

    def _forget_gone_servers(self) -> None:
        for server_id in list(self._spread_at_by_id):
            if self.registry.entry_by_id(server_id) is None:
                del self._spread_at_by_id[server_id]

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
                    link.hurry(now)

    def _queue_renewal(
        self, server_id: str, now: float, skip: Link | None = None
    ) -> None:
        entry = self.registry.entry_by_id(server_id)
        if entry is None:
            return
        ttl_s = entry.announcement.ttl_s
        for link in self._links_by_id.values():
            if link is not skip:
                link.renewed_ids.add(server_id)
                if ttl_s < _SHORT_TTL_S:
                    delay_s = 0.0 if skip is None else ttl_s / _DELAYS_PER_SHORT_TTL
                    link.flush_by(now + delay_s)

    def _queue_host(self, host_id: str, now: float, skip: Link | None = None) -> None:
        for link in self._links_by_id.values():
            if link is not skip:
                link.host_ids.add(host_id)
                link.hurry(now)

    def _queue_events(self, events: PeerCacheEvents, skip: Link | None = None) -> None:
        for link in self._links_by_id.values():
            if link is not skip:
                link.cache_events.append(events)

    def _build_message(self, link: Link, now: float) -> ZoneMessage:
        """Take what waits on a link, up to the size limit, into a message."""
        servers = _take(link.server_ids, _MAX_ENTRIES_PER_MESSAGE)
        hosts = _take(link.host_ids, _MAX_ENTRIES_PER_MESSAGE)
        # A full entry carries the newest sequence as well.
        link.renewed_ids.difference_update(servers)
        link.beat_ids.difference_update(hosts)
        hello = None
        if not link.has_said_hello:
            hello = Hello(
                self.hosts.own.host_id, self._zone, self.hosts.own.peer_address
            )
            link.has_said_hello = True
        message = ZoneMessage(
            digest=self._digest(),
            hello=hello,
            servers=tuple(self._peer_entries(servers, now)),
            renewals=tuple(self._peer_renewals(_take(link.renewed_ids), now)),
            hosts=tuple(self._peer_hosts(hosts, now)),
            beats=tuple(self._host_beats(_take(link.beat_ids), now)),
            held=self._held(link),
            wanted=tuple(_take(link.wanted)),
            gone=tuple(self._tombstones(_take(link.gone_ids))),
            cache_events=_take_events(link),
            digests=tuple(self._peer_digests(_take(link.zones), now)),
        )
        link.is_writing = True
        link.flush_at = now + HEARTBEAT_INTERVAL_S
        if link.server_ids or link.host_ids:
            link.flush_at = now
        return message

    def _held(self, link: Link) -> tuple[int, ...] | None:
        if not link.says_held:
            return None
        link.says_held = False
        return (*self.registry.refs(), *self.hosts.refs())

    def _peer_entries(self, server_ids: Iterable[str], now: float):
        for server_id in server_ids:
            entry = self.registry.entry_by_id(server_id)
            if entry is not None:
                yield self.registry.peer_entry(entry, now)

    def _peer_renewals(self, server_ids: Iterable[str], now: float):
        for server_id in server_ids:
            entry = self.registry.entry_by_id(server_id)
            if entry is not None:
                announcement = entry.announcement
                age_s = now - entry.heard_at
                yield PeerRenewal(
                    entry.ref, announcement.sequence, age_s, announcement.load
                )

    def _tombstones(self, server_ids: Iterable[str]):
        for server_id in server_ids:
            tombstone = self.registry.tombstone_by_id(server_id)
            if tombstone is not None:
                yield tombstone

    def _peer_hosts(self, host_ids: Iterable[str], now: float):
        for host_id in host_ids:
            entry = self.hosts.entry_by_id(host_id)
            if entry is not None:
                yield PeerHost(entry.record, now - entry.heard_at)

    def _host_beats(self, host_ids: Iterable[str], now: float):
        for host_id in host_ids:
            entry = self.hosts.entry_by_id(host_id)
            if entry is not None:
                yield HostBeat(entry.ref, entry.record.beat, now - entry.heard_at)

    def _peer_digests(self, zones: Iterable[str], now: float):
        for zone in zones:
            digest = self.digests.peer_digest(zone, now)
            if digest is not None:
                yield digest


def _take(waiting: set, limit: int | None = None) -> list:
    """Remove and return up to ``limit`` members, in a fixed order."""
    taken = sorted(waiting)[:limit]
    waiting.difference_update(taken)
    return taken


def _take_events(link: Link) -> tuple[PeerCacheEvents, ...]:
    """Take the newest cache events that fit the limit and drop the others.

    They are hints: old ones that don't fit aren't worth the bytes.
    """
    taken: list[PeerCacheEvents] = []
    hashes = 0
    while link.cache_events:
        events = link.cache_events.pop()
        for event in reversed(events.events):
            hashes += len(event.stored) + len(event.evicted)
            if hashes > _MAX_CACHE_HASHES_PER_MESSAGE:
                link.cache_events.clear()
                break
            taken.append(PeerCacheEvents(events.ref, (event,)))
    return tuple(reversed(taken))
