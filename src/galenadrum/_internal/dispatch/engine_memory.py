"""Tokens that the requests placed at an engine hold in its memory.

Load pattern: bursts of requests with long prompts, of which most tokens are shared, at
engines that crash if their requests hold more than the KV cache has. Counting each
prompt in full would leave half of the memory idle. Counting what is held now, instead
of what will be held, would fill the engine with requests that all grow.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from galenadrum._internal.dispatch.messages import PromptPart

# Share of the memory that stays free: engines round up to blocks of tokens, and free
# what an ended request held a little after its host has reported the end.
_RESERVE_SHARE = 0.03
# Requests of other dispatchers end unseen; half of them are taken to end in this time.
_OTHERS_HALF_LIFE_S = 2.0
# Parts of a prompt that are told apart; the rest counts as the request's own. A header
# may name thousands, and a waiting request is considered many times per second.
_MAX_PARTS = 64
# Time for which a request counts whose host is unreachable but may go on with it.
_ABANDONED_HOLD_S = 5.0


@dataclass(frozen=True, slots=True)
class Holding:
    """Tokens that one request holds at its engine.

    Attributes:
        tokens: Tokens of its prompt and most tokens that it may generate.
        shared_tokens: Tokens of its prompt without the last part, which belongs to the
            request itself.
        unparted_tokens: Tokens that belong to no part of its prompt.
        prefixes: Key and length of the last part of each prefix of its prompt. Two
            prompts share a part only if all parts before it are the same.
    """

    tokens: int
    shared_tokens: int = 0
    unparted_tokens: int = 0
    prefixes: tuple[tuple[int, int], ...] = ()


def build_holding(
    prompt: tuple[PromptPart, ...], prompt_tokens: int, output_tokens: int
) -> Holding:
    """Return what a request holds.

    Args:
        prompt: Parts of its prompt in order.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Most tokens that it may generate.
    """
    prefixes = []
    key = 0
    part_tokens = shared_tokens = 0
    for part in prompt[:_MAX_PARTS]:
        key = hash((key, part.part_id))
        prefixes.append((key, part.tokens))
        shared_tokens = part_tokens
        part_tokens += part.tokens
    tokens = max(prompt_tokens, part_tokens) + output_tokens
    return Holding(tokens, shared_tokens, tokens - part_tokens, tuple(prefixes))


@dataclass(slots=True)
class EngineMemory:
    """Memory of one engine, as the requests fill it that its dispatcher knows.

    Attributes:
        capacity_tokens: Tokens that the engine can hold; 0 if unknown.
        held_tokens: Tokens that its requests will hold, shared parts counted once.
        generated_tokens: Those of them that belong to no part of a prompt.
        holdings_by_request: What each request holds.
        other_tokens: Tokens that requests of other dispatchers held at
            ``reported_at``.
        reported_at: Loop time in seconds of the last load report.
        abandoned_until: Loop time in seconds until which a request counts whose host
            is unreachable, by request.
    """

    capacity_tokens: int = 0
    held_tokens: int = 0
    generated_tokens: int = 0
    holdings_by_request: dict[str, Holding] = field(default_factory=dict)
    other_tokens: float = 0.0
    reported_at: float = -math.inf
    abandoned_until: dict[str, float] = field(default_factory=dict)
    _users_by_prefix: dict[int, int] = field(default_factory=dict)

    def add_request(self, request_id: str, holding: Holding) -> None:
        """Count what a request holds; one that is counted already counts anew."""
        self.remove_request(request_id)
        self.held_tokens += holding.tokens - self._count_shared(holding)
        self.generated_tokens += holding.unparted_tokens
        for key, _ in holding.prefixes:
            self._users_by_prefix[key] = self._users_by_prefix.get(key, 0) + 1
        self.holdings_by_request[request_id] = holding

    def remove_request(self, request_id: str) -> None:
        """Count a request no more."""
        self.abandoned_until.pop(request_id, None)
        holding = self.holdings_by_request.pop(request_id, None)
        if holding is None:
            return
        for key, _ in holding.prefixes:
            users = self._users_by_prefix.pop(key) - 1
            if users:
                self._users_by_prefix[key] = users
        self.held_tokens -= holding.tokens - self._count_shared(holding)
        self.generated_tokens -= holding.unparted_tokens

    def abandon_request(self, request_id: str, now: float) -> None:
        """Count a request for some time whose host is unreachable.

        The host may be alive and its stream go on, but its end won't be reported.
        """
        if request_id in self.holdings_by_request:
            self.abandoned_until[request_id] = now + _ABANDONED_HOLD_S

    def copy(self) -> EngineMemory:
        """Return a copy that can be changed without an effect on this one."""
        return replace(
            self,
            holdings_by_request=dict(self.holdings_by_request),
            abandoned_until=dict(self.abandoned_until),
            _users_by_prefix=dict(self._users_by_prefix),
        )

    def has_room(self, holding: Holding, now: float) -> bool:
        """Return whether a request fits beside those that the engine has."""
        if not self.capacity_tokens:
            return True
        if self.abandoned_until:
            self._remove_expired(now)
        held_tokens = self.held_tokens + self.count_other_tokens(now)
        if not held_tokens:
            # The reserve is for what several requests add up to.
            return holding.tokens <= self.capacity_tokens
        free_tokens = self.capacity_tokens * (1 - _RESERVE_SHARE) - held_tokens
        if holding.tokens <= free_tokens:
            return True
        return holding.tokens - self._count_shared(holding) <= free_tokens

    def count_other_tokens(self, now: float) -> float:
        """Return the tokens that requests of other dispatchers are taken to hold."""
        if not self.other_tokens:
            return 0.0
        age_s = max(0.0, now - self.reported_at)
        return self.other_tokens * math.exp2(-age_s / _OTHERS_HALF_LIFE_S)

    def record_others(self, requests: int, now: float) -> None:
        """Record the number of requests that other dispatchers have there.

        Each is taken to hold as much as the requests of this one on average, and all
        of them to share the parts that others may share.
        """
        self.other_tokens = 0.0
        self.reported_at = now
        holdings = self.holdings_by_request.values()
        if requests > 0 and holdings:
            shared = sum(h.shared_tokens for h in holdings)
            own = sum(h.tokens for h in holdings) - shared
            self.other_tokens = (requests * own + shared) / len(holdings)

    def _count_shared(self, holding: Holding) -> int:
        """Return the tokens of a prompt's prefix that other requests hold as well."""
        tokens = 0
        for key, part_tokens in holding.prefixes:
            if key not in self._users_by_prefix:
                break
            tokens += part_tokens
        return tokens

    def _remove_expired(self, now: float) -> None:
        for request_id, until in list(self.abandoned_until.items()):
            if now >= until:
                self.remove_request(request_id)
