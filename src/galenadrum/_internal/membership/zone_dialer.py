"""Keeps the links that an entry host dials to others of its zone."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from contextlib import AbstractAsyncContextManager

from galenadrum._internal.membership.topology import (
    dial_offsets,
    order_targets,
    pick_target,
)
from galenadrum._internal.membership.zone_driver import ZoneDriver, ZoneStream
from galenadrum._internal.network.peer_link import LinkLostError

logger = logging.getLogger(__name__)

_MIN_LINK_S = 1.0
_SUBSTITUTE_LINK_S = 30.0
_INITIAL_RETRY_S = 0.25
_MAX_RETRY_S = 8.0
_IDLE_S = 0.25

OpenStream = Callable[[str], AbstractAsyncContextManager[ZoneStream]]


class ZoneDialer:
    """Dials the peers that the topology names and replaces lost links.

    Args:
        driver: Runs the links.
        own_address: Peer address of this host.
        peer_addresses: Peer addresses of the zone's other entry hosts.
        open_stream: Opens a stream to an address on a new connection; raises
            ``LinkLostError`` when it can't in time.
        rng: Source of the jitter between attempts.
    """

    def __init__(
        self,
        driver: ZoneDriver,
        own_address: str,
        peer_addresses: Iterable[str],
        open_stream: OpenStream,
        rng: random.Random,
    ) -> None:
        self._driver = driver
        self._own_address = own_address
        self._peer_addresses = frozenset(peer_addresses) - {own_address}
        self._open_stream = open_stream
        self._rng = rng
        self._in_use: set[str] = set()
        self._retry_s_by_address: dict[str, float] = {}
        self._down_until_by_address: dict[str, float] = {}

    @property
    def slot_count(self) -> int:
        """The number of links that this host dials."""
        return len(dial_offsets(len(self._peer_addresses) + 1))

    async def run_slot(self, slot: int) -> None:
        """Keep one dialled link standing, until cancelled."""
        targets = order_targets(self._own_address, self._peer_addresses, slot)
        while True:
            address = pick_target(targets, self._down(), self._in_use)
            if address is None:
                await asyncio.sleep(_IDLE_S * (1 + self._rng.random()))
                continue
            self._in_use.add(address)
            try:
                await self._run_one_link(address, is_substitute=address != targets[0])
            finally:
                self._in_use.discard(address)

    def _down(self) -> set[str]:
        now = asyncio.get_running_loop().time()
        down = self._down_until_by_address
        return {address for address, until in down.items() if until > now}

    async def _run_one_link(self, address: str, is_substitute: bool) -> None:
        """Run a link; one to a substitute ends after a while, to try the first."""
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        limit_s = _SUBSTITUTE_LINK_S if is_substitute else None
        try:
            async with self._open_stream(address) as stream:
                opened_at = loop.time()
                async with asyncio.timeout(limit_s):
                    await self._driver.run_link(stream)
        except TimeoutError:
            logger.debug("ending the substitute link to %s", address)
        except LinkLostError as error:
            logger.debug("no link to %s: %s", address, error)
        if loop.time() - opened_at >= _MIN_LINK_S:
            self._retry_s_by_address.pop(address, None)
            self._down_until_by_address.pop(address, None)
        else:
            self._note_down(address, loop.time())

    def _note_down(self, address: str, now: float) -> None:
        retry_s = self._retry_s_by_address.get(address, _INITIAL_RETRY_S)
        self._retry_s_by_address[address] = min(2 * retry_s, _MAX_RETRY_S)
        jitter = 1 + 0.5 * self._rng.random()
        self._down_until_by_address[address] = now + retry_s * jitter
