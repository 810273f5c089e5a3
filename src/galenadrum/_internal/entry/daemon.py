"""Entry host daemon: construction of its components, their tasks and shutdown."""

from __future__ import annotations

import asyncio
import logging
import random

from galenadrum._internal.entry.announcements_app import (
    ANNOUNCEMENTS_PATH,
    AnnouncementsApp,
)
from galenadrum._internal.entry.backend_directory import BackendDirectory
from galenadrum._internal.entry.caller_app import PIPELINES_PREFIX, CallerApp
from galenadrum._internal.entry.claims_client import build_claims_client
from galenadrum._internal.entry.control_client import ControlClient
from galenadrum._internal.entry.declarations import Applied, DeclarationsView
from galenadrum._internal.entry.declarations_follower import (
    DeclarationsFollower,
    build_send_confirmation,
    choose_sources,
    open_watch,
)
from galenadrum._internal.entry.declarations_relay import DeclarationsRelay
from galenadrum._internal.entry.engine_reports import EngineReporter
from galenadrum._internal.entry.forwarded_stages_app import (
    ForwardedStagesApp,
    parse_peer_ips,
)
from galenadrum._internal.entry.pipeline_executor import PipelineExecutor
from galenadrum._internal.entry.platform_app import EntryStatus, build_platform_app
from galenadrum._internal.entry.request_service import RequestService
from galenadrum._internal.entry.request_telemetry import RequestTelemetry
from galenadrum._internal.entry.servable_stages import ServableStageFilter
from galenadrum._internal.entry.stage_runner import StageRunner
from galenadrum._internal.membership.zone_service import ZoneService
from galenadrum._internal.models.settings import CallerLimits, EntrySettings
from galenadrum._internal.network.connection_pool import BlockingConnectionPool
from galenadrum._internal.network.grpc_server import GrpcServer
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.network.loop_bridge import LoopBridge
from galenadrum._internal.network.stage_client import StageClient
from galenadrum._internal.network.stage_protocol import STAGES_PREFIX
from galenadrum._internal.network.wsgi_routes import Handler, build_routes
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.routing.policy import Policy
from galenadrum._internal.supervision.daemons import run_daemon
from galenadrum._internal.supervision.supervisor import Supervisor

logger = logging.getLogger(__name__)

# One worker in this many is kept free of requests in flight, so that a full host
# can still refuse requests and accept announcements.
_SPARE_WORKER_DIVISOR = 8
_PLATFORM_WORKERS = 4
# Time that the balancer needs to see that this host is not ready; requests are
# refused only after it.
_BALANCER_GRACE_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05
_CLAIMS_DRAIN_TIMEOUT_S = 2.0
_STATUS_TIMEOUT_S = 2.0


