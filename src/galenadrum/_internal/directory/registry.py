"""What a host knows of backend servers, merged from all that it hears.

An entry is ordered by incarnation and sequence, so that merging gives the same
result in any order. The last word of an incarnation stays: a late announcement
can't bring back a server that has left.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from galenadrum._internal.models.announcements import (
    Announcement,
    Farewell,
    ServerState,
)

# Announcements missed before a server counts as silent: two may be lost or late.
SILENT_AFTER_INTERVALS = 3.5
# One that left or fell silent is forgotten after this time; no announcement of it
# is under way for so long.
FORGET_AFTER_S = 60.0
# Sequence of a farewell: after all announcements of its incarnation.
_LAST_SEQUENCE = 2**62


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server in the directory.

    Attributes:
        is_silent: Whether its announcements have stopped.
        warm_until: Loop time in seconds until which it is slow.
    """

    announcement: Announcement
    is_silent: bool = False
    warm_until: float = 0.0

    def __str__(self) -> str:
        said = self.announcement
        return (
            f"server {said.server_id} of {said.service} at {said.address}: "
            f"{said.state.value}{', silent' if self.is_silent else ''} "
            f"(incarnation {said.incarnation_ms}, sequence {said.sequence})"
        )

    @property
    def server_id(self) -> str:
        """Id of the server."""
        return self.announcement.server_id

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent to it."""
        return self.announcement.state is ServerState.READY


class Registry:
    """All backend servers by id.

    Args:
        interval_s: Interval between two announcements of a server.
        on_changed: Called with each entry that changed in more than its
            sequence.
    """

    def __init__(
        self, interval_s: float, on_changed: Callable[[ServerEntry], None]
    ) -> None:
        self._silent_after_s = interval_s * SILENT_AFTER_INTERVALS
        self._on_changed = on_changed
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._id_by_address: dict[str, str] = {}

    def __iter__(self) -> Iterator[ServerEntry]:
        return iter(self._entries_by_id.values())

    def get(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a server."""
        return self._entries_by_id.get(server_id)

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take an announcement; returns whether it is newer than what was known."""
        known = self._entries_by_id.get(announcement.server_id)
        if known is not None and announcement.order <= known.announcement.order:
            return False
        if self._is_replaced(announcement):
            return False
        if known is not None and self._has_left(known.announcement, announcement):
            return False
        self._retire_address(announcement)
        self._heard_at_by_id[announcement.server_id] = now
        entry = ServerEntry(announcement, False, now + announcement.warm_up_s)
        self._put(entry, known)
        return True

    def leave(self, farewell: Farewell) -> bool:
        """Take a server's last word; returns whether anything changed."""
        known = self._entries_by_id.get(farewell.server_id)
        if known is None:
            return False
        announcement = known.announcement
        incarnation_ms = farewell.incarnation_ms or announcement.incarnation_ms
        if incarnation_ms != announcement.incarnation_ms:
            return False
        if announcement.state is ServerState.GONE:
            return False
        gone = replace(announcement, state=ServerState.GONE, sequence=_LAST_SEQUENCE)
        self._put(replace(known, announcement=gone), known)
        return True

    def renew(self, server_ids: Iterable[str], now: float, age_s: float) -> None:
        """Note that servers were heard of ``age_s`` ago by another host."""
        heard_at = now - age_s
        for server_id in server_ids:
            known = self._entries_by_id.get(server_id)
            if known is None or heard_at <= self._heard_at_by_id[server_id]:
                continue
            self._heard_at_by_id[server_id] = heard_at
            if known.is_silent and now - heard_at < self._silent_after_s:
                self._put(replace(known, is_silent=False), known)

    def expire(self, now: float) -> None:
        """Mark servers whose announcements have stopped."""
        for server_id, entry in list(self._entries_by_id.items()):
            silence_s = now - self._heard_at_by_id[server_id]
            if silence_s > self._silent_after_s and not entry.is_silent:
                self._put(replace(entry, is_silent=True), entry)

    def set_silent(self, server_id: str, is_silent: bool) -> None:
        """Take over whether a server is silent from those that hear it."""
        known = self._entries_by_id.get(server_id)
        if known is not None and known.is_silent != is_silent:
            self._put(replace(known, is_silent=is_silent), known)

    def prune(self, now: float) -> tuple[str, ...]:
        """Forget servers that left or fell silent long ago; returns their ids."""
        forgotten = tuple(
            server_id
            for server_id, entry in self._entries_by_id.items()
            if (entry.is_silent or entry.announcement.state is ServerState.GONE)
            and now - self._heard_at_by_id[server_id] > FORGET_AFTER_S
        )
        for server_id in forgotten:
            address = self._entries_by_id.pop(server_id).announcement.address
            del self._heard_at_by_id[server_id]
            if self._id_by_address.get(address) == server_id:
                del self._id_by_address[address]
        return forgotten

    def heard_at(self, server_id: str) -> float:
        """Return the loop time of a server's last announcement, in seconds."""
        return self._heard_at_by_id.get(server_id, float("-inf"))

    def _is_replaced(self, announcement: Announcement) -> bool:
        """Return whether a later incarnation holds the address."""
        holder_id = self._id_by_address.get(announcement.address)
        if holder_id is None or holder_id == announcement.server_id:
            return False
        holder = self._entries_by_id[holder_id].announcement
        return holder.incarnation_ms > announcement.incarnation_ms

    def _has_left(self, known: Announcement, announcement: Announcement) -> bool:
        same = known.incarnation_ms == announcement.incarnation_ms
        return same and known.state is ServerState.GONE

    def _retire_address(self, announcement: Announcement) -> None:
        """Retire an earlier incarnation at the same address under another id."""
        holder_id = self._id_by_address.get(announcement.address)
        if holder_id is not None and holder_id != announcement.server_id:
            holder = self._entries_by_id[holder_id].announcement
            self.leave(Farewell(holder_id, holder.incarnation_ms))
        self._id_by_address[announcement.address] = announcement.server_id

    def _put(self, entry: ServerEntry, known: ServerEntry | None) -> None:
        self._entries_by_id[entry.server_id] = entry
        if known is None or not _is_same(entry, known):
            self._on_changed(entry)


def _is_same(entry: ServerEntry, known: ServerEntry) -> bool:
    if entry.is_silent != known.is_silent:
        return False
    before = replace(known.announcement, sequence=0, warm_up_s=0.0)
    return replace(entry.announcement, sequence=0, warm_up_s=0.0) == before
