"""Dispatcher that runs requests through their stages and places them at engines.

The dispatcher performs no I/O. Callers pass events together with the loop time and
fetch the resulting actions with `ZoneDispatcher.collect_actions`. A request is refused
immediately if its first event is forecast after its due time.
"""

from __future__ import annotations

import copy
import itertools
import logging
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.admission import (
    NO_VERSION_REASON,
    RESTING_REASON,
    TOO_LARGE_FORECAST,
    Forecast,
    due_time,
    estimate_engine_s,
    fallback_due_time,
    forecast_first_event,
    order_time,
)
from galenadrum._internal.dispatch.engine_pool import (
    EngineChoice,
    EngineDemand,
    EnginePool,
    Run,
)
from galenadrum._internal.dispatch.forecast_errors import ForecastErrors
from galenadrum._internal.dispatch.held_prompts import HeldPrompt
from galenadrum._internal.dispatch.messages import (
    Action,
    CallFailure,
    PieceFailure,
    PieceResult,
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    ResultsRelease,
    StageCall,
    StagePiece,
    StageProgress,
    StageResults,
)
from galenadrum._internal.dispatch.prompt_screening import PromptScreening
from galenadrum._internal.dispatch.stage_graph import StageGraph
from galenadrum._internal.dispatch.stage_pool import (
    RunningCall,
    StagePool,
    WaitingPiece,
)
from galenadrum._internal.dispatch.upcoming_work import estimate_remaining_s
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.models.quarantine import QuarantinedPart
from galenadrum._internal.models.routing import Service
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.rest_schedule import Rests, RestSchedule

logger = logging.getLogger(__name__)

# Number of times that results of a request may be lost before it is refused.
_MAX_RESULT_LOSSES = 2
# Number of failed calls for one piece at which its request is refused.
_MAX_PIECE_FAILURES = 4
# Number of failures for which a call that broke off counts.
_BROKEN_CALL_FAILURES = 2
# A stage call times out this long after it becomes overdue.
_CALL_TIMEOUT_S = 5.0
# An unplaced request is refused this long before its caller gives up, as no engine
# would respond in time.
_REFUSAL_MARGIN_S = 0.25
# Releases are batched: a call to a server costs half a millisecond of CPU time, and
# each request releases results at five servers. A server that has room for another
# full call can wait longer for its releases.
_RELEASE_INTERVAL_S = 0.06
_MAX_RELEASE_DELAY_S = 0.25
# While there is work, ticks come every 50 ms or less; a longer silence than this means
# that the process was suspended or given no processor.
_MAX_TICK_DELAY_S = 0.3


@dataclass(slots=True)
class _ActiveRequest:
    """State of an admitted request.

    Attributes:
        submitted_at: Loop time in seconds at which it was admitted.
        forecast_s: Time in seconds to its first event, as forecast at that time.
        server_id: Engine at which it is placed; empty until it is placed.
        excluded: Engines that rejected it or could not be reached.
        result_losses: Number of times that results were lost and produced again.
        completed_stages: Completed stages in order, each with the time in seconds since
            ``submitted_at``.
    """

    request: PlacementRequest
    graph: StageGraph
    submitted_at: float
    forecast_s: float
    server_id: str = ""
    excluded: set[str] = field(default_factory=set)
    result_losses: int = 0
    completed_stages: list[tuple[int, float]] = field(default_factory=list)


@dataclass(slots=True)
class _PendingRelease:
    """Results at one server whose release is not requested yet.

    Attributes:
        since: Loop time in seconds of the first of them.
        handles: Handles of the results.
    """

    since: float
    handles: list[str] = field(default_factory=list)


