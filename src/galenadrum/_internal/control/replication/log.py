"""In-memory log entries of one member."""

from __future__ import annotations

from collections import deque

from galenadrum._internal.control.replication import codec
from galenadrum._internal.control.replication.entries import (
    Entry,
    EntryKind,
    Snapshot,
    StoredState,
)
from galenadrum._internal.control.replication.membership import Membership
from galenadrum._internal.exceptions import InvariantError


class EntryLog:
    """Entries after ``start_index`` and the memberships that they set.

    Attributes:
        start_index: Index of the last entry that was dropped from memory, or 0.
        start_term: Term of the entry at ``start_index``.
        stable_index: Last index that this member has synced.
        stored_entries_void: Whether the stored entries are obsolete and storage
            must mark them as void.
    """

    def __init__(self, stored: StoredState, founders: Membership) -> None:
        self.start_index = 0
        self.start_term = 0
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = [(0, founders)]
        self._unsynced: deque[tuple[int, int]] = deque()
        self.stored_entries_void = False
        self._load(stored)
        self.stable_index = self.last_index

    def _load(self, stored: StoredState) -> None:
        entries = stored.entries
        snapshot = stored.snapshot
        if entries:
            self.start_index = entries[0].index - 1
        if snapshot is not None:
            self._memberships = [(snapshot.index, snapshot.membership)]
            entries = self._reconcile_with_snapshot(entries, snapshot)
        for entry in entries:
            self._entries.append(entry)
            if snapshot is None or entry.index > snapshot.index:
                self._record_membership(entry)

    def _reconcile_with_snapshot(
        self, entries: tuple[Entry, ...], snapshot: Snapshot
    ) -> tuple[Entry, ...]:
        """Set the start and return the stored entries to keep with the snapshot."""
        if entries and 0 < self.start_index < snapshot.index:
            # The term of the entry before the first one is unknown, so the log
            # starts after the first entry.
            self.start_index = entries[0].index
            self.start_term = entries[0].term
            entries = entries[1:]
        if self.start_index < snapshot.index:
            if self._find_term(entries, snapshot.index) == snapshot.term:
                return entries
            # The member stopped after it had stored the snapshot, but before it
            # had marked the stored entries, which conflict with it, as void.
            self.stored_entries_void = bool(entries) or self.start_index > 0
            entries = ()
        self.start_index = snapshot.index
        self.start_term = snapshot.term
        return entries

    def _find_term(self, entries: tuple[Entry, ...], index: int) -> int | None:
        if index == self.start_index:
            return self.start_term
        position = index - self.start_index - 1
        if 0 <= position < len(entries):
            return entries[position].term
        return None

    def _record_membership(self, entry: Entry) -> None:
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = codec.membership_from_bytes(entry.data)
            self._memberships.append((entry.index, membership))

    @property
    def last_index(self) -> int:
        """Index of the last entry, or ``start_index`` if there is none."""
        return self.start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or ``start_term`` if there is none."""
        return self._entries[-1].term if self._entries else self.start_term

    @property
    def membership(self) -> Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that is in effect at an index."""
        current = self._memberships[0][1]
        for effective_from, membership in self._memberships:
            if effective_from <= index:
                current = membership
        return current

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.start_index:
            return self.start_term
        if self.start_index < index <= self.last_index:
            return self._entries[index - self.start_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the lowest index in memory with the same term as an entry."""
        term = self.term_at(index)
        while index > self.start_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, max_count: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from index ``first`` on, within both limits.

        The first entry is returned even if it is over ``max_bytes``.

        Raises:
            InvariantError: When the entry is no longer in memory.
        """
        position = first - self.start_index - 1
        if position < 0:
            raise InvariantError(f"entry {first} is no longer in memory")
        selected = []
        size = 0
        for entry in self._entries[position : position + max_count]:
            size += len(entry.data)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def first_index_within(self, last: int, max_count: int, max_bytes: int) -> int:
        """Return the lowest index from which the entries to ``last`` fit the limits."""
        first = last + 1
        size = 0
        while first > self.start_index + 1 and last - first + 1 < max_count:
            size += len(self._entries[first - self.start_index - 2].data)
            if size > max_bytes:
                break
            first -= 1
        return first

    def entries_from(self, first: int) -> tuple[Entry, ...]:
        """Return all entries from an index on."""
        return tuple(self._entries[max(0, first - self.start_index - 1) :])

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        Raises:
            InvariantError: When its index or term doesn't follow the last entry.
        """
        if entry.index != self.last_index + 1 or entry.term < self.last_term:
            raise InvariantError(
                f"entry {entry.index} of term {entry.term} can't follow entry "
                f"{self.last_index} of term {self.last_term}"
            )
        self._entries.append(entry)
        self._record_membership(entry)

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on and the memberships that they set."""
        del self._entries[first - self.start_index - 1 :]
        while self._memberships[-1][0] >= first:
            self._memberships.pop()
        self.stable_index = min(self.stable_index, first - 1)
        self._unsynced = deque(
            (sequence, min(last, first - 1)) for sequence, last in self._unsynced
        )

    def reset(self, index: int, term: int, membership: Membership) -> None:
        """Drop all entries and start after a snapshot."""
        self.start_index = index
        self.start_term = term
        self._entries.clear()
        self._memberships = [(index, membership)]
        self._unsynced.clear()
        self.stable_index = 0

    def compact(self, index: int) -> None:
        """Drop the entries up to and including ``index``.

        A snapshot must include them.

        Raises:
            InvariantError: When the entry at ``index`` is not in memory.
        """
        if index <= self.start_index:
            return
        term = self.term_at(index)
        if term is None:
            raise InvariantError(
                f"compaction up to entry {index}, which is not in memory"
            )
        del self._entries[: index - self.start_index]
        self.start_index = index
        self.start_term = term
        membership = self.membership_at(index)
        later = [pair for pair in self._memberships if pair[0] > index]
        effective_from = max(
            (pair[0] for pair in self._memberships if pair[0] <= index), default=index
        )
        self._memberships = [(effective_from, membership), *later]

    def record_write(self, sequence: int) -> None:
        """Record that all entries so far were passed to storage as ``sequence``."""
        self._unsynced.append((sequence, self.last_index))

    def record_sync(self, sequence: int) -> None:
        """Record that storage has synced all writes up to ``sequence``."""
        while self._unsynced and self._unsynced[0][0] <= sequence:
            _, last = self._unsynced.popleft()
            self.stable_index = max(self.stable_index, last)
