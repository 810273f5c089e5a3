"""Explanation of where a new request would go now, and why.

Nothing is sent, reserved or recorded: all estimates are made on a copy of the
dispatcher that has a pacer of its own.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.admission import due_time
from galenadrum._internal.dispatch.engine_pool import EngineChoice
from galenadrum._internal.dispatch.messages import PlacementRequest
from galenadrum._internal.dispatch.zone_dispatcher import ZoneDispatcher
from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.rest_schedule import Rests


@dataclass(frozen=True, slots=True)
class StageForecast:
    """Forecast of one stage of a request.

    Attributes:
        stage: Index of the stage in the route.
        service: Name of its service.
        pieces: Number of pieces to make.
        start_s: Seconds from now until the pieces are queued.
        wait_s: Time beyond ``call_s`` in seconds: the wait for a server, and calls that
            last longer as they are shared or their servers are slow. Infinite if no
            server is usable.
        call_s: Nominal duration in seconds of a call with these pieces alone; 0 if no
            server is known.
        usable_ids: Ids of the servers that may be called.
        known_servers: Number of servers that accept calls at all.
    """

    stage: int
    service: str
    pieces: int
    start_s: float
    wait_s: float
    call_s: float
    usable_ids: tuple[str, ...]
    known_servers: int


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """What a request would meet at one engine.

    Attributes:
        zone: Zone of the engine.
        delay_s: Expected time to the first token in seconds, with penalties.
        cost_s: The same plus what reading the prompt there costs other requests, in
            seconds, if there is time to spare; the engine with the lowest is chosen.
        read_tokens: Tokens of the prompt that the engine would read.
        fetched_tokens: Tokens that it would fetch from another engine's cache.
        fetch_source: Id of that engine; empty if it fetches nothing.
        pending_prefill_tokens: Tokens of prompts that it has still to read.
        running_requests: Requests that this dispatcher has placed there.
        held_tokens: Tokens that its requests hold.
        capacity_tokens: Tokens that it can hold; 0 if unknown.
        left_out: Why the request wouldn't be placed there; empty if it could be.
    """

    server_id: str
    zone: str
    delay_s: float
    cost_s: float
    read_tokens: int
    fetched_tokens: int
    fetch_source: str
    pending_prefill_tokens: int
    running_requests: int
    held_tokens: int
    capacity_tokens: int
    left_out: str


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What a dispatcher would decide about a new request.

    Attributes:
        service: Engine service of the request.
        stages: Stages that have pieces to make, in the order of the route.
        first_event_s: Forecast time to the first event in seconds; infinite if a
            service has no server.
        corrected_s: The same, lengthened by the errors of earlier forecasts.
        due_s: Seconds until the first event is due.
        is_admitted: Whether the request would be admitted.
        reason: Reason of the refusal; empty if it would be admitted.
        retry_after_s: Retry delay of the refusal in seconds; None if admitted.
        engine_id: Engine at which the request would be placed if its stages were
            complete now; empty if it would wait or be refused.
        engines: Engines by cost.
    """

    service: str
    stages: tuple[StageForecast, ...]
    first_event_s: float
    corrected_s: float
    due_s: float
    is_admitted: bool
    reason: str
    retry_after_s: float | None
    engine_id: str
    engines: tuple[EngineForecast, ...]


@dataclass(frozen=True, slots=True)
class PlainServer:
    """A server of a service that entry hosts send requests to without a dispatcher.

    Attributes:
        zone: Zone of the server.
        left_out: Why it isn't usable; empty if it is.
    """

    server_id: str
    zone: str
    left_out: str


@dataclass(frozen=True, slots=True)
class PlainExplanation:
    """Servers of a plain service, as one host knows them.

    Attributes:
        service: Name of the service.
        servers: Its servers by id.
    """

    service: str
    servers: tuple[PlainServer, ...]


