"""Daemon of a control host: builds its components, runs and stops them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
)
from galenadrum._internal.configuration.versions import encode_version
from galenadrum._internal.control.replication.log_metrics import register_log_gauges
from galenadrum._internal.control.routing.api import RoutingApi
from galenadrum._internal.control.routing.availability import Availability
from galenadrum._internal.control.routing.binding_file import BindingFile
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.control.routing.departure_file import DepartureFile
from galenadrum._internal.control.routing.departures import DepartureRecorder
from galenadrum._internal.control.routing.evacuations import EvacuationOrders
from galenadrum._internal.control.routing.explain_page import (
    ExplainSources,
    build_explain_page,
)
from galenadrum._internal.control.routing.link_service import LinkService
from galenadrum._internal.control.routing.log_runner import (
    LogRunner,
    ReplicationProxy,
)
from galenadrum._internal.control.routing.quarantine_file import QuarantineFile
from galenadrum._internal.directory.cold_servers import ColdServers
from galenadrum._internal.directory.evacuated_zones import EvacuatedZones
from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.directory.server_notices import ServerNotices
from galenadrum._internal.directory.server_rests import ServerRests
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.gateway.binding_recorder import send_all_bindings
from galenadrum._internal.gateway.connection_limits import build_connection_limit
from galenadrum._internal.gateway.control_links import ControlLinks
from galenadrum._internal.gateway.dialect import Dialect
from galenadrum._internal.gateway.link_codec import (
    decode_announcement,
    decode_crash,
    decode_held_prompts,
    decode_leaving,
)
from galenadrum._internal.gateway.placement_client import choose_link, find_domain
from galenadrum._internal.gateway.relay_service import (
    RELAY_LIMITS,
    RELAY_SHED_HEADERS,
    RelayService,
)
from galenadrum._internal.models.routing_settings import RoutingControlSettings
from galenadrum._internal.network.document_limits import limit_documents
from galenadrum._internal.network.grpc_server import GrpcServer
from galenadrum._internal.network.host_link import HostLink, InboundLink
from galenadrum._internal.network.http1.client import ConnectionPool
from galenadrum._internal.network.http1.memory_account import MemoryAccount
from galenadrum._internal.network.http1.server import (
    RELAY_SHARE,
    ConnectionLimits,
    Exchange,
    Http1Server,
)
from galenadrum._internal.network.metrics_page import create_metrics_server
from galenadrum._internal.observability.events import (
    build_host_event,
    build_server_event,
)
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol.gateway_pb2 import (
    Departures,
    LinkHello,
    LinkMessage,
)
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.routing.connection_shares import HostCounts
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.server_room import ServerRoom
from galenadrum._internal.streams.binding_table import BindingTable
from galenadrum._internal.streams.version_history import VersionHistory
from galenadrum._internal.streams.version_resolver import VersionResolver
from galenadrum._internal.supervision.supervisor import Restart, Supervisor

logger = logging.getLogger(__name__)

_API_LIMITS = ConnectionLimits(max_body_bytes=8 * 1024 * 1024)
# Each control host links to all others; larger clusters aren't expected.
_MAX_PEER_LINKS = 15
_MAINTENANCE_INTERVAL_S = 0.5
# A control host that has started doesn't know all evacuations before its log has caught
# up. Without a leader, callers are served after this time with what is known.
_MAX_CATCH_UP_S = 5.0
_CATCH_UP_POLL_S = 0.02
# Time to send pending answers before the process ends.
_DRAIN_WAIT_S = 0.3
# Control hosts forward requests only where no entry host reaches the server.
_MAX_RELAYED_REQUESTS = 32


async def _is_never_cut_off(server_id: str, reason: str) -> bool:
    # A control host has no other way to a server.
    return False


ApiApp = Callable[[RoutingApi], Callable[[Exchange], Awaitable[None]]]


@dataclass(frozen=True, slots=True)
class _OwnLink:
    """This host among those that entry hosts choose their dispatcher from.

    Attributes:
        address: Peer address.
        available_at: Loop time in seconds since which it has been available.
    """

    address: str
    peer: LinkHello
    available_at: float


class RoutingControlDaemon:
    """One control host; must be constructed on the running event loop.

    Args:
        settings: Settings of this host.
        dialect: Decoder of configurations and messages of backend servers.
        build_app: Returns the HTTP handler for operators and backend servers.
        seeds: Returns the seed addresses of control hosts in the current settings.
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
        self._route_table: RouteTable | None = None
        self.registry = Registry(
            settings.bounds.announcement_interval_s,
            self._publish_server,
            lambda service: self.cold_servers.find_longest_warm_up(service),
            lambda announcement: self.links.send_held(
                announcement, not self._is_handling_link_message
            ),
        )
        self.cold_servers = ColdServers(
            self.registry.get, settings.bounds, self._loop.time
        )
        self.evacuated_zones = EvacuatedZones(self.registry)
        self._is_applying_evacuations = False
        # Whether entry hosts and dispatchers don't get the servers yet.
        self._is_holding_servers = settings.bounds.evacuation_s is not None
        self._is_handling_link_message = False
        self.log_runner = self._build_log_runner(rng)
        self.configurations = Configurations(
            lambda: self.log_runner.log, self.state, self._keeps_version_zero
        )
        evacuations = EvacuationOrders(
            lambda: self.log_runner.log, self._keeps_evacuations
        )
        self._availability = Availability(self._loop.time())
        self._memory = MemoryAccount(settings.memory_bytes, self.metrics)
        self._pool = ConnectionPool(
            find_limit=build_connection_limit(
                settings.host_id,
                True,
                self.registry,
                self._get_services,
                lambda: HostCounts(
                    self.links.entry_host_count, len(self.member_addresses())
                ),
            ),
            memory=self._memory,
        )
        self.quarantine = PartQuarantine(
            settings.host_id, lambda record: self.links.send_quarantine(record)
        )
        self.quarantine_file = QuarantineFile(
            settings.data_folder, self.quarantine.list_records
        )
        for record in self.quarantine_file.load():
            self.quarantine.merge(record, self._loop.time())
        self.limits = ServerLimits(
            self.registry.get,
            lambda limit: self.links.send_limit(limit),
            self.cold_servers,
        )
        self.rests = ServerRests(self.registry.get, rng, self.metrics)
        self._notices = ServerNotices(
            self.limits, self.rests, lambda leaving, _: self.links.mark_leaving(leaving)
        )
        self._pacer = pacer = RequestPacer(
            self.limits.find_rate,
            has_limits=lambda: self.limits.has_limits,
            find_brittle=self.limits.find_brittle,
            find_max_requests=self.cold_servers.find_max_requests,
        )
        room = ServerRoom(self.limits.find_brittle)
        self.versions = VersionResolver(
            BindingTable(),
            VersionHistory(self._find_covered_since()),
            self.metrics,
            self._is_in_contact,
        )
        # Peer addresses of control hosts whose links are down after they were up.
        self._lost_peers: set[str] = set()
        self.binding_file = BindingFile(settings.data_folder)
        for binding in self.binding_file.load():
            self.versions.table.put(binding)
        self.departure_file = DepartureFile(settings.data_folder)
        self.departures = DepartureRecorder(
            self.registry,
            self.departure_file,
            settings.peer_address,
            self.member_addresses,
            lambda: self._peer_links.links_up(),
            self.metrics,
        )
        self.departures.load()
        self.dispatch = DispatchDriver(
            dialect,
            self._pool,
            lambda: [] if self._is_holding_servers else list(self.registry),
            self.registry.find_by_address,
            self._get_services,
            self.metrics,
            self.quarantine,
            self.rests,
            self._notices,
            pacer,
            self.versions,
        )
        self.links = LinkService(
            self._build_hello,
            self.member_addresses,
            self.registry,
            self.state,
            self.configurations,
            self.dispatch,
            lambda: self._route_table,
            self.quarantine,
            self.limits,
            pacer,
            room,
            self.versions.table,
            self.binding_file.append,
            self._handle_departures,
            self.quarantine_file.request_write,
            evacuations,
            self.evacuated_zones,
            lambda: self._is_holding_servers,
        )
        # After the listener of the links: entry hosts get a configuration before the
        # servers of the services that it names.
        self.state.add_listener(self._apply_configuration)
        self.state.add_evacuation_listener(self._apply_own_evacuations)
        self.api = RoutingApi(
            dialect.decode_configuration,
            self.configurations,
            self.registry,
            self.departures,
            evacuations,
            settings.zones,
            self.links.record_renewal,
            self.metrics,
        )
        self._peer_links = ControlLinks(
            self._build_hello,
            self._other_control_hosts,
            self._handle_link_message,
            self.configurations.confirm,
            self._handle_peer_link_change,
            rng,
            _MAX_PEER_LINKS,
            settings.peer_address,
            pings_often=True,
        )
        self._server = Http1Server(
            settings.api_address,
            limit_documents(build_app(self.api), settings.memory_bytes),
            lambda: _API_LIMITS,
            "the API",
            self._memory,
        )
        self._supervisor = self._build_supervisor(rng)
        self._task: asyncio.Task[None] | None = None

    def _find_covered_since(self) -> float:
        """Return the loop time in seconds since which no server can be unknown."""
        folder = self._settings.data_folder
        is_empty = not folder.exists() or not any(folder.iterdir())
        if self._settings.is_first_start and is_empty:
            return float("-inf")
        return self._loop.time()

    def _build_log_runner(self, rng: random.Random) -> LogRunner:
        settings = self._settings
        founders = settings.seed_addresses if settings.is_first_start else ()
        return LogRunner(
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
            settings.peer_address, [ReplicationProxy(self.log_runner), self.links]
        )
        supervisor = Supervisor(settings.host_id, rng)
        supervisor.add("peers", peers.run)
        supervisor.add("log", self.log_runner.run)
        supervisor.add("api", self._server.run)
        metrics_server = create_metrics_server(
            settings.metrics_address,
            self.metrics,
            self._memory,
            {"/explain": build_explain_page(self._build_explain_sources())},
        )
        supervisor.add("metrics", metrics_server.run)
        supervisor.add("confirmations", self.configurations.run)
        supervisor.add("links", self.links.run)
        supervisor.add("peer-links", self._peer_links.run)
        supervisor.add("dispatch", self.dispatch.run)
        supervisor.add("directory", self._run_maintenance)
        supervisor.add("catch-up", self._catch_up, restart=Restart.ON_FAILURE)
        supervisor.add("stream-bindings", self.binding_file.run)
        supervisor.add("departures", self.departure_file.run)
        supervisor.add("quarantines", self.quarantine_file.run)
        if settings.relay_address:
            supervisor.add("relays", self._build_relay_server().run)
        register_log_gauges(self.metrics, lambda: self.log_runner.log)
        self.metrics.register_gauge("version", lambda: self.state.version)
        self.metrics.register_gauge("quarantined_parts", lambda: len(self.quarantine))
        self.metrics.register_gauge("limited_servers", lambda: len(self.limits))
        self.metrics.register_gauge(
            "evacuated_zones", lambda: len(self.evacuated_zones.zones)
        )
        self.metrics.register_gauge("cold_servers", self._count_cold_servers)
        self.metrics.register_gauge(
            "held_announcements", lambda: self.registry.held_count
        )
        self.metrics.register_gauge("placed", lambda: self.dispatch.request_count)
        return supervisor

    def _build_explain_sources(self) -> ExplainSources:
        return ExplainSources(
            self._settings.host_id,
            self._settings.zone,
            self._settings.zones,
            lambda: self._route_table,
            self._find_dispatcher,
            lambda: self._is_holding_servers,
            self.dispatch,
            self.registry,
            self._pacer,
            self.rests,
            self._loop.time,
        )

    def _find_dispatcher(self, zone: str) -> tuple[str, str]:
        """Return which host dispatches for a zone, as far as this one knows.

        Returns:
            The id of the host, and the zone whose servers it uses; empty for all.
        """
        settings = self._settings
        domain = find_domain(self.links.entry_host_count, zone)
        own = _OwnLink(
            settings.peer_address,
            LinkHello(host_id=settings.host_id, zone=settings.zone),
            self._availability.since,
        )
        links = sorted(
            [own, *self._peer_links.links_up()], key=lambda link: link.address
        )
        return choose_link(links, domain).peer.host_id, domain

    def _build_relay_server(self) -> Http1Server:
        relay = RelayService(
            self._dialect,
            self._pool,
            self.registry.get,
            lambda server_id: False,
            _is_never_cut_off,
            _MAX_RELAYED_REQUESTS,
            self.rests,
            self._notices,
            self.metrics,
        )
        address = self._settings.relay_address
        return Http1Server(
            address,
            relay.handle,
            lambda: RELAY_LIMITS,
            "other hosts",
            self._memory,
            RELAY_SHARE,
            shed_headers=RELAY_SHED_HEADERS,
        )

    def _count_cold_servers(self) -> int:
        return sum(self.cold_servers.is_cold(e.server_id) for e in self.registry)

    def _get_services(self):
        return (
            self._route_table.configuration.services_by_name
            if self._route_table
            else {}
        )

    def _build_hello(self) -> LinkHello:
        # After a suspension, the time before it must not count as available.
        self._observe_availability()
        covered_s = (
            self.versions.history.covered_s(self._loop.time())
            if self._is_in_contact()
            else 0.0
        )
        return LinkHello(
            host_id=self._settings.host_id,
            zone=self._settings.zone,
            is_control=True,
            version=encode_version(self.state.version),
            available_ms=int((self._loop.time() - self._availability.since) * 1_000),
            servers_covered_ms=int(covered_s * 1_000),
            relay_address=self._settings.relay_address,
            keeps_departures=True,
            keeps_evacuations=True,
            keeps_version_zero=True,
            scopes_departures=True,
        )

    def _observe_availability(self) -> None:
        now = self._loop.time()
        if not self._availability.observe(now, self.configurations.confirmed_at):
            return
        logger.warning(
            "this host was suspended or disconnected from other control hosts; its "
            "period of availability restarts"
        )
        self.versions.history.restart(now)
        self.links.send_hello()

    def _is_in_contact(self) -> bool:
        """Return whether no server announced to another control host can be missed."""
        self._observe_availability()
        lost = self._lost_peers.intersection(self.member_addresses())
        return not lost and not any(
            link.is_silent for link in self._peer_links.links_up()
        )

    def member_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of all known control hosts."""
        return self.log_runner.member_addresses()

    def _other_control_hosts(self) -> list[str]:
        own_address = self._settings.peer_address
        return [
            a for a in (*self.member_addresses(), *self._seeds()) if a != own_address
        ]

    def _apply_configuration(self, document: VersionedDocument) -> None:
        try:
            configuration = self._dialect.decode_configuration(document.document())
        except CheckFailedError as error:
            # The document was checked before it was accepted, but possibly by a host
            # that runs another version of this program.
            logger.error(
                "can't decode configuration version %d: %s", document.version, error
            )
            return
        self._route_table = RouteTable(configuration)
        self.cold_servers.configure(configuration.services_by_name)
        self.dispatch.configure(configuration.services_by_name)
        self.registry.set_services(configuration.services_by_name)
        logger.info("configuration version %d applied", document.version)

    def _publish_server(self, entry: ServerEntry) -> None:
        logger.info(
            "server entry changed: %s", entry, extra={"event": _describe_server(entry)}
        )
        self.binding_file.append(self.versions.record_entry(entry))
        # The hosts get the zones themselves, in one message.
        if not self._is_applying_evacuations:
            self.links.send_entry(entry, not self._is_handling_link_message)
        if not self._is_holding_servers:
            self.dispatch.put_server(entry)

    async def _catch_up(self) -> None:
        """Hold the servers back until this host knows all evacuations."""
        started_at = self._loop.time()
        while self._is_holding_servers:
            log = self.log_runner.log
            has_caught_up = log is not None and log.has_caught_up
            waited_s = self._loop.time() - started_at
            if has_caught_up or waited_s > _MAX_CATCH_UP_S:
                self._publish_held_servers()
                logger.info(
                    "servers are used from now on, %.3f s after the start (the log has "
                    "caught up: %s)",
                    waited_s,
                    has_caught_up,
                )
            await asyncio.sleep(_CATCH_UP_POLL_S)

    def _publish_held_servers(self) -> None:
        self._is_holding_servers = False
        for entry in list(self.registry):
            self.links.send_entry(entry, is_direct=False)
            self.dispatch.put_server(entry)

    def _keeps_evacuations(self) -> bool:
        """Return whether all linked control hosts keep evacuations."""
        links = self._peer_links.links_up()
        return self.links.keeps_evacuations and all(
            link.peer.keeps_evacuations for link in links
        )

    def _keeps_version_zero(self) -> bool:
        """Return whether all linked control hosts keep a document of version 0."""
        links = self._peer_links.links_up()
        return self.links.keeps_version_zero and all(
            link.peer.keeps_version_zero for link in links
        )

    def _apply_own_evacuations(self) -> None:
        self._apply_evacuations(
            self.state.evacuation_order, self.state.find_evacuated_zones()
        )

    def _apply_evacuations(self, order: int, zones: Iterable[str]) -> None:
        self._is_applying_evacuations = True
        try:
            is_new = self.evacuated_zones.merge(order, zones, self._loop.time())
        finally:
            self._is_applying_evacuations = False
        if is_new:
            self.links.send_evacuations()

    def _handle_peer_link_change(self, link: HostLink) -> None:
        now = self._loop.time()
        if not link.is_up:
            self._lost_peers.add(link.address)
            return
        if link.address in self._lost_peers:
            self._lost_peers.discard(link.address)
            # Servers that announced themselves there meanwhile were missed.
            self.versions.history.restart(now)
        self.versions.history.adopt_coverage(link.peer.servers_covered_ms / 1_000, now)
        send_all_bindings(link, self.versions.table, now)
        self.departures.hand_over(link)

    def _handle_departures(self, link: InboundLink, record: Departures) -> None:
        # The host that sent them tells the others itself.
        self._is_handling_link_message = True
        try:
            self.departures.handle_departures(link, record)
        finally:
            self._is_handling_link_message = False

    def _handle_link_message(self, link: HostLink, message: LinkMessage) -> None:
        self._is_handling_link_message = True
        try:
            body = message.WhichOneof("body")
            if body in ("server", "renewals", "leaving", "evacuations"):
                self._handle_directory_message(message)
            elif body == "quarantine":
                self.links.receive_quarantine(message.quarantine)
            elif body == "crash":
                self.dispatch.add_crash_evidence(
                    decode_crash(message.crash, self._loop.time())
                )
            elif body == "limit":
                self.links.receive_limit(message.limit)
            elif body == "departures_recorded":
                self.departures.handle_answer(link, message.departures_recorded.number)
            elif body == "held_prompts":
                for held in decode_held_prompts(message.held_prompts):
                    self.dispatch.record_held_prompt(held)
        finally:
            self._is_handling_link_message = False

    def _handle_directory_message(self, message: LinkMessage) -> None:
        """Apply what another control host knows of the backend servers."""
        body = message.WhichOneof("body")
        if body == "server" and not message.server.is_silent:
            announcement = decode_announcement(message.server)
            self.registry.apply_announcement(announcement, self._loop.time())
        elif body == "renewals":
            renewals = message.renewals
            self.registry.renew(
                renewals.server_ids, self._loop.time(), renewals.age_ms / 1_000
            )
        elif body == "leaving":
            self.links.mark_leaving(decode_leaving(message.leaving))
        elif body == "evacuations":
            # This host's log may not have caught up yet.
            record = message.evacuations
            self._apply_evacuations(record.order, record.zones)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._observe_availability()
            now = self._loop.time()
            self.registry.expire(now)
            removed_ids = self.registry.prune(now)
            for server_id in removed_ids:
                self.limits.remove_server(server_id)
                self.rests.remove_server(server_id)
            self.versions.history.remove_servers(removed_ids, now)
            self.versions.table.remove_expired(now)
            self.departures.remove_expired(now)
            self._pool.close_expired()

    async def start(self) -> None:
        """Start all tasks under the supervisor."""
        self._task = asyncio.create_task(self._supervisor.run())
        logger.info(
            "control host %s started",
            self._settings.host_id,
            extra={"event": build_host_event("started")},
        )

    async def wait_for_failure(self) -> None:
        """Wait until this host fails, and raise the cause."""
        await asyncio.shield(self._task)

    async def drain(self) -> None:
        """Transfer leadership and finish the calls in progress."""
        logger.info(
            "control host %s is draining",
            self._settings.host_id,
            extra={"event": build_host_event("draining")},
        )
        self._server.stop_listening()
        self._server.close_connections_when_idle()
        await self.log_runner.step_down()
        await asyncio.sleep(_DRAIN_WAIT_S)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


def _describe_server(entry: ServerEntry) -> dict[str, object]:
    """Return the event of a changed backend server."""
    announcement = entry.announcement
    change = "silent" if entry.is_silent else announcement.state.value
    return build_server_event(announcement.server_id, announcement.service, change)
