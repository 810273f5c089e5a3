"""Checks of a routing configuration that no schema can express."""

from __future__ import annotations

from collections.abc import Iterator

from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.routing import Route, RoutingConfiguration


def find_problems(configuration: RoutingConfiguration) -> tuple[Finding, ...]:
    """Return all findings of a configuration, in the order of their places."""
    findings = [
        *_unknown_services(configuration),
        *_shared_places(configuration.routes),
        *_bad_routes(configuration.routes),
        *_shared_keys(configuration),
    ]
    return tuple(findings)


def finding(path: str, message: str) -> Finding:
    """Return a finding in a document that came over the network."""
    return Finding("", 0, 0, path, message)


def _unknown_services(configuration: RoutingConfiguration) -> Iterator[Finding]:
    known = configuration.services_by_name
    for index, route in enumerate(configuration.routes):
        for name in (b.service for b in route.backends):
            if name not in known:
                yield finding(f"routes[{index}]", f"there is no service {name!r}")
        for number, stage in enumerate(route.stages):
            place = f"routes[{index}].stages[{number}]"
            service = known.get(stage.service)
            if service is None:
                yield finding(place, f"there is no service {stage.service!r}")
            elif service.stage is None:
                yield finding(place, f"service {stage.service!r} runs no stages")
            if any(earlier >= number or earlier < 0 for earlier in stage.after):
                yield finding(place, "a stage may only come after earlier ones")


def _shared_places(routes: tuple[Route, ...]) -> Iterator[Finding]:
    first_by_place: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        first = first_by_place.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name or any(
            other is not route and other.name == route.name for other in routes[:index]
        ):
            yield finding(
                f"routes[{index}]",
                f"host {route.host!r} and path {route.path_prefix!r} are taken by "
                f"route {first!r}",
            )


def _bad_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    for index, route in enumerate(routes):
        place = f"routes[{index}]"
        if route.timeout_s <= 0:
            yield finding(place, "the timeout must be above 0")
        if not route.backends or sum(b.weight for b in route.backends) <= 0:
            yield finding(place, "the weights of its services add up to 0")
        if any(b.weight < 0 for b in route.backends):
            yield finding(place, "a weight is below 0")
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield finding(place, f"path prefix {prefix!r} must begin and end with /")


def _shared_keys(configuration: RoutingConfiguration) -> Iterator[Finding]:
    holder_by_key: dict[str, str] = {}
    for index, organisation in enumerate(configuration.organisations):
        for key in organisation.keys:
            holder = holder_by_key.setdefault(key, organisation.name)
            if holder != organisation.name:
                yield finding(
                    f"organisations[{index}]",
                    f"a key of {organisation.name!r} is held by {holder!r} too",
                )
