"""Asks dispatchers for places on behalf of an entry host's requests.

The dispatcher of the own zone is asked first. When the link to it goes down, its
requests are asked for anew at the next one; without any, the host dispatches
for itself.
"""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from galenadrum._internal.dispatch.driver import DispatchDriver
from galenadrum._internal.dispatch.messages import (
    Placement,
    PlacementNews,
    PlacementOutcome,
    PlacementRefusal,
    PlacementRequest,
    StageProgress,
    StageResults,
)
from galenadrum._internal.gateway.link_codec import (
    decode_placement,
    decode_refusal,
    decode_results,
    encode_report,
    encode_request,
)
from galenadrum._internal.network.frame_link import HostLink
from galenadrum._internal.protocol.gateway_pb2 import LinkMessage

logger = logging.getLogger(__name__)

# Up to this many entry hosts, one dispatcher carries all requests, and the servers
# of all zones are shared; beyond, each zone has its own. A request takes about a
# millisecond there; a hundred small hosts bring some 300 a second.
_MAX_SHARED_ENTRY_HOSTS = 100
# Hosts that became available within this time of each other count as equal; the
# order of their addresses then decides, the same on all entry hosts.
_EQUAL_AVAILABILITY_S = 3.0
# Reasons of a refusal for which the dispatcher of another zone may have room.
_ELSEWHERE_REASONS = frozenset({"overloaded", "no_server"})


@dataclass(slots=True)
class _Pending:
    """A request at a dispatcher.

    Attributes:
        link: None where this host dispatches for itself.
        domain: Zone whose servers are asked for, empty for all.
        answer: The next placement or refusal.
        results_by_stage: What was made for it; kept here, so that it outlives
            the dispatcher.
    """

    request: PlacementRequest
    link: HostLink | None
    domain: str
    answer: asyncio.Future[Placement | PlacementRefusal]
    server_id: str = ""
    results_by_stage: dict[int, StageResults] = field(default_factory=dict)


