"""The entry hosts of a zone, as one of them knows them."""

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
    """Whether a host follows the declarations at a control host.

    ``UNKNOWN`` is a host that does not try, ``UNREACHED`` one that tried lately
    and failed.
    """

    UNKNOWN = "unknown"
    REACHED = "reached"
    UNREACHED = "unreached"


@dataclass(frozen=True, slots=True)
class HostRecord:
    """What an entry host says of itself to the others of its zone.

    Attributes:
        beat: Rises with each record of the host, also over its restarts.
        revision: Revision of the declarations that it serves from, 0 if none.
        leaving: Whether it shuts down.
    """

    host_id: str
    peer_address: str
    beat: int = 0
    revision: int = 0
    control: ControlReach = ControlReach.UNKNOWN
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PeerHost:
    """A host record as it is passed on, with the age of its beat in seconds."""

    record: HostRecord
    age_s: float


@dataclass(frozen=True, slots=True)
class HostBeat:
    """A newer beat of a host whose other attributes did not change."""

    ref: int
    beat: int
    age_s: float


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry host with the loop times of its last beat and its expiry."""

    record: HostRecord
    ref: int
    heard_at: float
    expires_at: float


def host_ref(record: HostRecord) -> int:
    """Return a 64-bit hash of everything in the record but its beat."""
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
    """The live entry hosts of the zone, this one included.

    Args:
        host_id: Unique name of this host.
        peer_address: IP number and port at which the others reach it.
        now: Loop time in seconds.
    """

    def __init__(self, host_id: str, peer_address: str, now: float) -> None:
        self._host_id = host_id
        self._entries_by_id: dict[str, HostEntry] = {}
        self._id_by_ref: dict[int, str] = {}
        self._refuted_beat = 0
        self._has_warned = False
        self._digest = 0
        self._put(HostRecord(host_id, peer_address, beat=1), now)

    @property
    def own(self) -> HostRecord:
        """The record of this host."""
        return self._entries_by_id[self._host_id].record

    @property
    def digest(self) -> int:
        """XOR of the references of all records; equal on hosts that agree."""
        return self._digest

    def next_beat(self) -> float:
        """Return the loop time at which this host's next beat is due.

        It comes early when the others hold a higher beat, from before a restart.
        """
        own = self._entries_by_id[self._host_id]
        if self._refuted_beat >= own.record.beat:
            return own.heard_at + _REFUTE_INTERVAL_S
        return own.heard_at + _BEAT_INTERVAL_S

    def beat(self, now: float) -> bool:
        """Renew this host's record when it is due; return whether it was."""
        if now < self.next_beat():
            return False
        self._renew(self.own, now)
        return True

    def update(
        self,
        now: float,
        revision: int | None = None,
        control: ControlReach | None = None,
        leaving: bool | None = None,
    ) -> bool:
        """Change this host's record; return whether anything is new in it.

        Raises:
            InvariantError: The revision is lower than before.
        """
        own = self.own
        if revision is not None and revision < own.revision:
            raise InvariantError(f"revision {revision} is below {own.revision}")
        record = replace(
            own,
            revision=own.revision if revision is None else revision,
            control=own.control if control is None else control,
            leaving=own.leaving if leaving is None else leaving,
        )
        if record == own:
            return False
        self._renew(record, now)
        return True

    def merge(self, peer_host: PeerHost, now: float) -> bool | None:
        """Take a record from a peer.

        Returns:
            True when its content is new, False when only its beat is, None when
            it was known or is too old.
        """
        record = peer_host.record
        if record.host_id == self._host_id:
            if record.peer_address != self.own.peer_address and not self._has_warned:
                self._has_warned = True
                logger.warning(
                    "host id %s was also used at %s",
                    record.host_id,
                    record.peer_address,
                )
            # A record from before this host's restart; the next beat beats it.
            self._refuted_beat = max(self._refuted_beat, record.beat)
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
        self._put(record, now - age_s)
        return known is None or known.ref != ref

    def merge_beat(self, beat: HostBeat, now: float) -> bool | None:
        """Take a beat; return None if its record is unknown, else if it is new."""
        host_id = self._id_by_ref.get(beat.ref)
        if host_id is None:
            return None
        record = self._entries_by_id[host_id].record
        if record.beat >= beat.beat and host_id != self._host_id:
            return False
        record = replace(record, beat=beat.beat)
        return self.merge(PeerHost(record, beat.age_s), now) is not None

    def expire(self, now: float) -> tuple[str, ...]:
        """Forget hosts without a beat; return their ids."""
        expired = tuple(
            host_id
            for host_id, entry in self._entries_by_id.items()
            if entry.expires_at <= now and host_id != self._host_id
        )
        for host_id in expired:
            self._drop(host_id)
        return expired

    def entry_by_ref(self, ref: int) -> HostEntry | None:
        """Return the entry with this content, or None when it isn't known."""
        host_id = self._id_by_ref.get(ref)
        return None if host_id is None else self._entries_by_id[host_id]

    def entry_by_id(self, host_id: str) -> HostEntry | None:
        """Return the entry of a host, or None when it isn't known."""
        return self._entries_by_id.get(host_id)

    def refs(self) -> tuple[int, ...]:
        """Return the references of all records."""
        return tuple(self._id_by_ref)

    def live(self, now: float) -> tuple[HostRecord, ...]:
        """Return the hosts that live and do not leave, ordered by host id."""
        own = self._host_id
        return tuple(
            entry.record
            for host_id, entry in sorted(self._entries_by_id.items())
            if (entry.expires_at > now or host_id == own) and not entry.record.leaving
        )

    def _renew(self, record: HostRecord, now: float) -> None:
        beat = max(record.beat, self._refuted_beat) + 1
        self._put(replace(record, beat=beat), now)

    def _put(self, record: HostRecord, heard_at: float) -> None:
        self._drop(record.host_id)
        ref = host_ref(record)
        entry = HostEntry(record, ref, heard_at, heard_at + _HOST_TTL_S)
        self._entries_by_id[record.host_id] = entry
        self._id_by_ref[ref] = record.host_id
        self._digest ^= ref

    def _drop(self, host_id: str) -> None:
        entry = self._entries_by_id.pop(host_id, None)
        if entry is not None:
            del self._id_by_ref[entry.ref]
            self._digest ^= entry.ref
