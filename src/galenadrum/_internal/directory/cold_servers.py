"""Limits on the requests to cold servers, as one host knows them."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.models.routing import Service
from galenadrum._internal.models.routing_settings import RoutingBounds
from galenadrum._internal.routing.warm_up_limits import (
    WarmUpLimit,
    build_warm_up_limit,
)

# A warm-up that ends later than published by less than the registry's tolerance isn't
# published again, so servers count as cold for longer than that.
_END_MARGIN_S = 0.25


class ColdServers:
    """Limits on the requests to servers of services that state a warm-up rate.

    Args:
        find_server: Returns the directory entry of a server id, None if unknown.
        bounds: Bounds of the deployment.
        clock: Returns the loop time in seconds.
    """

    def __init__(
        self,
        find_server: Callable[[str], ServerEntry | None],
        bounds: RoutingBounds,
        clock: Callable[[], float],
    ) -> None:
        self._find_server = find_server
        self._bounds = bounds
        self._clock = clock
        self._limits_by_service: dict[str, WarmUpLimit] = {}

    def configure(self, services_by_name: Mapping[str, Service]) -> None:
        """Apply the services of a configuration."""
        self._limits_by_service = {
            name: limit
            for name, service in services_by_name.items()
            if (limit := build_warm_up_limit(service, self._bounds)) is not None
        }

    @property
    def has_limits(self) -> bool:
        """Whether any service states a warm-up rate."""
        return bool(self._limits_by_service)

    def find_longest_warm_up(self, service: str) -> float:
        """Return the longest warm-up of a service in seconds, 0 without a limit."""
        limit = self._limits_by_service.get(service)
        return limit.longest_s if limit is not None else 0.0

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server of a service with a limit is cold."""
        return self.find_limit(server_id) is not None and self._is_warming(server_id)

    def find_rate(self, server_id: str) -> float | None:
        """Return the requests per second to a server, None unless it is cold."""
        limit = self.find_limit(server_id)
        if limit is None or not self._is_warming(server_id):
            return None
        return limit.rate_per_s

    def find_max_requests(self, server_id: str) -> int | None:
        """Return the most requests to a server in a second, None without a limit."""
        limit = self.find_limit(server_id)
        return limit.max_requests if limit is not None else None

    def find_limit(self, server_id: str) -> WarmUpLimit | None:
        """Return the limit of a server, whether it is cold or not."""
        if not self._limits_by_service:
            return None
        entry = self._find_server(server_id)
        if entry is None:
            return None
        return self._limits_by_service.get(entry.announcement.service)

    def _is_warming(self, server_id: str) -> bool:
        entry = self._find_server(server_id)
        return entry is not None and (
            self._clock() < entry.warm_up_ends_at + _END_MARGIN_S
        )


class CutOffColdServers(ColdServers):
    """The same limits for a host that dispatches for itself, without any link.

    It may miss that a server has become cold, so that it spaces the requests to warm
    servers as well.

    Args:
        find_server: Returns the directory entry of a server id, None if unknown.
        bounds: Bounds of the deployment.
        clock: Returns the loop time in seconds.
        rng: Source of randomness for the first requests.
    """

    def __init__(
        self,
        find_server: Callable[[str], ServerEntry | None],
        bounds: RoutingBounds,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        super().__init__(find_server, bounds, clock)
        self._rng = rng

    def find_rate(self, server_id: str) -> float | None:
        """Return the requests per second of all such hosts, None without a limit."""
        limit = self.find_limit(server_id)
        if limit is None:
            return None
        return limit.find_cut_off_rate(self._is_warming(server_id))

    def choose_first_wait(self, server_id: str, interval_s: float) -> float:
        """Return the wait for the first request, in seconds.

        Hosts that lose their links together would send in the same moment.
        """
        if self.find_limit(server_id) is None:
            return interval_s
        return self._rng.uniform(0.0, interval_s)
