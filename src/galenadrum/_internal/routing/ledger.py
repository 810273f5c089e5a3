"""The requests that the policy knows of, and the work they still wait for."""

from __future__ import annotations

from dataclasses import dataclass, field

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import (
    Outcome,
    Request,
    RunState,
    StageCall,
)
from galenadrum._internal.routing.admission import Backlog
from galenadrum._internal.routing.counters import CallKey


@dataclass(slots=True)
class RequestRecord:
    """One request on this entry host.

    Attributes:
        cost_by_stage_index: Expected service seconds of the stages that were
            not dispatched yet, as counted in the backlogs.
        in_flight: Server by key of the dispatched calls.
        may_have_run: Whether an attempt ended other than as certainly not run.
        has_run: Whether an attempt certainly ran.
        dispatches: Calls that were given to a server or another zone.
        not_run_ends: Those of them that certainly did not run.
        ended: Whether the request ended while a call was still in flight.
    """

    request: Request
    cost_by_stage_index: dict[int, float]
    in_flight: dict[CallKey, str] = field(default_factory=dict)
    queued: set[CallKey] = field(default_factory=set)
    may_have_run: bool = False
    has_run: bool = False
    dispatches: int = 0
    not_run_ends: int = 0
    ended: bool = False

    @property
    def run_state(self) -> RunState:
        """What a refusal says of the request's work at this instant."""
        if self.has_run:
            return RunState.RUN
        if self.may_have_run or self.in_flight:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


class RequestLedger:
    """Requests by id, and the backlog of each stage."""

    def __init__(self) -> None:
        self._records_by_id: dict[str, RequestRecord] = {}
        self._backlogs_by_stage: dict[str, Backlog] = {}

    def __len__(self) -> int:
        return len(self._records_by_id)

    def backlog(self, stage: str) -> Backlog:
        """Return the backlog of a stage."""
        backlog = self._backlogs_by_stage.get(stage)
        if backlog is None:
            backlog = self._backlogs_by_stage[stage] = Backlog()
        return backlog

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, if it is known."""
        return self._records_by_id.get(request_id)

    def require(self, request_id: str) -> RequestRecord:
        """Return the record of a request that must be known."""
        record = self._records_by_id.get(request_id)
        if record is None:
            raise InvariantError(f"request {request_id} is not known")
        return record

    def open(self, request: Request, costs: dict[int, float]) -> RequestRecord:
        """Record a request and add its stages to the backlogs."""
        if request.request_id in self._records_by_id:
            raise InvariantError(f"request {request.request_id} was opened twice")
        record = RequestRecord(request, costs)
        self._records_by_id[request.request_id] = record
        for index, cost_s in costs.items():
            backlog = self.backlog(request.stages[index])
            backlog.add(request.organisation, request.weight, cost_s)
        return record

    def queue(self, record: RequestRecord, key: CallKey) -> None:
        """Record that a call waits for a server."""
        if record.ended:
            raise InvariantError(f"call {key} was submitted after its request ended")
        if key in record.queued or key in record.in_flight:
            raise InvariantError(f"call {key} was submitted twice")
        record.queued.add(key)

    def dequeue(self, record: RequestRecord, key: CallKey) -> None:
        """Record that a call does not wait any more."""
        if key not in record.queued:
            raise InvariantError(f"call {key} was decided twice")
        record.queued.discard(key)

    def dispatch(self, record: RequestRecord, call: StageCall, server_id: str) -> None:
        """Record that a call was given to a server."""
        self.dequeue(record, call.key)
        record.in_flight[call.key] = server_id
        record.dispatches += 1
        self._drop_cost(record, call.stage_index)

    def end_call(self, call: StageCall, server_id: str, outcome: Outcome) -> None:
        """Record how a dispatched call ended."""
        record = self.require(call.request.request_id)
        if record.in_flight.pop(call.key, None) != server_id:
            raise InvariantError(f"call {call.key} was not in flight on {server_id}")
        if outcome in (Outcome.COMPLETED, Outcome.FAILED):
            record.has_run = True
        elif outcome is Outcome.NOT_RUN:
            record.not_run_ends += 1
        else:
            record.may_have_run = True
        if record.ended and not record.in_flight:
            del self._records_by_id[call.request.request_id]

    def close(self, record: RequestRecord) -> None:
        """End a request; it is dropped once no call is in flight any more."""
        if record.queued:
            raise InvariantError(
                f"request {record.request.request_id} ended with calls waiting"
            )
        for index in tuple(record.cost_by_stage_index):
            self._drop_cost(record, index)
        record.ended = True
        if not record.in_flight:
            del self._records_by_id[record.request.request_id]

    def _drop_cost(self, record: RequestRecord, stage_index: int) -> None:
        cost_s = record.cost_by_stage_index.pop(stage_index, None)
        if cost_s is not None:
            request = record.request
            backlog = self.backlog(request.stages[stage_index])
            backlog.remove(request.organisation, cost_s)
