"""Zone membership on an entry host: its state, links and gRPC handlers."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server

from galenadrum._internal.membership.announcement_results import (
    AnnouncementResult,
    RejectReason,
)
from galenadrum._internal.membership.digest_peers import (
    DigestPeers,
    is_digest_sender,
)
from galenadrum._internal.membership.digests import (
    MAX_STAGES,
    DigestTable,
    PeerDigest,
    StageLoad,
)
from galenadrum._internal.membership.exchange import ZoneExchange
from galenadrum._internal.membership.hosts import ControlReach, HostTable
from galenadrum._internal.membership.messages import CloseReason
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.membership.renewal_inbox import RenewalInbox
from galenadrum._internal.membership.reporter_election import elect_reporter
from galenadrum._internal.membership.zone_codec import decode_digest, encode_digest
from galenadrum._internal.membership.zone_dialer import ZoneDialer
from galenadrum._internal.membership.zone_driver import ZoneDriver, ZoneStream
from galenadrum._internal.models.servers import Announcement, ServerState, ZoneDigest
from galenadrum._internal.models.settings import EntrySettings
from galenadrum._internal.network.peer_link import ServerStream, open_stream
from galenadrum._internal.protocol import zone_pb2
from galenadrum._internal.protocol.zone_grpc import ZoneBase, ZoneStub
from galenadrum._internal.supervision.supervisor import Supervisor
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_SHARE_DIGESTS_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Status of a zone as this entry host sees it, for metrics and operators.

    Attributes:
        host_ids: Ids of the zone's live entry hosts, including this one.
        servers: Number of backend servers that accept new work.
        links: Number of open links to other entry hosts.
        closed_link_count_by_reason: Number of links that this host closed since it
            started.
        rejected_by_reason: Number of announcements that this host rejected since
            it started.
        digest_zones: Other zones of which this host holds a digest.
    """

    host_ids: tuple[str, ...]
    servers: int
    links: int
    closed_link_count_by_reason: dict[CloseReason, int]
    rejected_by_reason: dict[RejectReason, int]
    digest_zones: tuple[str, ...]


