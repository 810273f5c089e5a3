"""Links of a host to the control hosts."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Iterable

from galenadrum._internal.configuration.versions import decode_version
from galenadrum._internal.network.host_link import HostLink
from galenadrum._internal.network.relayed_connection import RelayHost
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage

logger = logging.getLogger(__name__)

# An entry host keeps a link to every control host, of which at most nine are planned:
# with links to only some, entry hosts would send requests to different dispatchers.
MAX_LINKS = 9
_UPDATE_INTERVAL_S = 1.0
# The link to a control host that is unreachable for this long is replaced by a link to
# another control host, if more are known than links are allowed.
_UNREACHABLE_TIMEOUT_S = 4.0


class ControlLinks:
    """Maintains links to the known control hosts.

    Args:
        hello: Returns the hello message of this host.
        seeds: Returns addresses at which control hosts may be found.
        on_message: Called with each message other than pongs and lists of control
            hosts.
        on_confirmed: Called with a configuration version, or `NO_VERSION`, and the
            loop time in seconds at which no higher version had been accepted.
        on_changed: Called with a link that came up or went down.
        rng: Source of randomness for the choice of links and their reconnects.
        max_links: Maximum number of links.
        own_address: Address of this host if it is a control host, else empty.
        pings_often: Whether to ping often on all links, so that a loss is noticed soon.
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
        pings_often: bool = False,
    ) -> None:
        self._hello = hello
        self._seed_addresses = seeds
        self._on_message = on_message
        self._on_confirmed = on_confirmed
        self._on_changed = on_changed
        self._rng = rng
        self._max_links = max_links
        self._own_address = own_address
        self._pings_often = pings_often
        self._loop = asyncio.get_running_loop()
        self._links_by_address: dict[str, tuple[HostLink, asyncio.Task[None]]] = {}
        self._down_since_by_address: dict[str, float] = {}
        self._member_addresses: tuple[str, ...] = ()
        self._entry_hosts_by_address: dict[str, int] = {}
        self._last_entry_hosts = 1
        # The most entry hosts that any control host has named. Their number falls while
        # hosts lose their links.
        self.most_entry_hosts = 1
        self.relays: tuple[RelayHost, ...] = ()

    @property
    def entry_hosts(self) -> int:
        """Number of entry hosts.

        A control host that has just started knows few of them, so the largest number
        that any linked one names is used; without links, the last one that was.
        """
        numbers = [
            self._entry_hosts_by_address.get(link.address, 1)
            for link in self.links_up()
        ]
        return max(numbers, default=self._last_entry_hosts)

    @property
    def control_hosts(self) -> int:
        """Number of control hosts."""
        return max(1, len(self._member_addresses))

    def links_up(self) -> list[HostLink]:
        """Return the links that are up, sorted by address."""
        links = [link for link, _ in self._links_by_address.values() if link.is_up]
        return sorted(links, key=lambda link: link.address)

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        try:
            while True:
                self._update_links()
                await asyncio.sleep(_UPDATE_INTERVAL_S)
        finally:
            for _, task in self._links_by_address.values():
                task.cancel()

    def _update_links(self) -> None:
        now = self._loop.time()
        known = list(dict.fromkeys([*self._member_addresses, *self._seed_addresses()]))
        known = [address for address in known if address != self._own_address]
        for address in list(self._links_by_address):
            is_unreachable = (
                now - self._down_since_by_address.get(address, now)
                > _UNREACHABLE_TIMEOUT_S
            )
            if address not in known or (
                is_unreachable and len(known) > self._max_links
            ):
                self._remove_link(address)
                known = [a for a in known if a != address]
        for address in choose_new_links(known, self._links_by_address, self._max_links):
            self._add_link(address, now)

    def _add_link(self, address: str, now: float) -> None:
        link = HostLink(
            address,
            self._hello,
            self._handle_message,
            self._handle_link_up,
            self._handle_link_down,
            self._rng,
            self._pings_often,
        )
        self._links_by_address[address] = (link, self._loop.create_task(link.run()))
        self._down_since_by_address[address] = now

    def _remove_link(self, address: str) -> None:
        link, task = self._links_by_address.pop(address)
        self._entry_hosts_by_address.pop(address, None)
        task.cancel()
        self._down_since_by_address.pop(address, None)
        was_up, link.is_up = link.is_up, False
        if was_up:
            self._handle_link_down(link)

    def _handle_link_up(self, link: HostLink) -> None:
        self._down_since_by_address.pop(link.address, None)
        self._on_changed(link)

    def _handle_link_down(self, link: HostLink) -> None:
        if link.address in self._links_by_address:
            self._down_since_by_address[link.address] = self._loop.time()
        # Control hosts often fail together, so the other links are checked at once.
        for other in self.links_up():
            other.check()
        self._on_changed(link)

    def _handle_message(self, link: HostLink, message: LinkMessage) -> None:
        body = message.WhichOneof("body")
        if body == "pong":
            self._handle_pong(link, message)
        elif body == "control_hosts":
            self._member_addresses = tuple(message.control_hosts.addresses)
            number = max(1, message.control_hosts.entry_hosts)
            self._entry_hosts_by_address[link.address] = number
            self._last_entry_hosts = self.entry_hosts
            self.most_entry_hosts = max(self.most_entry_hosts, number)
            self.relays = tuple(
                RelayHost(relay.address, relay.is_control)
                for relay in message.control_hosts.relays
            )
        else:
            self._on_message(link, message)

    def _handle_pong(self, link: HostLink, message: LinkMessage) -> None:
        pong = message.pong
        sent_at = link.pop_ping_sent_at(pong.token)
        if sent_at is not None and pong.is_confirmed:
            self._on_confirmed(decode_version(pong), sent_at - pong.age_ms / 1_000)


def choose_new_links(
    known: Iterable[str], linked: Collection[str], max_links: int
) -> list[str]:
    """Return the addresses to which links are added.

    All hosts prefer the same control hosts, so that they choose the same dispatcher
    even if they may not have a link to each control host.

    Args:
        known: Addresses of the known control hosts.
        linked: Addresses to which this host has a link.
        max_links: Maximum number of links.
    """
    missing = sorted(address for address in known if address not in linked)
    return missing[: max(0, max_links - len(linked))]
