"""Chooses to which hosts of other zones the own zone's digest goes."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

_MAX_UNKNOWN_PER_ROUND = 4
_RETRY_AFTER_S = 15.0


@dataclass(slots=True)
class _PeerState:
    zone: str | None = None
    down_until: float = 0.0


class DigestPeers:
    """Learns which address belongs to which zone and picks one of each.

    Args:
        addresses: Peer addresses of entry hosts of other zones.
        rng: Source of the choice between addresses.
    """

    def __init__(self, addresses: Iterable[str], rng: random.Random) -> None:
        self._state_by_address = {address: _PeerState() for address in addresses}
        self._rng = rng
        self._last_by_zone: dict[str, str] = {}

    def choose(self, now: float) -> tuple[str, ...]:
        """Return the addresses for this round.

        One that works for each zone that is known, the same as last time where
        possible, and a few whose zone isn't.
        """
        addresses_by_zone: dict[str | None, list[str]] = {}
        for address, state in self._state_by_address.items():
            if state.down_until <= now:
                addresses_by_zone.setdefault(state.zone, []).append(address)
        unknown = addresses_by_zone.pop(None, [])
        chosen = []
        for zone, found in addresses_by_zone.items():
            last = self._last_by_zone.get(zone)
            chosen.append(last if last in found else self._rng.choice(found))
        count = min(len(unknown), _MAX_UNKNOWN_PER_ROUND)
        return (*chosen, *self._rng.sample(unknown, count))

    def succeeded(self, address: str, zone: str) -> None:
        """Note that a host of a zone answered at an address."""
        state = self._state_by_address[address]
        state.zone = zone
        self._last_by_zone[zone] = address
        state.down_until = 0.0

    def failed(self, address: str, now: float) -> None:
        """Note that nobody answered at an address."""
        self._state_by_address[address].down_until = now + _RETRY_AFTER_S


def is_sender(host_id: str, live_host_ids: Iterable[str]) -> bool:
    """Return whether this host sends the zone's digest: the lowest live one."""
    return host_id == min(live_host_ids, default=host_id)
