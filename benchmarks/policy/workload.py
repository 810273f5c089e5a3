"""Requests of a run: the same for each policy that is compared."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from benchmarks.policy.scenarios import (
    BURST_S,
    GREEDY_ORGANISATION,
    Scenario,
)
from benchmarks.policy.servers import BLOCK_TOKENS
from benchmarks.policy.sites import ENGINE_STAGE, PipelineLoad, Site
from galenadrum._internal.models.requests import Request

_OUTPUT_SIGMA = 0.4
_WORK_SIGMA = 0.3
_NOTES_EXPONENT = 0.6
_SIZE_ERROR = 0.2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it reaches one entry host.

    Attributes:
        request: What the entry host knows; its output size is an estimate.
        host_index: The entry host that the balancer chose.
        work_by_stage: Slot seconds at each plain service.
        output_tokens: Tokens that will really be generated.
    """

    request: Request
    host_index: int
    work_by_stage: dict[str, float]
    output_tokens: int


def make_arrivals(site: Site, scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the requests of a run in order of their arrival."""
    random = Random(f"{site.name}/{scenario.name}/{seed}")
    base_rps = scenario.load * site.capacity_rps()
    arrivals = []
    now = 0.0
    peak = max(scenario.burst, 1.0 + _greedy_extra(site, scenario))
    while True:
        now += random.expovariate(base_rps * peak)
        if now >= site.warm_up_s + scenario.length_s:
            return arrivals
        factor = _load_factor(site, scenario, now)
        if random.random() < factor / peak:
            index = len(arrivals)
            arrivals.append(_make_arrival(site, scenario, now, index, random))


def _greedy_extra(site: Site, scenario: Scenario) -> float:
    share = next(o.share for o in site.organisations if o.name == GREEDY_ORGANISATION)
    return share * (scenario.greedy - 1.0)


def _load_factor(site: Site, scenario: Scenario, now: float) -> float:
    if now < site.fault_start_s:
        return 1.0
    factor = 1.0 + _greedy_extra(site, scenario)
    if now < site.fault_start_s + BURST_S:
        factor *= scenario.burst
    return factor


def _make_arrival(
    site: Site, scenario: Scenario, now: float, index: int, random: Random
) -> Arrival:
    load = random.choices(site.pipelines, [p.share for p in site.pipelines])[0]
    greedy = scenario.greedy if now >= site.fault_start_s else 1.0
    weights = [
        o.share * (greedy if o.name == GREEDY_ORGANISATION else 1.0)
        for o in site.organisations
    ]
    organisation = random.choices(site.organisations, weights)[0]
    own_tokens = max(10, round(random.gauss(load.own_tokens, load.own_tokens / 4)))
    output = 0
    if load.output_tokens:
        output = max(4, round(load.output_tokens * _lognormal(random, _OUTPUT_SIGMA)))
    shared_tokens = BLOCK_TOKENS * (load.system_blocks + load.notes_blocks)
    request = Request(
        request_id=f"r{index}",
        organisation=organisation.name,
        pipeline=load.name,
        stages=load.stages,
        deadline=now + load.deadline_s,
        arrived=now,
        priority=organisation.priority,
        weight=organisation.share,
        input_tokens=own_tokens + shared_tokens,
        output_tokens=round(output * random.uniform(1 - _SIZE_ERROR, 1 + _SIZE_ERROR)),
        prefix_hashes=_prefix_hashes(site, load, index, random),
    )
    work_by_stage = {
        service.stage: service.work_s * _lognormal(random, _WORK_SIGMA)
        for service in site.services
        if service.stage in load.stages
    }
    host_index = random.randrange(len(site.host_zones))
    return Arrival(request, host_index, work_by_stage, output)


def _lognormal(random: Random, sigma: float) -> float:
    return random.lognormvariate(0.0, sigma)


def _prefix_hashes(
    site: Site, load: PipelineLoad, index: int, random: Random
) -> tuple[str, ...]:
    """Return system blocks, then a studio's notes, then a block of its own."""
    if ENGINE_STAGE not in load.stages:
        return ()
    hashes = [f"{load.name}-{block}" for block in range(load.system_blocks)]
    if load.notes_blocks:
        weights = [(rank + 1) ** -_NOTES_EXPONENT for rank in range(site.notes)]
        studio = random.choices(range(site.notes), weights)[0]
        hashes.extend(f"note-{studio}-{block}" for block in range(load.notes_blocks))
    if load.own_tokens >= BLOCK_TOKENS:
        hashes.append(f"own-{index}")
    return tuple(hashes)