class Placements:
    """Requests of this host that are placed or wait for it.

    Args:
        zone: The host's own.
        links: Returns the links that are up.
        local: Dispatches here when there is no link.
        version: Returns the version of the configuration in force.
        entry_host_count: Returns the number of entry hosts.
    """

    def __init__(
        self,
        zone: str,
        links: Callable[[], list[HostLink]],
        local: DispatchDriver,
        version: Callable[[], int],
        entry_host_count: Callable[[], int],
    ) -> None:
        self._zone = zone
        self._links = links
        self._local = local
        self._version = version
        self._entry_host_count = entry_host_count
        self._pending_by_request: dict[str, _Pending] = {}
        self._chosen_link: HostLink | None = None
        self._loop = asyncio.get_running_loop()

    async def place(self, request: PlacementRequest) -> Placement | PlacementRefusal:
        """Return where a request is to be sent, once its stages are made."""
        pending = _Pending(request, None, "", self._loop.create_future())
        self._pending_by_request[request.request_id] = pending
        self._submit(pending)
        answer = await pending.answer
        if isinstance(answer, PlacementRefusal):
            answer = await self._try_elsewhere(pending, answer)
        return self._taken(pending, answer)

    async def place_again(
        self, request_id: str, outcome: PlacementOutcome
    ) -> Placement | PlacementRefusal:
        """Report that a placement came to nothing and wait for the next."""
        pending = self._pending_by_request.get(request_id)
        if pending is None:
            return PlacementRefusal(request_id, "unknown", 0.0)
        pending.answer = self._loop.create_future()
        server_id, pending.server_id = pending.server_id, ""
        self._report(pending, server_id, outcome)
        return self._taken(pending, await pending.answer)

    def _taken(
        self, pending: _Pending, answer: Placement | PlacementRefusal
    ) -> Placement | PlacementRefusal:
        if isinstance(answer, Placement):
            pending.server_id = answer.server_id
        else:
            self._pending_by_request.pop(answer.request_id, None)
        return answer

    async def _try_elsewhere(
        self, pending: _Pending, refusal: PlacementRefusal
    ) -> Placement | PlacementRefusal:
        """Ask the dispatcher of one other zone, if there may be room."""
        if refusal.reason not in _ELSEWHERE_REASONS or not pending.domain:
            return refusal
        others = [
            link
            for link in self._links()
            if link.peer.zone not in (self._zone, pending.domain)
        ]
        if not others or self._loop.time() >= pending.request.give_up_at:
            return refusal
        # Hosts of one zone spread over the others by the request's id.
        link = others[zlib.crc32(pending.request.request_id.encode()) % len(others)]
        pending.answer = self._loop.create_future()
        pending.link = link
        pending.domain = link.peer.zone
        self._send(pending)
        return await pending.answer

    def report(self, request_id: str, outcome: PlacementOutcome) -> None:
        """Report the start or the end of a placement."""
        pending = self._pending_by_request.get(request_id)
        if pending is None:
            return
        self._report(pending, pending.server_id, outcome)
        if outcome is not PlacementOutcome.STARTED:
            del self._pending_by_request[request_id]

    def _report(
        self, pending: _Pending, server_id: str, outcome: PlacementOutcome
    ) -> None:
        request_id = pending.request.request_id
        if pending.link is None:
            self._local.report(request_id, server_id, outcome)
        elif pending.link.is_up:
            pending.link.send(encode_report(request_id, server_id, outcome))

    def take_message(self, link: HostLink, message: LinkMessage) -> None:
        """Take a dispatcher's answer."""
        body = message.WhichOneof("body")
        if body == "placement":
            self._take_news(link, decode_placement(message.placement))
        elif body == "refusal":
            self._take_news(link, decode_refusal(message.refusal))
        elif body == "progress":
            record = message.progress
            results = decode_results(record.results, self._loop.time())
            self._take_news(link, StageProgress(record.request_id, results))

    def _take_news(self, link: HostLink | None, news: PlacementNews) -> None:
        pending = self._pending_by_request.get(news.request_id)
        if pending is None or pending.link is not link:
            return
        if isinstance(news, StageProgress):
            pending.results_by_stage[news.results.stage] = news.results
        elif not pending.answer.done():
            pending.answer.set_result(news)

    def link_lost(self, link: HostLink) -> None:
        """Ask anew for what waited at a dispatcher that is lost."""
        for pending in list(self._pending_by_request.values()):
            if pending.link is link and not pending.answer.done():
                results = tuple(pending.results_by_stage.values())
                pending.request = replace(
                    pending.request, is_resumed=True, results=results
                )
                self._submit(pending)
                logger.info(
                    "asked for anew, with the results of %d stages",
                    len(results),
                    extra={"request_id": pending.request.request_id},
                )

    def _submit(self, pending: _Pending) -> None:
        is_shared = self._entry_host_count() <= _MAX_SHARED_ENTRY_HOSTS
        pending.domain = "" if is_shared else self._zone
        pending.link = self._choose_link(pending.domain)
        self._watch(pending.link)
        self._send(pending)

    def _watch(self, link: HostLink | None) -> None:
        """Notice the loss of the dispatcher soon; of the one before, not any more."""
        if link is self._chosen_link:
            return
        if self._chosen_link is not None:
            self._chosen_link.watch(False)
        if link is not None:
            link.watch(True)
            logger.info("requests are placed by %s", link.peer.host_id)
        self._chosen_link = link

    def _send(self, pending: _Pending) -> None:
        if pending.link is None:
            self._local.submit(
                pending.request, pending.domain, lambda n: self._take_news(None, n)
            )
            return
        now = self._loop.time()
        pending.link.send(
            encode_request(pending.request, pending.domain, self._version(), now)
        )

    def _choose_link(self, domain: str) -> HostLink | None:
        """Return the link to the domain's dispatcher, the same on all hosts."""
        links = self._links()
        own = [link for link in links if link.peer.zone == domain]
        candidates = own or links
        if not candidates:
            return None
        oldest = min(link.available_at for link in candidates)
        return next(
            link
            for link in candidates
            if link.available_at <= oldest + _EQUAL_AVAILABILITY_S
        )
