"""Stored data of a member: entries, the hard state and snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from galenadrum._internal.control.replication.membership import Membership


class EntryKind(IntEnum):
    """Type of an entry's data; the values are part of the storage format."""

    COMMAND = 1
    MEMBERSHIP = 2
    TERM_START = 3


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    Attributes:
        index: Position in the log, starting at 1.
        term: Term of the leader that appended the entry.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Election state that must survive a restart.

    Attributes:
        voted_for: Id of the member voted for in this term, or empty.
    """

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after the entry at ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """Contents of a data folder when it is opened.

    Attributes:
        disk_id: Random id assigned to the data folder when it was created.
        entries: Contiguous entries; the first may precede the snapshot.
    """

    disk_id: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
