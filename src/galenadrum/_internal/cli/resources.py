"""Formatting of resources for output."""

from __future__ import annotations

from typing import Any

from galenadrum._internal.models.operator_api import ResourceState

_UNKNOWN = "-"
_MAX_NAMED_HOSTS = 3


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
    """Return a summary of the entry hosts that serve a resource's revision.

    It counts the live hosts that serve the revision, and names some of the live
    hosts that have not confirmed it and of those that stopped reporting before
    they confirmed it.

    Args:
        status: Status of the resource, as reported by a control host.
    """
    live_count = status.get("live_hosts")
    missing_count = status.get("missing_count")
    if not isinstance(live_count, int) or not isinstance(missing_count, int):
        return _UNKNOWN
    text = f"{live_count - missing_count}/{live_count}"
    if missing_count:
        text += f", not on {_format_hosts(status.get('missing'), missing_count)}"
    silent_count = status.get("silent_count")
    if silent_count:
        text += f", unheard of {_format_hosts(status.get('silent'), silent_count)}"
    return text


def _format_hosts(hosts: Any, count: int) -> str:
    names = [str(host) for host in hosts or ()][:_MAX_NAMED_HOSTS]
    more = count - len(names)
    if more:
        names.append(f"and {more} more")
    return " ".join(names)
