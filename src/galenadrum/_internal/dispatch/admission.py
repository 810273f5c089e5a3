"""Whether a request can still be served, and when to come back if not.

Load pattern: a burst of one kind at two or more times what the stages can take.
A queue in front of the stages then grows past what callers wait for, and all
that is served is late; so a request whose first event would come well after its
objective is refused while it costs nothing, and what was taken is served.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from galenadrum._internal.dispatch.engine_pool import EngineDemand, EnginePool
from galenadrum._internal.dispatch.messages import PlacementRequest
from galenadrum._internal.dispatch.stage_pool import PRIORITY_WEIGHT_S, StagePool

# A caller that comes back finds the queue shorter by what was over the limit;
# sooner than this nothing has changed.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 5.0
# Returning requests are due this long before their callers leave.
_RETURN_MARGIN_S = 0.8
# A detected loss and the calls that are lost with it cost about this much.
_RESUMED_GRACE_S = 0.6
# Without any server: about the time in which a lost one comes back.
_RETRY_AFTER_NO_SERVER_S = 1.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """When a request's first event is expected.

    Attributes:
        first_event_s: Seconds from now; infinite where a service has no server.
        reason: Why it might not be served, for the refusal.
        retry_after_s: When to come back, should it be refused.
    """

    first_event_s: float
    reason: str
    retry_after_s: float


def forecast(
    request: PlacementRequest,
    missing: tuple[int, ...],
    stage_pools_by_service: Mapping[str, StagePool],
    engines: EnginePool | None,
    now: float,
) -> Forecast:
    """Follow the request's stages through the queues as they stand.

    Args:
        request: The request.
        missing: Number of pieces of each stage that are to be made.
        stage_pools_by_service: Queues and servers of the stages.
        engines: Of the request's service, if any is known.
        now: Loop time in seconds.
    """
    due_at = due_time(request) + request.priority * PRIORITY_WEIGHT_S
    done_s: list[float] = []
    for index, stage in enumerate(request.route.stages):
        count = missing[index]
        start_s = max((done_s[earlier] for earlier in stage.after), default=0.0)
        if not count:
            done_s.append(start_s)
            continue
        pool = stage_pools_by_service.get(stage.service)
        took_s = math.inf
        if pool is not None:
            took_s = pool.predicted_time(
                count, stage.result_bytes, due_at, start_s, now
            )
        done_s.append(start_s + took_s)
    stages_s = max(done_s, default=0.0)
    engine_s = math.inf
    if engines is not None:
        demand = EngineDemand(request.prompt, request.prompt_tokens, request.zone)
        engine_s = engines.best_delay(demand, now)
    total_s = stages_s + engine_s
    reason = "overloaded" if math.isfinite(total_s) else "no_server"
    excess_s = total_s - max(0.0, due_time(request) - now)
    return Forecast(total_s, reason, _retry_after_s(excess_s))


def late_due_time(request: PlacementRequest) -> float:
    """Return the loop time in seconds by which a late first event must come."""
    return request.give_up_at - _RETURN_MARGIN_S


def due_time(request: PlacementRequest) -> float:
    """Return the loop time in seconds by which the first event must come.

    A request that was refused before is late for its objective already. It is
    due just before its caller leaves, so that it takes no capacity from those
    that can still be in time, and isn't refused twice. What lost time with a lost
    dispatcher may be a little late: its results hold room until it is done, so that
    it is done soon or not at all.
    """
    if request.is_resumed:
        return min(request.objective_at + _RESUMED_GRACE_S, late_due_time(request))
    if request.is_returning:
        return max(request.objective_at, late_due_time(request))
    return min(request.objective_at, request.give_up_at)


def _retry_after_s(excess_s: float) -> float:
    if not math.isfinite(excess_s):
        return _RETRY_AFTER_NO_SERVER_S
    return min(max(excess_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
