"""Results of change sets by change id, so that retries are idempotent."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.state.expiry import ExpiryQueue
from galenadrum._internal.protocol.commands_pb2 import ChangeIdSnapshot

MAX_CHANGE_IDS_PER_OPERATOR = 20_000
MAX_RESULT_BYTES_PER_OPERATOR = 4 * 1024 * 1024

ChangeIdKey = tuple[str, str]
"""Operator name and the change id that the operator chose."""


@dataclass(frozen=True, slots=True)
class RecordedResult:
    """The result of the first request with a change id.

    Attributes:
        fingerprint: SHA-256 of the changes; the id is valid only for these.
        result: The serialised ``ChangeResult``.
        forget_at_ms: Time in milliseconds at which the result expires.
        sequence: Position in the order in which results were recorded.
    """

    fingerprint: bytes
    result: bytes
    forget_at_ms: int
    sequence: int


class ChangeIdTable:
    """Results of change sets, kept for a limited time and up to a limit per operator.

    An operator that exceeds its limit loses its own oldest results, never
    those of another operator.

    Args:
        max_ids: Maximum number of results per operator.
        max_bytes: Maximum total size of the serialised results per operator.
    """

    def __init__(
        self,
        max_ids: int = MAX_CHANGE_IDS_PER_OPERATOR,
        max_bytes: int = MAX_RESULT_BYTES_PER_OPERATOR,
    ) -> None:
        self._max_ids = max_ids
        self._max_bytes = max_bytes
        self._results_by_operator: dict[str, dict[str, RecordedResult]] = {}
        self._bytes_by_operator: dict[str, int] = {}
        self._expiry: ExpiryQueue[ChangeIdKey] = ExpiryQueue()
        self._sequence = 0

    def __len__(self) -> int:
        return sum(len(changes) for changes in self._results_by_operator.values())

    def get(self, key: ChangeIdKey) -> RecordedResult | None:
        """Return the recorded result of a change set, or None if there is none."""
        operator, change_id = key
        return self._results_by_operator.get(operator, {}).get(change_id)

    def record_result(
        self, key: ChangeIdKey, fingerprint: bytes, result: bytes, forget_at_ms: int
    ) -> None:
        """Record the result of a change set whose id is not recorded yet."""
        self._sequence += 1
        self._add(
            key, RecordedResult(fingerprint, result, forget_at_ms, self._sequence)
        )
        self._evict_oldest(key[0])

    def expire(self, now_ms: int) -> None:
        """Remove all results that have expired at ``now_ms``."""
        for key in self._expiry.pop_expired(now_ms):
            change = self.get(key)
            if change is not None and change.forget_at_ms <= now_ms:
                self._remove(key)

    def snapshot(self) -> list[ChangeIdSnapshot]:
        """Return all recorded results, oldest first."""
        rows = [
            ChangeIdSnapshot(
                operator_name=operator,
                change_id=change_id,
                fingerprint=change.fingerprint,
                forget_at_ms=change.forget_at_ms,
                result=change.result,
                sequence=change.sequence,
            )
            for operator, changes in self._results_by_operator.items()
            for change_id, change in changes.items()
        ]
        return sorted(rows, key=lambda row: row.sequence)

    def restore(self, rows: list[ChangeIdSnapshot], sequence: int) -> None:
        """Replace the contents with the rows of a snapshot."""
        self._results_by_operator.clear()
        self._bytes_by_operator.clear()
        self._expiry = ExpiryQueue()
        for row in rows:
            change = RecordedResult(
                row.fingerprint, row.result, row.forget_at_ms, row.sequence
            )
            self._add((row.operator_name, row.change_id), change)
        self._sequence = sequence

    @property
    def sequence(self) -> int:
        """Number of results recorded so far, including removed ones."""
        return self._sequence

    def _add(self, key: ChangeIdKey, change: RecordedResult) -> None:
        operator, change_id = key
        self._results_by_operator.setdefault(operator, {})[change_id] = change
        used_bytes = self._bytes_by_operator.get(operator, 0)
        self._bytes_by_operator[operator] = used_bytes + len(change.result)
        self._expiry.push(change.forget_at_ms, key)

    def _remove(self, key: ChangeIdKey) -> None:
        operator, change_id = key
        change = self._results_by_operator[operator].pop(change_id)
        self._bytes_by_operator[operator] -= len(change.result)

    def _evict_oldest(self, operator: str) -> None:
        changes = self._results_by_operator[operator]
        while len(changes) > 1 and (
            len(changes) > self._max_ids
            or self._bytes_by_operator[operator] > self._max_bytes
        ):
            self._remove((operator, next(iter(changes))))
