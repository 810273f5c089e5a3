"""Table of the entry hosts of a zone, as held by one of them."""

from __future__ import annotations

import hashlib
import logging
from dataclasses import dataclass, replace
from enum import StrEnum

from galenadrum._internal.exceptions import InvariantError

logger = logging.getLogger(__name__)

_BEAT_INTERVAL_S = 2.0
_REFUTE_INTERVAL_S = 0.25
_HOST_TTL_S = 7.0
_MAX_HOSTS = 256


class ControlReach(StrEnum):
    """State of a host's attempts to follow the declarations at a control host.

    ``REACHED`` is a host that follows them; ``UNKNOWN`` is a host that does not try
    to; ``UNREACHED`` is a host whose recent attempts failed.
    """

    UNKNOWN = "unknown"
    REACHED = "reached"
    UNREACHED = "unreached"


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Record that an entry host publishes of itself within its zone.

    Attributes:
        beat: Heartbeat counter, which rises with each record of the host, also across
            restarts.
        revision: Revision of the declarations that the host serves from, 0 if none.
        control: State of the host's attempts to follow a control host.
        leaving: Whether the host is shutting down.
    """

    host_id: str
    peer_address: str
    beat: int = 0
    revision: int = 0
    control: ControlReach = ControlReach.UNKNOWN
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PeerHost:
    """A host record in the form sent between hosts; ``age_s`` is its beat's age."""

    record: HostRecord
    age_s: float


@dataclass(frozen=True, slots=True)
class HostBeat:
    """A newer beat of a host whose record is otherwise unchanged."""

    ref: int
    beat: int
    age_s: float


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry host with the loop times, in seconds, of its last beat and expiry."""

    record: HostRecord
    ref: int
    received_at: float
    expires_at: float


def host_ref(record: HostRecord) -> int:
    """Return a 64-bit hash of all fields of the record except the beat."""
    content = (
        record.host_id,
        record.peer_address,
        record.revision,
        str(record.control),
        record.leaving,
    )
    digest = hashlib.blake2b(repr(content).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HostTable:
    """Records of the zone's live entry hosts, including this one.

    Args:
        host_id: Unique name of this host.
        peer_address: IP address and port at which the other hosts reach it.
        now: Loop time in seconds.
    """

    def __init__(self, host_id: str, peer_address: str, now: float) -> None:
        self._host_id = host_id
        self._entries_by_id: dict[str, HostEntry] = {}
        self._id_by_ref: dict[int, str] = {}
        self._stale_own_beat = 0
        self._has_warned_of_reused_id = False
        self._digest = 0
        self._store_record(HostRecord(host_id, peer_address, beat=1), now)

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self._entries_by_id[self._host_id].record

    @property
    def digest(self) -> int:
        """XOR of the references of all records; equal on hosts with equal records."""
        return self._digest

    def next_beat(self) -> float:
        """Return the loop time at which this host's next beat is due.

        It is due earlier while peers hold a record of this host from before a
        restart, with a beat that is not below the current one.
        """
        own = self._entries_by_id[self._host_id]
        if self._stale_own_beat >= own.record.beat:
            return own.received_at + _REFUTE_INTERVAL_S
        return own.received_at + _BEAT_INTERVAL_S

    def beat(self, now: float) -> bool:
        """Raise this host's beat if it is due; return whether it was due."""
        if now < self.next_beat():
            return False
        self._store_next_beat(self.own, now)
        return True

    def update(
        self,
        now: float,
        revision: int | None = None,
        control: ControlReach | None = None,
        leaving: bool | None = None,
    ) -> bool:
        """Update this host's record; return whether it changed.

        Raises:
            InvariantError: The revision is below the current one.
        """
        own = self.own
        if revision is not None and revision < own.revision:
            raise InvariantError(
                f"revision {revision} is below the current revision {own.revision}"
            )
        record = replace(
            own,
            revision=own.revision if revision is None else revision,
            control=own.control if control is None else control,
            leaving=own.leaving if leaving is None else leaving,
        )
        if record == own:
            return False
        self._store_next_beat(record, now)
        return True

    def merge(self, peer_host: PeerHost, now: float) -> bool | None:
        """Merge a record from a peer.

        Returns:
            True when the record's content is new, False when only its beat is new,
            None when the record was rejected: already held, too old, about this
            host, or of a new host when the table is full.
        """
        record = peer_host.record
        if record.host_id == self._host_id:
            if (
                record.peer_address != self.own.peer_address
                and not self._has_warned_of_reused_id
            ):
                self._has_warned_of_reused_id = True
                logger.warning(
                    "host id %s, which is the id of this host, was also used at %s",
                    record.host_id,
                    record.peer_address,
                )
            # A record from before this host's restart; the next beat exceeds its beat.
            self._stale_own_beat = max(self._stale_own_beat, record.beat)
            return None
        age_s = max(0.0, peer_host.age_s)
        known = self._entries_by_id.get(record.host_id)
        if known is None and len(self._entries_by_id) >= _MAX_HOSTS:
            return None
        ref = host_ref(record)
        if known is not None and (known.record.beat, known.ref) >= (record.beat, ref):
            return None
        if age_s >= _HOST_TTL_S:
            return None
        self._store_record(record, now - age_s)
        return known is None or known.ref != ref

    def merge_beat(self, beat: HostBeat, now: float) -> bool | None:
        """Merge a beat from a peer.

        Returns:
            Whether the beat was accepted as newer, or None when its record is unknown.
        """
        host_id = self._id_by_ref.get(beat.ref)
        if host_id is None:
            return None
        record = self._entries_by_id[host_id].record
        if record.beat >= beat.beat and host_id != self._host_id:
            return False
        record = replace(record, beat=beat.beat)
        return self.merge(PeerHost(record, beat.age_s), now) is not None

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove hosts without a recent beat; return their ids."""
        expired = tuple(
            host_id
            for host_id, entry in self._entries_by_id.items()
            if entry.expires_at <= now and host_id != self._host_id
        )
        for host_id in expired:
            self._remove_record(host_id)
        return expired

    def entry_by_ref(self, ref: int) -> HostEntry | None:
        """Return the entry with this content reference, or None."""
        host_id = self._id_by_ref.get(ref)
        return None if host_id is None else self._entries_by_id[host_id]

    def entry_by_id(self, host_id: str) -> HostEntry | None:
        """Return the entry of a host, or None when there is none."""
        return self._entries_by_id.get(host_id)

    def refs(self) -> tuple[int, ...]:
        """Return the references of all records."""
        return tuple(self._id_by_ref)

    def list_live_hosts(self, now: float) -> tuple[HostRecord, ...]:
        """Return the records of live hosts that are not leaving, ordered by id."""
        own = self._host_id
        return tuple(
            entry.record
            for host_id, entry in sorted(self._entries_by_id.items())
            if (entry.expires_at > now or host_id == own) and not entry.record.leaving
        )

    def _store_next_beat(self, record: HostRecord, now: float) -> None:
        beat = max(record.beat, self._stale_own_beat) + 1
        self._store_record(replace(record, beat=beat), now)

    def _store_record(self, record: HostRecord, received_at: float) -> None:
        self._remove_record(record.host_id)
        ref = host_ref(record)
        entry = HostEntry(record, ref, received_at, received_at + _HOST_TTL_S)
        self._entries_by_id[record.host_id] = entry
        self._id_by_ref[ref] = record.host_id
        self._digest ^= ref

    def _remove_record(self, host_id: str) -> None:
        entry = self._entries_by_id.pop(host_id, None)
        if entry is not None:
            del self._id_by_ref[entry.ref]
            self._digest ^= entry.ref
