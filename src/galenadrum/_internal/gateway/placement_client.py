"""Requests placements from dispatchers for the requests of an entry host.

The dispatcher of the host's own zone is preferred. When the link to a dispatcher goes
down, its pending requests are submitted again to the next one: those that wait at once,
those that are placed when their server turns them away. Without any link, the host
dispatches for itself.
"""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol, TypeVar

from galenadrum._internal.dispatch.admission import NO_VERSION_REASON
from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    PlacementUpdate,
    StageProgress,
    StageResults,
)
from galenadrum._internal.gateway.link_codec import (
    decode_placement,
    decode_refusal,
    decode_results,
    encode_crash,
    encode_report,
    encode_request,
)
from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.models.server_limits import ServerRest
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.observability.events import build_host_event
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage

logger = logging.getLogger(__name__)

# Up to this many entry hosts, one dispatcher places all requests on the servers of all
# zones; beyond it, each zone has a dispatcher of its own. A request takes a dispatcher
# about a millisecond; a hundred small entry hosts send some 300 requests per second.
_MAX_ENTRY_HOSTS_FOR_SHARED_DISPATCHER = 100
# Control hosts whose availability times are within this of the earliest count as equal;
# the first by address is chosen among them, so that all entry hosts choose the same.
_AVAILABILITY_TOLERANCE_S = 3.0
# Refusal reasons after which the dispatcher of another zone may have capacity.
_OTHER_ZONE_REASONS = frozenset({"overloaded", "no_server", NO_VERSION_REASON})
# Outcomes after which a dispatcher doesn't place a request on the server again.
_EXCLUDING_OUTCOMES = frozenset(
    {PlacementOutcome.REJECTED, PlacementOutcome.UNREACHABLE}
)


class _DispatcherLink(Protocol):
    """A control host that may dispatch, such as the other end of a link."""

    peer: LinkHello
    available_at: float


_LinkT = TypeVar("_LinkT", bound=_DispatcherLink)


@dataclass(slots=True)
class _PendingRequest:
    """A request that is placed or waits for its placement.

    Attributes:
        link: Link to its dispatcher; None if this host dispatches for itself.
        domain: Zone whose servers may be used; empty for all zones.
        answer: Future of the next placement or refusal.
        server_id: Id of the server it is placed on; empty if not placed.
        is_dispatcher_lost: Whether the link to the dispatcher that placed it went down
            since. The dispatcher has dropped it, also if the link is up again.
        excluded_ids: Ids of the servers that turned it away.
        results_by_stage: Stage results so far; kept on this host, so that they
            survive the loss of the dispatcher.
    """

    request: PlacementRequest
    link: HostLink | None
    domain: str
    answer: asyncio.Future[Placement | PlacementRefusal]
    server_id: str = ""
    is_dispatcher_lost: bool = False
    excluded_ids: set[str] = field(default_factory=set)
    results_by_stage: dict[int, StageResults] = field(default_factory=dict)


