"""Model of an engine's prefix cache, as a dispatcher keeps it."""

from __future__ import annotations

from collections import OrderedDict

from galenadrum._internal.dispatch.messages import PromptPart


class PrefixCache:
    """LRU model of the prompt parts in an engine's prefix cache.

    A part is expected from the placement of its request, and held once the request
    has brought its first event: only then can other engines fetch it.

    Args:
        capacity_tokens: Tokens after which the least recently used parts are evicted.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._held_part_ids: set[str] = set()
        self._total_tokens = 0

    def cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens in the prompt's cached or expected prefix."""
        tokens = 0
        for part in prompt:
            if part.part_id not in self._tokens_by_part:
                break
            tokens += part.tokens
        return tokens

    def held_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens in the prompt's prefix that it surely read."""
        tokens = 0
        for part in prompt:
            if part.part_id not in self._held_part_ids:
                break
            tokens += part.tokens
        return tokens

    def record_use(self, prompt: tuple[PromptPart, ...]) -> None:
        """Record the parts of a prompt as used and evict down to the capacity."""
        for part in prompt:
            known_tokens = self._tokens_by_part.pop(part.part_id, 0)
            self._total_tokens += part.tokens - known_tokens
            self._tokens_by_part[part.part_id] = part.tokens
        while self._total_tokens > self._capacity_tokens and self._tokens_by_part:
            part_id, tokens = self._tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens
            self._held_part_ids.discard(part_id)

    def record_read(self, prompt: tuple[PromptPart, ...]) -> None:
        """Record that the engine has read the parts of a prompt."""
        for part in prompt:
            if part.part_id in self._tokens_by_part:
                self._held_part_ids.add(part.part_id)
