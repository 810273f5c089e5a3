"""Scores servers by the expected completion time of a call."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from galenadrum._internal.routing.objectives import Weights

_TIE_BREAK_NOISE_SHARE = 0.1
_MIN_PREFIX_CHOICE_SHARE = 0.25
_MAX_COMPARED_SERVERS = 6


@dataclass(frozen=True, slots=True)
class Candidate:
    """One server that a call could be dispatched to.

    Attributes:
        service_s: Expected service time in seconds, with prefix reuse.
        nominal_s: Expected service time on a server of ordinary speed.
        prefill_saved_s: Seconds of service time saved by prefix reuse.
        estimated_calls: Estimated calls on the server from all entry hosts.
        limit: Concurrency limit of the server.
        reused_tokens: Input tokens expected to be served from the prefix cache.
        tried: True if an earlier attempt was sent to the server.
        probe: True if the server is ejected and due for a probe.
    """

    server_id: str
    service_s: float
    nominal_s: float
    prefill_saved_s: float
    estimated_calls: float
    limit: float
    reused_tokens: float
    tried: bool
    probe: bool = False


def estimate_call_s(candidate: Candidate) -> float:
    """Return the expected seconds until a call completes on a server."""
    excess_calls = max(0.0, candidate.estimated_calls + 1.0 - candidate.limit)
    wait_s = candidate.service_s * excess_calls / candidate.limit
    return wait_s + candidate.service_s


def score_candidate(candidate: Candidate, weights: Weights) -> float:
    """Return the weighted expected completion time; lower is better."""
    share = candidate.estimated_calls / candidate.limit
    unshared_s = candidate.service_s + candidate.prefill_saved_s
    value = estimate_call_s(candidate) + weights.load * share * unshared_s
    return value - (weights.prefill - 1.0) * candidate.prefill_saved_s


def choose_candidate(
    candidates: list[Candidate], weights: Weights, random: Random
) -> Candidate | None:
    """Return the best candidate, with random choice among near-equal ones.

    Servers on which an earlier attempt failed are used only if no other is left.
    """
    untried = [c for c in candidates if not c.tried]
    pool = untried or candidates
    if not pool:
        return None
    scored = [(score_candidate(c, weights), c) for c in pool]
    spread_s = _TIE_BREAK_NOISE_SHARE * min(c.service_s for c in pool)
    return min(scored, key=lambda item: item[0] + random.uniform(0.0, spread_s))[1]


def sample_servers(server_ids: list[str], random: Random) -> list[str]:
    """Return all servers of a small pool, or a random sample of a large one."""
    if len(server_ids) <= _MAX_COMPARED_SERVERS:
        return server_ids
    return random.sample(server_ids, _MAX_COMPARED_SERVERS)


def is_prefix_choice(candidate: Candidate) -> bool:
    """Return whether prefix reuse saves a large share of the service time."""
    full_service_s = candidate.service_s + candidate.prefill_saved_s
    return candidate.prefill_saved_s > _MIN_PREFIX_CHOICE_SHARE * full_service_s
