"""Dials links to other entry hosts of the zone and replaces lost ones."""

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

# A link or a connection attempt that ends sooner counts as a failure.
_MIN_STABLE_LINK_S = 1.0
# A link to a substitute is closed after this time to retry the preferred peer.
_MAX_SUBSTITUTE_LINK_S = 30.0
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 8.0
# Delay before a slot that has no peer to dial checks again.
_NO_TARGET_POLL_S = 0.25

OpenStream = Callable[[str], AbstractAsyncContextManager[ZoneStream]]


class ZoneDialer:
    """Keeps links open to the peers that the topology selects.

    A peer that can't be reached is replaced by a substitute and retried with
    exponential backoff.

    Args:
        driver: Runs the links.
        own_address: Peer address of this host.
        peer_addresses: Peer addresses of the zone's other entry hosts.
        open_stream: Opens a stream to an address on a new connection; raises
            ``LinkLostError`` if the connection fails or times out.
        rng: Source of the jitter of retry delays.
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
        self._dialled_addresses: set[str] = set()
        self._backoff_s_by_address: dict[str, float] = {}
        self._retry_at_by_address: dict[str, float] = {}

    @property
    def slot_count(self) -> int:
        """Number of links that this host dials."""
        return len(dial_offsets(len(self._peer_addresses) + 1))

    async def run_slot(self, slot: int) -> None:
        """Dial one link and replace it when it ends, until cancelled."""
        targets = order_targets(self._own_address, self._peer_addresses, slot)
        while True:
            address = pick_target(
                targets, self._addresses_in_backoff(), self._dialled_addresses
            )
            if address is None:
                await asyncio.sleep(_NO_TARGET_POLL_S * (1 + self._rng.random()))
                continue
            self._dialled_addresses.add(address)
            try:
                await self._run_one_link(address, is_substitute=address != targets[0])
            finally:
                self._dialled_addresses.discard(address)

    def _addresses_in_backoff(self) -> set[str]:
        now = asyncio.get_running_loop().time()
        retry_times = self._retry_at_by_address
        return {address for address, retry_at in retry_times.items() if retry_at > now}

    async def _run_one_link(self, address: str, is_substitute: bool) -> None:
        """Run a link until it ends; one to a substitute has a time limit."""
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        time_limit_s = _MAX_SUBSTITUTE_LINK_S if is_substitute else None
        try:
            async with self._open_stream(address) as stream:
                opened_at = loop.time()
                async with asyncio.timeout(time_limit_s):
                    await self._driver.run_link(stream)
        except TimeoutError:
            logger.debug(
                "closing the link to substitute %s to retry the preferred peer", address
            )
        except LinkLostError as error:
            logger.debug("can't open a link to entry host %s: %s", address, error)
        if loop.time() - opened_at >= _MIN_STABLE_LINK_S:
            self._backoff_s_by_address.pop(address, None)
            self._retry_at_by_address.pop(address, None)
        else:
            self._record_failure(address, loop.time())

    def _record_failure(self, address: str, now: float) -> None:
        backoff_s = self._backoff_s_by_address.get(address, _INITIAL_BACKOFF_S)
        self._backoff_s_by_address[address] = min(2 * backoff_s, _MAX_BACKOFF_S)
        jitter = 1 + 0.5 * self._rng.random()
        self._retry_at_by_address[address] = now + backoff_s * jitter