class PlacementClient:
    """Tracks the placements of this host's requests.

    Args:
        zone: Availability zone of this host.
        links: Returns the links that are up.
        local_dispatcher: Dispatcher of this host, used if no link is up.
        version: Returns the applied configuration version.
        entry_host_count: Returns the number of entry hosts.
        list_rests: Returns the rests that servers asked this host for, at a loop time
            in seconds.
    """

    def __init__(
        self,
        zone: str,
        links: Callable[[], list[HostLink]],
        local_dispatcher: DispatchDriver,
        version: Callable[[], int],
        entry_host_count: Callable[[], int],
        list_rests: Callable[[float], tuple[ServerRest, ...]] = lambda now: (),
    ) -> None:
        self._zone = zone
        self._links_up = links
        self._local_dispatcher = local_dispatcher
        self._version = version
        self._entry_host_count = entry_host_count
        self._list_rests = list_rests
        self._pending_by_request: dict[str, _PendingRequest] = {}
        self._chosen_link: HostLink | None = None
        self._loop = asyncio.get_running_loop()

    async def place(self, request: PlacementRequest) -> Placement | PlacementRefusal:
        """Return the placement of a request once its stages have run, or a refusal."""
        pending = _PendingRequest(request, None, "", self._loop.create_future())
        self._pending_by_request[request.request_id] = pending
        self._submit(pending)
        answer = await pending.answer
        if isinstance(answer, PlacementRefusal):
            answer = await self._try_other_zone(pending, answer)
        return self._record_answer(pending, answer)

    async def request_next_placement(
        self, request_id: str, outcome: PlacementOutcome, rest_s: float = 0.0
    ) -> Placement | PlacementRefusal:
        """Report that a placement failed and wait for the next one.

        Args:
            request_id: Id of the request.
            outcome: Outcome of its placement.
            rest_s: Seconds for which the server asked this host for a rest.
        """
        pending = self._pending_by_request.get(request_id)
        if pending is None:
            return PlacementRefusal(request_id, "unknown", 0.0)
        pending.answer = self._loop.create_future()
        server_id, pending.server_id = pending.server_id, ""
        if outcome in _EXCLUDING_OUTCOMES:
            pending.excluded_ids.add(server_id)
        if pending.is_dispatcher_lost:
            self._submit_again(pending)
        else:
            self._send_report(pending, server_id, outcome, rest_s)
        return self._record_answer(pending, await pending.answer)

    def _record_answer(
        self, pending: _PendingRequest, answer: Placement | PlacementRefusal
    ) -> Placement | PlacementRefusal:
        if isinstance(answer, Placement):
            pending.server_id = answer.server_id
        else:
            self._pending_by_request.pop(answer.request_id, None)
        return answer

    async def _try_other_zone(
        self, pending: _PendingRequest, refusal: PlacementRefusal
    ) -> Placement | PlacementRefusal:
        """Submit a refused request to one other zone if that may have capacity."""
        if refusal.reason not in _OTHER_ZONE_REASONS or not pending.domain:
            return refusal
        others = [
            link
            for link in self._links_up()
            if link.peer.zone not in (self._zone, pending.domain)
        ]
        if not others or self._loop.time() >= pending.request.give_up_at:
            return refusal
        # The hash of the request's id spreads the requests of a zone over the others.
        link = others[zlib.crc32(pending.request.request_id.encode()) % len(others)]
        pending.answer = self._loop.create_future()
        pending.link = link
        pending.domain = link.peer.zone
        self._send_request(pending)
        return await pending.answer

    def report(
        self,
        request_id: str,
        outcome: PlacementOutcome,
        load: ServerLoad | None = None,
    ) -> None:
        """Report the start or the end of a placement to its dispatcher.

        Args:
            request_id: Id of the request.
            outcome: Outcome of its placement.
            load: Load that the server reports; None if it reports none.
        """
        pending = self._pending_by_request.get(request_id)
        if pending is None:
            return
        self._send_report(pending, pending.server_id, outcome, load=load)
        if outcome is not PlacementOutcome.STARTED:
            del self._pending_by_request[request_id]

    def report_crash(self, crash: ServerCrash) -> None:
        """Report a crashed server to the current dispatcher."""
        if self._chosen_link is not None and self._chosen_link.is_up:
            self._chosen_link.send(encode_crash(crash, self._loop.time()))
        else:
            self._local_dispatcher.record_crash(crash)

    def _send_report(
        self,
        pending: _PendingRequest,
        server_id: str,
        outcome: PlacementOutcome,
        rest_s: float = 0.0,
        load: ServerLoad | None = None,
    ) -> None:
        request_id = pending.request.request_id
        if pending.link is None:
            self._local_dispatcher.report(request_id, server_id, outcome, rest_s, load)
        elif pending.link.is_up:
            pending.link.send(
                encode_report(request_id, server_id, outcome, rest_s, load)
            )

    def handle_message(self, link: HostLink, message: LinkMessage) -> None:
        """Handle a placement, refusal or progress message of a dispatcher."""
        body = message.WhichOneof("body")
        if body == "placement":
            self._handle_update(link, decode_placement(message.placement))
        elif body == "refusal":
            self._handle_update(link, decode_refusal(message.refusal))
        elif body == "progress":
            record = message.progress
            results = decode_results(record.results, self._loop.time())
            self._handle_update(link, StageProgress(record.request_id, results))

    def _handle_update(self, link: HostLink | None, update: PlacementUpdate) -> None:
        pending = self._pending_by_request.get(update.request_id)
        if pending is None or pending.link is not link:
            return
        if isinstance(update, StageProgress):
            pending.results_by_stage[update.results.stage] = update.results
        elif not pending.answer.done():
            pending.answer.set_result(update)

    def handle_link_loss(self, link: HostLink) -> None:
        """Submit requests again that waited at a dispatcher whose link is down.

        A request that it has placed is submitted again only if its server turns it
        away.
        """
        for pending in list(self._pending_by_request.values()):
            if pending.link is not link:
                continue
            if pending.answer.done():
                pending.is_dispatcher_lost = True
            else:
                self._submit_again(pending)

    def _submit_again(self, pending: _PendingRequest) -> None:
        """Submit a request whose dispatcher is lost, with what is known of it."""
        now = self._loop.time()
        results = tuple(pending.results_by_stage.values())
        pending.request = replace(
            pending.request,
            is_resumed=True,
            results=results,
            rests=self._list_rests(now),
            excluded_ids=tuple(sorted(pending.excluded_ids)),
        )
        pending.is_dispatcher_lost = False
        self._submit(pending)
        logger.info(
            "submitted placement request again with the results of %d stages, "
            "excluding %d servers",
            len(results),
            len(pending.excluded_ids),
            extra={"request_id": pending.request.request_id},
        )

    def _submit(self, pending: _PendingRequest) -> None:
        pending.domain = find_domain(self._entry_host_count(), self._zone)
        pending.link = self._choose_link(pending.domain)
        self._watch_dispatcher(pending.link)
        self._send_request(pending)

    def _watch_dispatcher(self, link: HostLink | None) -> None:
        """Ping the current dispatcher often and the previous one at the usual rate."""
        if link is self._chosen_link:
            return
        if self._chosen_link is not None:
            self._chosen_link.watch(False)
        if link is not None:
            link.watch(True)
            logger.info(
                "using host %s as the dispatcher",
                link.peer.host_id,
                extra={"event": build_host_event(f"dispatcher is {link.peer.host_id}")},
            )
        self._chosen_link = link

    def _send_request(self, pending: _PendingRequest) -> None:
        if pending.link is None:
            self._local_dispatcher.submit(
                pending.request, pending.domain, lambda n: self._handle_update(None, n)
            )
            return
        now = self._loop.time()
        pending.link.send(
            encode_request(pending.request, pending.domain, self._version(), now)
        )

    def _choose_link(self, domain: str) -> HostLink | None:
        return choose_link(self._links_up(), domain)


def find_domain(entry_host_count: int, zone: str) -> str:
    """Return the zone whose servers the dispatcher of a zone uses, empty for all."""
    is_shared = entry_host_count <= _MAX_ENTRY_HOSTS_FOR_SHARED_DISPATCHER
    return "" if is_shared else zone


def choose_link(links: Sequence[_LinkT], domain: str = "") -> _LinkT | None:
    """Return the link to the control host in charge, the same on all entry hosts.

    Args:
        links: Links that are up, sorted by address.
        domain: Zone whose control hosts are preferred; empty for none.
    """
    own = [link for link in links if link.peer.zone == domain]
    candidates = own or links
    if not candidates:
        return None
    earliest_at = min(link.available_at for link in candidates)
    return next(
        link
        for link in candidates
        if link.available_at <= earliest_at + _AVAILABILITY_TOLERANCE_S
    )
