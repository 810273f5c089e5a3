"""Estimates of the prompt prefixes that a server has cached.

Cache events arrive late and may be lost, so an entry is only a hint. Confidence
in it falls with its age and with each gap in the server's event sequence, and
rises with each event that arrives without a gap.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from galenadrum._internal.models.servers import CacheEvent

PREFIX_BLOCK_TOKENS = 256
_MAX_HINTS = 4096
_HINT_HALF_LIFE_S = 60.0
_GAP_CONFIDENCE_FACTOR = 0.8
_MAX_CONFIDENCE = 0.95
_MIN_CONFIDENCE = 0.3


class PrefixHints:
    """Hints about the prefix cache of one server.

    Attributes:
        confidence: Factor, 0 to 1, on the reusable tokens of a hint.
        gap_count: Number of gaps seen in the event sequence.
    """

    def __init__(self) -> None:
        self._stored_by_hash: OrderedDict[str, float] = OrderedDict()
        self._last_sequence: int | None = None
        self.confidence = _MAX_CONFIDENCE
        self.gap_count = 0

    def apply(self, events: tuple[CacheEvent, ...], now: float) -> None:
        """Apply the server's cache events, skipping those already applied."""
        for event in events:
            if self._last_sequence is not None:
                if event.sequence <= self._last_sequence:
                    continue
                if event.sequence > self._last_sequence + 1:
                    self._record_gap()
            self._last_sequence = event.sequence
            for block in event.evicted:
                self._stored_by_hash.pop(block, None)
            self._store(event.stored, now)
            self.confidence += 0.05 * (_MAX_CONFIDENCE - self.confidence)

    def record_dispatch(self, prefix_hashes: tuple[str, ...], now: float) -> None:
        """Record that a call with this prefix was dispatched to the server."""
        self._store(prefix_hashes, now)

    def clear(self) -> None:
        """Remove all hints, as after a restart of the server."""
        self._stored_by_hash.clear()
        self._last_sequence = None
        self.confidence = _MAX_CONFIDENCE

    def estimate_reusable_tokens(
        self, prefix_hashes: tuple[str, ...], now: float
    ) -> float:
        """Return the expected number of input tokens that the server can reuse."""
        stored_by_hash = self._stored_by_hash
        for index in range(len(prefix_hashes) - 1, -1, -1):
            stored_at = stored_by_hash.get(prefix_hashes[index])
            if stored_at is not None:
                age_s = max(0.0, now - stored_at)
                fresh = math.exp2(-age_s / _HINT_HALF_LIFE_S)
                return (index + 1) * PREFIX_BLOCK_TOKENS * fresh * self.confidence
        return 0.0

    def _record_gap(self) -> None:
        self.gap_count += 1
        self.confidence = max(_MIN_CONFIDENCE, self.confidence * _GAP_CONFIDENCE_FACTOR)

    def _store(self, blocks: tuple[str, ...], now: float) -> None:
        stored_by_hash = self._stored_by_hash
        for block in blocks:
            stored_by_hash[block] = now
            stored_by_hash.move_to_end(block)
        while len(stored_by_hash) > _MAX_HINTS:
            stored_by_hash.popitem(last=False)
