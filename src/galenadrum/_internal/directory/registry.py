"""Registry of backend servers, merged from the announcements that a host receives.

Announcements are ordered by incarnation and sequence, so that merging them gives the
same result in any order of arrival. Departures are kept apart from the entries, so that
a late announcement can't restore a server that has left, whether it is known or not.

Only an announcement whose service the configuration names gets an entry, an address or
an id. All others are held until their service is named, whichever host they come from.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from galenadrum._internal.directory.held_announcements import HeldAnnouncements
from galenadrum._internal.models.announcements import (
    MAX_SEQUENCE,
    Announcement,
    Departure,
    LeavingServer,
    ServerState,
)

logger = logging.getLogger(__name__)

# Intervals without an announcement until a server is silent: two announcements may
# be lost or late.
SILENT_AFTER_INTERVALS = 3.5
# Time after its last announcement until a server that left or is silent is removed;
# no announcement is in transit for that long.
REMOVE_AFTER_S = 60.0
# A warm-up that ends later than the published one by less than this is the same one, as
# announcements take different times to arrive.
_WARM_UP_TOLERANCE_S = 0.2
# Sequence of a server that left: greater than in any announcement.
_GONE_SEQUENCE = 2**62


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server in the directory.

    Attributes:
        is_silent: True if its announcements have stopped.
        is_evacuated: True if its zone is evacuated.
        warm_up_ends_at: Loop time in seconds at which its warm-up ends.
    """

    announcement: Announcement
    is_silent: bool = False
    warm_up_ends_at: float = 0.0
    is_evacuated: bool = False

    def __str__(self) -> str:
        latest = self.announcement
        return (
            f"server {latest.server_id} of {latest.service} at {latest.address}: "
            f"{latest.state.value}{', silent' if self.is_silent else ''}"
            f"{', evacuated' if self.is_evacuated else ''} "
            f"(version {latest.software_version or 'unknown'}, incarnation "
            f"{latest.incarnation_ms}, sequence {latest.sequence})"
        )

    @property
    def server_id(self) -> str:
        """Id of the server."""
        return self.announcement.server_id

    @property
    def accepts_requests(self) -> bool:
        """True if the server accepts new work and its zone isn't evacuated."""
        return self.announcement.state is ServerState.READY and not self.is_evacuated


