"""Keys in the order in which they expire."""

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
