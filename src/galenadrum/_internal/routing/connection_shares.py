"""Share of the connections that a server takes which one host may have open.

Load pattern: a server takes a number of connections from all hosts together and resets
those beyond it. A burst reaches all hosts at once; each of them then opens a few more,
and requests on connections that are reset may have run. Each host keeps to a share
that no other host uses, so the sum stays below the limit without any message.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

# Connections that are closed by a host may still be open at the server.
_USABLE_SHARE = 0.85
# Control hosts call the servers of stages; entry hosts send requests to all others.
_CONTROL_SHARE_OF_STAGES = 0.5
_CONTROL_SHARE = 0.2
# Where hosts outnumber the connections, a hash chooses those that get one. Their number
# exceeds its mean by fewer standard deviations than this.
_HASH_DEVIATIONS = 3.0


@dataclass(frozen=True, slots=True)
class HostCounts:
    """Hosts that share the connections of a server, by role."""

    entry: int
    control: int


def share_connections(
    limit: int,
    counts: HostCounts,
    is_control: bool,
    is_stage: bool,
    host_id: str,
    address: str,
) -> int:
    """Return the number of connections to a server that a host may have open.

    Args:
        limit: Connections that the server takes from all hosts together.
        counts: Numbers of hosts that share them.
        is_control: Whether the host is a control host.
        is_stage: Whether the server runs a stage.
        host_id: Id of the host.
        address: IP address and port of the server.
    """
    control_share = _CONTROL_SHARE_OF_STAGES if is_stage else _CONTROL_SHARE
    share = control_share if is_control else 1 - control_share
    usable = limit * _USABLE_SHARE * share
    hosts = max(1, counts.control if is_control else counts.entry)
    if usable >= hosts:
        return int(usable / hosts)
    chosen = max(0.0, usable - _HASH_DEVIATIONS * math.sqrt(usable))
    rank = zlib.crc32(f"{host_id} {address}".encode()) / 2**32
    return int(rank < chosen / hosts)
