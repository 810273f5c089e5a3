"""Admission control: first-event forecasts, due times and retry delays.

Load pattern: a burst of similar requests at two or more times the capacity of the
stages. Without admission control the stage queues grow beyond the time that callers
wait, and every response is late. A request whose first event would come well after
its objective is therefore refused before any work is done for it, and admitted
requests are served.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from galenadrum._internal.dispatch.engine_pool import EngineDemand, EnginePool
from galenadrum._internal.dispatch.messages import PlacementRequest
from galenadrum._internal.dispatch.stage_pool import PRIORITY_WEIGHT_S, StagePool
from galenadrum._internal.dispatch.upcoming_work import estimate_remaining_s

# Reason of a refusal: no engine of the version that began the stream is left.
NO_VERSION_REASON = "no_server_of_version"
# Refused callers are told to wait until the excess queue has drained. The queue does
# not change noticeably in less than the minimum.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 5.0
# Retried requests are due this long before their callers give up.
_GIVE_UP_MARGIN_S = 0.8
# Approximate time lost to detecting a dispatcher failure and repeating its calls.
_RESUMED_GRACE_S = 0.6
# Reason of a refusal: all servers of a service asked the sender for a rest.
RESTING_REASON = "resting"
# Sent when a service has no server: approximate recovery time of a lost server.
_RETRY_AFTER_NO_SERVER_S = 1.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected time of a request's first event.

    Attributes:
        first_event_s: Seconds from now; infinite if a service has no server.
        reason: Reason to report if the request is refused.
        retry_after_s: Retry delay in seconds to report if the request is refused.
    """

    first_event_s: float
    reason: str
    retry_after_s: float


# Of a request that alone exceeds the memory of an engine.
TOO_LARGE_FORECAST = Forecast(math.inf, "too_large", _MAX_RETRY_AFTER_S)


def forecast_first_event(
    request: PlacementRequest,
    missing: tuple[int, ...],
    stage_pools_by_service: Mapping[str, StagePool],
    engines: EnginePool | None,
    now: float,
    count_waiting: Callable[[], int],
    record_stage: Callable[[int, float, float], None] = lambda *_: None,
) -> Forecast:
    """Forecast a request's first event from the current queues of its stages.

    Args:
        request: The request.
        missing: Number of pieces of each stage that have no result yet.
        stage_pools_by_service: Queues and servers of the stages.
        engines: Engine pool of the request's service; None if there is none.
        now: Loop time in seconds.
        count_waiting: Returns the number of admitted requests that aren't placed.
        record_stage: Called with the index of each stage that has pieces to make, its
            start in seconds from now, and its duration in seconds.
    """
    limits_by_service = {n: pool.limits for n, pool in stage_pools_by_service.items()}
    last_start_at = order_time(request) - estimate_engine_s(request, engines)
    done_s: list[float] = []
    rests_s: list[float] = []
    for index, stage in enumerate(request.route.stages):
        count = missing[index]
        start_s = max((done_s[predecessor] for predecessor in stage.after), default=0.0)
        if not count:
            done_s.append(start_s)
            continue
        pool = stage_pools_by_service.get(stage.service)
        duration_s = math.inf
        if pool is not None:
            due_at = last_start_at - estimate_remaining_s(
                index, request.route.stages, missing, limits_by_service
            )
            duration_s = pool.estimate_duration(
                count, stage.result_bytes, due_at, start_s, now
            )
            rests_s.append(pool.find_common_rest(now) or 0.0)
            if rests_s[-1] > start_s:
                duration_s = math.inf
        record_stage(index, start_s, duration_s)
        done_s.append(start_s + duration_s)
    stages_s = max(done_s, default=0.0)
    engine_s = math.inf
    if engines is not None:
        demand = EngineDemand(
            request.prompt,
            request.prompt_tokens,
            request.zone,
            software_version=request.software_version,
            sender=request.sender,
        )
        engine_s = engines.estimate_shortest_delay(demand, now, count_waiting)
        rest = engines.find_common_rest(demand, frozenset(), now)
        if rest is not None:
            rests_s.append(rest.left_s)
            # Rests end while the stages run.
            engine_s -= min(rest.left_s, stages_s)
            if rest.left_s > stages_s:
                engine_s = math.inf
    total_s = stages_s + engine_s
    reason = "overloaded" if math.isfinite(total_s) else "no_server"
    if reason == "no_server" and any(rests_s):
        return Forecast(total_s, RESTING_REASON, max(rests_s))
    if math.isinf(engine_s) and request.software_version is not None:
        reason = NO_VERSION_REASON
    excess_s = total_s - max(0.0, due_time(request) - now)
    return Forecast(total_s, reason, _retry_after_s(excess_s))


def order_time(request: PlacementRequest) -> float:
    """Return the loop time in seconds that orders a request's work among others'.

    Each priority rank delays it, so that urgent requests pass less urgent ones.
    """
    return due_time(request) + request.priority * PRIORITY_WEIGHT_S


def estimate_engine_s(request: PlacementRequest, engines: EnginePool | None) -> float:
    """Return the shortest time in seconds from a placement to the first event."""
    if engines is None:
        return 0.0
    return engines.overhead_s + request.prompt_tokens / engines.prefill_tokens_per_s


def fallback_due_time(request: PlacementRequest) -> float:
    """Return the due time of a first event that misses its objective.

    The due time is loop time in seconds, shortly before the caller gives up.
    """
    return request.give_up_at - _GIVE_UP_MARGIN_S


def due_time(request: PlacementRequest) -> float:
    """Return the loop time in seconds by which the first event is due.

    A request that was refused before has already missed its objective. It is due
    shortly before its caller gives up, so that it takes no capacity from requests
    that can still meet their objective and isn't refused twice. The same holds for one
    that goes on with a stream, whose caller has its first events. A request resumed
    after the loss of a dispatcher may be slightly late. Its results occupy memory
    until it ends, so it is served soon or refused.
    """
    if request.is_resumed:
        return min(request.objective_at + _RESUMED_GRACE_S, fallback_due_time(request))
    if request.is_returning or request.is_bound:
        return max(request.objective_at, fallback_due_time(request))
    return min(request.objective_at, request.give_up_at)


def _retry_after_s(excess_s: float) -> float:
    if not math.isfinite(excess_s):
        return _RETRY_AFTER_NO_SERVER_S
    return min(max(excess_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
