"""Look-ups of routes by host and path and of organisations by key."""

from __future__ import annotations

import random
from collections import defaultdict

from galenadrum._internal.models.routing import (
    OrganisationKeys,
    Route,
    RoutingConfiguration,
)


class RouteTable:
    """Indexes the routes and organisations of one configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            self._routes_by_host[route.host].append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._routes_by_name = {route.name: route for route in configuration.routes}
        self._organisation_by_key: dict[str, OrganisationKeys] = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix.

        Args:
            host: Value of the Host header. Case is ignored, and so is a port, except
                after an IPv6 address in brackets.
            path: Path of the request.
        """
        name = host.partition(":")[0] if not host.startswith("[") else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_by_name(self, name: str) -> Route | None:
        """Return the route with that name."""
        return self._routes_by_name.get(name)

    def find_organisation(self, key: str) -> OrganisationKeys | None:
        """Return the organisation that holds a key."""
        return self._organisation_by_key.get(key)


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose one of the route's services at random, by weight."""
    if len(route.backends) == 1:
        return route.backends[0].service
    weights = [backend.weight for backend in route.backends]
    return rng.choices(route.backends, weights)[0].service
