"""Keys in the order in which they expire, one by one or by whole seconds."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")


class ExpiryQueue(Generic[KeyT]):
    """A heap of keys by their time.

    A key whose time changed is pushed again; the caller checks each popped
    key against the time that now stands.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, KeyT]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, at_ms: int, key: KeyT) -> None:
        """Add a key that expires at ``at_ms``."""
        heapq.heappush(self._heap, (at_ms, key))

    def pop_until(self, now_ms: int) -> Iterator[KeyT]:
        """Remove and yield all keys whose time is not after ``now_ms``."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]


class ExpirySeconds:
    """Digests of one size, gathered by the whole second of their time.

    It holds a digest in its own bytes and no more. A digest is yielded once
    its time has passed, up to a second late. As above, a digest whose time
    changed is pushed again, and the caller checks each.

    Args:
        digest_bytes: Size of each digest.
    """

    def __init__(self, digest_bytes: int) -> None:
        self._digest_bytes = digest_bytes
        self._digests_by_second: dict[int, bytearray] = {}
        self._seconds: list[int] = []

    def push(self, at_ms: int, digest: bytes) -> None:
        """Add a digest that expires at ``at_ms``."""
        second = expiry_second(at_ms)
        digests = self._digests_by_second.get(second)
        if digests is None:
            digests = self._digests_by_second[second] = bytearray()
            heapq.heappush(self._seconds, second)
        digests += digest

    def pop_until(self, now_ms: int) -> Iterator[bytes]:
        """Remove and yield all digests whose second is not after ``now_ms``."""
        while self._seconds and self._seconds[0] * 1_000 <= now_ms:
            digests = self._digests_by_second.pop(heapq.heappop(self._seconds))
            for at in range(0, len(digests), self._digest_bytes):
                yield bytes(digests[at : at + self._digest_bytes])


def expiry_second(at_ms: int) -> int:
    """Return the first whole second that is not before ``at_ms``."""
    return -(-at_ms // 1_000)
