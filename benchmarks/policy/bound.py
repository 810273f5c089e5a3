"""The attainment that full knowledge of all requests could reach at most.

For a stage and an interval of time, the requests that arrive and are due
within the interval compete for the work the stage's servers can do in it. If
it does not suffice, the largest are dropped until the rest fits. The largest
number dropped over all intervals and stages can't be served by any policy.
Prompts count as computed once for each distinct prefix, wherever it is needed
again.
"""

from __future__ import annotations

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
    dropped = 0
    for stage, capacity in _capacities(site).items():
        jobs = _jobs(site, stage, arrivals)
        lost_from = site.fault_start_s if scenario.slow_engine > 1.0 else None
        lost = 1.0 - 1.0 / scenario.slow_engine if stage == ENGINE_STAGE else 0.0
        dropped = max(dropped, _most_dropped(jobs, capacity, lost, lost_from))
    return 1.0 - dropped / len(measured)


def _capacities(site: Site) -> dict[str, float]:
    capacities = {s.stage: float(s.slots * len(site.zones)) for s in site.services}
    capacities[ENGINE_STAGE] = float(len(site.engine_zones))
    return capacities


def _jobs(
    site: Site, stage: str, arrivals: list[Arrival]
) -> list[tuple[float, float, float]]:
    """Return arrival, deadline and work of each measured call to a stage.

    Prefixes of the warm-up count as cached.
    """
    jobs = []
    seen: set[str] = set()
    for arrival in arrivals:
        request = arrival.request
        if stage not in request.stages:
            continue
        if stage == ENGINE_STAGE:
            new = [h for h in request.prefix_hashes if h not in seen]
            reused = BLOCK_TOKENS * (len(request.prefix_hashes) - len(new))
            seen.update(new)
            prefill = max(0, request.input_tokens - reused)
            work = work_of_engine_call(site.engine, prefill, arrival.output_tokens)
        else:
            work = arrival.work_by_stage[stage]
        if request.arrived >= site.warm_up_s:
            jobs.append((request.arrived, request.deadline, work))
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