class ZoneDispatcher:
    """Admits and dispatches requests for the servers of one zone or of all zones.

    Args:
        zone: Zone whose servers it owns; empty if it owns all zones.
        screening: Finds the prompts whose requests are refused.
        pacer: Spaces the requests to servers that name a limit.
        rests: Rests that stage servers asked this host for.
    """

    def __init__(
        self,
        zone: str,
        screening: PromptScreening | None = None,
        pacer: RequestPacer | None = None,
        rests: Rests | None = None,
    ) -> None:
        self.zone = zone
        self._screening = screening or PromptScreening(PartQuarantine())
        self._screening_revision = self._screening.revision
        self._pacer = pacer or RequestPacer(lambda server_id: None)
        self._rests = RestSchedule(random.Random()) if rests is None else rests
        self._errors = ForecastErrors()
        self._services_by_name: Mapping[str, Service] = {}
        self._stage_pools_by_service: dict[str, StagePool] = {}
        self._engine_pools_by_service: dict[str, EnginePool] = {}
        self._active_by_request: dict[str, _ActiveRequest] = {}
        self._unplaced_ids: list[str] = []
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._call_ids = itertools.count(1)
        self._actions: list[Action | HeldPrompt] = []
        self._pending_releases_by_address: dict[str, _PendingRelease] = {}
        self._releases_flushed_at = float("-inf")
        # Loop time in seconds of the last event; infinite if it left no work.
        self._last_event_at = math.inf

    @property
    def request_count(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._active_by_request)

    @property
    def is_idle(self) -> bool:
        """Whether no request is active and no release is pending."""
        return not self._active_by_request and not self._pending_releases_by_address

    @property
    def waiting_piece_count(self) -> int:
        """Number of pieces that are queued for a call."""
        return sum(p.waiting_count for p in self._stage_pools_by_service.values())

    def configure(self, services_by_name: Mapping[str, Service]) -> None:
        """Apply the services of a newer configuration."""
        if services_by_name is self._services_by_name:
            return
        self._services_by_name = services_by_name
        for name, pool in list(self._stage_pools_by_service.items()):
            service = services_by_name.get(name)
            if service is not None and service.stage is not None:
                pool.limits = service.stage
        for entry in self._entries_by_id.values():
            self._update_pools(entry)

    def put_server(self, entry: ServerEntry) -> None:
        """Add or update a server; remove it from its pool if it accepts no work."""
        self._entries_by_id[entry.server_id] = entry
        self._update_pools(entry)

    def _update_pools(self, entry: ServerEntry) -> None:
        announcement = entry.announcement
        is_ready = announcement.state is ServerState.READY
        for pool in self._stage_pools_by_service.values():
            if pool.service != announcement.service or not entry.accepts_requests:
                pool.remove_server(announcement.server_id)
        for engines in self._engine_pools_by_service.values():
            if engines.service != announcement.service or not is_ready:
                engines.remove_server(announcement.server_id)
            elif entry.is_evacuated:
                engines.evacuate_server(announcement.server_id)
        if not entry.accepts_requests:
            return
        service = self._services_by_name.get(announcement.service)
        if service is None:
            return
        if service.stage is not None:
            pool = self._get_or_create_stage_pool(service)
            pool.put_server(announcement, entry.is_silent)
        else:
            engines = self._get_or_create_engine_pool(service)
            engines.put_server(announcement, entry.is_silent, entry.warm_up_ends_at)

    def _get_or_create_stage_pool(self, service: Service) -> StagePool:
        pool = self._stage_pools_by_service.get(service.name)
        if pool is None:
            pool = StagePool(
                service.name, self.zone, service.stage, self._pacer, self._rests
            )
            self._stage_pools_by_service[service.name] = pool
        return pool

    def _get_or_create_engine_pool(self, service: Service) -> EnginePool:
        pool = self._engine_pools_by_service.get(service.name)
        if pool is None:
            pool = EnginePool(service.name, self.zone, service.engine, self._pacer)
            self._engine_pools_by_service[service.name] = pool
        return pool

    def _detect_suspension(self, now: float) -> None:
        """Record a suspension of the process if the last event was long ago.

        Called first for each event. Servers aren't blamed for what came late meanwhile:
        otherwise all of them seem slow afterwards, and new requests are refused
        although the servers are idle.
        """
        suspended_s = now - self._last_event_at
        self._last_event_at = math.inf if self.is_idle else now
        if suspended_s <= _MAX_TICK_DELAY_S:
            return
        for pool in self._stage_pools_by_service.values():
            pool.record_suspension(suspended_s)
        for pool in self._engine_pools_by_service.values():
            pool.record_suspension()
        logger.warning(
            "no event for %.3f s with %d requests; calls and placements of that time "
            "don't count against their servers",
            suspended_s,
            self.request_count,
        )

    def submit(self, request: PlacementRequest, now: float) -> None:
        """Admit a request, or refuse it.

        It is refused if its forecast misses its due time or its prompt has a
        quarantined part.
        """
        self._detect_suspension(now)
        graph = StageGraph(request.route.stages, request.pieces)
        self._record_rests(request, now)
        self._restore_results(graph, request.results, now)
        expected = self._forecast(request, graph, now)
        bar = self._screening.find_bar(request, now)
        if bar is not None:
            self._release_results(graph.unreleased_handles(), now)
            self._refuse(request, self._barred(expected, bar, now), "quarantined", now)
            return
        corrected_s = self._errors.correct(request.route.name, expected.first_event_s)
        if now + corrected_s > due_time(request):
            self._release_results(graph.unreleased_handles(), now)
            self._refuse(request, expected, expected.reason, now)
            return
        active = _ActiveRequest(
            request,
            graph,
            now,
            expected.first_event_s,
            excluded=set(request.excluded_ids),
        )
        self._active_by_request[request.request_id] = active
        stages = (s for s in range(len(graph.stages)) if not graph.is_stage_complete(s))
        self._add_upcoming_pieces(active, stages)
        logger.debug(
            "admitted request %s: first event expected in %.3f s, due in %.3f s",
            request.request_id,
            expected.first_event_s,
            request.objective_at - now,
        )
        self._advance(active, now)

    def _record_rests(self, request: PlacementRequest, now: float) -> None:
        """Record the rests that servers asked the request's host for."""
        pool = self._engine_pools_by_service.get(request.service)
        for rest in request.rests if pool is not None else ():
            pool.record_rest(rest.server_id, request.sender, rest.left_s, now)

    def _restore_results(
        self, graph: StageGraph, known: tuple[StageResults, ...], now: float
    ) -> None:
        """Restore results that were produced for a lost dispatcher."""
        expires_at_by_stage = {}
        for results in known:
            if results.expires_at > now:
                graph.restore_results(results.stage, results.handles)
                expires_at_by_stage[results.stage] = results.expires_at
        consumed = set(graph.release_consumed_results())
        for stage, expires_at in expires_at_by_stage.items():
            spec = graph.stages[stage]
            pool = self._stage_pools_by_service.get(spec.service)
            handles = graph.stage_handles(stage)
            if pool is None or any(
                pool.zone_of_result(handle) is None for handle in handles
            ):
                graph.discard_results(stage)
                continue
            for handle in handles:
                pool.record_result(handle, spec.result_bytes, expires_at)
        self._release_consumed_results(graph, known, consumed, now)

    def _release_consumed_results(
        self,
        graph: StageGraph,
        known: tuple[StageResults, ...],
        consumed: set[str],
        now: float,
    ) -> None:
        """Release results that a lost dispatcher may not have released."""
        for results in known:
            handles = tuple(h for h in results.handles if h in consumed)
            if not handles:
                continue
            spec = graph.stages[results.stage]
            pool = self._stage_pools_by_service.get(spec.service)
            if pool is not None:
                for handle in handles:
                    pool.record_result(handle, spec.result_bytes, results.expires_at)
                self._release_results(handles, now)

    def copy_for_reading(self) -> ZoneDispatcher:
        """Return a copy for estimates only; it shares servers and requests.

        Estimates of the original may create or adjust schedules of its pacer.
        """
        copied = copy.copy(self)
        pacer = copied._pacer = self._pacer.copy_for_reading()
        copied._stage_pools_by_service = {
            name: pool.copy_for_reading(pacer)
            for name, pool in self._stage_pools_by_service.items()
        }
        copied._engine_pools_by_service = {
            name: pool.copy_for_reading(pacer)
            for name, pool in self._engine_pools_by_service.items()
        }
        return copied

    def forecast_admission(
        self,
        request: PlacementRequest,
        now: float,
        record_stage: Callable[[int, float, float], None],
    ) -> tuple[Forecast, float, bool]:
        """Return what `submit` would decide about a new request; only for copies.

        Args:
            request: The request.
            now: Loop time in seconds.
            record_stage: See `forecast_first_event`.

        Returns:
            The forecast, the time to the first event in seconds as corrected by earlier
            requests, and whether the request would be admitted.
        """
        graph = StageGraph(request.route.stages, request.pieces)
        expected = self._forecast(request, graph, now, record_stage)
        corrected_s = self._errors.correct(request.route.name, expected.first_event_s)
        bar = self._screening.find_bar(request, now)
        if bar is not None:
            barred = replace(self._barred(expected, bar, now), reason="quarantined")
            return barred, corrected_s, False
        return expected, corrected_s, now + corrected_s <= due_time(request)

    def forecast_engines(
        self, request: PlacementRequest, now: float
    ) -> list[tuple[EngineChoice, float, float, str]]:
        """Return the engines as a new request would find them; only for copies.

        See `EnginePool.forecast_engines`. The results of its stages don't exist yet, so
        that their zones aren't taken into account.
        """
        pool = self._engine_pools_by_service.get(request.service)
        if pool is None:
            return []
        graph = StageGraph(request.route.stages, request.pieces)
        active = _ActiveRequest(request, graph, now, 0.0)
        demand = self._build_demand(active, pool, now)
        return list(pool.forecast_engines(demand, now))

    def find_stage_pool(self, service: str) -> StagePool | None:
        """Return the queue and the servers of a stage service, None if unknown."""
        return self._stage_pools_by_service.get(service)

    def _forecast(
        self,
        request: PlacementRequest,
        graph: StageGraph,
        now: float,
        record_stage: Callable[[int, float, float], None] = lambda *_: None,
    ) -> Forecast:
        """Return the forecast of a request's first event."""
        pool = self._engine_pools_by_service.get(request.service)
        if pool is not None and pool.is_too_large(request):
            return TOO_LARGE_FORECAST
        return forecast_first_event(
            request,
            graph.missing,
            self._stage_pools_by_service,
            self._engine_pools_by_service.get(request.service),
            now,
            lambda: self._count_unplaced(request.service),
            record_stage,
        )

    def _count_unplaced(self, service: str) -> int:
        return sum(
            not active.server_id and active.request.service == service
            for active in self._active_by_request.values()
        )

    def abandon(self, request_id: str, now: float) -> None:
        """Drop a request whose host is unreachable.

        Its results are not released but remain until they expire: the host may have
        passed them to another dispatcher.
        """
        active = self._active_by_request.get(request_id)
        if active is not None:
            self._screening.record_abandonment(request_id, now)
            pool = self._engine_pools_by_service.get(active.request.service)
            if pool is not None:
                pool.record_abandonment(active.server_id, request_id, now)
            self._remove_request(active)

    def report(
        self,
        request_id: str,
        server_id: str,
        outcome: PlacementOutcome,
        now: float,
        rest_s: float = 0.0,
        load: ServerLoad | None = None,
    ) -> None:
        """Record the outcome of a placement.

        Args:
            request_id: Id of the request.
            server_id: Engine at which it was placed.
            outcome: Outcome of the placement.
            now: Loop time in seconds.
            rest_s: Seconds for which the engine asked the request's host for a rest.
            load: Load that the engine reports; None if it reports none.
        """
        self._detect_suspension(now)
        active = self._active_by_request.get(request_id)
        if active is None:
            return
        pool = self._engine_pools_by_service.get(active.request.service)
        run = pool.find_run(server_id, request_id) if pool is not None else None
        self._screening.record_outcome(active.request, run, outcome, now)
        if pool is not None and rest_s > 0:
            pool.record_rest(server_id, active.request.sender, rest_s, now)
        if outcome is PlacementOutcome.STARTED:
            self._record_first_event(active, now)
            if pool is not None:
                pool.record_start(server_id, request_id, now, load)
                held = pool.describe_held_prompt(server_id, request_id)
                if held is not None:
                    self._actions.append(held)
            self._release_results(active.graph.unreleased_handles(), now)
            return
        if outcome in (PlacementOutcome.FINISHED, PlacementOutcome.CANCELLED):
            self._end_request(active, now)
        elif outcome is PlacementOutcome.FAILED:
            if pool is not None:
                pool.record_failure(server_id, request_id, now)
            self._end_request(active, now)
        else:
            self._retry_placement(active, pool, server_id, outcome, now, rest_s > 0)
        self._place_ready_requests(now)
        self._refuse_resting(now)

    def _record_first_event(self, active: _ActiveRequest, now: float) -> None:
        """Compare the time to a first event with its forecast."""
        request = active.request
        # Late requests yield to others, and lost results are produced again.
        if request.is_returning or request.is_resumed or active.result_losses:
            return
        self._errors.record(
            request.route.name, active.forecast_s, now - active.submitted_at
        )

    def record_crash(self, server_id: str, now: float) -> None:
        """Record that a server crashed."""
        for pool in self._engine_pools_by_service.values():
            pool.record_crash(server_id, now)

    def record_held_prompt(self, held: HeldPrompt, now: float) -> None:
        """Record what an engine has read for another dispatcher."""
        for pool in self._engine_pools_by_service.values():
            pool.record_held_prompt(held, now)

    def list_runs(self) -> Iterator[Run]:
        """Yield the runs of all placed requests."""
        for pool in self._engine_pools_by_service.values():
            yield from pool.list_runs()

    def _retry_placement(
        self,
        active: _ActiveRequest,
        pool: EnginePool | None,
        server_id: str,
        outcome: PlacementOutcome,
        now: float,
        is_resting: bool,
    ) -> None:
        request_id = active.request.request_id
        active.server_id = ""
        if outcome is PlacementOutcome.INPUTS_LOST:
            if pool is not None:
                pool.record_end(server_id, request_id)
            self._rerun_lost_stages(active, active.graph.discard_final_results(), now)
            return
        is_held_back = outcome is PlacementOutcome.HELD_BACK
        if pool is not None and is_held_back:
            pool.record_end(server_id, request_id)
        elif pool is not None:
            pool.record_failure(server_id, request_id, now)
        if not (is_held_back and is_resting):
            active.excluded.add(server_id)
        self._advance(active, now)

    def complete_stage_call(
        self, service: str, call_id: int, results: tuple[PieceResult, ...], now: float
    ) -> None:
        """Process the response to a stage call."""
        self._detect_suspension(now)
        pool = self._stage_pools_by_service.get(service)
        call = pool.end_call(call_id, now) if pool else None
        if call is None:
            return
        self._log_failures(pool, call, results, now)
        # All results are counted before one of them can cause another call to start.
        expires_at = now + pool.limits.result_ttl_s - call.suspended_s
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle:
                pool.record_result(result.handle, piece.result_bytes, expires_at)
        for piece, result in zip(call.pieces, results, strict=True):
            self._process_piece_result(pool, call, piece, result, now)
        if any(result.failure is PieceFailure.MEMORY_FULL for result in results):
            pool.record_full_memory(call.server_id, now)
        self._advance_requests(dict.fromkeys(p.request_id for p in call.pieces), now)
        self._start_calls(now)

    def _log_failures(
        self,
        pool: StagePool,
        call: RunningCall,
        results: tuple[PieceResult, ...],
        now: float,
    ) -> None:
        counts = Counter(r.failure.value for r in results if r.failure is not None)
        if counts:
            logger.info(
                "stage call %d to %s: %d pieces completed, failures %s; %s",
                call.call_id,
                call.server_id,
                len(results) - counts.total(),
                dict(counts),
                pool.describe_memory(call.server_id, now),
            )

    def _process_piece_result(
        self,
        pool: StagePool,
        call: RunningCall,
        piece: WaitingPiece,
        result: PieceResult,
        now: float,
    ) -> None:
        active = self._active_by_request.get(piece.request_id)
        is_needed = active is not None and not active.graph.has_result(
            piece.stage, piece.number
        )
        if result.handle:
            if is_needed:
                self._record_piece_result(active, pool, call, piece, result.handle, now)
            else:
                self._release_results((result.handle,), now)
        elif is_needed and not call.is_overdue:
            self._process_piece_failure(active, pool, piece, result.failure, now)

    def _record_piece_result(
        self,
        active: _ActiveRequest,
        pool: StagePool,
        call: RunningCall,
        piece: WaitingPiece,
        handle: str,
        now: float,
    ) -> None:
        active.graph.record_result(piece.stage, piece.number, handle)
        if active.graph.is_stage_complete(piece.stage):
            active.completed_stages.append((piece.stage, now - active.submitted_at))
        if active.graph.is_stage_complete(piece.stage) and not active.graph.is_complete:
            # The results of the last stages are sent with the placement.
            handles = active.graph.stage_handles(piece.stage)
            expires_at = pool.earliest_expiry(handles)
            if math.isfinite(expires_at):
                results = StageResults(piece.stage, handles, expires_at)
                self._actions.append(StageProgress(piece.request_id, results))
        if call.is_overdue:
            pool.remove_piece(piece.request_id, piece.stage, piece.number)

    def _process_piece_failure(
        self,
        active: _ActiveRequest,
        pool: StagePool,
        piece: WaitingPiece,
        failure: PieceFailure | None,
        now: float,
    ) -> None:
        if failure is PieceFailure.LATE:
            self._end_with_refusal(active, "stage_late", now)
        elif failure is PieceFailure.MEMORY_FULL:
            self._requeue(active, pool, piece)
        elif failure is PieceFailure.INPUT_LOST:
            active.graph.reset_request(piece.stage, piece.number)
            # Another piece of the call may have reported the loss already.
            if active.graph.inputs_are_complete(piece.stage):
                self._rerun_lost_stages(
                    active, active.graph.discard_inputs(piece.stage), now
                )
        else:
            self._retry_piece(active, pool, piece, now)

    def _retry_piece(
        self, active: _ActiveRequest, pool: StagePool, piece: WaitingPiece, now: float
    ) -> None:
        piece.failures += 1
        if piece.failures >= _MAX_PIECE_FAILURES:
            self._end_with_refusal(active, "stage_failed", now)
        else:
            self._requeue(active, pool, piece)

    def _requeue(
        self, active: _ActiveRequest, pool: StagePool, piece: WaitingPiece
    ) -> None:
        """Queue a piece again, unless it has a result or its inputs were discarded."""
        if active.graph.has_result(piece.stage, piece.number):
            return
        if active.graph.inputs_are_complete(piece.stage):
            pool.queue_piece(piece)
        else:
            active.graph.reset_request(piece.stage, piece.number)

    def _rerun_lost_stages(
        self, active: _ActiveRequest, discarded: tuple[str, ...], now: float
    ) -> None:
        self._release_results(discarded, now)
        active.result_losses += 1
        request_id = active.request.request_id
        for pool in self._stage_pools_by_service.values():
            for piece in pool.remove_unready_pieces(
                request_id, active.graph.inputs_are_complete
            ):
                active.graph.reset_request(piece.stage, piece.number)
        if active.result_losses > _MAX_RESULT_LOSSES:
            self._end_with_refusal(active, "results_lost", now)
        else:
            self._advance(active, now)

    def find_digest(self, request_id: str) -> str:
        """Return the digest of a request; empty if it is unknown."""
        active = self._active_by_request.get(request_id)
        return active.request.digest if active is not None else ""

    def remove_unwanted_pieces(self, call: StageCall) -> StageCall | None:
        """Remove the pieces that no active request needs from an unsent call.

        Returns:
            The call with the pieces of active requests that lack a result; None if
            there is none, or if all were queued again since.
        """
        pool = self._stage_pools_by_service.get(call.server.service)
        running = pool.calls_by_id.get(call.call_id) if pool else None
        if running is None or running.is_overdue:
            return None
        is_wanted = [self._is_wanted(piece) for piece in running.pieces]
        running.pieces = list(itertools.compress(running.pieces, is_wanted))
        pieces = tuple(itertools.compress(call.pieces, is_wanted))
        return replace(call, pieces=pieces) if pieces else None

    def _is_wanted(self, piece: WaitingPiece) -> bool:
        active = self._active_by_request.get(piece.request_id)
        return active is not None and not active.graph.has_result(
            piece.stage, piece.number
        )

    def fail_stage_call(
        self, service: str, call_id: int, failure: CallFailure, now: float
    ) -> None:
        """Process a stage call that returned no results."""
        self._detect_suspension(now)
        pool = self._stage_pools_by_service.get(service)
        is_sent = failure is not CallFailure.UNWANTED
        call = pool.fail_call(call_id, now, is_sent) if pool else None
        if call is None:
            return
        if failure is CallFailure.MISDIRECTED:
            pool.remove_server(call.server_id)
        if not call.is_overdue:
            for piece in call.pieces:
                active = self._active_by_request.get(piece.request_id)
                if active is not None:
                    if failure in (CallFailure.FULL, CallFailure.UNWANTED):
                        self._requeue(active, pool, piece)
                        continue
                    if failure is CallFailure.BROKEN:
                        # The piece may be what ends its servers.
                        piece.failures += _BROKEN_CALL_FAILURES - 1
                    self._retry_piece(active, pool, piece, now)
        self._start_calls(now)

    def tick(self, now: float) -> None:
        """Process timeouts, queued calls, placements and releases.

        Callers must call it at intervals of about 50 ms or less while there is work.
        """
        self._detect_suspension(now)
        if self._screening_revision != self._screening.revision:
            self._screening_revision = self._screening.revision
            self._refuse_quarantined(now)
        for pool in self._stage_pools_by_service.values():
            for call in pool.mark_overdue_calls(now):
                self._requeue_overdue(pool, call, now)
        self._refuse_expired(now)
        self._refuse_without_version(now)
        self._start_calls(now)
        self._place_ready_requests(now)
        self._refuse_resting(now)
        if now - self._releases_flushed_at >= _RELEASE_INTERVAL_S:
            self._releases_flushed_at = now
            self._flush_releases(now)

    def _requeue_overdue(self, pool: StagePool, call: RunningCall, now: float) -> None:
        logger.info(
            "stage call %d to %s is overdue after %.3f s; requeueing its %d pieces",
            call.call_id,
            call.server_id,
            now - call.started_at,
            len(call.pieces),
        )
        for piece in call.pieces:
            active = self._active_by_request.get(piece.request_id)
            if active is not None and not active.graph.has_result(
                piece.stage, piece.number
            ):
                self._retry_piece(active, pool, piece, now)

    def _refuse_expired(self, now: float) -> None:
        """Refuse unplaced requests whose callers are about to give up."""
        for active in list(self._active_by_request.values()):
            if active.server_id:
                continue
            if now + _REFUSAL_MARGIN_S >= active.request.give_up_at:
                self._end_with_refusal(active, "deadline", now)

    def _refuse_without_version(self, now: float) -> None:
        """Refuse unplaced requests whose software version has no engine any more."""
        for active in list(self._active_by_request.values()):
            version = active.request.software_version
            if not active.request.is_bound or active.server_id:
                continue
            pool = self._engine_pools_by_service.get(active.request.service)
            if pool is None or not pool.has_version(version):
                self._end_with_refusal(active, NO_VERSION_REASON, now)

    def _refuse_resting(self, now: float) -> None:
        """Refuse unplaced requests for which all servers of a service are at rest.

        A request that has results waits for a rest that ends in time.
        """
        for pool in self._stage_pools_by_service.values():
            rest_s = pool.find_common_rest(now) if pool.waiting_count else None
            if rest_s is None:
                continue
            for piece in list(pool.list_waiting_pieces()):
                active = self._active_by_request.get(piece.request_id)
                if active is not None:
                    ready_s = rest_s + piece.remaining_s
                    self._refuse_at_rest(active, rest_s, ready_s, now)
        for request_id in list(self._unplaced_ids):
            active = self._active_by_request.get(request_id)
            if active is not None:
                self._refuse_if_engines_rest(active, now)

    def _refuse_if_engines_rest(self, active: _ActiveRequest, now: float) -> None:
        pool = self._engine_pools_by_service.get(active.request.service)
        if pool is None or not pool.has_rests:
            return
        demand = self._build_demand(active, pool, now)
        rest = pool.find_common_rest(demand, frozenset(active.excluded), now)
        if rest is not None:
            ready_s = rest.usable_left_s + pool.overhead_s
            self._refuse_at_rest(active, rest.left_s, ready_s, now)

    def _refuse_at_rest(
        self, active: _ActiveRequest, rest_s: float, ready_s: float, now: float
    ) -> None:
        """Refuse a request unless its results are worth the wait.

        Args:
            active: The request.
            rest_s: Seconds until the first rest ends.
            ready_s: Seconds until the first event could come.
            now: Loop time in seconds.
        """
        has_results = bool(active.completed_stages)
        if has_results and now + ready_s <= due_time(active.request):
            return
        self._end_request(active, now)
        expected = Forecast(ready_s, RESTING_REASON, rest_s)
        self._refuse(active.request, expected, RESTING_REASON, now)

    def _refuse_quarantined(self, now: float) -> None:
        """Refuse unplaced requests whose prompts have a quarantined part."""
        for active in list(self._active_by_request.values()):
            if not active.server_id:
                self._refuse_if_barred(active, now)

    def _refuse_if_barred(self, active: _ActiveRequest, now: float) -> bool:
        bar = self._screening.find_bar(active.request, now)
        if bar is None:
            return False
        expected = self._forecast(active.request, active.graph, now)
        self._end_request(active, now)
        refusal = self._barred(expected, bar, now)
        self._refuse(active.request, refusal, "quarantined", now)
        return True

    def _barred(self, expected: Forecast, bar: QuarantinedPart, now: float) -> Forecast:
        """Return a forecast with the time until a quarantine ends as retry delay."""
        return replace(expected, retry_after_s=self._screening.retry_after_s(bar, now))

    def collect_actions(self) -> tuple[Action | HeldPrompt, ...]:
        """Return and clear the pending actions and news of caches, in order."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _advance_requests(self, request_ids: Iterable[str], now: float) -> None:
        for request_id in request_ids:
            active = self._active_by_request.get(request_id)
            if active is not None:
                self._release_results(active.graph.release_consumed_results(), now)
                self._advance(active, now)

    def _advance(self, active: _ActiveRequest, now: float) -> None:
        """Queue the pieces that have become due, or place a complete request."""
        if active.server_id or active.request.request_id not in self._active_by_request:
            return
        if active.graph.is_complete:
            if active.request.request_id not in self._unplaced_ids:
                self._unplaced_ids.append(active.request.request_id)
            self._place_ready_requests(now)
            return
        numbers_by_stage: dict[int, list[int]] = defaultdict(list)
        for stage, number in active.graph.request_due_pieces():
            numbers_by_stage[stage].append(number)
        self._remove_upcoming_pieces(active, numbers_by_stage)
        for stage, numbers in numbers_by_stage.items():
            service = active.request.route.stages[stage].service
            pool = self._stage_pools_by_service.get(service)
            if pool is None:
                self._end_with_refusal(active, "no_server", now)
                return
            for piece in self._build_waiting_pieces(active, stage, numbers):
                pool.queue_piece(piece)
        self._start_calls(now)

    def _add_upcoming_pieces(
        self, active: _ActiveRequest, stages: Iterable[int]
    ) -> None:
        """Count pieces of stages that are not due yet, for forecasts."""
        request = active.request
        remaining_s_by_stage = {s: self._remaining_s(request, s) for s in stages}
        longest_s = max(remaining_s_by_stage.values(), default=0.0)
        for stage, remaining_s in remaining_s_by_stage.items():
            pool = self._stage_pools_by_service.get(active.graph.stages[stage].service)
            if pool is None:
                continue
            pieces = active.graph.pieces[stage]
            due_at = order_time(request) - remaining_s
            pool.upcoming.add(request.request_id, stage, pieces, due_at)
            if not (request.is_returning or request.is_resumed):
                pool.arrivals.record(
                    (request.route.name, stage),
                    pieces,
                    due_at - active.submitted_at,
                    longest_s - remaining_s,
                    active.submitted_at,
                )

    def _remove_upcoming_pieces(
        self, active: _ActiveRequest, stages: Iterable[int]
    ) -> None:
        for stage in stages:
            pool = self._stage_pools_by_service.get(active.graph.stages[stage].service)
            if pool is not None:
                pool.upcoming.remove(active.request.request_id, stage)

    def _build_waiting_pieces(
        self, active: _ActiveRequest, stage: int, numbers: list[int]
    ) -> list[WaitingPiece]:
        request = active.request
        spec = request.route.stages[stage]
        zone, bytes_by_zone = self._locate_inputs(active, spec.after, request.zone)
        input_bytes = sum(bytes_by_zone.values())
        remaining_s = self._remaining_s(request, stage)
        return [
            WaitingPiece(
                request.request_id,
                stage,
                number,
                request.priority,
                due_time(request),
                remaining_s,
                spec.result_bytes,
                zone,
                # Each piece fetches all inputs separately.
                input_bytes * active.graph.pieces[stage],
                fallback_due_at=fallback_due_time(request),
            )
            for number in numbers
        ]

    def _remaining_s(self, request: PlacementRequest, stage: int) -> float:
        """Return the shortest time in seconds from a stage call to the first event."""
        limits_by_service = {
            name: pool.limits for name, pool in self._stage_pools_by_service.items()
        }
        pieces = StageGraph(request.route.stages, request.pieces).pieces
        remaining_s = estimate_remaining_s(
            stage, request.route.stages, pieces, limits_by_service
        )
        pool = self._engine_pools_by_service.get(request.service)
        return remaining_s + estimate_engine_s(request, pool)

    def _start_calls(self, now: float) -> None:
        for pool in self._stage_pools_by_service.values():
            while (chosen := pool.dequeue_call(now)) is not None:
                server, pieces = chosen
                call_id = next(self._call_ids)
                call = pool.start_call(call_id, server, pieces, now)
                timeout_s = call.overdue_at - now + _CALL_TIMEOUT_S
                self._actions.append(
                    StageCall(
                        call_id,
                        server.announcement,
                        tuple(self._build_stage_piece(piece, now) for piece in pieces),
                        timeout_s,
                    )
                )

    def _build_stage_piece(self, piece: WaitingPiece, now: float) -> StagePiece:
        active = self._active_by_request[piece.request_id]
        if not active.graph.inputs_are_available(piece.stage):
            raise InvariantError(f"{piece} is queued although its inputs are missing")
        return StagePiece(
            piece.request_id,
            piece.stage,
            piece.number,
            active.request.piece_key,
            active.graph.input_handles(piece.stage),
            active.request.give_up_at - now,
        )

    def _place_ready_requests(self, now: float) -> None:
        """Place requests whose stages are complete, the most urgent first.

        Among equals those come first whose callers have a part of their response.

        Requests with a part that was quarantined meanwhile are refused.
        """
        if not self._unplaced_ids:
            return
        ready = [
            active
            for request_id in self._unplaced_ids
            if (active := self._active_by_request.get(request_id)) is not None
        ]
        ready.sort(
            key=lambda a: (
                a.request.priority,
                not a.request.is_bound,
                due_time(a.request),
            )
        )
        self._unplaced_ids = [
            active.request.request_id
            for active in ready
            if not self._try_place(active, now)
        ]

    def _try_place(self, active: _ActiveRequest, now: float) -> bool:
        request = active.request
        pool = self._engine_pools_by_service.get(request.service)
        if pool is None:
            return False
        if self._refuse_if_barred(active, now):
            return True
        demand = self._build_demand(active, pool, now)
        choice = pool.choose_engine(demand, frozenset(active.excluded), now)
        if choice is None:
            return False
        pool.place(choice, request.request_id, demand, now)
        self._screening.record_placement(request, now)
        engine, source = choice.engine, choice.prefill.source
        active.server_id = choice.server_id
        logger.info(
            "placed at %s (version %s) after %.3f s (objective in %.3f s, stages "
            "completed: %s, reads %d tokens and fetches %d from %s)",
            active.server_id,
            engine.announcement.software_version or "unknown",
            now - active.submitted_at,
            request.objective_at - now,
            " ".join(f"{stage}@{at:.3f}" for stage, at in active.completed_stages),
            choice.prefill.read_tokens,
            choice.prefill.fetched_tokens,
            source.server_id if source else "none",
            extra={"request_id": request.request_id},
        )
        self._actions.append(
            Placement(
                request.request_id,
                active.server_id,
                engine.announcement.address,
                active.graph.final_handles(),
                engine.announcement.software_version,
                request.service,
                source.address if source else "",
            )
        )
        return True

    def _build_demand(
        self, active: _ActiveRequest, pool: EnginePool, now: float
    ) -> EngineDemand:
        request = active.request
        zone, bytes_by_zone = self._locate_inputs(
            active, active.graph.final_stages(), request.zone
        )
        read_s = request.prompt_tokens / pool.prefill_tokens_per_s
        return EngineDemand(
            request.prompt,
            request.prompt_tokens,
            zone,
            bytes_by_zone,
            max(0.0, due_time(request) - now - pool.overhead_s - read_s),
            request.software_version,
            request.sender,
            request.most_output_tokens,
        )

    def _locate_inputs(
        self, active: _ActiveRequest, stages: tuple[int, ...], caller_zone: str
    ) -> tuple[str, dict[str, float]]:
        """Return the zone that holds most of some stages' results, and their sizes.

        Returns:
            The zone, which is the caller's if there are no results, and the size of
            the results in bytes by zone.
        """
        bytes_by_zone: dict[str, float] = defaultdict(float)
        for index in stages:
            spec = active.graph.stages[index]
            pool = self._stage_pools_by_service.get(spec.service)
            if pool is None:
                continue
            for handle in active.graph.stage_handles(index):
                zone = pool.zone_of_result(handle)
                if zone is not None:
                    bytes_by_zone[zone] += spec.result_bytes
        if not bytes_by_zone:
            return caller_zone, bytes_by_zone
        return max(bytes_by_zone, key=bytes_by_zone.__getitem__), bytes_by_zone

    def _end_with_refusal(
        self, active: _ActiveRequest, reason: str, now: float
    ) -> None:
        if active.request.request_id not in self._active_by_request:
            return
        expected = self._forecast(active.request, active.graph, now)
        self._end_request(active, now)
        self._refuse(active.request, expected, reason, now)

    def _refuse(
        self, request: PlacementRequest, expected: Forecast, reason: str, now: float
    ) -> None:
        logger.info(
            "refused: %s, retry after %.3f s (first event forecast in %.3f s, due in "
            "%.3f s, pieces queued: %d)",
            reason,
            expected.retry_after_s,
            expected.first_event_s,
            due_time(request) - now,
            self.waiting_piece_count,
            extra={"request_id": request.request_id},
        )
        self._actions.append(
            PlacementRefusal(request.request_id, reason, expected.retry_after_s)
        )

    def _end_request(self, active: _ActiveRequest, now: float) -> None:
        if self._remove_request(active):
            self._release_results(active.graph.unreleased_handles(), now)

    def _remove_request(self, active: _ActiveRequest) -> bool:
        """Remove a request from all queues and pools.

        Returns:
            Whether the request was active.
        """
        request_id = active.request.request_id
        if self._active_by_request.pop(request_id, None) is None:
            return False
        if request_id in self._unplaced_ids:
            self._unplaced_ids.remove(request_id)
        self._remove_upcoming_pieces(active, range(len(active.graph.stages)))
        for pool in self._stage_pools_by_service.values():
            pool.remove_request(request_id)
        pool = self._engine_pools_by_service.get(active.request.service)
        if pool is not None and active.server_id:
            pool.record_end(active.server_id, request_id)
        return True

    def _release_results(self, handles: tuple[str, ...], now: float) -> None:
        for handle in handles:
            for pool in self._stage_pools_by_service.values():
                address = pool.start_release(handle, now)
                if address is not None:
                    pending = self._pending_releases_by_address.setdefault(
                        address, _PendingRelease(now)
                    )
                    pending.handles.append(handle)
                    break

    def confirm_release(self, handles: tuple[str, ...], now: float) -> None:
        """Free the memory counted for released results.

        Called when the release call has ended, whether it succeeded or failed.
        """
        for handle in handles:
            for pool in self._stage_pools_by_service.values():
                pool.confirm_release(handle)
        self._start_calls(now)

    def _flush_releases(self, now: float) -> None:
        """Send the pending releases that are due.

        Those at servers at their limit, and recent ones at servers that have room for
        another call, stay pending.
        """
        for address, pending in list(self._pending_releases_by_address.items()):
            is_recent = now - pending.since < _MAX_RELEASE_DELAY_S
            if is_recent and self._has_room_for_call(address):
                continue
            server_id = self._find_stage_server(address)
            wait_s = max(
                self._pacer.wait_s(server_id, now), self._rests.wait_s(server_id, now)
            )
            if wait_s > 0:
                continue
            self._pacer.record_request(server_id, now)
            self._rests.record_send(server_id, now)
            entry = self._entries_by_id.get(server_id)
            self._actions.append(
                ResultsRelease(
                    address,
                    tuple(pending.handles),
                    server_id,
                    entry.announcement.incarnation_ms if entry is not None else None,
                )
            )
            del self._pending_releases_by_address[address]

    def _has_room_for_call(self, address: str) -> bool:
        """Return whether the stage server at an address has room for a full call."""
        return any(
            pool.has_room_for_call(address)
            for pool in self._stage_pools_by_service.values()
        )

    def _find_stage_server(self, address: str) -> str:
        """Return the id of the stage server at an address; empty if unknown."""
        for pool in self._stage_pools_by_service.values():
            server_id = pool.find_server_id(address)
            if server_id is not None:
                return server_id
        return ""
