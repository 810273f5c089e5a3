"""Choice between reading a part of a prompt again and fetching it from an engine.

Load pattern: many requests share a long part, more than the engine that holds it can
run at once, or the results of their stages lie in other zones. Each further engine
would read the part again: the prefill delays the requests that run there, and takes
ten times as long as the transfer from an engine that has the part in memory.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from galenadrum._internal.dispatch.messages import PromptPart
from galenadrum._internal.dispatch.prefix_cache import PrefixCache
from galenadrum._internal.models.routing import EngineLimits

# Time to set up a transfer between two engines.
_SETUP_S = 0.006
# A shorter part is read faster than it is fetched.
MIN_FETCHED_TOKENS = 512


@dataclass(frozen=True, slots=True)
class CacheSource:
    """The engine from which others can fetch the longest prefix of a prompt.

    Attributes:
        server_id: Id of the engine.
        address: Address of the engine.
        held_tokens: Tokens of the prompt's prefix that it holds.
    """

    server_id: str
    address: str
    held_tokens: int


@dataclass(frozen=True, slots=True)
class PrefillPlan:
    """How an engine gets the prompt of a request into its memory.

    Attributes:
        read_tokens: Tokens that it reads itself.
        fetched_tokens: Tokens that it fetches.
        fetch_s: Duration of the fetch, in seconds.
        source: Engine from which it fetches; None if it fetches nothing.
    """

    read_tokens: int
    fetched_tokens: int = 0
    fetch_s: float = 0.0
    source: CacheSource | None = None


def find_source(
    prompt: tuple[PromptPart, ...],
    caches: Iterable[tuple[str, str, PrefixCache]],
) -> CacheSource | None:
    """Return the engine that holds the longest prefix of a prompt.

    Args:
        prompt: Parts of the prompt in order.
        caches: Id, address and cache of each engine that others can reach.
    """
    best: CacheSource | None = None
    least_tokens = MIN_FETCHED_TOKENS - 1
    for server_id, address, cache in caches:
        tokens = cache.held_tokens(prompt)
        if tokens > (best.held_tokens if best else least_tokens):
            best = CacheSource(server_id, address, tokens)
    return best


def plan_prefill(
    prompt_tokens: int,
    cached_tokens: int,
    source: CacheSource | None,
    limits: EngineLimits | None,
    read_time_s: Callable[[int], float],
) -> PrefillPlan:
    """Choose whether an engine fetches what it lacks of a prompt's prefix.

    Args:
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Tokens of its prefix that the engine has in its cache.
        source: Engine that holds the longest prefix; None if there is none.
        limits: Limits of the service's engines; None if unknown.
        read_time_s: Returns the duration in seconds of reading a number of tokens.
    """
    read_tokens = max(0, prompt_tokens - cached_tokens)
    if source is None or limits is None or not limits.cache_link_bytes_per_s:
        return PrefillPlan(read_tokens)
    fetched_tokens = min(source.held_tokens, prompt_tokens) - cached_tokens
    if fetched_tokens < MIN_FETCHED_TOKENS:
        return PrefillPlan(read_tokens)
    size = fetched_tokens * limits.cache_token_bytes
    fetch_s = _SETUP_S + size / limits.cache_link_bytes_per_s
    if fetch_s >= read_time_s(fetched_tokens):
        return PrefillPlan(read_tokens)
    return PrefillPlan(read_tokens - fetched_tokens, fetched_tokens, fetch_s, source)
