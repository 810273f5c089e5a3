"""The process of an entry host: its parts, their tasks and its shutdown."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import VersionedDocument
from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.gateway.answers import Answers
from galenadrum._internal.gateway.balancer import PlainBalancer
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.gateway.lease import ConfigurationLease
from galenadrum._internal.gateway.placements import Placements
from galenadrum._internal.gateway.plain_forwarder import PlainForwarder
from galenadrum._internal.gateway.request_handler import InForce, RequestHandler
from galenadrum._internal.gateway.retries import RetryBudgets
from galenadrum._internal.gateway.servers_view import ServersView
from galenadrum._internal.gateway.stream_forwarder import StreamForwarder
from galenadrum._internal.models.routing_settings import GatewaySettings
from galenadrum._internal.network.frame_link import HostLink
from galenadrum._internal.network.http1.client import ConnectionPool
from galenadrum._internal.network.http1.server import (
    ConnectionLimits,
    Exchange,
    Http1Server,
)
from galenadrum._internal.network.metrics_page import metrics_server
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage
from galenadrum._internal.supervision.supervisor import Supervisor

logger = logging.getLogger(__name__)

_DEFAULT_LIMITS = ConnectionLimits()
_READY_LIMITS = ConnectionLimits(max_body_bytes=1024)
_EXPIRE_INTERVAL_S = 1.0
# The balancer asks once a second and stops sending after two refusals; until
# then connections still come in.
_STILL_SENT_TO_S = 2.6
# Time before the kill in which the process ends by itself.
_KILL_MARGIN_S = 0.6
_DRAIN_POLL_S = 0.05


class GatewayDaemon:
    """One entry host; construct it on the running loop.

    Args:
        seeds: Returns peer addresses of control hosts from the settings as
            they are now.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()
        rng = random.Random()
        bounds = settings.bounds
        self.metrics = Metrics()
        self.in_force = InForce()
        self.lease = ConfigurationLease(bounds.revocation_s)
        self.balancer = PlainBalancer(settings.zone, rng)
        self.servers = ServersView(self._server_changed)
        self._pool = ConnectionPool(
            lambda _: self.metrics.increment("connections_opened")
        )
        self.dispatch = DispatchDriver(
            dialect,
            self._pool,
            lambda: list(self.servers.registry),
            self._services,
            self.metrics,
        )
        self.links = ControlLinks(
            self._hello,
            seeds,
            self._take_message,
            self.lease.confirm,
            self._link_changed,
            rng,
        )
        self.placements = Placements(
            settings.zone,
            self.links.up,
            self.dispatch,
            lambda: self.lease.version,
            lambda: self.links.entry_hosts,
        )
        budgets = RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, lambda: self.links.entry_hosts
        )
        self._handler = self._build_handler(budgets, rng)
        self._callers = Http1Server(
            settings.caller_address, self._handler.handle, self._limits, "callers"
        )
        self._is_stopping = False
        self._supervisor = self._build_supervisor(rng)
        self._task: asyncio.Task[None] | None = None

    def _build_handler(
        self, budgets: RetryBudgets, rng: random.Random
    ) -> RequestHandler:
        dialect, pool, metrics = self._dialect, self._pool, self.metrics
        zone = self._settings.zone
        answers = Answers(dialect, metrics, rng)
        return RequestHandler(
            dialect,
            self.in_force,
            self.lease,
            PlainForwarder(dialect, pool, self.balancer, budgets, answers, metrics),
            StreamForwarder(
                dialect, pool, self.placements, budgets, answers, metrics, zone
            ),
            answers,
            rng,
        )

    def _build_supervisor(self, rng: random.Random) -> Supervisor:
        settings = self._settings
        ready = Http1Server(
            settings.ready_address,
            self._answer_ready,
            lambda: _READY_LIMITS,
            "balancer",
        )
        supervisor = Supervisor(settings.host_id, rng)
        supervisor.add("links", self.links.run)
        supervisor.add("dispatch", self.dispatch.run)
        supervisor.add("callers", self._callers.run)
        supervisor.add("ready", ready.run)
        supervisor.add(
            "metrics", metrics_server(settings.metrics_address, self.metrics).run
        )
        supervisor.add("housekeeping", self._keep_house)
        self.metrics.register_gauge("version", lambda: self.lease.version)
        self.metrics.register_gauge("links_up", lambda: len(self.links.up()))
        self.metrics.register_gauge(
            "busy_connections", lambda: self._callers.busy_count
        )
        return supervisor

    def _services(self):
        table = self.in_force.table
        return table.configuration.services_by_name if table is not None else {}

    def _hello(self) -> LinkHello:
        return LinkHello(
            host_id=self._settings.host_id,
            zone=self._settings.zone,
            is_control=False,
            version=self.lease.version,
        )

    def _limits(self) -> ConnectionLimits:
        table = self.in_force.table
        if table is None:
            return _DEFAULT_LIMITS
        limits = table.configuration.limits
        return ConnectionLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _take_message(self, link: HostLink, message: LinkMessage) -> None:
        body = message.WhichOneof("body")
        if body == "server":
            self.servers.take(link.address, message.server, self._loop.time())
        elif body == "configuration":
            record = message.configuration
            self._use(VersionedDocument(record.version, record.compressed))
        else:
            self.placements.take_message(link, message)

    def _use(self, document: VersionedDocument) -> None:
        if document.version <= self.lease.version:
            return
        try:
            configuration = self._dialect.decode_configuration(document.document())
        except CheckFailedError as error:
            logger.error("version %d can't be read here: %s", document.version, error)
            return
        before, self.in_force.table = self.in_force.table, RouteTable(configuration)
        self.lease.hold(document.version)
        self.dispatch.configure(configuration.services_by_name)
        logger.info(
            "configuration version %d is in force (before: %d)",
            document.version,
            before.configuration.version if before else 0,
        )

    def _server_changed(self, entry: ServerEntry) -> None:
        logger.info("%s", entry)
        self.balancer.put_server(entry)
        self.dispatch.put_server(entry)
        if not entry.takes_work:
            self._pool.forget(entry.announcement.address)

    def _link_changed(self, link: HostLink) -> None:
        if not link.is_up:
            self.servers.link_lost(link.address)
            self.placements.link_lost(link)

    @property
    def is_ready(self) -> bool:
        """Whether new connections should be sent here."""
        table = self.in_force.table
        if self._is_stopping or table is None:
            return False
        return not table.configuration.requires_key or self.lease.is_valid(
            self._loop.time()
        )

    async def _answer_ready(self, exchange: Exchange) -> None:
        exchange.respond(200 if self.is_ready else 503, [], b"")

    async def _keep_house(self) -> None:
        was_ready = False
        while True:
            if self.is_ready != was_ready:
                was_ready = not was_ready
                logger.info("ready: %s", was_ready)
            self._pool.close_expired()
            for server_id in self.servers.registry.prune(self._loop.time()):
                self.balancer.remove_server(server_id)
            await asyncio.sleep(_EXPIRE_INTERVAL_S)

    async def start(self) -> None:
        """Start all tasks."""
        self._task = asyncio.create_task(self._supervisor.run())
        logger.info("entry host %s started", self._settings.host_id)

    async def wait_failed(self) -> None:
        """Wait until this host can't go on, and raise why."""
        await asyncio.shield(self._task)

    async def drain(self) -> None:
        """Leave the balancer and finish what is in flight."""
        self._is_stopping = True
        stop_at = self._loop.time() + self._settings.bounds.grace_s - _KILL_MARGIN_S
        logger.info("entry host %s drains", self._settings.host_id)
        await asyncio.sleep(_STILL_SENT_TO_S)
        self._callers.stop_listening()
        while self._loop.time() < stop_at:
            self._callers.close_connections_when_idle()
            if not self._callers.busy_count:
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        logger.info("%d requests are left at the end", self._callers.busy_count)

    async def stop(self) -> None:
        """End all tasks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