class ZoneService(ZoneBase):
    """Maintains the zone's membership on one entry host.

    Construct it on the event loop, register it as a grpclib handler at
    ``settings.peer_address``, and run ``supervisor(...)``. Call all methods on the
    event loop.

    Args:
        settings: This host's settings.
        rng: Source of jitter and random choices.
        on_change: Called after servers joined, left, changed or reported.
        local_loads: Returns the load of this zone's stages, to be sent to other zones.
        open_link: Opens a stream to a peer on a new connection.
    """

    def __init__(
        self,
        settings: EntrySettings,
        rng: random.Random,
        on_change: Callable[[], None] | None = None,
        local_loads: Callable[[], Iterable[StageLoad]] = tuple,
        open_link: Callable[[str], AbstractAsyncContextManager[ZoneStream]]
        | None = None,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._local_loads = local_loads
        now = asyncio.get_running_loop().time()
        self.registry = ServerRegistry(settings.zone)
        self.hosts = HostTable(settings.host_id, settings.peer_address, now)
        self.digests = DigestTable(settings.zone)
        self.exchange = ZoneExchange(
            self.registry, self.hosts, self.digests, settings.zone
        )
        self.driver = ZoneDriver(self.exchange, on_change)
        self._dialer = ZoneDialer(
            self.driver,
            settings.peer_address,
            settings.zone_peer_addresses,
            open_link or open_zone_link,
            rng,
        )
        self.renewals = RenewalInbox(asyncio.get_running_loop().time)
        self._rejected_by_reason: Counter[RejectReason] = Counter()
        self._channels_by_address: dict[str, grpclib.client.Channel] = {}
        self._digest_peers = DigestPeers(settings.other_zone_addresses, rng)

    def supervisor(self, name: str = "membership") -> Supervisor:
        """Return a supervisor of all membership tasks."""
        supervisor = Supervisor(name, self._rng)
        supervisor.add("exchange", self.driver.run)
        for slot in range(self._dialer.slot_count):
            supervisor.add(
                f"link-{slot}", lambda slot=slot: self._dialer.run_slot(slot)
            )
        if self._settings.other_zone_addresses:
            supervisor.add("digests", self.run_digests)
        return supervisor

    def record_announcement(
        self, announcement: Announcement, peer_ip: str | None = None
    ) -> AnnouncementResult:
        """Process an announcement that a backend server sent to this host."""
        self.apply_renewals()
        result = self.exchange.apply_announcement(announcement, self._now(), peer_ip)
        if not result.accepted:
            self._rejected_by_reason[result.rejection.reason] += 1
            logger.warning(
                "announcement of %r rejected: %s",
                announcement.server_id[:128],
                result.rejection.message,
                extra={"reason": str(result.rejection.reason)},
            )
        self.driver.request_tick()
        return result

    def record_announcement_body(
        self, announcement: Announcement, body: bytes, peer_ip: str | None
    ) -> AnnouncementResult:
        """Process an announcement; if accepted, store it for ``renewals`` to compare.

        Args:
            announcement: Announcement parsed from ``body``.
            body: Request body as received.
            peer_ip: IP address of the connection's other end.
        """
        self.renewals.discard_announcement(announcement.server_id)
        result = self.record_announcement(announcement, peer_ip)
        if result.accepted and announcement.state is ServerState.SERVING:
            entry = self.registry.entry_by_id(announcement.server_id)
            self.renewals.hold_announcement(
                body, peer_ip, entry.ref, announcement.ttl_s, result.renew_after_s
            )
        return result

    def apply_renewals(self) -> None:
        """Renew leases in the registry with renewals that worker threads accepted.

        Call it at least every ``DRAIN_INTERVAL_S``.
        """
        now = self._now()
        renewals_by_id = self.renewals.drain_renewals()
        for server_id, renewal in renewals_by_id.items():
            if not self.exchange.apply_renewal(renewal, now):
                self.renewals.discard_announcement(server_id)
        if renewals_by_id:
            self.renewals.discard_unknown_servers(
                self.registry.ids(), self.registry.size
            )
            self.driver.request_tick()

    def set_revision(self, revision: int) -> None:
        """Publish to the zone the revision that this host serves from."""
        self.exchange.update_host(self._now(), revision=revision)
        self.driver.request_tick()

    def set_leaving(self) -> None:
        """Publish to the zone that this host is shutting down."""
        self.exchange.update_host(self._now(), leaving=True)
        self.driver.request_tick()

    def set_control_reach(self, reached: bool) -> None:
        """Publish whether this host follows the declarations of a control host."""
        reach = ControlReach.REACHED if reached else ControlReach.UNREACHED
        if reach is not self.hosts.own.control:
            self.exchange.update_host(self._now(), control=reach)
            self.driver.request_tick()

    def is_reporter(self) -> bool:
        """Return whether this host reports the zone's engines to the control hosts."""
        live = self.hosts.list_live_hosts(self._now())
        return elect_reporter(live) == self._settings.host_id

    def servers(self) -> tuple[Announcement, ...]:
        """Return the zone's backend servers that accept new work."""
        return self.registry.servers(self._now())

    def digests_by_stage(self) -> dict[str, tuple[ZoneDigest, ...]]:
        """Return the load and free capacity of other zones, by stage name."""
        return self.digests.digests_by_stage(self._now())

    def status(self) -> ZoneStatus:
        """Return this host's view of the zone."""
        now = self._now()
        return ZoneStatus(
            host_ids=tuple(host.host_id for host in self.hosts.list_live_hosts(now)),
            servers=len(self.registry.servers(now)),
            links=self.driver.link_count,
            closed_link_count_by_reason=dict(self.exchange.closed_link_count_by_reason),
            rejected_by_reason=dict(self._rejected_by_reason),
            digest_zones=self.digests.zones(),
        )

    async def Exchange(  # noqa: N802
        self,
        stream: grpclib.server.Stream[zone_pb2.ZoneMessage, zone_pb2.ZoneMessage],
    ) -> None:
        """Serve a link that another entry host of the zone dialled."""
        await self.driver.run_link(ServerStream(stream))

    async def ShareDigests(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            zone_pb2.ShareDigestsRequest, zone_pb2.ShareDigestsResponse
        ],
    ) -> None:
        """Record another zone's digest and reply with this zone's."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            self._record_digest(decode_digest(request.digest))
        except ValueError as error:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(error)
            ) from error
        response = zone_pb2.ShareDigestsResponse(
            digest=encode_digest(self._build_digest())
        )
        await stream.send_message(response)

    async def run_digests(self) -> None:
        """Exchange digests with other zones while this host is the zone's sender."""
        try:
            await self._run_digests()
        finally:
            self._close_channels_except(())

    async def _run_digests(self) -> None:
        while True:
            interval_s = self.digests.exchange_interval_s()
            await asyncio.sleep(interval_s * (0.9 + 0.2 * self._rng.random()))
            live_ids = (
                host.host_id for host in self.hosts.list_live_hosts(self._now())
            )
            if not is_digest_sender(self._settings.host_id, live_ids):
                self._close_channels_except(())
                continue
            addresses = self._digest_peers.select_addresses(self._now())
            self._close_channels_except(addresses)
            await asyncio.gather(*map(self._share_digest, addresses))

    def _close_channels_except(self, addresses: Collection[str]) -> None:
        """Close the channels to all addresses that aren't in ``addresses``."""
        for address in list(self._channels_by_address):
            if address not in addresses:
                self._channels_by_address.pop(address).close()

    def _get_channel(self, address: str) -> grpclib.client.Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = grpclib.client.Channel(host, port)
            self._channels_by_address[address] = channel
        return channel

    async def _share_digest(self, address: str) -> None:
        request = zone_pb2.ShareDigestsRequest(
            digest=encode_digest(self._build_digest())
        )
        try:
            response = await ZoneStub(self._get_channel(address)).ShareDigests(
                request, timeout=_SHARE_DIGESTS_TIMEOUT_S
            )
            digest = decode_digest(response.digest)
        except (
            OSError,
            TimeoutError,
            ValueError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
        ) as error:
            logger.debug(
                "digest exchange with entry host %s failed: %s", address, error
            )
            self._digest_peers.failed(address, self._now())
            # The connection may be dead without a reset; the next call opens a new one.
            self._channels_by_address.pop(address).close()
        else:
            self._digest_peers.succeeded(address, digest.zone)
            self._record_digest(digest)

    def _record_digest(self, digest: PeerDigest) -> None:
        self.exchange.add_digest(digest, self._now())
        self.driver.request_tick()

    def _build_digest(self) -> PeerDigest:
        return PeerDigest(
            zone=self._settings.zone,
            entry_address=self._settings.caller_address,
            serial=self._rng.getrandbits(64),
            age_s=0.0,
            stages=tuple(self._local_loads())[:MAX_STAGES],
            region=self._settings.region,
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def open_zone_link(address: str) -> AbstractAsyncContextManager[ZoneStream]:
    """Open an exchange stream to another entry host on a new connection."""
    return open_stream(
        address, lambda channel: ZoneStub(channel).Exchange, _CONNECT_TIMEOUT_S
    )
