"""Model of an engine's prefix cache, as a dispatcher keeps it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from galenadrum._internal.dispatch.messages import PromptPart
from galenadrum._internal.dispatch.prompt_reuse import estimate_chance


@dataclass(slots=True)
class _CachedPart:
    """A part of the cache.

    Attributes:
        tokens: Length in tokens.
        used_at: Loop time in seconds of its last use.
        read_before: Tokens that the engine had read in all before its last use.
        is_held: Whether the engine has surely read it.
    """

    tokens: int
    used_at: float
    read_before: int
    is_held: bool = False


class PrefixCache:
    """LRU model of the prompt parts in an engine's prefix cache.

    A part is expected from the placement of its request, and held once the request
    has brought its first event: only then can other engines fetch it.

    Args:
        capacity_tokens: Tokens after which the least recently used parts are evicted.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts_by_id: OrderedDict[str, _CachedPart] = OrderedDict()
        self._total_tokens = 0
        self._read_tokens = 0

    def cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens in the prompt's cached or expected prefix."""
        tokens = 0
        for part in prompt:
            if part.part_id not in self._parts_by_id:
                break
            tokens += part.tokens
        return tokens

    def expected_tokens(self, prompt: tuple[PromptPart, ...], now: float) -> float:
        """Return the tokens of the prompt's prefix that the engine likely has."""
        tokens = 0.0
        chance = 1.0
        for part in prompt:
            known = self._parts_by_id.get(part.part_id)
            if known is None:
                break
            tokens_since = self._read_tokens - known.read_before - known.tokens
            age_s = max(0.0, now - known.used_at)
            chance = min(
                chance, estimate_chance(tokens_since, self.capacity_tokens, age_s)
            )
            tokens += part.tokens * chance
        return tokens

    def held_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens in the prompt's prefix that it surely read."""
        tokens = 0
        for part in prompt:
            known = self._parts_by_id.get(part.part_id)
            if known is None or not known.is_held:
                break
            tokens += part.tokens
        return tokens

    def find_last_use(self, prompt: tuple[PromptPart, ...]) -> int | None:
        """Return the tokens read in all before the last use of a prompt's beginning.

        Returns:
            None if its first part is unknown.
        """
        known = self._parts_by_id.get(prompt[0].part_id) if prompt else None
        return known.read_before if known is not None else None

    def record_use(self, prompt: tuple[PromptPart, ...], now: float) -> None:
        """Record the parts of a prompt as used and evict down to the capacity."""
        read_before = self._read_tokens
        for part in prompt:
            known = self._parts_by_id.pop(part.part_id, None)
            if known is None:
                self._read_tokens += part.tokens
                known = _CachedPart(0, now, read_before)
            self._total_tokens += part.tokens - known.tokens
            known.tokens = part.tokens
            known.used_at = now
            known.read_before = read_before
            self._parts_by_id[part.part_id] = known
        self._evict(self.capacity_tokens)

    def set_capacity(self, capacity_tokens: float) -> None:
        """Set the room of cached parts, which running requests take from them."""
        self.capacity_tokens = max(0.0, capacity_tokens)
        self._evict(self.capacity_tokens)

    def record_read(self, prompt: tuple[PromptPart, ...]) -> None:
        """Record that the engine has read the parts of a prompt."""
        for part in prompt:
            known = self._parts_by_id.get(part.part_id)
            if known is not None:
                known.is_held = True

    def record_loss(self, read_before: int) -> None:
        """Remove the parts that were last used before a part that was gone.

        Args:
            read_before: Tokens that the engine had read before the last use of it.
        """
        while self._parts_by_id:
            oldest = next(iter(self._parts_by_id.values()))
            if oldest.read_before >= read_before:
                return
            self._remove_oldest()

    def remove_unread(self, prompt: tuple[PromptPart, ...]) -> None:
        """Remove the parts of a prompt that its request won't have read."""
        for part in prompt:
            known = self._parts_by_id.get(part.part_id)
            if known is not None and not known.is_held:
                del self._parts_by_id[part.part_id]
                self._total_tokens -= known.tokens

    def _evict(self, capacity_tokens: float) -> None:
        while self._total_tokens > capacity_tokens and self._parts_by_id:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        _, known = self._parts_by_id.popitem(last=False)
        self._total_tokens -= known.tokens
