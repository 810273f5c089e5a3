"""The process of a control host: its parts, their tasks and its shutdown."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
)
from galenadrum._internal.control.routing.api import RoutingApi
from galenadrum._internal.control.routing.availability import Availability
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.control.routing.link_service import LinkService
from galenadrum._internal.control.routing.log_keeper import (
    CurrentReplication,
    LogKeeper,
)
from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.gateway.link_codec import decode_announcement
from galenadrum._internal.models.routing_settings import RoutingControlSettings
from galenadrum._internal.network.frame_link import HostLink
from galenadrum._internal.network.grpc_server import GrpcServer
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

_API_LIMITS = ConnectionLimits(max_body_bytes=8 * 1024 * 1024)
# Control hosts link with all others; more are not expected of a cluster.
_MAX_PEER_LINKS = 15
_EXPIRE_INTERVAL_S = 0.5
# Answers under way are sent before the process ends.
_STOP_WAIT_S = 0.3

ApiApp = Callable[[RoutingApi], Callable[[Exchange], Awaitable[None]]]


class RoutingControlDaemon:
    """One control host; construct it on the running loop.

    Args:
        build_app: Returns the handler of operators' and servers' calls.
        seeds: Returns peer addresses of control hosts from the settings as
            they are now.
    """

    def __init__(
        self,
        settings: RoutingControlSettings,
        dialect: Dialect,
        build_app: ApiApp,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._seeds = seeds
        self._loop = asyncio.get_running_loop()
        rng = random.Random()
        self.metrics = Metrics()
        self.state = ConfigurationState()
        self._table: RouteTable | None = None
        self.state.add_listener(self._use)
        self.registry = Registry(
            settings.bounds.announcement_interval_s, self._server_changed
        )
        self._takes_from_link = False
        self.keeper = self._build_keeper(rng)
        self.configurations = Configurations(lambda: self.keeper.log, self.state)
        self._availability = Availability(self._loop.time())
        self._pool = ConnectionPool()
        self.dispatch = DispatchDriver(
            dialect,
            self._pool,
            lambda: list(self.registry),
            self._services,
            self.metrics,
        )
        self.links = LinkService(
            self._hello,
            self.member_addresses,
            self.registry,
            self.state,
            self.configurations,
            self.dispatch,
            lambda: self._table,
        )
        self.api = RoutingApi(
            dialect.decode_configuration,
            self.configurations,
            self.registry,
            self.links.heard,
            self.metrics,
        )
        self._peer_links = ControlLinks(
            self._hello,
            self._other_control_hosts,
            self._take_from_link,
            self.configurations.confirm,
            lambda link: None,
            rng,
            _MAX_PEER_LINKS,
            settings.peer_address,
            is_close=True,
        )
        self._server = Http1Server(
            settings.api_address, build_app(self.api), lambda: _API_LIMITS, "the API"
        )
        self._supervisor = self._build_supervisor(rng)
        self._task: asyncio.Task[None] | None = None

    def _build_keeper(self, rng: random.Random) -> LogKeeper:
        settings = self._settings
        founders = settings.seed_addresses if settings.is_first_start else ()
        return LogKeeper(
            settings.data_folder,
            settings.peer_address,
            settings.zone,
            founders,
            self._seeds,
            self.state,
            self.metrics,
            rng,
        )

    def _build_supervisor(self, rng: random.Random) -> Supervisor:
        settings = self._settings
        peers = GrpcServer(
            settings.peer_address, [CurrentReplication(self.keeper), self.links]
        )
        supervisor = Supervisor(settings.host_id, rng)
        supervisor.add("peers", peers.run)
        supervisor.add("log", self.keeper.run)
        supervisor.add("api", self._server.run)
        supervisor.add(
            "metrics", metrics_server(settings.metrics_address, self.metrics).run
        )
        supervisor.add("confirmations", self.configurations.run)
        supervisor.add("links", self.links.run)
        supervisor.add("peer-links", self._peer_links.run)
        supervisor.add("dispatch", self.dispatch.run)
        supervisor.add("directory", self._expire)
        self.metrics.register_gauge("version", lambda: self.state.version)
        self.metrics.register_gauge("placed", lambda: self.dispatch.request_count)
        return supervisor

    def _services(self):
        return self._table.configuration.services_by_name if self._table else {}

    def _hello(self) -> LinkHello:
        # A host that was suspended must not show the time before.
        self._observe_availability()
        return LinkHello(
            host_id=self._settings.host_id,
            zone=self._settings.zone,
            is_control=True,
            version=self.state.version,
            available_ms=int((self._loop.time() - self._availability.since) * 1_000),
        )

    def _observe_availability(self) -> bool:
        return self._availability.observe(
            self._loop.time(), self.configurations.confirmed_at
        )

    def member_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of all control hosts that are known."""
        return self.keeper.member_addresses()

    def _other_control_hosts(self) -> list[str]:
        own = self._settings.peer_address
        return [a for a in (*self.member_addresses(), *self._seeds()) if a != own]

    def _use(self, document: VersionedDocument) -> None:
        try:
            configuration = self._dialect.decode_configuration(document.document())
        except CheckFailedError as error:
            # It was checked before it was accepted; another version of the
            # program may have done so.
            logger.error("version %d can't be read here: %s", document.version, error)
            return
        self._table = RouteTable(configuration)
        self.dispatch.configure(configuration.services_by_name)
        logger.info("configuration version %d is held", document.version)

    def _server_changed(self, entry: ServerEntry) -> None:
        logger.info("%s", entry)
        self.links.send_entry(entry, not self._takes_from_link)
        self.dispatch.put_server(entry)

    def _take_from_link(self, link: HostLink, message: LinkMessage) -> None:
        self._takes_from_link = True
        try:
            body = message.WhichOneof("body")
            if body == "server" and not message.server.is_silent:
                announcement = decode_announcement(message.server)
                self.registry.announce(announcement, self._loop.time())
            elif body == "renewals":
                record = message.renewals
                self.registry.renew(
                    record.server_ids, self._loop.time(), record.age_ms / 1_000
                )
        finally:
            self._takes_from_link = False

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            if self._observe_availability():
                logger.warning("this host was suspended or cut off")
                self.links.send_hello()
            now = self._loop.time()
            self.registry.expire(now)
            self.registry.prune(now)
            self._pool.close_expired()

    async def start(self) -> None:
        """Start all tasks."""
        self._task = asyncio.create_task(self._supervisor.run())
        logger.info("control host %s started", self._settings.host_id)

    async def wait_failed(self) -> None:
        """Wait until this host can't go on, and raise why."""
        await asyncio.shield(self._task)

    async def drain(self) -> None:
        """Hand leadership over and finish the calls under way."""
        logger.info("control host %s stops", self._settings.host_id)
        self._server.stop_listening()
        self._server.close_connections_when_idle()
        await self.keeper.step_down()
        await asyncio.sleep(_STOP_WAIT_S)

    async def stop(self) -> None:
        """End all tasks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
