"""gRPC service by which the leader receives the engine reports of zones."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from galenadrum._internal.control.orders.events import (
    EngineContents,
    EnginesReported,
    ReportedEngine,
)
from galenadrum._internal.control.proposer import Log
from galenadrum._internal.network.leader_redirect import build_redirect_error
from galenadrum._internal.protocol.engines_grpc import EnginesBase
from galenadrum._internal.protocol.engines_pb2 import (
    EngineRecord,
    EngineReport,
    EngineReportResponse,
)

_MAX_ZONES = 256
_MAX_ENGINES_PER_ZONE = 5_000


class EngineReportsService(EnginesBase):
    """Receives the reports of zones while this member leads.

    Each report holds the loads of the zone's engines and a digest of their records;
    only a full report, which the response requests, holds the records themselves.

    Args:
        log: The replicated log, which knows the current leader.
        on_report: Called with the engines of the zone at each report.
    """

    def __init__(self, log: Log, on_report: Callable[[EnginesReported], None]) -> None:
        self._log = log
        self._on_report = on_report
        self._last_by_zone: dict[str, EngineReport] = {}

    async def Report(  # noqa: N802
        self, stream: Stream[EngineReport, EngineReportResponse]
    ) -> None:
        """Handle the Report call.

        Raises:
            GRPCError: This member doesn't lead, or the report is too large.
        """
        report = await stream.recv_message()
        if report is None:
            return
        if not self._log.is_leader:
            raise build_redirect_error(self._log.leader_address)
        await stream.send_message(self.handle_report(report))

    def handle_report(self, report: EngineReport) -> EngineReportResponse:
        """Handle a report; request the full records if their digest is unknown.

        Raises:
            GRPCError: The report is too large.
        """
        if report.full:
            self._store_report(report)
        stored = self._last_by_zone.get(report.zone)
        if stored is None or stored.digest != report.digest:
            return EngineReportResponse(wants_full=True)
        loads = list(report.loads)
        loads += [0] * (len(stored.engines) - len(loads))
        engines = tuple(
            _build_engine(record, report.zone, load)
            for record, load in zip(stored.engines, loads, strict=False)
        )
        self._on_report(EnginesReported(report.zone, engines))
        return EngineReportResponse()

    def _store_report(self, report: EngineReport) -> None:
        is_new = report.zone not in self._last_by_zone
        if is_new and len(self._last_by_zone) >= _MAX_ZONES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"over {_MAX_ZONES} zones")
        if len(report.engines) > _MAX_ENGINES_PER_ZONE:
            raise GRPCError(
                Status.INVALID_ARGUMENT, f"over {_MAX_ENGINES_PER_ZONE} engines"
            )
        self._last_by_zone[report.zone] = report


def _build_engine(record: EngineRecord, zone: str, load: int) -> ReportedEngine:
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
