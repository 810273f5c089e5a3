"""How resources are shown."""

from __future__ import annotations

from typing import Any

from galenadrum._internal.models.operator_api import ResourceState

_UNKNOWN = "-"
_NAMED_HOSTS_MAX = 3


def resource_to_json(resource: ResourceState) -> dict[str, Any]:
    """Return a resource as JSON values."""
    return {
        "kind": resource.key.kind,
        "name": resource.key.name,
        "owner": resource.owner,
        "revision": resource.revision,
        "generation": resource.generation,
        "spec": resource.spec,
        "status": resource.status,
    }


def describe_in_force(status: dict[str, Any]) -> str:
    """Say on how many hosts a resource is in force, and where it isn't.

    Args:
        status: As the control host reports it.
    """
    live_count = status.get("live_hosts")
    missing_count = status.get("missing_count")
    if not isinstance(live_count, int) or not isinstance(missing_count, int):
        return _UNKNOWN
    text = f"{live_count - missing_count}/{live_count}"
    if missing_count:
        text += f", not on {_name_some(status.get('missing'), missing_count)}"
    silent_count = status.get("silent_count")
    if silent_count:
        text += f", unheard of {_name_some(status.get('silent'), silent_count)}"
    return text


def _name_some(hosts: Any, count: int) -> str:
    named = [str(host) for host in hosts or ()][:_NAMED_HOSTS_MAX]
    more = count - len(named)
    if more:
        named.append(f"and {more} more")
    return " ".join(named)
