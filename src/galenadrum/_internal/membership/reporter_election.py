"""Election of the entry host that reports to the control hosts for its zone."""

from __future__ import annotations

from collections.abc import Sequence

from galenadrum._internal.membership.hosts import ControlReach, HostRecord


def elect_reporter(hosts: Sequence[HostRecord]) -> str:
    """Return the id of the host that reports the zone's engines to control.

    Hosts that follow a control host are preferred, then hosts that do not try to,
    then hosts that tried lately and failed. The lowest host id breaks ties.

    Args:
        hosts: The zone's live entry hosts, at least one.
    """

    def preference(host: HostRecord) -> tuple[int, str]:
        return (_PREFERENCE_BY_REACH[host.control], host.host_id)

    return min(hosts, key=preference).host_id


_PREFERENCE_BY_REACH = {
    ControlReach.REACHED: 0,
    ControlReach.UNKNOWN: 1,
    ControlReach.UNREACHED: 2,
}
