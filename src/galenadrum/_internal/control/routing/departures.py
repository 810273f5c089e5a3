"""Records departures of backend servers before they are acknowledged.

A departure is acknowledged once most control hosts have it on disk. It then outlives
the end of all processes, a loss of all power, and the loss of as many disks as the log
of configurations outlives. No leader is needed. Its effect doesn't wait for that: the
server gets nothing more as soon as a host knows.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from galenadrum._internal.control.routing.departure_file import DepartureFile
from galenadrum._internal.directory.registry import REMOVE_AFTER_S, Registry
from galenadrum._internal.gateway.link_codec import (
    decode_departures,
    encode_departures,
)
from galenadrum._internal.models.announcements import Departure, ServerState
from galenadrum._internal.network.host_link import HostLink, InboundLink
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.protocol import gateway_pb2 as pb

logger = logging.getLogger(__name__)

# A server asks another control host after a second without an acknowledgement.
_RECORD_TIMEOUT_S = 0.8
# Departures in one message, about 60 bytes each.
_MESSAGE_DEPARTURES = 500


@dataclass(slots=True)
class _PendingRecord:
    """A departure that is being recorded.

    Attributes:
        copies: Names of the hosts that have it on disk.
        needed: Number of copies after which it is acknowledged.
        is_recorded: Future that ends when there are as many.
    """

    needed: int
    is_recorded: asyncio.Future[None]
    copies: set[str] = field(default_factory=set)


class DepartureRecorder:
    """Keeps departures on this host and on other control hosts.

    Args:
        registry: Directory of the backend servers.
        file: Departures on this host's disk.
        own_address: Peer address of this host.
        members: Returns the peer addresses of all control hosts, this one included.
        links: Returns the links to other control hosts that are up.
        metrics: Counts the departures by outcome.
    """

    def __init__(
        self,
        registry: Registry,
        file: DepartureFile,
        own_address: str,
        members: Callable[[], tuple[str, ...]],
        links: Callable[[], list[HostLink]],
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._file = file
        self._own_address = own_address
        self._members = members
        self._links_up = links
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, _PendingRecord] = {}
        # Loop times in seconds at which departures were acknowledged.
        self._recorded_at: dict[tuple[str, str | None, int, ServerState], float] = {}
        self._last_members: tuple[str, ...] = ()
        self._writes: set[asyncio.Task[None]] = set()

    def load(self) -> None:
        """Apply the departures on this host's disk."""
        now = self._loop.time()
        for departure in self._file.load():
            self._registry.record_departure(departure, now)

    async def record(self, departure: Departure) -> bool:
        """Record a departure here and at other control hosts.

        Returns:
            Whether most control hosts have it on disk, so that it may be acknowledged.
        """
        self._registry.record_departure(departure, self._loop.time())
        key = (
            departure.server_id,
            departure.service,
            departure.incarnation_ms,
            departure.state,
        )
        if key in self._recorded_at:
            return True
        started_at = self._loop.time()
        is_recorded = await self._collect_copies(departure)
        duration_s = self._loop.time() - started_at
        outcome = "recorded" if is_recorded else "not_recorded"
        self._metrics.increment("departures", outcome=outcome)
        self._metrics.record_duration("departure_seconds", duration_s)
        if is_recorded:
            self._recorded_at[key] = self._loop.time()
        else:
            logger.warning(
                "the departure of server %s (incarnation %d, %s) is on too few disks "
                "after %.3f s; it isn't acknowledged",
                departure.server_id,
                departure.incarnation_ms,
                departure.state.value,
                duration_s,
            )
        return is_recorded

    async def _collect_copies(self, departure: Departure) -> bool:
        members = self._members() or self._last_members
        self._last_members = members
        if not members:
            return False
        links = [link for link in self._links_up() if link.address in members]
        keepers = [link for link in links if _keeps_departure(link, departure)]
        number = next(self._numbers)
        pending = _PendingRecord(
            count_needed_copies(len(members), len(links) - len(keepers)),
            self._loop.create_future(),
        )
        self._pending_by_number[number] = pending
        message = encode_departures([departure], number)
        for link in keepers:
            link.send(message)
        self._start_task(self._write_own([departure], number))
        try:
            async with asyncio.timeout(_RECORD_TIMEOUT_S):
                await pending.is_recorded
        except TimeoutError:
            return False
        finally:
            del self._pending_by_number[number]
        return True

    async def _write_own(self, departures: list[Departure], number: int) -> None:
        if await self._write(departures):
            self._add_copy(number, self._own_address)

    async def _write(self, departures: list[Departure]) -> bool:
        try:
            await self._file.write(departures)
        except OSError as error:
            logger.warning("this host keeps no copy of a departure: %s", error)
            return False
        return True

    def _add_copy(self, number: int, address: str) -> None:
        pending = self._pending_by_number.get(number)
        if pending is None:
            return
        pending.copies.add(address)
        if len(pending.copies) >= pending.needed and not pending.is_recorded.done():
            pending.is_recorded.set_result(None)

    def handle_departures(self, link: InboundLink, record: pb.Departures) -> None:
        """Keep the departures that another control host sends, and confirm them."""
        now = self._loop.time()
        departures = decode_departures(record)
        new = [d for d in departures if self._registry.record_departure(d, now)]
        if record.number:
            self._start_task(self._confirm(link, departures, record.number))
        elif new:
            self._start_task(self._write_own(new, 0))

    async def _confirm(
        self, link: InboundLink, departures: list[Departure], number: int
    ) -> None:
        if await self._write(departures):
            answer = pb.DeparturesRecorded(number=number)
            link.send(pb.LinkMessage(departures_recorded=answer))

    def handle_answer(self, link: HostLink, number: int) -> None:
        """Handle the confirmation of another control host."""
        self._add_copy(number, link.address)

    def hand_over(self, link: HostLink) -> None:
        """Send all departures to a control host that may lack them."""
        departures = [
            departure
            for departure in self._registry.list_departures()
            if _keeps_departure(link, departure)
        ]
        for start in range(0, len(departures), _MESSAGE_DEPARTURES):
            part = departures[start : start + _MESSAGE_DEPARTURES]
            link.send(encode_departures(part, 0))

    def remove_expired(self, now: float) -> None:
        """Remove the acknowledgements of departures that are no longer kept."""
        for key, recorded_at in list(self._recorded_at.items()):
            if now - recorded_at > REMOVE_AFTER_S:
                del self._recorded_at[key]

    def _start_task(self, coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)


def _keeps_departure(link: HostLink, departure: Departure) -> bool:
    """Return whether a control host's build keeps a departure as it is meant."""
    is_understood = departure.service is None or link.peer.scopes_departures
    return link.peer.keeps_departures and is_understood


def count_needed_copies(members: int, unable: int) -> int:
    """Return the number of disks that must hold a departure.

    Args:
        members: Number of control hosts.
        unable: Number of linked control hosts of a build that keeps no departures.
            While such hosts are replaced, all others have to do.
    """
    return min(members // 2 + 1, max(1, members - unable))
