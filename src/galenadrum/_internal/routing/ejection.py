"""Leaves servers out that fail or lag behind their peers, and probes them.

A server is judged only against its peers of the same pool, so that a fault
common to all of them ejects none. At most a bounded share of a pool is out
at once. A server that is out gets one probe call at a time; good probes bring
it back, bad ones double the interval to the next.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

_FAILURE_STEP = 0.2
_FAILURE_MARGIN = 0.3
_SLOWNESS_FACTOR = 3.0
_MAX_EJECTED_SHARE = 0.34
_FIRST_PROBE_S = 2.0
_MAX_PROBE_S = 30.0
_PROBES_TO_RESTORE = 2
_MIN_CALLS = 4


@dataclass(slots=True)
class ServerHealth:
    """What was seen of one server.

    Attributes:
        failure_share: Recent share of calls that failed, 0 to 1.
        calls: Calls that ended since the server joined.
        ejected: Whether the server is out.
        probe_at: Loop time in seconds of the next probe.
    """

    failure_share: float = 0.0
    calls: int = 0
    ejected: bool = False
    probe_at: float = 0.0
    probe_interval_s: float = _FIRST_PROBE_S
    good_probes: int = 0
    probing: bool = False


@dataclass(frozen=True, slots=True)
class PeerView:
    """One server as its pool compares it.

    Attributes:
        slowness: Observed over expected service time.
    """

    server_id: str
    health: ServerHealth
    slowness: float


def record_call(health: ServerHealth, failed: bool) -> None:
    """Count the end of one call."""
    health.calls += 1
    health.failure_share += _FAILURE_STEP * (float(failed) - health.failure_share)


def max_ejected(pool_size: int) -> int:
    """Return how many servers of a pool may be out at once."""
    if pool_size < 2:
        return 0
    return max(1, int(pool_size * _MAX_EJECTED_SHARE))


def find_outlier(peers: list[PeerView]) -> PeerView | None:
    """Return the worst server that should be ejected now, if any."""
    serving = [peer for peer in peers if not peer.health.ejected]
    out = len(peers) - len(serving)
    if len(serving) < 2 or out >= max_ejected(len(peers)):
        return None
    failure_limit = _FAILURE_MARGIN + median_low(
        sorted(peer.health.failure_share for peer in serving)
    )
    slowness_limit = _SLOWNESS_FACTOR * median_low(
        sorted(peer.slowness for peer in serving)
    )
    worst = max(serving, key=lambda peer: _badness(peer, failure_limit, slowness_limit))
    if worst.health.calls < _MIN_CALLS:
        return None
    return worst if _badness(worst, failure_limit, slowness_limit) > 1.0 else None


def _badness(peer: PeerView, failure_limit: float, slowness_limit: float) -> float:
    failure = peer.health.failure_share / failure_limit
    return max(failure, peer.slowness / slowness_limit)


def eject(health: ServerHealth, now: float) -> None:
    """Take a server out until probes bring it back."""
    health.ejected = True
    health.good_probes = 0
    health.probing = False
    health.probe_at = now + health.probe_interval_s


def may_probe(health: ServerHealth, now: float) -> bool:
    """Return whether a server that is out may get one call now."""
    return health.ejected and not health.probing and now >= health.probe_at


def record_probe(health: ServerHealth, good: bool, now: float) -> bool:
    """Count a probe's end and return whether the server is back."""
    health.probing = False
    if not good:
        health.good_probes = 0
        health.probe_interval_s = min(_MAX_PROBE_S, 2 * health.probe_interval_s)
        health.probe_at = now + health.probe_interval_s
        return False
    health.good_probes += 1
    health.probe_at = now
    if health.good_probes < _PROBES_TO_RESTORE:
        return False
    health.ejected = False
    health.failure_share = 0.0
    health.calls = 0
    health.probe_interval_s = _FIRST_PROBE_S
    return True
