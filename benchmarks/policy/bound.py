"""The attainment that full knowledge of all requests could reach at most.

A call can't begin before the earlier stages of its request have done their
work, and must end early enough for the later ones to do theirs. For a stage
and an interval of time, the calls that can't begin before it and are due within
it compete for the work the stage's servers can do in it. If it does not
suffice, the largest are dropped until the rest fits. The largest number dropped
over all intervals and stages can't be served by any policy, nor can requests
whose stages alone take longer than the deadline.

A prefix counts as computed once, by the call that can begin first; in caches
without limit no call needs it again. Whichever call computes it in its place
does so after that one could begin and before it ends, so the work falls within
the same intervals.
"""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.policy.scenarios import Scenario
from benchmarks.policy.servers import BLOCK_TOKENS, work_of_engine_call
from benchmarks.policy.sites import ENGINE_STAGE, Site
from benchmarks.policy.workload import Arrival

_GRID_S = 2.0


def attainable(site: Site, scenario: Scenario, arrivals: list[Arrival]) -> float:
    """Return the largest share of requests that could be attained."""
    measured = [a for a in arrivals if a.request.arrived >= site.warm_up_s]
    if not measured:
        return 1.0
    hopeless = {id(a) for a in measured if _least_s(site, a) > _allowed_s(a)}
    dropped = 0
    for stage, capacity in _capacities(site).items():
        jobs = _jobs(site, stage, arrivals, hopeless)
        lost_from = site.fault_start_s if scenario.slow_engine > 1.0 else None
        lost = 1.0 - 1.0 / scenario.slow_engine if stage == ENGINE_STAGE else 0.0
        dropped = max(dropped, _most_dropped(jobs, capacity, lost, lost_from))
    return 1.0 - (len(hopeless) + dropped) / len(measured)


def _capacities(site: Site) -> dict[str, float]:
    capacities = {s.stage: float(s.slots * len(site.zones)) for s in site.services}
    capacities[ENGINE_STAGE] = float(len(site.engine_zones))
    return capacities


def _allowed_s(arrival: Arrival) -> float:
    return arrival.request.deadline - arrival.request.arrived


def _least_s(
    site: Site, arrival: Arrival, stages: Iterable[str] | None = None
) -> float:
    """Return the seconds that stages take one after another, alone on servers.

    An engine generates at most one token of a call in each iteration.
    """
    token_s = site.engine.iteration_s + site.engine.decode_s
    return sum(
        token_s * max(1, arrival.output_tokens)
        if stage == ENGINE_STAGE
        else arrival.work_by_stage[stage]
        for stage in (arrival.request.stages if stages is None else stages)
    )


def _window(site: Site, stage: str, arrival: Arrival) -> tuple[float, float]:
    """Return when a call can begin and when it must have ended, in seconds."""
    request = arrival.request
    index = request.stages.index(stage)
    begin = request.arrived + _least_s(site, arrival, request.stages[:index])
    end = request.deadline - _least_s(site, arrival, request.stages[index + 1 :])
    return begin, end


def _jobs(
    site: Site, stage: str, arrivals: list[Arrival], hopeless: set[int]
) -> list[tuple[float, float, float]]:
    """Return begin, end and work of each measured call to a stage.

    Prefixes of the warm-up, and of hopeless requests, count as cached.
    """
    jobs = []
    seen: set[str] = set()
    calls = [
        (*_window(site, stage, arrival), arrival)
        for arrival in arrivals
        if stage in arrival.request.stages
    ]
    calls.sort(key=lambda call: call[0])
    for begin, end, arrival in calls:
        request = arrival.request
        if stage == ENGINE_STAGE:
            new = [h for h in request.prefix_hashes if h not in seen]
            reused = BLOCK_TOKENS * (len(request.prefix_hashes) - len(new))
            seen.update(new)
            prefill = max(0, request.input_tokens - reused)
            work = work_of_engine_call(site.engine, prefill, arrival.output_tokens)
        else:
            work = arrival.work_by_stage[stage]
        if request.arrived >= site.warm_up_s and id(arrival) not in hopeless:
            jobs.append((begin, end, work))
    return jobs


def _most_dropped(
    jobs: list[tuple[float, float, float]],
    capacity: float,
    lost: float,
    lost_from: float | None,
) -> int:
    end = max((job[1] for job in jobs), default=0.0)
    grid = [i * _GRID_S for i in range(int(end / _GRID_S) + 2)]
    worst = 0
    for i, start in enumerate(grid):
        for stop in grid[i + 1 :]:
            works = sorted(w for a, d, w in jobs if a >= start and d <= stop)
            served = capacity * (stop - start)
            if lost_from is not None:
                served -= lost * max(0.0, stop - max(start, lost_from))
            worst = max(worst, _dropped(works, served))
    return worst


def _dropped(works: list[float], served: float) -> int:
    if sum(works) <= served:
        return 0
    for count, work in enumerate(works):
        served -= work
        if served < 0.0:
            return len(works) - count
    return 0