def explain_placement(
    dispatcher: ZoneDispatcher, request: PlacementRequest, now: float
) -> PlacementExplanation:
    """Return what a dispatcher would decide about a new request, and why.

    Args:
        dispatcher: The dispatcher, which isn't changed.
        request: A request that has no stage results yet.
        now: Loop time in seconds.
    """
    view = dispatcher.copy_for_reading()
    stages: list[StageForecast] = []
    expected, corrected_s, is_admitted = view.forecast_admission(
        request, now, _build_stage_recorder(view, request, now, stages)
    )
    engines = sorted(
        (_describe_engine(*found) for found in view.forecast_engines(request, now)),
        key=lambda engine: engine.cost_s,
    )
    eligible = [engine.server_id for engine in engines if not engine.left_out]
    return PlacementExplanation(
        request.service,
        tuple(stages),
        expected.first_event_s,
        corrected_s,
        due_time(request) - now,
        is_admitted,
        "" if is_admitted else expected.reason,
        None if is_admitted else expected.retry_after_s,
        eligible[0] if is_admitted and eligible else "",
        tuple(engines),
    )


def _build_stage_recorder(
    view: ZoneDispatcher,
    request: PlacementRequest,
    now: float,
    stages: list[StageForecast],
) -> Callable[[int, float, float], None]:
    """Return a function that appends the forecast of a stage to a list."""

    def record_stage(index: int, start_s: float, duration_s: float) -> None:
        service, pieces = request.route.stages[index].service, request.pieces[index]
        pool = view.find_stage_pool(service)
        usable_ids: tuple[str, ...] = ()
        call_s, known_servers = 0.0, 0
        if pool is not None:
            call_s = pool.call_time(min(pieces, pool.limits.batch_size))
            known_servers = len(pool.servers_by_id)
            if math.isfinite(start_s):
                usable_ids = pool.list_usable_ids(start_s, now)
        stages.append(
            StageForecast(
                index,
                service,
                pieces,
                start_s,
                max(0.0, duration_s - call_s),
                call_s,
                usable_ids,
                known_servers,
            )
        )

    return record_stage


def _describe_engine(
    choice: EngineChoice, delay_s: float, cost_s: float, left_out: str
) -> EngineForecast:
    engine, prefill = choice.engine, choice.prefill
    return EngineForecast(
        choice.server_id,
        engine.announcement.zone,
        delay_s,
        cost_s,
        prefill.read_tokens,
        prefill.fetched_tokens,
        prefill.source.server_id if prefill.source is not None else "",
        engine.pending_prefill_tokens,
        len(engine.runs_by_request),
        engine.memory.held_tokens,
        engine.memory.capacity_tokens,
        left_out,
    )


def explain_plain_service(
    service: str,
    entries: Iterable[ServerEntry],
    pacer: RequestPacer,
    rests: Rests,
    now: float,
) -> PlainExplanation:
    """Return which servers of a plain service are usable.

    Args:
        service: Name of the service.
        entries: All servers in the directory.
        pacer: Spaces the requests to servers that name a limit; isn't changed.
        rests: Rests that servers asked this host for.
        now: Loop time in seconds.
    """
    view = pacer.copy_for_reading()
    servers = [
        PlainServer(
            entry.server_id,
            entry.announcement.zone,
            _find_plain_reason(entry, view, rests, now),
        )
        for entry in entries
        if entry.announcement.service == service
    ]
    return PlainExplanation(service, tuple(sorted(servers, key=lambda s: s.server_id)))


def _find_plain_reason(
    entry: ServerEntry, pacer: RequestPacer, rests: Rests, now: float
) -> str:
    state = entry.announcement.state
    if state is not ServerState.READY:
        return state.value
    if entry.is_evacuated:
        return "evacuated"
    if entry.is_silent:
        return "silent"
    if rests.wait_s(entry.server_id, now) > 0:
        return "resting"
    if pacer.has_limits() and pacer.wait_s(entry.server_id, now) > 0:
        return "cold" if now < entry.warm_up_ends_at else "limited"
    return ""
