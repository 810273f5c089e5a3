"""Which prompt prefixes a server is expected to hold.

Cache events come late and with gaps, so an entry is a hint. Its confidence
falls with its age and with each gap in the server's events, and rises again
with each event that comes without a gap.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from galenadrum._internal.models.servers import CacheEvent

PREFIX_BLOCK_TOKENS = 256
_MAX_HINTS = 4096
_HALF_LIFE_S = 60.0
_GAP_CONFIDENCE = 0.8
_MAX_CONFIDENCE = 0.95
_MISS_CONFIDENCE = 0.3


class PrefixHints:
    """Hints about the prefix cache of one server."""

    def __init__(self) -> None:
        self._stored_by_hash: OrderedDict[str, float] = OrderedDict()
        self._last_sequence: int | None = None
        self.confidence = _MAX_CONFIDENCE
        self.gaps = 0

    def apply(self, events: tuple[CacheEvent, ...], now: float) -> None:
        """Take the server's events in; those seen before are skipped."""
        for event in events:
            if self._last_sequence is not None:
                if event.sequence <= self._last_sequence:
                    continue
                if event.sequence > self._last_sequence + 1:
                    self._note_gap()
            self._last_sequence = event.sequence
            for block in event.evicted:
                self._stored_by_hash.pop(block, None)
            self._store(event.stored, now)
            self.confidence += 0.05 * (_MAX_CONFIDENCE - self.confidence)

    def sent(self, prefix_hashes: tuple[str, ...], now: float) -> None:
        """Record that a call with this prefix was sent to the server."""
        self._store(prefix_hashes, now)

    def clear(self) -> None:
        """Forget everything, as after a restart of the server."""
        self._stored_by_hash.clear()
        self._last_sequence = None
        self.confidence = _MAX_CONFIDENCE

    def expected_tokens(self, prefix_hashes: tuple[str, ...], now: float) -> float:
        """Return the number of input tokens the server can probably reuse."""
        stored_by_hash = self._stored_by_hash
        for index in range(len(prefix_hashes) - 1, -1, -1):
            stored_at = stored_by_hash.get(prefix_hashes[index])
            if stored_at is not None:
                age_s = max(0.0, now - stored_at)
                fresh = math.exp2(-age_s / _HALF_LIFE_S)
                return (index + 1) * PREFIX_BLOCK_TOKENS * fresh * self.confidence
        return 0.0

    def _note_gap(self) -> None:
        self.gaps += 1
        self.confidence = max(_MISS_CONFIDENCE, self.confidence * _GAP_CONFIDENCE)

    def _store(self, blocks: tuple[str, ...], now: float) -> None:
        stored_by_hash = self._stored_by_hash
        for block in blocks:
            stored_by_hash[block] = now
            stored_by_hash.move_to_end(block)
        while len(stored_by_hash) > _MAX_HINTS:
            stored_by_hash.popitem(last=False)
