"""Links of other hosts to this control host."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grpclib.server import Stream

from galenadrum._internal.configuration.route_table import RouteTable
from galenadrum._internal.configuration.state import (
    ConfigurationState,
    VersionedDocument,
)
from galenadrum._internal.control.routing.configurations import Configurations
from galenadrum._internal.directory.registry import Registry, ServerEntry
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.dispatch.messages import (
    PlacementNews,
    PlacementOutcome,
    PlacementRefusal,
)
from galenadrum._internal.gateway.link_codec import (
    RemotePlacementRequest,
    encode_entry,
    encode_news,
)
from galenadrum._internal.network.frame_link import InboundLink
from galenadrum._internal.protocol import gateway_pb2 as pb
from galenadrum._internal.protocol.gateway_grpc import GatewayControlBase

logger = logging.getLogger(__name__)

_RENEWAL_INTERVAL_S = 1.0
_RETRY_AFTER_NO_ROUTE_S = 0.5


class LinkService(GatewayControlBase):
    """Serves links: configuration, directory, confirmations, placements.

    Args:
        hello: Returns what this host says of itself.
        members: Returns the addresses of all control hosts.
        table: Returns the look-ups of the configuration held.
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
    ) -> None:
        self._hello = hello
        self._members = members
        self._registry = registry
        self._state = state
        self._configurations = configurations
        self._dispatch = dispatch
        self._table = table
        self._loop = asyncio.get_running_loop()
        self._links: set[InboundLink] = set()
        self._requests_by_link: dict[InboundLink, set[str]] = {}
        self._heard_ids: set[str] = set()
        self._told_hosts: tuple[tuple[str, ...], int] = ((), 0)
        state.add_listener(self._send_document)

    @property
    def entry_host_count(self) -> int:
        """Number of entry hosts with a link."""
        return sum(not link.peer.is_control for link in self._links)

    async def Link(self, stream: Stream) -> None:  # noqa: N802
        """Serve a link until its other side is gone."""
        link = InboundLink(stream)
        try:
            await link.serve(self._take)
        finally:
            self._forget(link)

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Accept a configuration that another control host was given."""
        request = await stream.recv_message()
        document = VersionedDocument(request.version, request.compressed)
        await stream.send_message(await self._configurations.submit_here(document))

    async def NewestVersion(self, stream: Stream) -> None:  # noqa: N802
        """Confirm the newest version to another control host."""
        await stream.recv_message()
        await stream.send_message(await self._configurations.newest_version_here())

    def heard(self, server_id: str) -> None:
        """Note that a server announced itself here."""
        self._heard_ids.add(server_id)

    def send_entry(self, entry: ServerEntry, is_direct: bool) -> None:
        """Tell the links of a change; control hosts only of what came here."""
        message = encode_entry(entry, self._loop.time())
        for link in self._links:
            if is_direct or not link.peer.is_control:
                link.send(message)

    def send_hello(self) -> None:
        """Tell all links anew what this host says of itself."""
        self._broadcast(pb.LinkMessage(hello=self._hello()))

    async def run(self) -> None:
        """Tell control hosts of renewals, and all of changed control hosts."""
        while True:
            await asyncio.sleep(_RENEWAL_INTERVAL_S)
            if self._heard_ids:
                renewals = pb.Renewals(
                    server_ids=sorted(self._heard_ids),
                    age_ms=int(_RENEWAL_INTERVAL_S * 1_000),
                )
                self._heard_ids.clear()
                self._broadcast(pb.LinkMessage(renewals=renewals), is_control=True)
            self._tell_hosts()

    def _tell_hosts(self) -> None:
        hosts = (self._members(), self.entry_host_count)
        if hosts != self._told_hosts and hosts[0]:
            self._told_hosts = hosts
            self._broadcast(self._hosts_message())

    def _hosts_message(self) -> pb.LinkMessage:
        return pb.LinkMessage(
            control_hosts=pb.ControlHosts(
                addresses=self._members(), entry_hosts=self.entry_host_count
            )
        )

    def _broadcast(
        self, message: pb.LinkMessage, is_control: bool | None = None
    ) -> None:
        for link in self._links:
            if is_control is None or link.peer.is_control == is_control:
                link.send(message)

    def _send_document(self, document: VersionedDocument) -> None:
        self._broadcast(_document_message(document), is_control=False)

    def _take(self, link: InboundLink, message: pb.LinkMessage) -> None:
        body = message.WhichOneof("body")
        if body == "hello":
            self._welcome(link, message.hello)
        elif body == "ping":
            link.send(self._configurations.pong(message.ping))
        elif body == "place":
            self._place(link, message.place)
        elif body == "report":
            self._report(link, message.report)
        else:
            logger.warning("unexpected %s from %s", body, link.peer.host_id)

    def _welcome(self, link: InboundLink, peer: pb.LinkHello) -> None:
        link.peer = peer
        self._links.add(link)
        self._requests_by_link[link] = set()
        logger.info("host %s is linked", peer.host_id)
        link.send(pb.LinkMessage(hello=self._hello()))
        if self._members():
            link.send(self._hosts_message())
        current = self._state.current
        if (
            current is not None
            and not peer.is_control
            and (peer.version < current.version)
        ):
            link.send(_document_message(current))
        now = self._loop.time()
        for entry in self._registry:
            link.send(encode_entry(entry, now))

    def _forget(self, link: InboundLink) -> None:
        if link in self._links:
            self._links.discard(link)
            logger.info("host %s is no longer linked", link.peer.host_id)
        self._dispatch.abandon(list(self._requests_by_link.pop(link, ())))

    def _place(self, link: InboundLink, record: pb.PlacementRequest) -> None:
        remote = RemotePlacementRequest(record)
        table = self._table()
        route = table.find_named(remote.route_name) if table is not None else None
        if route is None:
            refusal = PlacementRefusal(
                record.request_id, "unknown_route", _RETRY_AFTER_NO_ROUTE_S
            )
            link.send(encode_news(refusal, self._loop.time()))
            return
        self._requests_by_link[link].add(record.request_id)

        def reply(news: PlacementNews) -> None:
            if isinstance(news, PlacementRefusal):
                self._requests_by_link.get(link, set()).discard(news.request_id)
            link.send(encode_news(news, self._loop.time()))

        request = remote.resolve(route, self._loop.time())
        self._dispatch.submit(request, record.domain, reply)

    def _report(self, link: InboundLink, record: pb.PlacementReport) -> None:
        outcome = PlacementOutcome(record.outcome)
        if outcome in (
            PlacementOutcome.FINISHED,
            PlacementOutcome.FAILED,
            PlacementOutcome.CANCELLED,
        ):
            self._requests_by_link[link].discard(record.request_id)
        self._dispatch.report(record.request_id, record.server_id, outcome)


def _document_message(document: VersionedDocument) -> pb.LinkMessage:
    return pb.LinkMessage(
        configuration=pb.ConfigurationDocument(
            version=document.version, compressed=document.compressed
        )
    )
