"""Upper bound on the attainment of a policy that knows all requests in advance.

A call can't begin before the earlier stages of its request are complete, and must
end early enough for the later stages to meet the deadline. For each stage and time
interval, the calls whose windows lie within the interval compete for the work that
the stage's servers can do in it. If they demand more, the largest calls are dropped
until the rest fit. No policy can serve the largest number of calls dropped over all
intervals and stages, nor the requests whose stages alone take longer than the
deadline allows.

Each prefix is computed once, by the call that can begin first, as caches are assumed
to be unlimited. If another call computes the prefix instead, it does so after the
first call could begin and before the first call ends, so the work falls within the
same intervals.
"""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.policy.scenarios import Scenario
from benchmarks.policy.servers import BLOCK_TOKENS, compute_engine_work
from benchmarks.policy.sites import ENGINE_STAGE, Site
from benchmarks.policy.workload import Arrival

_GRID_STEP_S = 2.0


def compute_attainable_share(
    site: Site, scenario: Scenario, arrivals: list[Arrival]
) -> float:
    """Return the upper bound on the attained share of the measured requests."""
    measured = [a for a in arrivals if a.request.arrived_at >= site.warm_up_s]
    if not measured:
        return 1.0
    infeasible_ids = {
        id(a) for a in measured if _compute_min_service_s(site, a) > _get_allowed_s(a)
    }
    dropped = 0
    for stage, capacity in _compute_capacities(site).items():
        demands = _make_demands(site, stage, arrivals, infeasible_ids)
        lost_from_s = site.fault_start_s if scenario.engine_slowdown > 1.0 else None
        lost = 1.0 - 1.0 / scenario.engine_slowdown if stage == ENGINE_STAGE else 0.0
        dropped = max(
            dropped, _compute_max_dropped(demands, capacity, lost, lost_from_s)
        )
    return 1.0 - (len(infeasible_ids) + dropped) / len(measured)


def _compute_capacities(site: Site) -> dict[str, float]:
    capacities = {s.stage: float(s.slots * len(site.zones)) for s in site.services}
    capacities[ENGINE_STAGE] = float(len(site.engine_zones))
    return capacities


def _get_allowed_s(arrival: Arrival) -> float:
    return arrival.request.deadline - arrival.request.arrived_at


def _compute_min_service_s(
    site: Site, arrival: Arrival, stages: Iterable[str] | None = None
) -> float:
    """Return the total service seconds of stages on otherwise idle servers.

    Counts all stages of the request by default. An engine generates at most one
    token of a call in each iteration.
    """
    token_s = site.engine.iteration_s + site.engine.decode_s
    return sum(
        token_s * max(1, arrival.output_tokens)
        if stage == ENGINE_STAGE
        else arrival.work_by_stage[stage]
        for stage in (arrival.request.stages if stages is None else stages)
    )


def _compute_window(site: Site, stage: str, arrival: Arrival) -> tuple[float, float]:
    """Return the earliest begin and the latest end of a call, in seconds."""
    request = arrival.request
    index = request.stages.index(stage)
    begin = request.arrived_at + _compute_min_service_s(
        site, arrival, request.stages[:index]
    )
    end = request.deadline - _compute_min_service_s(
        site, arrival, request.stages[index + 1 :]
    )
    return begin, end


def _make_demands(
    site: Site, stage: str, arrivals: list[Arrival], infeasible_ids: set[int]
) -> list[tuple[float, float, float]]:
    """Return the earliest begin, latest end and work of each feasible measured call.

    All three are in seconds. Prefixes of requests that arrive during the warm-up or
    are infeasible count as cached.
    """
    demands = []
    seen: set[str] = set()
    calls = [
        (*_compute_window(site, stage, arrival), arrival)
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
            work = compute_engine_work(site.engine, prefill, arrival.output_tokens)
        else:
            work = arrival.work_by_stage[stage]
        if request.arrived_at >= site.warm_up_s and id(arrival) not in infeasible_ids:
            demands.append((begin, end, work))
    return demands


def _compute_max_dropped(
    demands: list[tuple[float, float, float]],
    capacity: float,
    lost: float,
    lost_from_s: float | None,
) -> int:
    end = max((demand[1] for demand in demands), default=0.0)
    grid = [i * _GRID_STEP_S for i in range(int(end / _GRID_STEP_S) + 2)]
    max_dropped = 0
    for i, start in enumerate(grid):
        for stop in grid[i + 1 :]:
            works_s = sorted(
                work for begin, due, work in demands if begin >= start and due <= stop
            )
            available_s = capacity * (stop - start)
            if lost_from_s is not None:
                available_s -= lost * max(0.0, stop - max(start, lost_from_s))
            max_dropped = max(max_dropped, _count_dropped(works_s, available_s))
    return max_dropped


def _count_dropped(works_s: list[float], available_s: float) -> int:
    if sum(works_s) <= available_s:
        return 0
    for count, work in enumerate(works_s):
        available_s -= work
        if available_s < 0.0:
            return len(works_s) - count
    return 0