class EntryDaemon:
    """Daemon of one entry host; must be constructed on the running event loop."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._bridge = LoopBridge(self._loop)
        self._rng = random.Random()
        self.metrics = Metrics()
        self.view = DeclarationsView()
        rng = random.Random(self._rng.random())
        self.policy = Policy(settings.zone, rng, region=settings.region)
        self.executor = PipelineExecutor(self.policy)
        self._control = ControlClient(settings.control_addresses, self._rng)
        self.claims = build_claims_client(
            settings.host_id,
            self._control,
            lambda: self.follower.source_age_ms() / 1_000,
        )
        workers = settings.callers.workers
        max_in_flight = max(1, workers - workers // _SPARE_WORKER_DIVISOR)
        self.service = RequestService(
            self.executor, self.view, self.claims, max_in_flight
        )
        self.directory = BackendDirectory(
            self.policy,
            self.executor,
            self.service.apply_actions,
            ServableStageFilter(
                lambda: (self.view.stages_by_name, self.view.models_by_name)
            ),
        )
        self.zone = ZoneService(
            settings,
            self._rng,
            self._apply_server_changes,
            self.directory.get_stage_loads,
        )
        self.follower = self._build_follower()
        self._pool = BlockingConnectionPool()
        self.client = StageClient(self._pool)
        self._register_gauges()
        self.callers = HttpServer(
            settings.caller_address,
            self._build_caller_routes(),
            settings.callers,
            f"{settings.host_id}-callers",
        )
        self.platform = HttpServer(
            settings.operator_address,
            build_platform_app(self._read_status, self.metrics.render_text),
            CallerLimits(workers=_PLATFORM_WORKERS),
            f"{settings.host_id}-platform",
        )
        self._supervisor = self._build_supervisor()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listening sockets and start all tasks.

        Raises:
            OSError: An address can't be listened on.
        """
        self.platform.start()
        self.callers.start()
        self._task = asyncio.create_task(self._supervisor.run())
        logger.info(
            "entry host %s serves callers on %s",
            self._settings.host_id,
            self.callers.address,
        )

    async def wait_for_failure(self) -> None:
        """Wait until a supervised task fails permanently and raise its error."""
        await asyncio.shield(self._task)

    async def drain(self) -> None:
        """Report not ready, refuse new requests, then finish those in flight.

        Requests in flight are waited for up to the drain timeout.
        """
        self.service.leaving = True
        self.zone.set_leaving()
        await asyncio.sleep(_BALANCER_GRACE_S)
        self.service.draining = True
        drain_until = self._loop.time() + self._settings.drain_timeout_ms / 1_000
        while self.service.in_flight and self._loop.time() < drain_until:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        if self.service.in_flight:
            logger.warning(
                "drain timed out; aborting %d requests in flight",
                self.service.in_flight,
            )
        await self.claims.drain(_CLAIMS_DRAIN_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop the servers, cancel all tasks and close all connections."""
        await asyncio.to_thread(self.callers.stop)
        await asyncio.to_thread(self.platform.stop)
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._control.close()
        self._pool.close()

    def _register_gauges(self) -> None:
        register = self.metrics.register_gauge
        register("revision", lambda: self.view.revision)
        register("requests_in_flight", lambda: self.service.in_flight)
        register("calls_resent_total", lambda: self.client.resent_calls)
        register("replies_rejected_total", lambda: self.client.rejected_replies)
        register("claim_outcomes_pending", lambda: self.claims.pending_outcome_count)
        register(
            "claim_outcomes_dropped_total", lambda: self.claims.dropped_outcome_count
        )

    def _build_follower(self) -> DeclarationsFollower:
        settings = self._settings
        sources = choose_sources(
            settings.peer_address,
            settings.zone_peer_addresses,
            settings.control_addresses,
            self._rng,
        )
        return DeclarationsFollower(
            settings.host_id,
            settings.zone,
            self.view,
            sources,
            settings.zone_peer_addresses,
            open_watch,
            build_send_confirmation(self._control),
            self._apply_declarations,
            self._rng,
        )

    def _build_reporter(self) -> EngineReporter:
        return EngineReporter(
            self._settings.zone,
            self._control,
            self._should_report_engines,
            self.zone.servers,
            lambda: self.view.stages_by_name,
            self._rng,
        )

    def _build_caller_routes(self) -> Handler:
        limits = self._settings.callers
        telemetry = RequestTelemetry(self.metrics, self.policy.get_explanation)
        runner = StageRunner(self._bridge, self.service, self.client, telemetry)
        callers = CallerApp(self.service, runner, limits, telemetry)
        announcements = AnnouncementsApp(self._bridge, self.zone)
        forwarded = ForwardedStagesApp(
            self.service,
            runner,
            limits,
            telemetry,
            parse_peer_ips(self._settings.other_zone_addresses),
        )
        return build_routes(
            {("POST", ANNOUNCEMENTS_PATH): announcements.answer},
            {
                ("POST", PIPELINES_PREFIX): callers.answer,
                ("POST", STAGES_PREFIX): forwarded.answer,
            },
        )

    def _build_supervisor(self) -> Supervisor:
        relay = DeclarationsRelay(self.view, self.follower)
        peers = GrpcServer(self._settings.peer_address, [relay, self.zone])
        supervisor = Supervisor(self._settings.host_id, self._rng)
        supervisor.add("peers", peers.run)
        supervisor.add_supervisor(self.zone.supervisor("membership"))
        supervisor.add("declarations", self.follower.run)
        supervisor.add("backends", lambda: self.directory.run(self.zone))
        supervisor.add("requests", self.service.run_ticks)
        supervisor.add("engines", self._build_reporter().run)
        return supervisor

    def _apply_server_changes(self) -> None:
        self.directory.apply_server_changes(self.zone)

    def _should_report_engines(self) -> bool:
        self.zone.set_control_reach(self.follower.follows_control)
        return self.zone.is_reporter()

    def _apply_declarations(self, applied: Applied) -> None:
        self.policy.update_declarations(
            self.view.stages_by_name,
            self.view.organisations_by_name,
            self.view.build_objectives(),
            self._loop.time(),
        )
        self.directory.apply_declarations(self.zone)
        self.zone.set_revision(applied.revision)
        logger.info("applied declarations of revision %d", applied.revision)

    def _read_status(self) -> EntryStatus:
        return self._bridge.call(self._build_status(), _STATUS_TIMEOUT_S)

    async def _build_status(self) -> EntryStatus:
        reason = self.service.not_ready_reason
        servers = self.zone.servers()
        return EntryStatus(
            host_id=self._settings.host_id,
            zone=self._settings.zone,
            ready=not reason,
            reason=reason,
            revision=self.view.revision,
            in_flight=self.service.in_flight,
            server_ids=tuple(server.server_id for server in servers),
        )


def run_entry(settings: EntrySettings) -> None:
    """Run an entry host until a stop signal arrives.

    Raises:
        OSError: An address can't be listened on.
        ChildFailedError: A task failed more often than its restarts allow.
    """
    run_daemon(lambda: EntryDaemon(settings))
