"""Takes requests through their stages to a model engine; no input or output.

Events go in with the loop's time, actions come out of `collect_actions`. A request is
refused at once when it can't be served before its caller gives up.
"""

from __future__ import annotations

import itertools
import logging
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.admission import (
    Forecast,
    due_time,
    fallback_due_time,
    forecast_first_event,
)
from galenadrum._internal.dispatch.engine_pool import EngineDemand, EnginePool
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
from galenadrum._internal.dispatch.stage_graph import StageGraph
from galenadrum._internal.dispatch.stage_pool import (
    RunningCall,
    StagePool,
    WaitingPiece,
)
from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.routing import Service

logger = logging.getLogger(__name__)

# How often the results of a request may be lost before it is refused.
_MAX_REMAKES = 2
# Calls that may fail for one piece before its request is refused.
_MAX_PIECE_FAILURES = 4
# A stage call may take this long beyond the time at which it is overdue.
_CALL_TIMEOUT_S = 5.0
# A request that has no engine this long before its caller leaves gets none that
# would answer in time.
_LAST_CHANCE_S = 0.25
# Releases of results are gathered over this time, in seconds: a call to a server
# costs half a millisecond of processor time, and each request frees results at five.
_RELEASE_INTERVAL_S = 0.06


@dataclass(slots=True)
class _Work:
    """A request in the dispatcher.

    Attributes:
        server_id: Where it is placed; empty while it isn't.
        excluded: Engines that rejected it.
        made_after_s: Stages in the order in which they were made, and when.
        upcoming: Pieces by stage that are not due yet.
    """

    request: PlacementRequest
    graph: StageGraph
    submitted_at: float
    server_id: str = ""
    excluded: set[str] = field(default_factory=set)
    remakes: int = 0
    made_after_s: list[tuple[int, float]] = field(default_factory=list)
    upcoming: dict[int, int] = field(default_factory=dict)


