"""The command ``status``."""

from __future__ import annotations

from typing import Any

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.cli.options import ControlOptions, control_options
from galenadrum._internal.cli.output_option import output_option

_MEMBER_HEADERS = ("CONTROL HOST", "MEMBER", "ROLE", "TERM", "REVISION", "LEADER")
_HOST_HEADERS = ("ENTRY HOST", "ZONE", "REVISION", "IN FORCE", "LAST HEARD")
_UNKNOWN = "-"


@click.command("status")
@control_options
@output_option
def command(control: ControlOptions, form: str) -> int:
    """Show the control hosts, and the revision that each entry host serves.

    Every control host in --control is asked for its own status. The entry
    hosts are listed as reported by the leader; a host whose last confirmation
    is old is down, or partitioned and still serving the revision shown. The
    exit code is 3 if none of the control hosts is the leader.

    \b
    Example:
      galenadrum status
    """
    status_by_address = control.connect().read_statuses()
    leader = _find_leader(status_by_address)
    if form == "json":
        output.write_json({"control_hosts": status_by_address, "leader": leader})
    else:
        rows = [_to_member_row(*item) for item in status_by_address.items()]
        output.write_table(_MEMBER_HEADERS, rows)
    if leader is None:
        output.write_to_stderr("error: no control host that was asked is the leader")
        return status_codes.UNREACHABLE
    if form == "text":
        revision = leader.get("revision", 0)
        rows = [_to_host_row(host, revision) for host in leader.get("hosts") or []]
        output.write_text("")
        output.write_table(_HOST_HEADERS, rows)
    return status_codes.SUCCESS


def _find_leader(
    status_by_address: dict[str, dict[str, Any] | None],
) -> dict[str, Any] | None:
    """Return the status reported by the leader with the highest term."""
    leaders = [
        status
        for status in status_by_address.values()
        if status is not None and status.get("role") == "leader"
    ]
    return max(leaders, key=lambda status: status.get("term", 0), default=None)


def _to_member_row(address: str, status: dict[str, Any] | None) -> tuple[Any, ...]:
    if status is None:
        return (address, _UNKNOWN, "does not answer", _UNKNOWN, _UNKNOWN, _UNKNOWN)
    names = ("member_id", "role", "term", "revision", "leader")
    return (address, *(_replace_none(status.get(name)) for name in names))


def _to_host_row(host: dict[str, Any], revision: int) -> tuple[Any, ...]:
    age_s = host.get("age_s")
    serves = host.get("revision", 0)
    return (
        _replace_none(host.get("host_id")),
        _replace_none(host.get("zone")),
        serves,
        "yes" if serves >= revision else "no",
        _UNKNOWN if age_s is None else f"{age_s:.0f} s ago",
    )


def _replace_none(value: Any) -> Any:
    return _UNKNOWN if value is None else value
