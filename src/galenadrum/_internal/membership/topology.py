"""Ring topology of the links between the entry hosts of a zone.

The hosts form a ring in the order of their addresses. Each host dials its
successor and the host at an offset near the square root of the host count, such
as offsets 1 and 6 for 28 hosts. Every host then has four links, any two hosts are
at most four links apart, and no three failures can partition the zone.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable


def dial_offsets(host_count: int) -> tuple[int, ...]:
    """Return the distinct offsets that each of ``host_count`` hosts dials."""
    offsets = (1, max(2, math.ceil(math.sqrt(host_count))))
    return tuple(offset for offset in offsets if offset < host_count)


def order_targets(
    own_address: str, peer_addresses: Iterable[str], slot: int
) -> tuple[str, ...]:
    """Return the candidate peers of a dialling slot, in order of preference.

    The preferred peer is followed by the others in ring order, as fallbacks for
    when it is down.

    Args:
        own_address: Peer address of this host.
        peer_addresses: Peer addresses of the other hosts.
        slot: Index into ``dial_offsets``.
    """
    ring = sorted({own_address, *peer_addresses})
    offsets = dial_offsets(len(ring))
    if slot >= len(offsets):
        return ()
    start = ring.index(own_address)
    following = ring[start + 1 :] + ring[:start]
    start_index = offsets[slot] - 1
    return tuple(following[start_index:] + following[:start_index])


def pick_target(
    targets: Iterable[str], down: Collection[str], in_use: Collection[str]
) -> str | None:
    """Return the first target that is neither down nor in use by another slot."""
    for address in targets:
        if address not in down and address not in in_use:
            return address
    return None
