"""Gauges of a member of the replicated log."""

from __future__ import annotations

from collections.abc import Callable

from galenadrum._internal.control.replication.core import ReplicaStatus
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.observability.metrics import Metrics


def register_log_gauges(
    metrics: Metrics, get_log: Callable[[], ReplicatedLog | None]
) -> None:
    """Register the gauges of a log member.

    Args:
        metrics: Metrics of the host.
        get_log: Returns the running member; None while there is none.
    """

    def register(name: str, read: Callable[[ReplicatedLog], float]) -> None:
        def read_gauge() -> float:
            log = get_log()
            if log is None or not log.is_running:
                return 0.0
            return float(read(log))

        metrics.register_gauge(name, read_gauge)

    register("log_term", lambda log: log.status.term)
    register("log_leads", lambda log: log.is_leader)
    register("log_voters", lambda log: _count_members(log.status, voter=True))
    register("log_learners", lambda log: _count_members(log.status, voter=False))
    register("log_commit_index", lambda log: log.status.commit_index)
    register("log_follower_lag_entries", lambda log: _find_largest_lag(log.status))
    register("log_leaderless_seconds", lambda log: log.leaderless_s)


def _count_members(status: ReplicaStatus, voter: bool) -> int:
    return sum(p.member.voter == voter for p in status.members)


def _find_largest_lag(status: ReplicaStatus) -> int:
    """Return the entries that the slowest member lacks, as known by the leader."""
    known = [p.match_index for p in status.members if p.match_index is not None]
    return max((status.last_index - index for index in known), default=0)
