"""A host's links to control hosts."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from galenadrum._internal.network.frame_link import HostLink
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage

logger = logging.getLogger(__name__)

# An entry host is linked to all control hosts, which are seven at most by the users'
# plan: hosts that know different ones would send requests to different dispatchers.
MAX_LINKS = 7
_REVIEW_INTERVAL_S = 1.0
# A control host that has not been reached for this long gives up its link to
# another one.
_UNREACHED_S = 4.0


class ControlLinks:
    """Links to the control hosts that are known.

    Args:
        hello: Returns what this host says of itself.
        seeds: Returns addresses that control hosts may be found at.
        on_message: Called with each message that isn't about the links.
        on_confirmed: Called with a version and the loop time in seconds at
            which no higher one was accepted.
        on_changed: Called after a link came up or went down.
        max_links: Kept at the same time.
        own_address: Of this host, if it is a control host itself.
        is_close: Whether the loss of any of them is to be noticed soon.
    """

    def __init__(
        self,
        hello: Callable[[], LinkHello],
        seeds: Callable[[], Iterable[str]],
        on_message: Callable[[HostLink, LinkMessage], None],
        on_confirmed: Callable[[int, float], None],
        on_changed: Callable[[HostLink], None],
        rng: random.Random,
        max_links: int = MAX_LINKS,
        own_address: str = "",
        is_close: bool = False,
    ) -> None:
        self._hello = hello
        self._seeds = seeds
        self._on_message = on_message
        self._on_confirmed = on_confirmed
        self._on_changed = on_changed
        self._rng = rng
        self._max_links = max_links
        self._own_address = own_address
        self._is_close = is_close
        self._loop = asyncio.get_running_loop()
        self._links_by_address: dict[str, tuple[HostLink, asyncio.Task[None]]] = {}
        self._down_since_by_address: dict[str, float] = {}
        self._member_addresses: tuple[str, ...] = ()
        self.entry_hosts = 1

    def up(self) -> list[HostLink]:
        """Return the links that are up, in the order of their addresses."""
        links = [link for link, _ in self._links_by_address.values() if link.is_up]
        return sorted(links, key=lambda link: link.address)

    async def run(self) -> None:
        """Keep links to the control hosts until cancelled."""
        try:
            while True:
                self._review()
                await asyncio.sleep(_REVIEW_INTERVAL_S)
        finally:
            for _, task in self._links_by_address.values():
                task.cancel()

    def _review(self) -> None:
        now = self._loop.time()
        known = list(dict.fromkeys([*self._member_addresses, *self._seeds()]))
        known = [address for address in known if address != self._own_address]
        for address in list(self._links_by_address):
            is_stuck = (
                now - self._down_since_by_address.get(address, now) > _UNREACHED_S
            )
            if address not in known or (is_stuck and len(known) > self._max_links):
                self._drop(address)
                known = [a for a in known if a != address]
        free = self._max_links - len(self._links_by_address)
        candidates = [a for a in known if a not in self._links_by_address]
        if len(candidates) > free:
            self._rng.shuffle(candidates)
        for address in candidates[: max(0, free)]:
            self._add(address, now)

    def _add(self, address: str, now: float) -> None:
        link = HostLink(
            address,
            self._hello,
            self._deliver,
            self._up,
            self._down,
            self._rng,
            self._is_close,
        )
        self._links_by_address[address] = (link, self._loop.create_task(link.run()))
        self._down_since_by_address[address] = now

    def _drop(self, address: str) -> None:
        link, task = self._links_by_address.pop(address)
        task.cancel()
        self._down_since_by_address.pop(address, None)
        was_up, link.is_up = link.is_up, False
        if was_up:
            self._down(link)

    def _up(self, link: HostLink) -> None:
        self._down_since_by_address.pop(link.address, None)
        self._on_changed(link)

    def _down(self, link: HostLink) -> None:
        if link.address in self._links_by_address:
            self._down_since_by_address[link.address] = self._loop.time()
        # Hosts are often lost together.
        for other in self.up():
            other.check()
        self._on_changed(link)

    def _deliver(self, link: HostLink, message: LinkMessage) -> None:
        body = message.WhichOneof("body")
        if body == "pong":
            self._take_pong(link, message)
        elif body == "control_hosts":
            self._member_addresses = tuple(message.control_hosts.addresses)
            self.entry_hosts = max(1, message.control_hosts.entry_hosts)
        else:
            self._on_message(link, message)

    def _take_pong(self, link: HostLink, message: LinkMessage) -> None:
        pong = message.pong
        sent_at = link.take_ping_time(pong.token)
        if sent_at is not None and pong.is_confirmed:
            self._on_confirmed(pong.version, sent_at - pong.age_ms / 1_000)
