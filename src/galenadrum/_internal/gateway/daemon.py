"""Daemon of an entry host: its components, their tasks and the shutdown."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import VersionedDocument
from galenadrum._internal.configuration.versions import encode_version
from galenadrum._internal.directory.cold_servers import CutOffColdServers
from galenadrum._internal.directory.evacuated_zones import EvacuatedZones
from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.directory.server_notices import ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.gateway.balancer import PlainBalancer
from galenadrum._internal.gateway.binding_recorder import BindingRecorder
from galenadrum._internal.gateway.connection_limits import build_connection_limit
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.crash_detector import CrashDetector
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.gateway.error_responder import ErrorResponder
from galenadrum._internal.gateway.lease import ConfigurationLease
from galenadrum._internal.gateway.link_codec import (
    decode_leaving,
    decode_limit,
    decode_quarantine,
    encode_leaving,
    encode_limit,
    encode_quarantine,
)
from galenadrum._internal.gateway.permits import PermitClient
from galenadrum._internal.gateway.placement_client import (
    PlacementClient,
    choose_link,
)
from galenadrum._internal.gateway.plain_forwarder import PlainForwarder
from galenadrum._internal.gateway.reachability import Reachability
from galenadrum._internal.gateway.relay_service import (
    RELAY_LIMITS,
    RELAY_SHED_HEADERS,
    RelayService,
)
from galenadrum._internal.gateway.request_handler import (
    ActiveRouteTable,
    RequestHandler,
)
from galenadrum._internal.gateway.retry_budgets import RetryBudgets
from galenadrum._internal.gateway.server_directory import ServerDirectory
from galenadrum._internal.gateway.server_paths import ServerPaths
from galenadrum._internal.gateway.stream_forwarder import StreamForwarder
from galenadrum._internal.models.announcements import LeavingServer
from galenadrum._internal.models.quarantine import QuarantinedPart, ServerCrash
from galenadrum._internal.models.routing_settings import GatewaySettings
from galenadrum._internal.models.server_limits import ServerLimit
from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.network.http1.client import ConnectionPool
from galenadrum._internal.network.http1.memory_account import MemoryAccount
from galenadrum._internal.network.http1.server import (
    PROBE_SHARE,
    RELAY_SHARE,
    ConnectionLimits,
    Exchange,
    Http1Server,
)
from galenadrum._internal.network.metrics_page import create_metrics_server
from galenadrum._internal.observability.events import build_host_event
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.quarantine.request_digest import describe_suspect
from galenadrum._internal.quarantine.request_successes import RequestSuccesses
from galenadrum._internal.routing.connection_shares import HostCounts
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.server_room import ServerRoom
from galenadrum._internal.streams.binding_table import BindingTable
from galenadrum._internal.streams.version_history import VersionHistory
from galenadrum._internal.streams.version_resolver import VersionResolver
from galenadrum._internal.supervision.supervisor import Supervisor

logger = logging.getLogger(__name__)

_DEFAULT_LIMITS = ConnectionLimits()
_READINESS_LIMITS = ConnectionLimits(max_body_bytes=1024)
_HOUSEKEEPING_INTERVAL_S = 1.0
# The load balancer in front of this host polls readiness once a second and stops
# sending after two failed polls; until then new connections still arrive.
_DEREGISTRATION_DELAY_S = 2.6
# Part of the grace time reserved for the process to end by itself after the drain,
# before it is killed.
_SHUTDOWN_MARGIN_S = 0.6
_DRAIN_POLL_S = 0.05
# Time before the end of the drain in which final answers are sent.
_FINAL_ANSWER_TIME_S = 0.1
# Forwarded requests at the same time; its own callers go first.
_MAX_RELAYED_REQUESTS = 96


class GatewayDaemon:
    """Daemon of one entry host; must be constructed on the running loop.

    Args:
        settings: Settings of this host.
        dialect: Wire formats of callers and backend servers.
        seeds: Returns the peer addresses of control hosts in the current settings.
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
        self.in_force = ActiveRouteTable()
        self.lease = ConfigurationLease(bounds.revocation_s)
        self.balancer = PlainBalancer(settings.zone, rng)
        self.servers = ServerDirectory(
            self._handle_server_change,
            lambda service: self.cold_servers.find_longest_warm_up(service),
        )
        self.cold_servers = CutOffColdServers(
            self.servers.registry.get, bounds, self._loop.time, rng
        )
        self.limits = ServerLimits(
            self.servers.registry.get, self._handle_limit_change, self.cold_servers
        )
        self.evacuated_zones = EvacuatedZones(self.servers.registry)
        self.rests = ServerRests(self.servers.registry.get, rng, self.metrics)
        self._notices = ServerNotices(self.limits, self.rests, self._handle_leaving)
        # Used without links only: the other entry hosts then use their shares as well.
        self._pacer = RequestPacer(
            self.limits.find_rate,
            self._find_share,
            lambda: self.limits.has_limits,
            self.limits.find_brittle,
            is_last_resort=self.cold_servers.is_cold,
            choose_first_wait=self.cold_servers.choose_first_wait,
        )
        self._memory = MemoryAccount(settings.memory_bytes, self.metrics)
        self._pool = ConnectionPool(
            lambda _: self.metrics.increment("connections_opened"),
            find_limit=build_connection_limit(
                settings.host_id,
                False,
                self.servers.registry,
                self._services_by_name,
                lambda: HostCounts(self.links.entry_hosts, self.links.control_hosts),
            ),
            memory=self._memory,
        )
        self.quarantine = PartQuarantine(
            settings.host_id, self._handle_quarantine_change
        )
        self.paths = ServerPaths(
            settings.host_id,
            settings.relay_address,
            self._pool,
            self.servers.registry.get,
            self.servers.registry.find_by_address,
            self._list_server_ids,
            lambda: self.links.relays,
            Reachability(self.metrics),
            self.metrics,
            rng,
            self._memory,
        )
        self._relay = RelayService(
            dialect,
            self._pool,
            self.servers.registry.get,
            self.paths.is_cut_off,
            self.paths.verify_cut,
            _MAX_RELAYED_REQUESTS,
            self.rests,
            self._notices,
            self.metrics,
        )
        self._relay_server = Http1Server(
            settings.relay_address,
            self._relay.handle,
            lambda: RELAY_LIMITS,
            "other hosts",
            self._memory,
            RELAY_SHARE,
            shed_headers=RELAY_SHED_HEADERS,
        )
        self.versions = VersionResolver(
            BindingTable(), VersionHistory(self._loop.time()), self.metrics
        )
        self.dispatch = DispatchDriver(
            dialect,
            self._pool,
            lambda: list(self.servers.registry),
            self.servers.registry.find_by_address,
            self._services_by_name,
            self.metrics,
            self.quarantine,
            self.rests,
            self._notices,
            self._pacer,
            self.versions,
        )
        self.bindings = BindingRecorder(
            self.versions.table, lambda: self.links.links_up(), self.metrics
        )
        room = ServerRoom(
            self.limits.find_brittle, lambda: 1 / max(1, self.links.entry_hosts)
        )
        self.permits = PermitClient(
            lambda: choose_link(self.links.links_up()), self._pacer, room
        )
        self.links = ControlLinks(
            self._build_hello,
            seeds,
            self._handle_message,
            self.lease.record_confirmation,
            self._handle_link_change,
            rng,
        )
        self.placements = PlacementClient(
            settings.zone,
            self.links.links_up,
            self.dispatch,
            lambda: self.lease.version,
            lambda: self.links.entry_hosts,
            self.rests.list_rests,
        )
        budgets = RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, lambda: self.links.entry_hosts
        )
        self._successes = RequestSuccesses()
        self._handler = self._build_handler(budgets, rng)
        self._caller_server = Http1Server(
            settings.caller_address,
            self._handler.handle,
            self._connection_limits,
            "callers",
            self._memory,
        )
        self._is_stopping = False
        self._supervisor = self._build_supervisor(rng)
        self._task: asyncio.Task[None] | None = None

    def _build_handler(
        self, budgets: RetryBudgets, rng: random.Random
    ) -> RequestHandler:
        dialect, paths, metrics = self._dialect, self.paths, self.metrics
        zone = self._settings.zone
        answers = ErrorResponder(dialect, metrics, rng)
        crashes = CrashDetector(
            self._pool,
            self.servers.registry.get,
            self._handle_crash,
            metrics,
            self.paths.is_reachable_elsewhere,
        )
        return RequestHandler(
            dialect,
            self.in_force,
            self.lease,
            PlainForwarder(
                dialect,
                paths,
                self.balancer,
                budgets,
                crashes,
                self.quarantine,
                self._successes,
                self.limits,
                self.rests,
                self._notices,
                self.permits,
                answers,
                metrics,
            ),
            StreamForwarder(
                dialect,
                paths,
                self.placements,
                budgets,
                crashes,
                self.rests,
                self._notices,
                self.bindings,
                answers,
                metrics,
                zone,
            ),
            answers,
            self.quarantine,
            rng,
            zone,
        )

    def _build_supervisor(self, rng: random.Random) -> Supervisor:
        settings = self._settings
        ready = Http1Server(
            settings.ready_address,
            self._answer_readiness,
            lambda: _READINESS_LIMITS,
            "balancer",
            self._memory,
            PROBE_SHARE,
            sheds=False,
        )
        supervisor = Supervisor(settings.host_id, rng)
        supervisor.add("links", self.links.run)
        supervisor.add("dispatch", self.dispatch.run)
        supervisor.add("callers", self._caller_server.run)
        supervisor.add("ready", ready.run)
        supervisor.add("paths", self.paths.run)
        if settings.relay_address:
            supervisor.add("relays", self._relay_server.run)
        metrics_server = create_metrics_server(
            settings.metrics_address, self.metrics, self._memory
        )
        supervisor.add("metrics", metrics_server.run)
        supervisor.add("housekeeping", self._run_housekeeping)
        self.metrics.register_gauge("version", lambda: self.lease.version)
        self.metrics.register_gauge("quarantined_parts", lambda: len(self.quarantine))
        self.metrics.register_gauge("limited_servers", lambda: len(self.limits))
        self.metrics.register_gauge(
            "evacuated_zones", lambda: len(self.evacuated_zones.zones)
        )
        self.metrics.register_gauge("cold_servers", self._count_cold_servers)
        self.metrics.register_gauge(
            "held_announcements", lambda: self.servers.registry.held_count
        )
        self.metrics.register_gauge("links_up", lambda: len(self.links.links_up()))
        self.metrics.register_gauge(
            "busy_connections", lambda: self._caller_server.busy_count
        )
        return supervisor

    def _services_by_name(self):
        table = self.in_force.table
        return table.configuration.services_by_name if table is not None else {}

    def _find_share(self) -> float:
        """Return the share of a server's limit that this host may use without links."""
        if self.cold_servers.has_limits:
            return 1 / self.links.most_entry_hosts
        return 1 / max(1, self.links.entry_hosts)

    def _count_cold_servers(self) -> int:
        registry = self.servers.registry
        return sum(self.cold_servers.is_cold(e.server_id) for e in registry)

    def _list_server_ids(self) -> list[str]:
        return [e.server_id for e in self.servers.registry if e.accepts_requests]

    def _build_hello(self) -> LinkHello:
        return LinkHello(
            host_id=self._settings.host_id,
            zone=self._settings.zone,
            is_control=False,
            version=encode_version(self.lease.version),
            relay_address=self._settings.relay_address,
        )

    def _connection_limits(self) -> ConnectionLimits:
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

    def _handle_message(self, link: HostLink, message: LinkMessage) -> None:
        body = message.WhichOneof("body")
        if body == "server":
            self.servers.record_announcement(
                link.address, message.server, self._loop.time()
            )
        elif body == "configuration":
            record = message.configuration
            self._apply_configuration(
                VersionedDocument(record.version, record.compressed)
            )
        elif body == "quarantine":
            self._merge_quarantine(
                decode_quarantine(message.quarantine, self._loop.time())
            )
        elif body == "limit":
            self.limits.merge(decode_limit(message.limit, self._loop.time()))
        elif body == "leaving":
            self.servers.registry.mark_leaving(
                decode_leaving(message.leaving), self._loop.time()
            )
        elif body == "evacuations":
            record = message.evacuations
            self.evacuated_zones.merge(record.order, record.zones, self._loop.time())
        elif body == "permit":
            self.permits.handle_permit(link, message.permit)
        elif body == "bindings_recorded":
            self.bindings.handle_answer(message.bindings_recorded.number)
        else:
            self.placements.handle_message(link, message)

    def _handle_crash(self, crash: ServerCrash) -> None:
        self.balancer.record_crash(crash.server_id, self._loop.time())
        self.placements.report_crash(crash)

    def _merge_quarantine(self, record: QuarantinedPart) -> None:
        now = self._loop.time()
        if not self.quarantine.merge(record, now) or record.is_lifted:
            return
        if self._successes.refute(record):
            logger.warning(
                "%s has succeeded since it was suspected; lifting its quarantine",
                describe_suspect(record.part_id),
            )
            self.quarantine.acquit((record.part_id,), now)

    def _handle_limit_change(self, limit: ServerLimit) -> None:
        message = encode_limit(limit, self._loop.time())
        for link in self.links.links_up():
            link.send(message)

    def _handle_leaving(self, leaving: LeavingServer, request_id: str) -> None:
        if not self.servers.registry.mark_leaving(leaving, self._loop.time()):
            return
        logger.info(
            "server %s (incarnation %d) says that it is about to stop; nothing more is "
            "sent to it",
            leaving.server_id,
            leaving.incarnation_ms,
            extra={"request_id": request_id},
        )
        self.metrics.increment("servers_leaving")
        message = encode_leaving(leaving)
        for link in self.links.links_up():
            link.send(message)

    def _handle_quarantine_change(self, record: QuarantinedPart) -> None:
        message = encode_quarantine(record, self._loop.time())
        for link in self.links.links_up():
            link.send(message)

    def _apply_configuration(self, document: VersionedDocument) -> None:
        if document.version <= self.lease.version:
            return
        try:
            configuration = self._dialect.decode_configuration(document.document())
        except CheckFailedError as error:
            logger.error(
                "failed to decode configuration version %d: %s", document.version, error
            )
            return
        before, self.in_force.table = self.in_force.table, RouteTable(configuration)
        self.lease.record_applied_version(document.version)
        self.cold_servers.configure(configuration.services_by_name)
        self.dispatch.configure(configuration.services_by_name)
        self.servers.set_services(configuration.services_by_name)
        logger.info(
            "applied configuration version %d (previous version: %s)",
            document.version,
            before.configuration.version if before else "none",
        )

    def _handle_server_change(self, entry: ServerEntry) -> None:
        logger.info("server entry changed: %s", entry)
        self.versions.record_entry(entry)
        self.balancer.put_server(entry)
        self.dispatch.put_server(entry)
        if not entry.accepts_requests:
            self.paths.remove_server(entry.server_id)
            self._pool.close_idle(entry.announcement.address)

    def _handle_link_change(self, link: HostLink) -> None:
        if not link.is_up:
            self.servers.remove_link(link.address)
            self.placements.handle_link_loss(link)
            if not self.links.links_up():
                # Servers that announce themselves meanwhile are missed.
                self.versions.history.restart(self._loop.time())
                if self.cold_servers.has_limits:
                    self._pacer.spread_schedules(self._loop.time())
            return
        now = self._loop.time()
        self.versions.history.adopt_coverage(link.peer.servers_covered_ms / 1_000, now)
        self.bindings.hand_over(link)
        for record in self.quarantine.list_records(now):
            link.send(encode_quarantine(record, now))
        for limit in self.limits.list_limits():
            link.send(encode_limit(limit, now))
        for leaving in self.servers.registry.list_leaving():
            link.send(encode_leaving(leaving))

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to this host."""
        table = self.in_force.table
        if self._is_stopping or table is None:
            return False
        return not table.configuration.requires_key or self.lease.is_valid(
            self._loop.time()
        )

    async def _answer_readiness(self, exchange: Exchange) -> None:
        exchange.respond(200 if self.is_ready else 503, [], b"")

    async def _run_housekeeping(self) -> None:
        was_ready = False
        while True:
            if self.is_ready != was_ready:
                was_ready = not was_ready
                logger.info("readiness changed to %s", was_ready)
            self._pool.close_expired()
            now = self._loop.time()
            removed_ids = self.servers.registry.prune(now)
            for server_id in removed_ids:
                self.balancer.remove_server(server_id)
                self.limits.remove_server(server_id)
                self.rests.remove_server(server_id)
            self.versions.history.remove_servers(removed_ids, now)
            self.versions.table.remove_expired(now)
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)

    async def start(self) -> None:
        """Start all tasks of the daemon."""
        self._task = asyncio.create_task(self._supervisor.run())
        logger.info(
            "entry host %s started",
            self._settings.host_id,
            extra={"event": build_host_event("started")},
        )

    async def wait_for_failure(self) -> None:
        """Wait until a task fails permanently, and raise its error."""
        await asyncio.shield(self._task)

    async def drain(self) -> None:
        """Report not ready and finish the requests in flight within the grace time."""
        self._is_stopping = True
        self._relay.is_stopping = True
        now = self._loop.time()
        stop_at = now + self._settings.bounds.grace_s - _SHUTDOWN_MARGIN_S
        self._handler.begin_stop(
            now + _DEREGISTRATION_DELAY_S, stop_at - _FINAL_ANSWER_TIME_S
        )
        logger.info(
            "entry host %s is draining",
            self._settings.host_id,
            extra={"event": build_host_event("draining")},
        )
        await asyncio.sleep(_DEREGISTRATION_DELAY_S)
        await self._caller_server.accept_last_connections()
        while self._loop.time() < stop_at:
            self._caller_server.close_connections_when_idle()
            await asyncio.sleep(_DRAIN_POLL_S)
            unfinished = self._caller_server.unfinished_count
            if not unfinished and not self._relay_server.busy_count:
                break
        logger.info(
            "drain ended with %d requests in flight",
            self._caller_server.busy_count,
            extra={"event": build_host_event("drained")},
        )

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
