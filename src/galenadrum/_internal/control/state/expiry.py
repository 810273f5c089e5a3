"""Expiry queues, exact or with a resolution of one second."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")


class ExpiryQueue(Generic[KeyT]):
    """A min-heap of keys ordered by expiry time.

    A key whose expiry time changes is pushed again and its old entry stays, so
    the caller must check the expiry time of each popped key.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, KeyT]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, expires_at_ms: int, key: KeyT) -> None:
        """Add a key that expires at ``expires_at_ms``."""
        heapq.heappush(self._heap, (expires_at_ms, key))

    def pop_expired(self, now_ms: int) -> Iterator[KeyT]:
        """Remove and yield all keys that expire at or before ``now_ms``."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]


class DigestExpiryQueue:
    """Digests of equal size, grouped by the second in which they expire.

    Each group is one bytearray, so that a digest takes no memory beyond its
    bytes. A digest is yielded up to one second after it expires. A digest whose
    expiry time changes is pushed again and its old entry stays, so the caller
    must check the expiry time of each popped digest.

    Args:
        digest_bytes: Size of each digest in bytes.
    """

    def __init__(self, digest_bytes: int) -> None:
        self._digest_bytes = digest_bytes
        self._digests_by_second: dict[int, bytearray] = {}
        self._seconds: list[int] = []

    def push(self, expires_at_ms: int, digest: bytes) -> None:
        """Add a digest that expires at ``expires_at_ms``."""
        second = round_up_to_second(expires_at_ms)
        digests = self._digests_by_second.get(second)
        if digests is None:
            digests = self._digests_by_second[second] = bytearray()
            heapq.heappush(self._seconds, second)
        digests += digest

    def pop_expired(self, now_ms: int) -> Iterator[bytes]:
        """Remove and yield all digests whose second is at or before ``now_ms``."""
        while self._seconds and self._seconds[0] * 1_000 <= now_ms:
            digests = self._digests_by_second.pop(heapq.heappop(self._seconds))
            for start in range(0, len(digests), self._digest_bytes):
                yield bytes(digests[start : start + self._digest_bytes])


def round_up_to_second(time_ms: int) -> int:
    """Return a time in milliseconds as seconds, rounded up."""
    return -(-time_ms // 1_000)