class ZoneDispatcher:
    """Decides for the requests of one zone or of all.

    Args:
        zone: Whose servers it owns; empty where it owns all.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._services_by_name: Mapping[str, Service] = {}
        self._stage_pools_by_service: dict[str, StagePool] = {}
        self._engine_pools_by_service: dict[str, EnginePool] = {}
        self._work_by_request: dict[str, _Work] = {}
        self._unplaced: list[str] = []
        self._entries_by_id: dict[str, ServerEntry] = {}
        self._call_ids = itertools.count(1)
        self._actions: list[Action] = []
        self._released: dict[str, list[str]] = defaultdict(list)
        self._flushed_at = float("-inf")

    @property
    def request_count(self) -> int:
        """Requests that were taken and have not ended."""
        return len(self._work_by_request)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left that time calls for."""
        return not self._work_by_request and not self._released

    @property
    def waiting_piece_count(self) -> int:
        """Pieces that wait for a call."""
        return sum(p.waiting_count for p in self._stage_pools_by_service.values())

    def configure(self, services_by_name: Mapping[str, Service]) -> None:
        """Use the services of a newer configuration."""
        if services_by_name is self._services_by_name:
            return
        self._services_by_name = services_by_name
        for name, pool in list(self._stage_pools_by_service.items()):
            service = services_by_name.get(name)
            if service is not None and service.stage is not None:
                pool.limits = service.stage
        for entry in self._entries_by_id.values():
            self._route_entry(entry)

    def put_server(self, entry: ServerEntry) -> None:
        """Take what is known of a server."""
        self._entries_by_id[entry.server_id] = entry
        self._route_entry(entry)

    def _route_entry(self, entry: ServerEntry) -> None:
        announcement = entry.announcement
        pools = [*self._stage_pools_by_service.values()]
        pools += [*self._engine_pools_by_service.values()]
        for pool in pools:
            if pool.service != announcement.service or not entry.takes_work:
                pool.remove_server(announcement.server_id)
        if not entry.takes_work:
            return
        service = self._services_by_name.get(announcement.service)
        if service is None:
            return
        if service.stage is not None:
            pool = self._stage_pool(service)
            pool.put_server(announcement, entry.is_silent)
        else:
            engines = self._engine_pool(service)
            engines.put_server(announcement, entry.is_silent, entry.warm_until)

    def _stage_pool(self, service: Service) -> StagePool:
        pool = self._stage_pools_by_service.get(service.name)
        if pool is None:
            pool = StagePool(service.name, self.zone, service.stage)
            self._stage_pools_by_service[service.name] = pool
        return pool

    def _engine_pool(self, service: Service) -> EnginePool:
        pool = self._engine_pools_by_service.get(service.name)
        if pool is None:
            pool = EnginePool(service.name, self.zone, service.engine)
            self._engine_pools_by_service[service.name] = pool
        return pool

    def submit(self, request: PlacementRequest, now: float) -> None:
        """Take a request, or refuse it at once."""
        graph = StageGraph(request.route.stages, request.pieces)
        self._restore_results(graph, request.results, now)
        expected = self._forecast(request, graph, now)
        if now + expected.first_event_s > due_time(request):
            self._release(graph.unreleased_handles(), now)
            self._refuse(request, expected, expected.reason, now)
            return
        work = _Work(request, graph, now)
        self._work_by_request[request.request_id] = work
        stages = (s for s in range(len(graph.stages)) if not graph.is_stage_complete(s))
        self._count_upcoming(work, stages)
        logger.debug(
            "took request %s: first event expected in %.3f s, due in %.3f s",
            request.request_id,
            expected.first_event_s,
            request.objective_at - now,
        )
        self._advance(work, now)

    def _restore_results(
        self, graph: StageGraph, known: tuple[StageResults, ...], now: float
    ) -> None:
        """Take over results that were made through a dispatcher that is lost."""
        expires_at_by_stage = {}
        for results in known:
            if results.expires_at > now:
                graph.restore_results(results.stage, results.handles)
                expires_at_by_stage[results.stage] = results.expires_at
        # What a later stage has taken in was released by the other dispatcher.
        graph.release_consumed_results()
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

    def _forecast(
        self, request: PlacementRequest, graph: StageGraph, now: float
    ) -> Forecast:
        """Return when the request's first event should come."""
        return forecast_first_event(
            request,
            graph.missing,
            self._stage_pools_by_service,
            self._engine_pools_by_service.get(request.service),
            now,
        )

    def abandon(self, request_id: str) -> None:
        """Drop a request whose host is out of reach.

        Its results stay until they expire: the host may have told another
        dispatcher of them.
        """
        work = self._work_by_request.get(request_id)
        if work is not None:
            self._forget(work)

    def report(
        self, request_id: str, server_id: str, outcome: PlacementOutcome, now: float
    ) -> None:
        """Learn what became of a placement."""
        work = self._work_by_request.get(request_id)
        if work is None:
            return
        pool = self._engine_pools_by_service.get(work.request.service)
        if outcome is PlacementOutcome.STARTED:
            if pool is not None:
                pool.record_start(server_id, request_id, now)
            self._release(work.graph.unreleased_handles(), now)
            return
        if outcome in (PlacementOutcome.FINISHED, PlacementOutcome.CANCELLED):
            self._end(work, now)
        elif outcome is PlacementOutcome.FAILED:
            if pool is not None:
                pool.record_failure(server_id, request_id, now)
            self._end(work, now)
        else:
            self._place_again(work, pool, server_id, outcome, now)
        self._place_waiting(now)

    def _place_again(
        self,
        work: _Work,
        pool: EnginePool | None,
        server_id: str,
        outcome: PlacementOutcome,
        now: float,
    ) -> None:
        request_id = work.request.request_id
        work.server_id = ""
        if outcome is PlacementOutcome.INPUTS_GONE:
            if pool is not None:
                pool.record_end(server_id, request_id)
            self._remake(work, work.graph.discard_final_results(), now)
            return
        if pool is not None:
            pool.record_failure(server_id, request_id, now)
        work.excluded.add(server_id)
        self._advance(work, now)

    def complete_stage_call(
        self, service: str, call_id: int, results: tuple[PieceResult, ...], now: float
    ) -> None:
        """Take the answer to a stage call."""
        pool = self._stage_pools_by_service.get(service)
        call = pool.end_call(call_id, now) if pool else None
        if call is None:
            return
        self._log_failures(pool, call, results, now)
        # All results count before any of them lets another call start.
        expires_at = now + pool.limits.result_ttl_s
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle:
                pool.record_result(result.handle, piece.result_bytes, expires_at)
        for piece, result in zip(call.pieces, results, strict=True):
            self._take_result(pool, call, piece, result, now)
        if any(result.failure is PieceFailure.NO_ROOM for result in results):
            pool.record_full_memory(call.server_id, now)
        self._advance_all(dict.fromkeys(p.request_id for p in call.pieces), now)
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
                "call %d to %s: %d pieces made, others %s; %s",
                call.call_id,
                call.server_id,
                len(results) - counts.total(),
                dict(counts),
                pool.describe_memory(call.server_id, now),
            )

    def _take_result(
        self,
        pool: StagePool,
        call: RunningCall,
        piece: WaitingPiece,
        result: PieceResult,
        now: float,
    ) -> None:
        work = self._work_by_request.get(piece.request_id)
        is_needed = work is not None and not work.graph.has_result(
            piece.stage, piece.number
        )
        if result.handle:
            if is_needed:
                self._record(work, pool, call, piece, result.handle, now)
            else:
                self._release((result.handle,), now)
        elif is_needed and not call.is_overdue:
            self._take_failure(work, pool, piece, result.failure, now)

    def _record(
        self,
        work: _Work,
        pool: StagePool,
        call: RunningCall,
        piece: WaitingPiece,
        handle: str,
        now: float,
    ) -> None:
        work.graph.record_result(piece.stage, piece.number, handle)
        if work.graph.is_stage_complete(piece.stage):
            work.made_after_s.append((piece.stage, now - work.submitted_at))
        if work.graph.is_stage_complete(piece.stage) and not work.graph.is_complete:
            # The results of the last stages go with the placement.
            handles = work.graph.stage_handles(piece.stage)
            results = StageResults(piece.stage, handles, pool.earliest_expiry(handles))
            self._actions.append(StageProgress(piece.request_id, results))
        if call.is_overdue:
            pool.remove_piece(piece.request_id, piece.stage, piece.number)

    def _take_failure(
        self,
        work: _Work,
        pool: StagePool,
        piece: WaitingPiece,
        failure: PieceFailure | None,
        now: float,
    ) -> None:
        if failure is PieceFailure.LATE:
            self._refuse_work(work, "stage_late", now)
        elif failure is PieceFailure.NO_ROOM:
            self._requeue(work, pool, piece)
        elif failure is PieceFailure.INPUT_GONE:
            work.graph.reset_request(piece.stage, piece.number)
            # Other pieces of the call may have said so already.
            if work.graph.inputs_are_complete(piece.stage):
                self._remake(work, work.graph.discard_inputs(piece.stage), now)
        else:
            self._retry_piece(work, pool, piece, now)

    def _retry_piece(
        self, work: _Work, pool: StagePool, piece: WaitingPiece, now: float
    ) -> None:
        piece.failures += 1
        if piece.failures >= _MAX_PIECE_FAILURES:
            self._refuse_work(work, "stage_failed", now)
        else:
            self._requeue(work, pool, piece)

    def _requeue(self, work: _Work, pool: StagePool, piece: WaitingPiece) -> None:
        """Queue a piece again, unless it was made or has lost its inputs meanwhile."""
        if work.graph.has_result(piece.stage, piece.number):
            return
        if work.graph.inputs_are_complete(piece.stage):
            pool.queue_piece(piece)
        else:
            work.graph.reset_request(piece.stage, piece.number)

    def _remake(self, work: _Work, discarded: tuple[str, ...], now: float) -> None:
        self._release(discarded, now)
        work.remakes += 1
        request_id = work.request.request_id
        for pool in self._stage_pools_by_service.values():
            for piece in pool.remove_unready_pieces(
                request_id, work.graph.inputs_are_complete
            ):
                work.graph.reset_request(piece.stage, piece.number)
        if work.remakes > _MAX_REMAKES:
            self._refuse_work(work, "results_lost", now)
        else:
            self._advance(work, now)

    def fail_stage_call(
        self, service: str, call_id: int, failure: CallFailure, now: float
    ) -> None:
        """Take that a stage call brought no results."""
        pool = self._stage_pools_by_service.get(service)
        call = pool.fail_call(call_id, now) if pool else None
        if call is None:
            return
        if failure is CallFailure.MISDIRECTED:
            pool.remove_server(call.server_id)
        if not call.is_overdue:
            for piece in call.pieces:
                work = self._work_by_request.get(piece.request_id)
                if work is not None:
                    if failure is CallFailure.FULL:
                        self._requeue(work, pool, piece)
                    else:
                        self._retry_piece(work, pool, piece, now)
        self._start_calls(now)

    def tick(self, now: float) -> None:
        """Do what time calls for; due every 50 ms or so."""
        for pool in self._stage_pools_by_service.values():
            for call in pool.mark_overdue_calls(now):
                self._requeue_overdue(pool, call, now)
        self._refuse_expired(now)
        self._start_calls(now)
        self._place_waiting(now)
        if now - self._flushed_at >= _RELEASE_INTERVAL_S:
            self._flushed_at = now
            self._flush_releases()

    def _requeue_overdue(self, pool: StagePool, call: RunningCall, now: float) -> None:
        logger.info(
            "call %d to %s is overdue after %.3f s; its %d pieces are made elsewhere",
            call.call_id,
            call.server_id,
            now - call.started_at,
            len(call.pieces),
        )
        for piece in call.pieces:
            work = self._work_by_request.get(piece.request_id)
            if work is not None and not work.graph.has_result(
                piece.stage, piece.number
            ):
                self._retry_piece(work, pool, piece, now)

    def _refuse_expired(self, now: float) -> None:
        """Refuse what can't be served any more, without waiting for its end."""
        for work in list(self._work_by_request.values()):
            if work.server_id:
                continue
            if now + _LAST_CHANCE_S >= work.request.give_up_at:
                self._refuse_work(work, "deadline", now)

    def collect_actions(self) -> tuple[Action, ...]:
        """Return the actions that the events so far call for, in order."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _advance_all(self, request_ids: Iterable[str], now: float) -> None:
        for request_id in request_ids:
            work = self._work_by_request.get(request_id)
            if work is not None:
                self._release(work.graph.release_consumed_results(), now)
                self._advance(work, now)

    def _advance(self, work: _Work, now: float) -> None:
        """Queue what has become due, or place the request."""
        if work.server_id or work.request.request_id not in self._work_by_request:
            return
        if work.graph.is_complete:
            if work.request.request_id not in self._unplaced:
                self._unplaced.append(work.request.request_id)
            self._place_waiting(now)
            return
        numbers_by_stage: dict[int, list[int]] = defaultdict(list)
        for stage, number in work.graph.request_due_pieces():
            numbers_by_stage[stage].append(number)
        self._discount_upcoming(work, numbers_by_stage)
        for stage, numbers in numbers_by_stage.items():
            service = work.request.route.stages[stage].service
            pool = self._stage_pools_by_service.get(service)
            if pool is None:
                self._refuse_work(work, "no_server", now)
                return
            for piece in self._waiting_pieces(work, stage, numbers):
                pool.queue_piece(piece)
        self._start_calls(now)

    def _count_upcoming(self, work: _Work, stages: Iterable[int]) -> None:
        """Count pieces that will be due later, for forecasts."""
        for stage in stages:
            pool = self._stage_pools_by_service.get(work.graph.stages[stage].service)
            if pool is not None and stage not in work.upcoming:
                work.upcoming[stage] = work.graph.pieces[stage]
                pool.upcoming += work.graph.pieces[stage]

    def _discount_upcoming(self, work: _Work, stages: Iterable[int]) -> None:
        for stage in stages:
            pool = self._stage_pools_by_service.get(work.graph.stages[stage].service)
            if pool is not None:
                pool.upcoming -= work.upcoming.pop(stage, 0)

    def _waiting_pieces(
        self, work: _Work, stage: int, numbers: list[int]
    ) -> list[WaitingPiece]:
        request = work.request
        spec = request.route.stages[stage]
        zone, input_bytes = self._place_of_inputs(
            work, work.graph.input_handles(stage), spec.after
        )
        remaining_s = self._remaining_s(work, stage)
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
                # Each piece fetches all inputs for itself.
                input_bytes * work.graph.pieces[stage],
                fallback_due_at=fallback_due_time(request),
            )
            for number in numbers
        ]

    def _remaining_s(self, work: _Work, stage: int) -> float:
        """Return the time from a stage's call to the first event, at best."""
        request = work.request
        remaining_s = 0.0
        frontier = {stage}
        while frontier:
            longest_s = 0.0
            for index in frontier:
                pool = self._stage_pools_by_service.get(
                    request.route.stages[index].service
                )
                if pool is not None:
                    pieces = min(work.graph.pieces[index], pool.limits.batch_size)
                    longest_s = max(longest_s, pool.call_time(pieces))
            remaining_s += longest_s
            frontier = {
                i
                for i, spec in enumerate(request.route.stages)
                if frontier & set(spec.after) and work.graph.pieces[i]
            }
        pool = self._engine_pools_by_service.get(request.service)
        if pool is not None:
            remaining_s += pool.overhead_s
            remaining_s += request.prompt_tokens / pool.prefill_tokens_per_s
        return remaining_s

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
                        tuple(self._stage_piece(piece, now) for piece in pieces),
                        timeout_s,
                    )
                )

    def _stage_piece(self, piece: WaitingPiece, now: float) -> StagePiece:
        work = self._work_by_request[piece.request_id]
        if not work.graph.inputs_are_available(piece.stage):
            raise InvariantError(f"{piece} is queued without its inputs")
        return StagePiece(
            piece.request_id,
            piece.stage,
            piece.number,
            work.request.piece_key,
            work.graph.input_handles(piece.stage),
            work.request.give_up_at - now,
        )

    def _place_waiting(self, now: float) -> None:
        """Place requests whose stages are made, the most urgent first."""
        if not self._unplaced:
            return
        ready = [
            work
            for request_id in self._unplaced
            if (work := self._work_by_request.get(request_id)) is not None
        ]
        ready.sort(key=lambda w: (w.request.priority, due_time(w.request)))
        self._unplaced = [
            work.request.request_id for work in ready if not self._try_place(work, now)
        ]

    def _try_place(self, work: _Work, now: float) -> bool:
        request = work.request
        pool = self._engine_pools_by_service.get(request.service)
        if pool is None:
            return False
        zone, input_bytes = self._place_of_inputs(
            work, work.graph.final_handles(), work.graph.final_stages()
        )
        demand = EngineDemand(request.prompt, request.prompt_tokens, zone, input_bytes)
        engine = pool.choose_engine(demand, frozenset(work.excluded), now)
        if engine is None:
            return False
        pool.place(engine, request.request_id, demand, now)
        work.server_id = engine.announcement.server_id
        logger.info(
            "placed at %s after %.3f s (objective in %.3f s, stages made: %s)",
            work.server_id,
            now - work.submitted_at,
            request.objective_at - now,
            " ".join(f"{stage}@{at:.3f}" for stage, at in work.made_after_s),
            extra={"request_id": request.request_id},
        )
        self._actions.append(
            Placement(
                request.request_id,
                work.server_id,
                engine.announcement.address,
                work.graph.final_handles(),
            )
        )
        return True

    def _place_of_inputs(
        self, work: _Work, handles: tuple[str, ...], stages: tuple[int, ...]
    ) -> tuple[str, float]:
        """Return the zone that holds most of a request's results, and their size."""
        counts: dict[str, int] = defaultdict(int)
        for handle in handles:
            for pool in self._stage_pools_by_service.values():
                zone = pool.zone_of_result(handle)
                if zone is not None:
                    counts[zone] += 1
                    break
        if not counts:
            return work.request.zone, 0.0
        size = sum(
            work.graph.pieces[i] * work.graph.stages[i].result_bytes for i in stages
        )
        return max(counts, key=counts.__getitem__), size

    def _refuse_work(self, work: _Work, reason: str, now: float) -> None:
        if work.request.request_id not in self._work_by_request:
            return
        expected = self._forecast(work.request, work.graph, now)
        self._end(work, now)
        self._refuse(work.request, expected, reason, now)

    def _refuse(
        self, request: PlacementRequest, expected: Forecast, reason: str, now: float
    ) -> None:
        logger.info(
            "refused: %s, come back in %.3f s (first event forecast in %.3f s, due in "
            "%.3f s, pieces waiting: %d)",
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

    def _end(self, work: _Work, now: float) -> None:
        if self._forget(work):
            self._release(work.graph.unreleased_handles(), now)

    def _forget(self, work: _Work) -> bool:
        """Forget a request; returns whether it was known."""
        request_id = work.request.request_id
        if self._work_by_request.pop(request_id, None) is None:
            return False
        if request_id in self._unplaced:
            self._unplaced.remove(request_id)
        self._discount_upcoming(work, tuple(work.upcoming))
        for pool in self._stage_pools_by_service.values():
            pool.remove_request(request_id)
        pool = self._engine_pools_by_service.get(work.request.service)
        if pool is not None and work.server_id:
            pool.record_end(work.server_id, request_id)
        return True

    def _release(self, handles: tuple[str, ...], now: float) -> None:
        for handle in handles:
            for pool in self._stage_pools_by_service.values():
                address = pool.start_release(handle, now)
                if address is not None:
                    self._released[address].append(handle)
                    break

    def confirm_release(self, handles: tuple[str, ...], now: float) -> None:
        """Note that a server has heard of released results, or can't."""
        for handle in handles:
            for pool in self._stage_pools_by_service.values():
                pool.confirm_release(handle)
        self._start_calls(now)

    def _flush_releases(self) -> None:
        for address, handles in self._released.items():
            self._actions.append(ResultsRelease(address, tuple(handles)))
        self._released.clear()
