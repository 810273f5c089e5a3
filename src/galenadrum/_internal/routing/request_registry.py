"""Registry of the open requests and the backlog of each stage."""

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
    """State of one request on this entry host.

    Attributes:
        cost_by_stage_index: Expected service time in seconds of the stages that
            are not dispatched yet, as counted in the backlogs.
        in_flight: Server ids by key of the calls in flight.
        queued: Keys of the calls that wait for a server.
        may_have_run: True once an attempt ended that may have run.
        has_run: True once an attempt ended that certainly ran.
        dispatch_count: Number of calls dispatched to a server or another zone.
        not_run_count: Number of dispatched calls that certainly did not run.
        ended: True once the request ended; the record stays while a call is in
            flight.
    """

    request: Request
    cost_by_stage_index: dict[int, float]
    in_flight: dict[CallKey, str] = field(default_factory=dict)
    queued: set[CallKey] = field(default_factory=set)
    may_have_run: bool = False
    has_run: bool = False
    dispatch_count: int = 0
    not_run_count: int = 0
    ended: bool = False

    @property
    def run_state(self) -> RunState:
        """Run state that a refusal at this instant reports."""
        if self.has_run:
            return RunState.RUN
        if self.may_have_run or self.in_flight:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


class RequestRegistry:
    """Open requests by id, and the backlog of each stage."""

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
        """Return the record of a request, or None if it is not open."""
        return self._records_by_id.get(request_id)

    def require_record(self, request_id: str) -> RequestRecord:
        """Return the record of a request.

        Raises:
            InvariantError: The request is not open.
        """
        record = self._records_by_id.get(request_id)
        if record is None:
            raise InvariantError(f"request {request_id} is not open")
        return record

    def open(self, request: Request, costs: dict[int, float]) -> RequestRecord:
        """Record an admitted request and add its stages to the backlogs.

        Raises:
            InvariantError: The request is already open.
        """
        if request.request_id in self._records_by_id:
            raise InvariantError(f"request {request.request_id} is already open")
        record = RequestRecord(request, costs)
        self._records_by_id[request.request_id] = record
        for index, cost_s in costs.items():
            backlog = self.backlog(request.stages[index])
            backlog.add(request.organisation, request.weight, cost_s)
        return record

    def record_submission(self, record: RequestRecord, key: CallKey) -> None:
        """Record that a call waits for a server."""
        if record.ended:
            raise InvariantError(f"call {key} was submitted after its request ended")
        if key in record.queued or key in record.in_flight:
            raise InvariantError(
                f"call {key} was submitted again while queued or in flight"
            )
        record.queued.add(key)

    def dequeue(self, record: RequestRecord, key: CallKey) -> None:
        """Record that a call no longer waits."""
        if key not in record.queued:
            raise InvariantError(
                f"call {key} is not queued; it may be decided on only once"
            )
        record.queued.discard(key)

    def record_dispatch(
        self, record: RequestRecord, call: StageCall, server_id: str
    ) -> None:
        """Record that a call was dispatched to a server."""
        self.dequeue(record, call.key)
        record.in_flight[call.key] = server_id
        record.dispatch_count += 1
        self._remove_backlog_cost(record, call.stage_index)

    def record_call_end(
        self, call: StageCall, server_id: str, outcome: Outcome
    ) -> None:
        """Record the outcome of a dispatched call."""
        record = self.require_record(call.request.request_id)
        if record.in_flight.pop(call.key, None) != server_id:
            raise InvariantError(
                f"call {call.key} is not in flight on server {server_id}"
            )
        if outcome in (Outcome.COMPLETED, Outcome.FAILED):
            record.has_run = True
        elif outcome is Outcome.NOT_RUN:
            record.not_run_count += 1
        else:
            record.may_have_run = True
        if record.ended and not record.in_flight:
            del self._records_by_id[call.request.request_id]

    def close(self, record: RequestRecord) -> None:
        """End a request; its record is removed once no call is in flight."""
        if record.queued:
            raise InvariantError(
                f"request {record.request.request_id} ended with calls still queued"
            )
        for index in tuple(record.cost_by_stage_index):
            self._remove_backlog_cost(record, index)
        record.ended = True
        if not record.in_flight:
            del self._records_by_id[record.request.request_id]

    def _remove_backlog_cost(self, record: RequestRecord, stage_index: int) -> None:
        cost_s = record.cost_by_stage_index.pop(stage_index, None)
        if cost_s is not None:
            request = record.request
            backlog = self.backlog(request.stages[stage_index])
            backlog.remove(request.organisation, cost_s)
