"""gRPC service for the links of other hosts to this control host."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

from grpclib.server import Stream

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
)
from galenadrum._internal.configuration.versions import decode_version
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.control.routing.evacuations import EvacuationOrders
from galenadrum._internal.directory.evacuated_zones import EvacuatedZones
from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.directory.server_limits import ServerLimits
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.dispatch.messages import (
    PlacementOutcome,
    PlacementRefusal,
    PlacementUpdate,
)
from galenadrum._internal.gateway.link_codec import (
    RemotePlacementRequest,
    decode_bindings,
    decode_crash,
    decode_leaving,
    decode_limit,
    decode_load,
    decode_outcome,
    decode_quarantine,
    encode_crash,
    encode_evacuations,
    encode_held_prompts,
    encode_leaving,
    encode_limit,
    encode_placement_update,
    encode_quarantine,
    encode_server_entry,
)
from galenadrum._internal.gateway.permits import grant_permit
from galenadrum._internal.models.announcements import Announcement, LeavingServer
from galenadrum._internal.models.quarantine import QuarantinedPart
from galenadrum._internal.models.server_limits import ServerLimit
from galenadrum._internal.models.stream_bindings import StreamBinding
from galenadrum._internal.network.host_link import InboundLink
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.protocol.gateway_grpc import GatewayControlBase
from galenadrum._internal.quarantine.part_quarantine import PartQuarantine
from galenadrum._internal.quarantine.request_digest import describe_suspect
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.server_room import ServerRoom
from galenadrum._internal.streams.binding_table import BindingTable

logger = logging.getLogger(__name__)

_RENEWAL_INTERVAL_S = 1.0
# What engines hold is told to other control hosts this often between renewals.
_CACHE_NEWS_PER_RENEWAL = 4
_UNKNOWN_ROUTE_RETRY_AFTER_S = 0.5
# Entry hosts that are named to the others for forwarding; a zone that is cut off as a
# whole has to find one outside.
_MAX_ENTRY_RELAYS = 24


class LinkService(GatewayControlBase):
    """Serves links of entry hosts and of other control hosts.

    Links carry the configuration, the server directory, confirmations of the newest
    configuration version, placements, quarantined prompt parts, and the limits that
    servers name with the permits for requests to them.

    Args:
        hello: Returns the hello message that describes this host.
        members: Returns the peer addresses of all control hosts.
        registry: Directory of the backend servers.
        state: Replicated configuration state.
        configurations: Accepts configurations and confirms the newest version.
        dispatch: Places requests on backend servers.
        table: Returns the route table of the current configuration; None if there
            is no configuration yet.
        quarantine: Quarantined prompt parts that this host knows.
        limits: Limits that the servers name.
        pacer: Spaces the requests to servers that name a limit.
        room: Requests of all hosts at brittle servers.
        bindings: Bindings of streams that this host knows.
        save_bindings: Queues bindings for this host's disk.
        receive_departures: Handles departures that another control host sends.
        save_quarantines: Queues the quarantines for this host's disk.
        evacuations: Submits orders to evacuate zones.
        evacuated_zones: Evacuated zones as this host knows them.
        holds_servers: Returns whether servers aren't sent to entry hosts yet.
    """

    def __init__(
        self,
        hello: Callable[[], pb.LinkHello],
        members: Callable[[], tuple[str, ...]],
        registry: Registry,
        state: ConfigurationState,
        configurations: Configurations,
        dispatch: DispatchDriver,
        table: Callable[[], RouteTable | None],
        quarantine: PartQuarantine,
        limits: ServerLimits,
        pacer: RequestPacer,
        room: ServerRoom,
        bindings: BindingTable,
        save_bindings: Callable[[Iterable[StreamBinding]], None],
        receive_departures: Callable[[InboundLink, pb.Departures], None],
        save_quarantines: Callable[[], None],
        evacuations: EvacuationOrders,
        evacuated_zones: EvacuatedZones,
        holds_servers: Callable[[], bool],
    ) -> None:
        self._hello = hello
        self._members = members
        self._registry = registry
        self._state = state
        self._configurations = configurations
        self._dispatch = dispatch
        self._get_route_table = table
        self._quarantine = quarantine
        self._limits = limits
        self._pacer = pacer
        self._room = room
        self._bindings = bindings
        self._save_bindings = save_bindings
        self._save_quarantines = save_quarantines
        self._evacuations = evacuations
        self._evacuated_zones = evacuated_zones
        self._holds_servers = holds_servers
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self._links: set[InboundLink] = set()
        self._request_ids_by_link: dict[InboundLink, set[str]] = {}
        self._renewed_server_ids: set[str] = set()
        self._last_broadcast_hosts: tuple[object, ...] = ((), 0, ())
        self._relays: tuple[pb.RelayHost, ...] = ()
        self._handlers_by_body: dict[str, Callable[[InboundLink, Any], None]] = {
            "hello": self._handle_hello,
            "ping": self._handle_ping,
            "place": self._handle_placement_request,
            "report": self._handle_placement_report,
            "crash": self._handle_crash,
            "quarantine": lambda _, record: self.receive_quarantine(record),
            "limit": lambda _, record: self.receive_limit(record),
            "leaving": lambda _, record: self.mark_leaving(decode_leaving(record)),
            "permit_request": self._handle_permit_request,
            "permit_release": self._handle_permit_release,
            "bindings": self._handle_bindings,
            "departures": receive_departures,
        }
        state.add_listener(self._send_document)

    @property
    def entry_host_count(self) -> int:
        """Number of linked entry hosts."""
        return sum(not link.peer.is_control for link in self._links)

    @property
    def keeps_evacuations(self) -> bool:
        """Whether all control hosts that are linked to this one keep evacuations."""
        return all(peer.keeps_evacuations for peer in self._list_control_peers())

    @property
    def keeps_version_zero(self) -> bool:
        """Whether all linked control hosts keep a document of version 0."""
        return all(peer.keeps_version_zero for peer in self._list_control_peers())

    def _list_control_peers(self) -> list[pb.LinkHello]:
        return [link.peer for link in self._links if link.peer.is_control]

    async def Link(self, stream: Stream) -> None:  # noqa: N802
        """Serve a link until the other host closes it."""
        link = InboundLink(stream)
        try:
            await link.serve(self._handle_message)
        finally:
            self._remove_link(link)

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Accept a configuration that another control host forwards."""
        request = await stream.recv_message()
        document = VersionedDocument(request.version, request.compressed)
        await stream.send_message(await self._configurations.submit_if_leader(document))

    async def SubmitEvacuation(self, stream: Stream) -> None:  # noqa: N802
        """Accept an evacuation order that another control host forwards."""
        request = await stream.recv_message()
        response = await self._evacuations.submit_if_leader(
            request.zone, request.is_active
        )
        await stream.send_message(response)

    async def NewestVersion(self, stream: Stream) -> None:  # noqa: N802
        """Confirm the newest version to another control host."""
        await stream.recv_message()
        await stream.send_message(await self._configurations.confirm_newest_version())

    def record_renewal(self, server_id: str) -> None:
        """Record that a server announced itself to this host."""
        self._renewed_server_ids.add(server_id)

    def send_entry(self, entry: ServerEntry, is_direct: bool) -> None:
        """Send a directory entry to the linked hosts.

        Other control hosts get it only if ``is_direct``, that is if the server
        announced itself to this host.
        """
        message = self._encode_entry(entry)
        for link in self._links if message is not None else ():
            is_wanted = is_direct if link.peer.is_control else not self._holds_servers()
            if is_wanted:
                link.send(message)

    def send_held(self, announcement: Announcement, is_direct: bool) -> None:
        """Send a held announcement, which each host judges by its own configuration.

        Args:
            announcement: The announcement.
            is_direct: As for `send_entry`.
        """
        self.send_entry(ServerEntry(announcement), is_direct)

    def _encode_entry(self, entry: ServerEntry) -> pb.LinkMessage | None:
        """Return the message of an entry; None if it has none, so that others go on."""
        try:
            return encode_server_entry(entry, self._loop.time())
        except (ValueError, TypeError) as error:
            logger.error(
                "%s can't be sent to other hosts, which won't know it: %s", entry, error
            )
            return None

    def send_quarantine(self, record: QuarantinedPart) -> None:
        """Send a quarantined prompt part to all linked hosts."""
        self._save_quarantines()
        self._broadcast(encode_quarantine(record, self._loop.time()))
        logger.info(
            "sent the quarantine of %s (term %d) to hosts %s",
            describe_suspect(record.part_id),
            record.term,
            ",".join(sorted(link.peer.host_id for link in self._links)) or "none",
        )

    def receive_quarantine(self, message: pb.PartQuarantine) -> None:
        """Merge a quarantine of another host, and relay it if it is new here."""
        now = self._loop.time()
        record = decode_quarantine(message, now)
        if self._quarantine.merge(record, now):
            self.send_quarantine(record)

    def send_limit(self, limit: ServerLimit) -> None:
        """Send the limit of a server to all linked hosts."""
        self._broadcast(encode_limit(limit, self._loop.time()))

    def receive_limit(self, message: pb.ServerLimit) -> None:
        """Merge a limit that another host heard, and relay it if it is new here."""
        limit = decode_limit(message, self._loop.time())
        if self._limits.merge(limit):
            self.send_limit(limit)

    def mark_leaving(self, leaving: LeavingServer) -> None:
        """Mark a server as leaving, and tell all linked hosts if that is new here."""
        if self._registry.mark_leaving(leaving, self._loop.time()):
            logger.info(
                "server %s (incarnation %d) is about to stop, as its responses say",
                leaving.server_id,
                leaving.incarnation_ms,
            )
            self._broadcast(encode_leaving(leaving))

    def _handle_permit_request(
        self, link: InboundLink, record: pb.PermitRequest
    ) -> None:
        permit = grant_permit(
            self._room,
            self._pacer,
            link.peer.host_id,
            record.number,
            record.server_id,
            record.max_wait_ms / 1_000,
        )
        answer = pb.Permit(
            number=record.number,
            is_granted=permit.is_granted,
            wait_ms=int(permit.wait_s * 1_000),
            is_for_room=permit.is_for_room,
            server_id=record.server_id,
        )
        link.send(pb.LinkMessage(permit=answer))

    def _handle_permit_release(
        self, link: InboundLink, record: pb.PermitRelease
    ) -> None:
        self._room.release(
            record.server_id,
            link.peer.host_id,
            record.number,
            record.is_rejected,
            self._loop.time(),
        )

    def send_hello(self) -> None:
        """Send an updated hello message on all links."""
        self._broadcast(pb.LinkMessage(hello=self._hello()))

    async def run(self) -> None:
        """Send news to control hosts, and changes of the host list to all."""
        while True:
            for _ in range(_CACHE_NEWS_PER_RENEWAL):
                await asyncio.sleep(_RENEWAL_INTERVAL_S / _CACHE_NEWS_PER_RENEWAL)
                self._send_held_prompts()
            if self._renewed_server_ids:
                renewals = pb.Renewals(
                    server_ids=sorted(self._renewed_server_ids),
                    age_ms=int(_RENEWAL_INTERVAL_S * 1_000),
                )
                self._renewed_server_ids.clear()
                self._broadcast(pb.LinkMessage(renewals=renewals), is_control=True)
            self._broadcast_hosts_if_changed()

    def _send_held_prompts(self) -> None:
        prompts = self._dispatch.held_prompts.take_unsent()
        if prompts:
            self._broadcast(encode_held_prompts(prompts), is_control=True)

    def _broadcast_hosts_if_changed(self) -> None:
        addresses = self._list_relay_addresses()
        hosts = (self._members(), self.entry_host_count, addresses)
        if hosts != self._last_broadcast_hosts and hosts[0]:
            self._last_broadcast_hosts = hosts
            self._relays = self._choose_relays()
            self._broadcast(self._build_hosts_message())

    def _list_relay_addresses(self) -> tuple[str, ...]:
        return tuple(sorted(link.peer.relay_address for link in self._links))

    def _choose_relays(self) -> tuple[pb.RelayHost, ...]:
        """Return hosts that forward requests: control hosts, and some entry hosts."""
        peers = [*(link.peer for link in self._links), self._hello()]
        entries = {p.relay_address for p in peers if not p.is_control}
        controls = {p.relay_address for p in peers if p.is_control}
        chosen = sorted(entries - {""})
        if len(chosen) > _MAX_ENTRY_RELAYS:
            chosen = self._rng.sample(chosen, _MAX_ENTRY_RELAYS)
        return (
            *(pb.RelayHost(address=address) for address in chosen),
            *(
                pb.RelayHost(address=address, is_control=True)
                for address in sorted(controls - {""})
            ),
        )

    def _build_hosts_message(self) -> pb.LinkMessage:
        return pb.LinkMessage(
            control_hosts=pb.ControlHosts(
                addresses=self._members(),
                entry_hosts=self.entry_host_count,
                relays=self._relays,
            )
        )

    def _broadcast(
        self, message: pb.LinkMessage, is_control: bool | None = None
    ) -> None:
        for link in self._links:
            if is_control is None or link.peer.is_control == is_control:
                link.send(message)

    def _send_document(self, document: VersionedDocument) -> None:
        self._broadcast(_encode_document(document), is_control=False)

    def send_evacuations(self) -> None:
        """Send the evacuated zones to all linked hosts."""
        self._broadcast(self._build_evacuations_message())

    def _build_evacuations_message(self) -> pb.LinkMessage:
        known = self._evacuated_zones
        return encode_evacuations(known.order, sorted(known.zones))

    def _handle_message(self, link: InboundLink, message: pb.LinkMessage) -> None:
        body = message.WhichOneof("body")
        handle = self._handlers_by_body.get(body)
        if handle is None:
            logger.warning(
                "unexpected message %s from host %s", body, link.peer.host_id
            )
            return
        if body != "hello" and link not in self._links:
            logger.info(
                "skipped a message %s on a former link of host %s",
                body,
                link.peer.host_id,
            )
            return
        handle(link, getattr(message, body))

    def _handle_ping(self, link: InboundLink, record: pb.LinkPing) -> None:
        link.send(self._configurations.pong(record))

    def _handle_crash(self, _: InboundLink, record: pb.ServerCrash) -> None:
        now = self._loop.time()
        evidence = self._dispatch.record_crash(decode_crash(record, now))
        self._broadcast(encode_crash(evidence, now), is_control=True)

    def _handle_bindings(self, link: InboundLink, record: pb.StreamBindings) -> None:
        bindings = decode_bindings(record, self._loop.time())
        self._save_bindings([b for b in bindings if self._bindings.put(b)])
        if record.number:
            answer = pb.StreamBindingsRecorded(number=record.number)
            link.send(pb.LinkMessage(bindings_recorded=answer))

    def _handle_hello(self, link: InboundLink, peer: pb.LinkHello) -> None:
        self._remove_former_links(link, peer.host_id)
        link.peer = peer
        self._links.add(link)
        self._request_ids_by_link[link] = set()
        logger.info("link of host %s opened", peer.host_id)
        link.send(pb.LinkMessage(hello=self._hello()))
        if self._members():
            link.send(self._build_hosts_message())
        current = self._state.current
        if (
            current is not None
            and not peer.is_control
            and decode_version(peer) < current.version
        ):
            link.send(_encode_document(current))
        # Before the servers, so that the host sends nothing to those of the zones.
        if self._evacuated_zones.order:
            link.send(self._build_evacuations_message())
        now = self._loop.time()
        is_held = self._holds_servers() and not peer.is_control
        held = (ServerEntry(a) for a in self._registry.list_held())
        for entry in (*self._registry, *held) if not is_held else ():
            message = self._encode_entry(entry)
            if message is not None:
                link.send(message)
        for record in self._quarantine.list_records(now):
            link.send(encode_quarantine(record, now))
        for limit in self._limits.list_limits():
            link.send(encode_limit(limit, now))
        for leaving in self._registry.list_leaving():
            link.send(encode_leaving(leaving))

    def _remove_former_links(self, link: InboundLink, host_id: str) -> None:
        """Remove the other links of a host, whose end wasn't noticed here yet.

        Otherwise their end would drop what the host has submitted again since.
        """
        former = [
            other
            for other in self._links
            if other is not link and other.peer.host_id == host_id
        ]
        for other in former:
            logger.info("host %s opened another link; closing the former", host_id)
            self._remove_link(other)
            other.close()

    def _remove_link(self, link: InboundLink) -> None:
        if link in self._links:
            self._links.discard(link)
            logger.info("link of host %s closed", link.peer.host_id)
            self._room.release_all(link.peer.host_id)
        self._dispatch.abandon(list(self._request_ids_by_link.pop(link, ())))

    def _handle_placement_request(
        self, link: InboundLink, record: pb.PlacementRequest
    ) -> None:
        remote = RemotePlacementRequest(record)
        table = self._get_route_table()
        route = (
            table.find_route_by_name(remote.route_name) if table is not None else None
        )
        if route is None:
            refusal = PlacementRefusal(
                record.request_id, "unknown_route", _UNKNOWN_ROUTE_RETRY_AFTER_S
            )
            link.send(encode_placement_update(refusal, self._loop.time()))
            return
        for request_ids in self._request_ids_by_link.values():
            request_ids.discard(record.request_id)
        self._request_ids_by_link[link].add(record.request_id)

        def reply(event: PlacementUpdate) -> None:
            if isinstance(event, PlacementRefusal):
                self._request_ids_by_link.get(link, set()).discard(event.request_id)
            link.send(encode_placement_update(event, self._loop.time()))

        request = remote.resolve(route, self._loop.time(), link.peer.host_id)
        self._dispatch.submit(request, record.domain, reply)

    def _handle_placement_report(
        self, link: InboundLink, record: pb.PlacementReport
    ) -> None:
        outcome = decode_outcome(record)
        if outcome in (
            PlacementOutcome.FINISHED,
            PlacementOutcome.FAILED,
            PlacementOutcome.CANCELLED,
        ):
            self._request_ids_by_link[link].discard(record.request_id)
        self._dispatch.report(
            record.request_id,
            record.server_id,
            outcome,
            record.rest_ms / 1_000,
            decode_load(record),
        )


def _encode_document(document: VersionedDocument) -> pb.LinkMessage:
    return pb.LinkMessage(
        configuration=pb.ConfigurationDocument(
            version=document.version, compressed=document.compressed
        )
    )
