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
    missing = status.get("missing_hosts")
    silent = status.get("silent_hosts") or []
    if not isinstance(live_count, int) or not isinstance(missing, list):
        return _UNKNOWN
    text = f"{live_count - len(missing)}/{live_count}"
    if missing:
        text += f", not on {_name_some(missing)}"
    if silent:
        text += f", unheard of {_name_some(silent)}"
    return text


def _name_some(hosts: list[Any]) -> str:
    named = " ".join(str(host) for host in hosts[:_NAMED_HOSTS_MAX])
    more = len(hosts) - _NAMED_HOSTS_MAX
    return f"{named} and {more} more" if more > 0 else named
