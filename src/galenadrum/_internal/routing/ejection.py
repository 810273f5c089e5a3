"""Outlier ejection of backend servers, and probes that restore them.

A server is compared only with its peers in the same pool, so that a fault
common to all of them ejects none. The share of a pool that may be ejected at the
same time is bounded. An ejected server gets one probe call at a time:
successful probes restore it, and each failed probe doubles the interval to the
next one.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

_FAILURE_SHARE_SMOOTHING = 0.2
_FAILURE_SHARE_MARGIN = 0.3
_SLOWNESS_LIMIT_FACTOR = 3.0
_MAX_EJECTED_SHARE = 0.34
_INITIAL_PROBE_INTERVAL_S = 2.0
_MAX_PROBE_INTERVAL_S = 30.0
_PROBES_TO_RESTORE = 2
_MIN_CALLS_TO_EJECT = 4


@dataclass(slots=True)
class ServerHealth:
    """Health statistics and ejection state of one server.

    Attributes:
        failure_share: Recent share of calls that failed, 0 to 1.
        calls: Calls that ended since the server joined or was restored.
        ejected: True while the server is ejected.
        probe_at: Loop time in seconds of the next probe.
        probe_interval_s: Seconds from a failed probe to the next one.
        successful_probes: Consecutive successful probes.
        probing: True while a probe call is in flight.
    """

    failure_share: float = 0.0
    calls: int = 0
    ejected: bool = False
    probe_at: float = 0.0
    probe_interval_s: float = _INITIAL_PROBE_INTERVAL_S
    successful_probes: int = 0
    probing: bool = False


@dataclass(frozen=True, slots=True)
class PeerStats:
    """Statistics by which a server is compared with its pool.

    Attributes:
        slowness: Observed service time divided by the expected one.
    """

    server_id: str
    health: ServerHealth
    slowness: float


def record_call_result(health: ServerHealth, failed: bool) -> None:
    """Update the failure share with the result of one call."""
    health.calls += 1
    health.failure_share += _FAILURE_SHARE_SMOOTHING * (
        float(failed) - health.failure_share
    )


def max_ejected(pool_size: int) -> int:
    """Return the maximum number of ejected servers in a pool."""
    if pool_size < 2:
        return 0
    return max(1, int(pool_size * _MAX_EJECTED_SHARE))


def find_outlier(peers: list[PeerStats]) -> PeerStats | None:
    """Return the worst outlier that should be ejected, or None."""
    serving = [peer for peer in peers if not peer.health.ejected]
    ejected_count = len(peers) - len(serving)
    if len(serving) < 2 or ejected_count >= max_ejected(len(peers)):
        return None
    failure_limit = _FAILURE_SHARE_MARGIN + median_low(
        sorted(peer.health.failure_share for peer in serving)
    )
    slowness_limit = _SLOWNESS_LIMIT_FACTOR * median_low(
        sorted(peer.slowness for peer in serving)
    )
    worst_peer = max(
        serving, key=lambda peer: _outlier_score(peer, failure_limit, slowness_limit)
    )
    if worst_peer.health.calls < _MIN_CALLS_TO_EJECT:
        return None
    return (
        worst_peer
        if _outlier_score(worst_peer, failure_limit, slowness_limit) > 1.0
        else None
    )


def _outlier_score(
    peer: PeerStats, failure_limit: float, slowness_limit: float
) -> float:
    failure = peer.health.failure_share / failure_limit
    return max(failure, peer.slowness / slowness_limit)


def eject(health: ServerHealth, now: float) -> None:
    """Eject a server until probes restore it."""
    health.ejected = True
    health.successful_probes = 0
    health.probing = False
    health.probe_at = now + health.probe_interval_s


def is_probe_due(health: ServerHealth, now: float) -> bool:
    """Return whether an ejected server is due for a probe call."""
    return health.ejected and not health.probing and now >= health.probe_at


def record_probe(health: ServerHealth, succeeded: bool, now: float) -> bool:
    """Record the result of a probe and return whether it restored the server."""
    health.probing = False
    if not succeeded:
        health.successful_probes = 0
        health.probe_interval_s = min(
            _MAX_PROBE_INTERVAL_S, 2 * health.probe_interval_s
        )
        health.probe_at = now + health.probe_interval_s
        return False
    health.successful_probes += 1
    health.probe_at = now
    if health.successful_probes < _PROBES_TO_RESTORE:
        return False
    health.ejected = False
    health.failure_share = 0.0
    health.calls = 0
    health.probe_interval_s = _INITIAL_PROBE_INTERVAL_S
    return True
