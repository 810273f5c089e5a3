"""Limits on the connections of this host to backend servers."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.models.routing import Service
from galenadrum._internal.routing.connection_shares import (
    HostCounts,
    share_connections,
)


def build_connection_limit(
    host_id: str,
    is_control: bool,
    registry: Registry,
    services: Callable[[], Mapping[str, Service]],
    counts: Callable[[], HostCounts],
) -> Callable[[str], int | None]:
    """Return a function that finds the limit of this host for a server's address.

    Args:
        host_id: Id of this host.
        is_control: Whether this host is a control host.
        registry: Directory of the backend servers.
        services: Returns the services of the active configuration.
        counts: Returns the numbers of hosts that share the connections.
    """

    def find_limit(address: str) -> int | None:
        entry = registry.find_by_address(address)
        if entry is None:
            return None
        service = services().get(entry.announcement.service)
        if service is None or not service.max_connections:
            return None
        return share_connections(
            service.max_connections,
            counts(),
            is_control,
            service.stage is not None,
            host_id,
            address,
        )

    return find_limit
