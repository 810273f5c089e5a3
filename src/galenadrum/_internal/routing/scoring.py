"""Scores servers by when a call would complete on them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from galenadrum._internal.routing.objectives import Weights

_NOISE = 0.1
_REUSE_SHARE = 0.25
_SAMPLE_SIZE = 6


@dataclass(frozen=True, slots=True)
class Candidate:
    """One server that could take a call.

    Attributes:
        service_s: Expected service time on it, with the prefix it holds.
        nominal_s: The same on a server of ordinary speed.
        prefill_saved_s: Service time that the prefix saves.
        total: Estimated calls on it, this entry host's and others'.
        limit: Calls that may be on it.
        reused_tokens: Input tokens that it need not compute.
        tried: Whether an earlier attempt went there.
        probe: Whether the server is out and due for a probe.
    """

    server_id: str
    service_s: float
    nominal_s: float
    prefill_saved_s: float
    total: float
    limit: float
    reused_tokens: float
    tried: bool
    probe: bool = False


def expected_s(candidate: Candidate) -> float:
    """Return the expected seconds until a call completes on a server."""
    over = max(0.0, candidate.total + 1.0 - candidate.limit)
    wait_s = candidate.service_s * over / candidate.limit
    return wait_s + candidate.service_s


def score(candidate: Candidate, weights: Weights) -> float:
    """Return the weighted expected completion; the least is the best."""
    share = candidate.total / candidate.limit
    unshared_s = candidate.service_s + candidate.prefill_saved_s
    value = expected_s(candidate) + weights.load * share * unshared_s
    return value - (weights.prefill - 1.0) * candidate.prefill_saved_s


def choose(
    candidates: list[Candidate], weights: Weights, random: Random
) -> Candidate | None:
    """Return the best candidate; near-equal ones are drawn at random.

    Servers that an earlier attempt failed on come last.
    """
    untried = [c for c in candidates if not c.tried]
    pool = untried or candidates
    if not pool:
        return None
    scored = [(score(c, weights), c) for c in pool]
    spread_s = _NOISE * min(c.service_s for c in pool)
    return min(scored, key=lambda item: item[0] + random.uniform(0.0, spread_s))[1]


def sample(server_ids: list[str], random: Random) -> list[str]:
    """Return the servers to compare: all of a small pool, some of a large one."""
    if len(server_ids) <= _SAMPLE_SIZE:
        return server_ids
    return random.sample(server_ids, _SAMPLE_SIZE)


def is_prefix_choice(candidate: Candidate) -> bool:
    """Return whether reuse was a large part of why a server was chosen."""
    whole_s = candidate.service_s + candidate.prefill_saved_s
    return candidate.prefill_saved_s > _REUSE_SHARE * whole_s
