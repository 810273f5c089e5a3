"""What a member stores: entries, the hard state and snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from galenadrum._internal.control.replication.membership import Membership


class EntryKind(IntEnum):
    """What an entry's data holds; the values are stored."""

    COMMAND = 1
    MEMBERSHIP = 2
    TERM_START = 3


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    Attributes:
        index: Position, from 1.
        term: Term of the leader that appended it.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """What a member must remember of elections.

    Attributes:
        voted_for: Member id, or empty when it has not voted in this term.
    """

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's state after the entry at ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a data folder holds when it is opened.

    Attributes:
        disk_id: Random name that the folder got when it was created.
        entries: Contiguous; the first may lie before the snapshot.
    """

    disk_id: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
