"""Requests of a run, identical for all compared policies."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from benchmarks.policy.scenarios import (
    BURST_DURATION_S,
    GREEDY_ORGANISATION,
    Scenario,
)
from benchmarks.policy.servers import BLOCK_TOKENS
from benchmarks.policy.sites import ENGINE_STAGE, PipelineLoad, Site
from galenadrum._internal.models.requests import Request

_OUTPUT_TOKENS_SIGMA = 0.4
_SERVICE_TIME_SIGMA = 0.3
_PREFIX_POPULARITY_EXPONENT = 0.6
_OUTPUT_ESTIMATE_ERROR = 0.2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives at one entry host.

    Attributes:
        request: Request as the entry host knows it, with an estimated output size.
        host_index: Index of the entry host that the load balancer chose.
        work_by_stage: Service time at each plain server, in seconds.
        output_tokens: Number of tokens that the engine generates.
    """

    request: Request
    host_index: int
    work_by_stage: dict[str, float]
    output_tokens: int


def make_arrivals(site: Site, scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the requests of a run in order of arrival."""
    random = Random(f"{site.name}/{scenario.name}/{seed}")
    base_rps = scenario.load * site.compute_capacity_rps()
    arrivals = []
    now = 0.0
    peak_factor = max(
        scenario.burst_factor, 1.0 + _compute_greedy_extra_load(site, scenario)
    )
    while True:
        now += random.expovariate(base_rps * peak_factor)
        if now >= site.warm_up_s + scenario.length_s:
            return arrivals
        factor = _compute_load_factor(site, scenario, now)
        if random.random() < factor / peak_factor:
            index = len(arrivals)
            arrivals.append(_make_arrival(site, scenario, now, index, random))


def _compute_greedy_extra_load(site: Site, scenario: Scenario) -> float:
    share = next(o.share for o in site.organisations if o.name == GREEDY_ORGANISATION)
    return share * (scenario.greedy_factor - 1.0)


def _compute_load_factor(site: Site, scenario: Scenario, now: float) -> float:
    if now < site.fault_start_s:
        return 1.0
    factor = 1.0 + _compute_greedy_extra_load(site, scenario)
    if now < site.fault_start_s + BURST_DURATION_S:
        factor *= scenario.burst_factor
    return factor


def _make_arrival(
    site: Site, scenario: Scenario, now: float, index: int, random: Random
) -> Arrival:
    load = random.choices(site.pipelines, [p.share for p in site.pipelines])[0]
    greedy = scenario.greedy_factor if now >= site.fault_start_s else 1.0
    weights = [
        o.share * (greedy if o.name == GREEDY_ORGANISATION else 1.0)
        for o in site.organisations
    ]
    organisation = random.choices(site.organisations, weights)[0]
    unique_tokens = max(
        10, round(random.gauss(load.unique_tokens, load.unique_tokens / 4))
    )
    output = 0
    if load.output_tokens:
        output = max(
            4, round(load.output_tokens * _draw_lognormal(random, _OUTPUT_TOKENS_SIGMA))
        )
    shared_tokens = BLOCK_TOKENS * (load.system_blocks + load.shared_prefix_blocks)
    request = Request(
        request_id=f"r{index}",
        organisation=organisation.name,
        pipeline=load.name,
        stages=load.stages,
        deadline=now + load.deadline_s,
        arrived_at=now,
        priority=organisation.priority,
        weight=organisation.share,
        input_tokens=unique_tokens + shared_tokens,
        output_tokens=round(
            output
            * random.uniform(1 - _OUTPUT_ESTIMATE_ERROR, 1 + _OUTPUT_ESTIMATE_ERROR)
        ),
        prefix_hashes=_make_prefix_hashes(site, load, index, random),
    )
    work_by_stage = {
        service.stage: service.work_s * _draw_lognormal(random, _SERVICE_TIME_SIGMA)
        for service in site.services
        if service.stage in load.stages
    }
    host_index = random.randrange(len(site.host_zones))
    return Arrival(request, host_index, work_by_stage, output)


def _draw_lognormal(random: Random, sigma: float) -> float:
    return random.lognormvariate(0.0, sigma)


def _make_prefix_hashes(
    site: Site, load: PipelineLoad, index: int, random: Random
) -> tuple[str, ...]:
    """Return the hashes of system blocks, a shared prefix and a unique block."""
    if ENGINE_STAGE not in load.stages:
        return ()
    hashes = [f"{load.name}-{block}" for block in range(load.system_blocks)]
    if load.shared_prefix_blocks:
        weights = [
            (rank + 1) ** -_PREFIX_POPULARITY_EXPONENT
            for rank in range(site.shared_prefixes)
        ]
        prefix_index = random.choices(range(site.shared_prefixes), weights)[0]
        hashes.extend(
            f"note-{prefix_index}-{block}" for block in range(load.shared_prefix_blocks)
        )
    if load.unique_tokens >= BLOCK_TOKENS:
        hashes.append(f"own-{index}")
    return tuple(hashes)
