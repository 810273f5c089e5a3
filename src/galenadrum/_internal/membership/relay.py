"""Chooses the host that speaks to control for the whole zone."""

from __future__ import annotations

from collections.abc import Sequence

from galenadrum._internal.membership.hosts import ControlReach, HostRecord


def choose_reporter(hosts: Sequence[HostRecord]) -> str:
    """Return the id of the host that reports the zone's engines to control.

    That is the lowest one that follows control itself; without any, the lowest
    one that has not lost control.

    Args:
        hosts: The zone's live entry hosts, at least one.
    """

    def rank(host: HostRecord) -> tuple[int, str]:
        return (_RANK_BY_REACH[host.control], host.host_id)

    return min(hosts, key=rank).host_id


_RANK_BY_REACH = {
    ControlReach.REACHED: 0,
    ControlReach.UNKNOWN: 1,
    ControlReach.UNREACHED: 2,
}
