"""Process of a control host: its components, start and shutdown."""

from __future__ import annotations

import asyncio
import logging
import random

from galenadrum._internal.control.claims_service import ClaimsService
from galenadrum._internal.control.declarations_service import DeclarationsService
from galenadrum._internal.control.operator_api import (
    OperatorOperations,
    build_operator_app,
)
from galenadrum._internal.control.orders.driver import OrdersDriver
from galenadrum._internal.control.orders.report_service import EngineReportsService
from galenadrum._internal.control.proposer import Proposer
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.replication.log_metrics import register_log_gauges
from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.control.state.revision_confirmations import (
    RevisionConfirmations,
)
from galenadrum._internal.models.settings import CallerLimits, ControlSettings
from galenadrum._internal.network.grpc_server import GrpcServer
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.loop_bridge import LoopBridge
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.supervision.daemons import run_daemon
from galenadrum._internal.supervision.supervisor import Supervisor

logger = logging.getLogger(__name__)

_STEP_DOWN_TIMEOUT_S = 3.0
_LEAVE_TIMEOUT_S = 1.0
_OPERATOR_LIMITS = CallerLimits(workers=32)


class ControlDaemon:
    """A control host; construct it while its event loop is running."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        rng = random.Random()
        self.state = ControlState()
        self.metrics = Metrics()
        self.metrics.register_gauge("revision", lambda: self.state.revision)
        self.metrics.register_gauge("claims", lambda: self.state.claim_count)
        self.metrics.register_gauge("claims_bytes", lambda: self.state.claims_bytes)
        self.log = ReplicatedLog(
            settings, self.state, rng, on_leadership=self._forward_leadership
        )
        register_log_gauges(self.metrics, lambda: self.log)
        self.in_force = RevisionConfirmations()
        proposer = Proposer(self.log, self.state, rng, settings.change_id_retention_s)
        self.orders = OrdersDriver(
            self.log,
            self.state,
            proposer,
            settings.election_timeout_ms / 1_000,
            rng,
            self.metrics,
        )
        declarations = DeclarationsService(self.log, self.state, self.in_force)
        claims = ClaimsService(proposer)
        reports = EngineReportsService(self.log, self.orders.record_engine_report)
        handlers = [*self.log.services(), declarations, claims, reports]
        self._peer_server = GrpcServer(settings.peer_address, handlers)
        self._operator_calls = OperatorOperations(
            self.log,
            self.state,
            self.in_force,
            proposer,
            self.orders.status,
        )
        self.operators = HttpServer(
            settings.operator_address,
            build_operator_app(
                LoopBridge(asyncio.get_running_loop()),
                self._operator_calls,
                settings.operators,
                _collect_operator_addresses(settings).get,
                self.metrics.render_text,
            ),
            _OPERATOR_LIMITS,
            f"{settings.member_id}-operators",
        )
        self._supervisor = Supervisor(settings.member_id, rng)
        self._supervisor.add("peers", self._peer_server.run)
        self._supervisor.add("orders", self.orders.run)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Load the data folder, start the servers and join the cluster.

        Raises:
            StorageError: The data folder is unusable.
            OSError: A server can't listen on its address.
        """
        await self.log.start()
        self._task = asyncio.create_task(self._supervisor.run())
        self.operators.start()
        logger.info("control host %s started", self._settings.member_id)

    async def wait_for_failure(self) -> None:
        """Wait for a fatal failure of this member and raise its exception."""
        log_failure_task = asyncio.create_task(self.log.wait_for_failure())
        tasks = {log_failure_task, self._task}
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    async def drain(self) -> None:
        """Hand over leadership and the vote, so that changes continue at once."""
        await self.log.step_down(_STEP_DOWN_TIMEOUT_S)
        await self.log.leave(_LEAVE_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop the servers, all tasks and the replicated log."""
        # The HTTP server waits for its workers on stop, and an open watch occupies
        # a worker until its client disconnects.
        self._operator_calls.end_watches()
        await asyncio.to_thread(self.operators.stop)
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.log.stop()

    def _forward_leadership(self, term: int, lease_until: float | None) -> None:
        self.orders.update_lease(term, lease_until)


def _collect_operator_addresses(settings: ControlSettings) -> dict[str, str]:
    """Return the known operator API addresses by peer address."""
    return {
        member.peer_address: member.operator_address
        for member in settings.members
        if member.operator_address
    }


def run_control(settings: ControlSettings) -> None:
    """Run a control host until the process receives a stop signal.

    Raises:
        StorageError: The data folder is unusable.
        OSError: A server can't listen on its address.
        MemberRefusedError: The cluster doesn't accept this member.
    """
    run_daemon(lambda: ControlDaemon(settings))
