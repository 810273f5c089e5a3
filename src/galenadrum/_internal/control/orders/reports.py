"""What zones report of their engines, as the leader keeps it."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.control.orders.messages import (
    EngineContents,
    EnginesReported,
    ReportedEngine,
)
from galenadrum._internal.control.proposals import Log
from galenadrum._internal.network.leader_redirect import redirect_error
from galenadrum._internal.protocol.engines_grpc import EnginesBase
from galenadrum._internal.protocol.engines_pb2 import (
    EngineRecord,
    EngineReport,
    EngineReportResponse,
)

_MAX_ZONES = 256
_MAX_ENGINES = 5_000


class EngineReportsService(EnginesBase):
    """Takes the reports of zones while this member leads.

    Args:
        log: Tells whether this member leads.
        take: Called with the engines of a zone at each report.
    """

    def __init__(self, log: Log, take: Callable[[EnginesReported], None]) -> None:
        self._log = log
        self._take = take
        self._last_by_zone: dict[str, EngineReport] = {}

    async def Report(  # noqa: N802
        self, stream: Stream[EngineReport, EngineReportResponse]
    ) -> None:
        """Answer a report; ask for the records when they are not known."""
        report = await stream.recv_message()
        if report is None:
            return
        if not self._log.is_leader:
            raise redirect_error(self._log.leader_address)
        await stream.send_message(self.take(report))

    def take(self, report: EngineReport) -> EngineReportResponse:
        """Take a report.

        Raises:
            GRPCError: The report is too large.
        """
        if report.full:
            self._remember(report)
        known = self._last_by_zone.get(report.zone)
        if known is None or known.digest != report.digest:
            return EngineReportResponse(wants_full=True)
        loads = list(report.loads)
        loads += [0] * (len(known.engines) - len(loads))
        engines = tuple(
            _engine_of(record, report.zone, load)
            for record, load in zip(known.engines, loads, strict=False)
        )
        self._take(EnginesReported(report.zone, engines))
        return EngineReportResponse()

    def _remember(self, report: EngineReport) -> None:
        is_new = report.zone not in self._last_by_zone
        if is_new and len(self._last_by_zone) >= _MAX_ZONES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"over {_MAX_ZONES} zones")
        if len(report.engines) > _MAX_ENGINES:
            raise GRPCError(Status.INVALID_ARGUMENT, f"over {_MAX_ENGINES} engines")
        self._last_by_zone[report.zone] = report


def _engine_of(record: EngineRecord, zone: str, load: int) -> ReportedEngine:
    return ReportedEngine(
        engine_id=record.engine_id,
        address=record.address,
        zone=zone,
        stages=tuple(record.stages),
        contents=EngineContents(
            versions_by_model={row.model: row.version for row in record.models},
            adapters=frozenset(record.adapters),
            role=record.role,
        ),
        checks_fencing=record.checks_fencing
        if record.HasField("checks_fencing")
        else None,
        load=load,
    )
