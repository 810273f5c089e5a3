"""Outcomes of changes by their id, so that a resend gets the first one."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.state.expiry import ExpiryQueue
from galenadrum._internal.protocol.commands_pb2 import ChangeIdSnapshot

MAX_IDS_PER_OPERATOR = 20_000
MAX_BYTES_PER_OPERATOR = 4 * 1024 * 1024

ChangeIdKey = tuple[str, str]
"""Name of the operator and the id that it gave to its change."""


@dataclass(frozen=True, slots=True)
class RememberedChange:
    """The first outcome of a change.

    Attributes:
        fingerprint: SHA-256 of the changes; the id names only these.
        result: The serialised ``ChangeResult``.
        sequence: Rises with each remembered change.
    """

    fingerprint: bytes
    result: bytes
    forget_at_ms: int
    sequence: int


class ChangeIds:
    """Remembers outcomes for a time, within a bound for each operator.

    An operator that fills its bound loses its own oldest outcomes, never
    those of another.
    """

    def __init__(
        self,
        max_ids: int = MAX_IDS_PER_OPERATOR,
        max_bytes: int = MAX_BYTES_PER_OPERATOR,
    ) -> None:
        self._max_ids = max_ids
        self._max_bytes = max_bytes
        self._changes_by_operator: dict[str, dict[str, RememberedChange]] = {}
        self._bytes_by_operator: dict[str, int] = {}
        self._expiry: ExpiryQueue[ChangeIdKey] = ExpiryQueue()
        self._sequence = 0

    def __len__(self) -> int:
        return sum(len(changes) for changes in self._changes_by_operator.values())

    def get(self, key: ChangeIdKey) -> RememberedChange | None:
        """Return the first outcome of a change, while it is remembered."""
        operator, change_id = key
        return self._changes_by_operator.get(operator, {}).get(change_id)

    def remember(
        self, key: ChangeIdKey, fingerprint: bytes, result: bytes, forget_at_ms: int
    ) -> None:
        """Keep the outcome of a change that was not seen before."""
        self._sequence += 1
        self._add(
            key, RememberedChange(fingerprint, result, forget_at_ms, self._sequence)
        )
        self._enforce_bounds(key[0])

    def expire(self, now_ms: int) -> None:
        """Forget all outcomes whose time has passed."""
        for key in self._expiry.pop_until(now_ms):
            change = self.get(key)
            if change is not None and change.forget_at_ms <= now_ms:
                self._remove(key)

    def snapshot(self) -> list[ChangeIdSnapshot]:
        """Return all remembered changes, oldest first."""
        rows = [
            ChangeIdSnapshot(
                operator_name=operator,
                change_id=change_id,
                fingerprint=change.fingerprint,
                forget_at_ms=change.forget_at_ms,
                result=change.result,
                sequence=change.sequence,
            )
            for operator, changes in self._changes_by_operator.items()
            for change_id, change in changes.items()
        ]
        return sorted(rows, key=lambda row: row.sequence)

    def restore(self, rows: list[ChangeIdSnapshot], sequence: int) -> None:
        """Take over the rows of a snapshot."""
        self._changes_by_operator.clear()
        self._bytes_by_operator.clear()
        self._expiry = ExpiryQueue()
        for row in rows:
            change = RememberedChange(
                row.fingerprint, row.result, row.forget_at_ms, row.sequence
            )
            self._add((row.operator_name, row.change_id), change)
        self._sequence = sequence

    @property
    def sequence(self) -> int:
        """Number of changes remembered so far, forgotten ones included."""
        return self._sequence

    def _add(self, key: ChangeIdKey, change: RememberedChange) -> None:
        operator, change_id = key
        self._changes_by_operator.setdefault(operator, {})[change_id] = change
        used = self._bytes_by_operator.get(operator, 0)
        self._bytes_by_operator[operator] = used + len(change.result)
        self._expiry.push(change.forget_at_ms, key)

    def _remove(self, key: ChangeIdKey) -> None:
        operator, change_id = key
        change = self._changes_by_operator[operator].pop(change_id)
        self._bytes_by_operator[operator] -= len(change.result)

    def _enforce_bounds(self, operator: str) -> None:
        changes = self._changes_by_operator[operator]
        while len(changes) > 1 and (
            len(changes) > self._max_ids
            or self._bytes_by_operator[operator] > self._max_bytes
        ):
            self._remove((operator, next(iter(changes))))