class Registry:
    """Registry of backend servers by id.

    Args:
        interval_s: Interval between two announcements of a server.
        on_changed: Called with each entry that changed in more than its sequence
            and warm-up time, or became cold while the cold servers of its service are
            limited.
        find_longest_warm_up: Returns the longest warm-up in seconds of a service whose
            cold servers are limited, 0 for any other.
        on_held: Called with each held announcement that is new or has changed, for
            hosts that know a newer configuration. Not called before the first one, nor
            if the id or address is that of a server in use.
    """

    def __init__(
        self,
        interval_s: float,
        on_changed: Callable[[ServerEntry], None],
        find_longest_warm_up: Callable[[str], float] = lambda service: 0.0,
        on_held: Callable[[Announcement], None] = lambda announcement: None,
    ) -> None:
        self._silent_after_s = interval_s * SILENT_AFTER_INTERVALS
        self._on_changed = on_changed
        self._on_held = on_held
        self._services: frozenset[str] = frozenset()
        self._held = HeldAnnouncements()
        self._find_longest_warm_up = find_longest_warm_up
        self._evacuated_zones: frozenset[str] = frozenset()
        # Loop time in seconds until which a server counts as cold, whatever it says.
        self._cold_until_by_id: dict[str, float] = {}
        # Incarnation in which the announced warm-up of a server was cut.
        self._cut_incarnation_by_id: dict[str, int] = {}
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._received_at_by_id: dict[str, float] = {}
        self._id_by_address: dict[str, str] = {}
        # By server id and service, which most departures don't name.
        self._departures_by_key: dict[tuple[str, str | None], Departure] = {}
        self._departed_at_by_key: dict[tuple[str, str | None], float] = {}

    def __iter__(self) -> Iterator[ServerEntry]:
        return iter(self._entries_by_id.values())

    def get(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a server."""
        return self._entries_by_id.get(server_id)

    def find_by_address(self, address: str) -> ServerEntry | None:
        """Return the entry of the server that holds an address."""
        server_id = self._id_by_address.get(address)
        return self._entries_by_id[server_id] if server_id is not None else None

    @property
    def held_count(self) -> int:
        """Number of held announcements."""
        return len(self._held)

    def names_service(self, service: str) -> bool:
        """Return whether the configuration names a service."""
        return service in self._services

    def set_services(self, services: Iterable[str]) -> tuple[str, ...]:
        """Set the services that the configuration names.

        The held announcements of services that are named now are merged. Entries of
        services that are named no more stay, but can't defend their address.

        Returns:
            Ids of the servers whose held announcements were merged.
        """
        self._services = frozenset(services)
        return tuple(
            held.announcement.server_id
            for held in self._held.release(self._services)
            if self.apply_announcement(held.announcement, held.received_at)
        )

    def list_held(self) -> list[Announcement]:
        """Return the held announcements that `on_held` would be called with."""
        held = self._held if self._services else ()
        return [a for a in held if not self._contests_entry(a)]

    def find_incarnation(self, server_id: str) -> int | None:
        """Return the incarnation of a server in Unix milliseconds, None if unknown."""
        entry = self._entries_by_id.get(server_id)
        latest = entry.announcement if entry else self._held.find_latest(server_id)
        return latest.incarnation_ms if latest is not None else None

    def apply_announcement(self, announcement: Announcement, now: float) -> bool:
        """Merge an announcement, or hold it if its service isn't named.

        Returns:
            False if the announcement is held, or outdated and was ignored.
        """
        if announcement.service not in self._services:
            self._hold(announcement, now)
            return False
        known = self._entries_by_id.get(announcement.server_id)
        if known is not None and not announcement.supersedes(known.announcement):
            return False
        if self._is_superseded(announcement) or self._has_left(announcement):
            return False
        announcement = self._apply_departure(announcement)
        self._received_at_by_id[announcement.server_id] = now
        warm_up_ends_at = max(
            self._find_warm_up_end(announcement, known, now),
            self._cold_until_by_id.get(announcement.server_id, 0.0),
        )
        is_evacuated = announcement.zone in self._evacuated_zones
        entry = ServerEntry(announcement, False, warm_up_ends_at, is_evacuated)
        self._store_announced(entry, known)
        return True

    def _hold(self, announcement: Announcement, now: float) -> None:
        if self._has_left(announcement):
            return
        # Other hosts get it with the state that its server's departure leaves.
        announcement = self._apply_departure(announcement)
        if not self._held.hold(announcement, now):
            return
        is_contesting = self._contests_entry(announcement)
        logger.info(
            "no configuration names service %s; holding the announcement of server %s "
            "at %s (%s, incarnation %d, sequence %d)%s",
            announcement.service,
            announcement.server_id,
            announcement.address,
            announcement.state.value,
            announcement.incarnation_ms,
            announcement.sequence,
            ", whose id or address is in use" if is_contesting else "",
        )
        if self._services and not is_contesting:
            self._on_held(announcement)

    def _contests_entry(self, announcement: Announcement) -> bool:
        """Return whether the id or the address is that of another server in use."""
        known = self._entries_by_id.get(announcement.server_id)
        if known is not None and known.announcement.service != announcement.service:
            return True
        holder_id = self._id_by_address.get(announcement.address)
        return holder_id not in (None, announcement.server_id)

    def set_evacuated_zones(self, zones: Iterable[str], now: float) -> None:
        """Evacuate the given zones, and take the others back."""
        former, self._evacuated_zones = self._evacuated_zones, frozenset(zones)
        for zone in sorted(self._evacuated_zones - former):
            for entry in self._list_zone(zone):
                self._store_entry(replace(entry, is_evacuated=True), entry)
        for zone in sorted(former - self._evacuated_zones):
            self.mark_zone_cold(zone, now)
            for entry in self._list_zone(zone):
                self._store_entry(replace(entry, is_evacuated=False), entry)

    def mark_zone_cold(self, zone: str, now: float) -> None:
        """Let the servers of a zone count as cold for their services' warm-up time.

        Nobody knows what was done to them while they were sent nothing. What they
        announce themselves may only prolong this.
        """
        for entry in self._list_zone(zone):
            warm_up_s = self._find_longest_warm_up(entry.announcement.service)
            if warm_up_s <= 0.0:
                continue
            cold_until = now + warm_up_s
            self._cold_until_by_id[entry.server_id] = cold_until
            warm_up_ends_at = max(entry.warm_up_ends_at, cold_until)
            self._store_entry(replace(entry, warm_up_ends_at=warm_up_ends_at), entry)

    def _list_zone(self, zone: str) -> list[ServerEntry]:
        entries = self._entries_by_id.values()
        return [entry for entry in entries if entry.announcement.zone == zone]

    def record_departure(self, departure: Departure, now: float) -> bool:
        """Record that an incarnation of a server takes no new work any more.

        Returns:
            False if that is known already, or of an earlier incarnation.
        """
        key = (departure.server_id, departure.service)
        recorded = self._departures_by_key.get(key)
        if recorded is not None and departure.order <= recorded.order:
            return False
        known = self._entries_by_id.get(departure.server_id)
        if known is not None and not departure.concerns(known.announcement):
            known = None
        if known is not None and (
            known.announcement.incarnation_ms > departure.incarnation_ms
        ):
            return False
        self._departures_by_key[key] = departure
        self._departed_at_by_key[key] = now
        if known is not None:
            announcement = self._apply_departure(known.announcement)
            self._store_entry(replace(known, announcement=announcement), known)
        return True

    def mark_leaving(self, leaving: LeavingServer, now: float) -> bool:
        """Record that the responses of a server say that it is about to stop.

        The mark holds for this incarnation, whatever its announcements say.

        Returns:
            As for `record_departure`.
        """
        departure = Departure(
            leaving.server_id,
            leaving.incarnation_ms,
            MAX_SEQUENCE,
            ServerState.DRAINING,
        )
        return self.record_departure(departure, now)

    def list_departures(self) -> list[Departure]:
        """Return the departures of incarnations that no later one has replaced."""
        return [
            departure
            for departure in self._departures_by_key.values()
            if (entry := self._find_departed(departure)) is None
            or entry.announcement.incarnation_ms <= departure.incarnation_ms
        ]

    def _find_departed(self, departure: Departure) -> ServerEntry | None:
        """Return the entry of a departure's server."""
        entry = self._entries_by_id.get(departure.server_id)
        is_concerned = entry is not None and departure.concerns(entry.announcement)
        return entry if is_concerned else None

    def _find_departure(self, announcement: Announcement) -> Departure | None:
        """Return the departure that counts for the server of an announcement."""
        server_id = announcement.server_id
        departures = (
            self._departures_by_key.get((server_id, service))
            for service in (None, announcement.service)
        )
        return max(filter(None, departures), key=lambda d: d.order, default=None)

    def list_leaving(self) -> list[LeavingServer]:
        """Return the servers whose current incarnation is marked as leaving."""
        return [
            LeavingServer(departure.server_id, departure.incarnation_ms)
            for departure in self.list_departures()
            if departure.state is ServerState.DRAINING
            and departure.sequence == MAX_SEQUENCE
            and departure.service is None
        ]

    def _apply_departure(self, announcement: Announcement) -> Announcement:
        """Return an announcement with the state that its server's departure leaves."""
        departure = self._find_departure(announcement)
        if departure is None or departure.incarnation_ms != announcement.incarnation_ms:
            return announcement
        if departure.state is ServerState.GONE:
            return replace(
                announcement, state=ServerState.GONE, sequence=_GONE_SEQUENCE
            )
        is_ready = announcement.state is ServerState.READY
        if is_ready and announcement.sequence <= departure.sequence:
            return replace(announcement, state=ServerState.DRAINING)
        return announcement

    def renew(self, server_ids: Iterable[str], now: float, age_s: float) -> None:
        """Renew servers whose announcements another host received ``age_s`` ago."""
        received_at = now - age_s
        for server_id in server_ids:
            known = self._entries_by_id.get(server_id)
            if known is None or received_at <= self._received_at_by_id[server_id]:
                continue
            self._received_at_by_id[server_id] = received_at
            if known.is_silent and now - received_at < self._silent_after_s:
                self._store_entry(replace(known, is_silent=False), known)

    def expire(self, now: float) -> None:
        """Mark servers as silent whose announcements have stopped."""
        for server_id, entry in list(self._entries_by_id.items()):
            silence_s = now - self._received_at_by_id[server_id]
            if silence_s > self._silent_after_s and not entry.is_silent:
                self._store_entry(replace(entry, is_silent=True), entry)

    def set_silent(self, server_id: str, is_silent: bool) -> None:
        """Set whether a server is silent, as the hosts it announces to determined."""
        known = self._entries_by_id.get(server_id)
        if known is not None and known.is_silent != is_silent:
            self._store_entry(replace(known, is_silent=is_silent), known)

    def prune(self, now: float) -> tuple[str, ...]:
        """Remove servers that left or fell silent long ago and return their ids."""
        expired_ids = tuple(
            server_id
            for server_id, entry in self._entries_by_id.items()
            if (entry.is_silent or entry.announcement.state is ServerState.GONE)
            and now - self._received_at_by_id[server_id] > REMOVE_AFTER_S
        )
        for server_id in expired_ids:
            self._release_address(self._entries_by_id.pop(server_id))
            del self._received_at_by_id[server_id]
            self._cold_until_by_id.pop(server_id, None)
            self._cut_incarnation_by_id.pop(server_id, None)
        self._held.prune(now - REMOVE_AFTER_S)
        self._prune_departures(now)
        return expired_ids

    def _prune_departures(self, now: float) -> None:
        for key, departed_at in list(self._departed_at_by_key.items()):
            # The departure of a known server is kept for as long as its entry.
            if now - departed_at > REMOVE_AFTER_S and (
                self._find_departed(self._departures_by_key[key]) is None
            ):
                del self._departures_by_key[key]
                del self._departed_at_by_key[key]

    def last_received_at(self, server_id: str) -> float:
        """Return the loop time in seconds of a server's last announcement or renewal.

        Minus infinity stands for an unknown server.
        """
        return self._received_at_by_id.get(server_id, float("-inf"))

    def _find_warm_up_end(
        self, announcement: Announcement, known: ServerEntry | None, now: float
    ) -> float:
        """Return the loop time in seconds at which a server's warm-up ends.

        If the cold servers of its service are limited, the end doesn't move back within
        an incarnation: the announcement may have been made before the server became
        cold.
        """
        longest_s = self._find_longest_warm_up(announcement.service)
        if not longest_s:
            return now + announcement.warm_up_s
        if announcement.warm_up_s > longest_s:
            self._log_cut(announcement, longest_s)
        ends_at = now + min(announcement.warm_up_s, longest_s)
        if known is None or (
            known.announcement.incarnation_ms != announcement.incarnation_ms
        ):
            return ends_at if announcement.warm_up_s else 0.0
        known_end = min(known.warm_up_ends_at, now + longest_s)
        is_same = ends_at <= known_end + _WARM_UP_TOLERANCE_S
        return known_end if is_same or not announcement.warm_up_s else ends_at

    def _log_cut(self, announcement: Announcement, longest_s: float) -> None:
        """Log once for each incarnation that its warm-up is too long."""
        server_id = announcement.server_id
        incarnation_ms = announcement.incarnation_ms
        if self._cut_incarnation_by_id.get(server_id) == incarnation_ms:
            return
        self._cut_incarnation_by_id[server_id] = incarnation_ms
        logger.warning(
            "server %s (incarnation %d) announces a warm-up of %.1f s, expected %.1f s "
            "at most for service %s; using that",
            server_id,
            incarnation_ms,
            announcement.warm_up_s,
            longest_s,
            announcement.service,
        )

    def _find_holder(self, announcement: Announcement) -> ServerEntry | None:
        """Return the entry of another server that holds the announced address."""
        holder_id = self._id_by_address.get(announcement.address)
        if holder_id in (None, announcement.server_id):
            return None
        return self._entries_by_id[holder_id]

    def _is_superseded(self, announcement: Announcement) -> bool:
        """Return whether another server keeps the announced address.

        That is one of a named service with a later incarnation, or also with the same
        one if the announced server has lost the address to another before.
        """
        holder = self._find_holder(announcement)
        if holder is None or holder.announcement.service not in self._services:
            return False
        known = self._entries_by_id.get(announcement.server_id)
        has_lost_address = (
            known is not None
            and known.announcement.state is ServerState.GONE
            and known.announcement.incarnation_ms == announcement.incarnation_ms
            and known.announcement.address == announcement.address
        )
        holder_ms, own_ms = (
            holder.announcement.incarnation_ms,
            announcement.incarnation_ms,
        )
        return holder_ms > own_ms or (has_lost_address and holder_ms == own_ms)

    def _has_left(self, announcement: Announcement) -> bool:
        """Return whether an announcement's incarnation, or a later one, is gone."""
        departure = self._find_departure(announcement)
        if departure is None or announcement.incarnation_ms > departure.incarnation_ms:
            return False
        is_same = announcement.incarnation_ms == departure.incarnation_ms
        return not is_same or departure.state is ServerState.GONE

    def _store_announced(self, entry: ServerEntry, known: ServerEntry | None) -> None:
        """Store the entry of an announcement, and let its server hold the address.

        It is the only function that changes which server holds an address, except that
        removed entries hold none. A server holds only the address of its entry. One
        that loses its address counts as gone until it announces itself elsewhere; one
        that is gone takes no address from another.
        """
        address = entry.announcement.address
        if known is not None and known.announcement.address != address:
            self._release_address(known)
        holder = self._find_holder(entry.announcement)
        if holder is None:
            self._id_by_address[address] = entry.server_id
        elif entry.announcement.state is not ServerState.GONE:
            lost = replace(holder.announcement, state=ServerState.GONE)
            self._store_entry(replace(holder, announcement=lost), holder)
            self._id_by_address[address] = entry.server_id
        self._store_entry(entry, known)

    def _release_address(self, entry: ServerEntry) -> None:
        address = entry.announcement.address
        if self._id_by_address.get(address) == entry.server_id:
            del self._id_by_address[address]

    def _store_entry(self, entry: ServerEntry, known: ServerEntry | None) -> None:
        self._entries_by_id[entry.server_id] = entry
        if (
            known is None
            or not _is_unchanged(entry, known)
            or self._has_other_warm_up(entry, known)
        ):
            self._on_changed(entry)

    def _has_other_warm_up(self, entry: ServerEntry, known: ServerEntry) -> bool:
        """Return whether a server whose cold time counts has become cold."""
        if entry.warm_up_ends_at == known.warm_up_ends_at:
            return False
        return self._find_longest_warm_up(entry.announcement.service) > 0


def _is_unchanged(entry: ServerEntry, known: ServerEntry) -> bool:
    if (entry.is_silent, entry.is_evacuated) != (known.is_silent, known.is_evacuated):
        return False
    before = replace(known.announcement, sequence=0, warm_up_s=0.0)
    return replace(entry.announcement, sequence=0, warm_up_s=0.0) == before
