"""Chooses which hosts of a zone an entry host dials.

The hosts, ordered by address, form a ring. Each dials its next host and the one
at a fixed offset near the square root of their number, such as 1 and 6 of 28:
every host then has four links, any two hosts are at most four links apart, and
no three losses can cut the zone in two.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable


def dial_offsets(host_count: int) -> tuple[int, ...]:
    """Return the offsets in a ring of ``host_count`` hosts, without repeats."""
    offsets = (1, max(2, math.ceil(math.sqrt(host_count))))
    return tuple(offset for offset in offsets if offset < host_count)


def order_targets(
    own_address: str, peer_addresses: Iterable[str], slot: int
) -> tuple[str, ...]:
    """Return the peers that a dialling slot may use, the preferred one first.

    The others follow in the order of the ring, for when the first is down.

    Args:
        own_address: Peer address of this host.
        peer_addresses: Peer addresses of the others.
        slot: Index into ``dial_offsets``.
    """
    ring = sorted({own_address, *peer_addresses})
    offsets = dial_offsets(len(ring))
    if slot >= len(offsets):
        return ()
    start = ring.index(own_address)
    turned = ring[start + 1 :] + ring[:start]
    first = offsets[slot] - 1
    return tuple(turned[first:] + turned[:first])


def pick_target(
    targets: Iterable[str], down: Collection[str], in_use: Collection[str]
) -> str | None:
    """Return the first target that is neither down nor dialled by another slot."""
    for address in targets:
        if address not in down and address not in in_use:
            return address
    return None
