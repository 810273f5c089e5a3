"""Selection of the hosts in other zones to which this zone sends its digest."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

_MAX_UNKNOWN_ADDRESSES_PER_ROUND = 4
_RETRY_AFTER_S = 15.0


@dataclass(slots=True)
class _PeerState:
    zone: str | None = None
    retry_at: float = 0.0


class DigestPeers:
    """Tracks the zone of each address and selects one address per zone.

    Args:
        addresses: Peer addresses of entry hosts of other zones.
        rng: Random source for the selection.
    """

    def __init__(self, addresses: Iterable[str], rng: random.Random) -> None:
        self._state_by_address = {address: _PeerState() for address in addresses}
        self._rng = rng
        self._last_address_by_zone: dict[str, str] = {}

    def select_addresses(self, now: float) -> tuple[str, ...]:
        """Return the addresses to send to in this round.

        For each known zone, that is one address that is not in backoff, if possible
        the last one that succeeded. A few addresses of unknown zone are added.
        """
        addresses_by_zone: dict[str | None, list[str]] = {}
        for address, state in self._state_by_address.items():
            if state.retry_at <= now:
                addresses_by_zone.setdefault(state.zone, []).append(address)
        unknown = addresses_by_zone.pop(None, [])
        chosen = []
        for zone, candidates in addresses_by_zone.items():
            last = self._last_address_by_zone.get(zone)
            chosen.append(last if last in candidates else self._rng.choice(candidates))
        count = min(len(unknown), _MAX_UNKNOWN_ADDRESSES_PER_ROUND)
        return (*chosen, *self._rng.sample(unknown, count))

    def succeeded(self, address: str, zone: str) -> None:
        """Record that a host of a zone answered at an address."""
        state = self._state_by_address[address]
        state.zone = zone
        self._last_address_by_zone[zone] = address
        state.retry_at = 0.0

    def failed(self, address: str, now: float) -> None:
        """Record that no host answered at an address, and delay its next attempt."""
        self._state_by_address[address].retry_at = now + _RETRY_AFTER_S


def is_digest_sender(host_id: str, live_host_ids: Iterable[str]) -> bool:
    """Return whether this host has the lowest live id and so sends the digest."""
    return host_id == min(live_host_ids, default=host_id)
