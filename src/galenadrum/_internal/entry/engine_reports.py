"""Reports of a zone's engines to the leader of the control hosts."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from galenadrum._internal.entry.control_client import ControlClient
from galenadrum._internal.exceptions import (
    ControlUnreachableError,
    OutcomeUnknownError,
)
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.protocol.engines_grpc import EnginesStub
from galenadrum._internal.protocol.engines_pb2 import (
    EngineRecord,
    EngineReport,
    LoadedModel,
)

logger = logging.getLogger(__name__)

_REPORT_INTERVAL_S = 4.0
_REPORT_TIMEOUT_S = 2.0
_DIGEST_BYTES = 8
_MAX_LOAD = 2**32 - 1


class EngineReporter:
    """Reports a zone's engines while this host is the zone's reporter.

    The reporter is one host of the zone, preferably one that follows control.
    The engine records are sent only when they changed or the leader doesn't
    know them; otherwise a report holds their digest and the load of each
    engine.

    Args:
        zone: The availability zone.
        client: Calls the leader.
        is_reporter: Returns whether this host reports for its zone.
        servers: Returns the zone's backend servers.
        stages: Returns the declared stages by name.
        rng: Draws the jitter of the interval between reports.
    """

    def __init__(
        self,
        zone: str,
        client: ControlClient,
        is_reporter: Callable[[], bool],
        servers: Callable[[], Iterable[Announcement]],
        stages: Callable[[], Mapping[str, StageSpec]],
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._client = client
        self._is_reporter = is_reporter
        self._servers = servers
        self._stages = stages
        self._rng = rng
        self._acknowledged_digest: int | None = None

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            if self._is_reporter():
                await self._report_once()
            else:
                self._acknowledged_digest = None
            await asyncio.sleep(_REPORT_INTERVAL_S * self._rng.uniform(0.75, 1.0))

    async def _report_once(self) -> None:
        report = build_report(self._zone, self._servers(), self._stages())
        try:
            if report.digest == self._acknowledged_digest:
                wants_full = await self._send(_omit_records(report))
                if not wants_full:
                    return
            await self._send(report)
            self._acknowledged_digest = report.digest
        except (ControlUnreachableError, OutcomeUnknownError, GRPCError) as error:
            logger.info(
                "reporting the zone's engines failed; retrying after the interval: %s",
                error,
            )

    async def _send(self, report: EngineReport) -> bool:
        deadline = asyncio.get_running_loop().time() + _REPORT_TIMEOUT_S
        response = await self._client.call(_report_method, report, deadline)
        return response.wants_full


def build_report(
    zone: str, servers: Iterable[Announcement], stages: Mapping[str, StageSpec]
) -> EngineReport:
    """Return a full report on the servers that run models."""
    engines = sorted(
        (server for server in servers if _is_engine(server, stages)),
        key=lambda server: server.server_id,
    )
    records = [_build_record(server) for server in engines]
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for record in records:
        digest.update(record.SerializeToString(deterministic=True))
    return EngineReport(
        zone=zone,
        digest=int.from_bytes(digest.digest(), "big"),
        full=True,
        engines=records,
        loads=[_total_load(server) for server in engines],
    )


def _omit_records(report: EngineReport) -> EngineReport:
    return EngineReport(zone=report.zone, digest=report.digest, loads=report.loads)


def _is_engine(server: Announcement, stages: Mapping[str, StageSpec]) -> bool:
    if server.model_versions:
        return True
    return any(
        stage in stages and stages[stage].model is not None for stage in server.stages
    )


def _build_record(server: Announcement) -> EngineRecord:
    return EngineRecord(
        engine_id=server.server_id,
        address=server.address,
        stages=server.stages,
        models=[
            LoadedModel(model=model, version=version)
            for model, version in sorted(server.model_versions)
        ],
        adapters=sorted(server.adapters),
        role=server.role,
        checks_fencing=server.checks_fencing,
    )


def _total_load(server: Announcement) -> int:
    if server.load is None:
        return 0
    return min(server.load.running + server.load.queued, _MAX_LOAD)


def _report_method(channel: Channel) -> Any:
    return EnginesStub(channel).Report
