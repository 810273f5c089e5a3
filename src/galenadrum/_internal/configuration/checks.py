"""Checks of a routing configuration that no schema can express."""

from __future__ import annotations

from collections.abc import Iterator

from galenadrum._internal.configuration.versions import MAX_VERSION
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.routing import Route, RoutingConfiguration


def find_problems(configuration: RoutingConfiguration) -> tuple[Finding, ...]:
    """Return the findings of all checks, grouped by check."""
    findings = [
        *_check_version(configuration.version),
        *_check_services(configuration),
        *_check_unique_routes(configuration.routes),
        *_check_route_values(configuration.routes),
        *_check_unique_keys(configuration),
    ]
    return tuple(findings)


def build_finding(path: str, message: str) -> Finding:
    """Return a finding about a document that isn't a file, with no line or column."""
    return Finding("", 0, 0, path, message)


def _check_version(version: int) -> Iterator[Finding]:
    if not 0 <= version <= MAX_VERSION:
        yield build_finding("version", f"is {version}, expected 0 to {MAX_VERSION}")


def _check_services(configuration: RoutingConfiguration) -> Iterator[Finding]:
    services_by_name = configuration.services_by_name
    for index, route in enumerate(configuration.routes):
        for name in (b.service for b in route.backends):
            if name not in services_by_name:
                yield build_finding(f"routes[{index}]", f"there is no service {name!r}")
        for stage_index, stage in enumerate(route.stages):
            place = f"routes[{index}].stages[{stage_index}]"
            service = services_by_name.get(stage.service)
            if service is None:
                yield build_finding(place, f"there is no service {stage.service!r}")
            elif service.stage is None:
                yield build_finding(place, f"service {stage.service!r} runs no stages")
            if any(earlier >= stage_index or earlier < 0 for earlier in stage.after):
                yield build_finding(place, "a stage may only come after earlier ones")


def _check_unique_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    name_by_host_and_prefix: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        first_name = name_by_host_and_prefix.setdefault(
            (route.host, route.path_prefix), route.name
        )
        if first_name != route.name or any(
            other is not route and other.name == route.name for other in routes[:index]
        ):
            yield build_finding(
                f"routes[{index}]",
                f"host {route.host!r} and path {route.path_prefix!r} are taken by "
                f"route {first_name!r}",
            )


def _check_route_values(routes: tuple[Route, ...]) -> Iterator[Finding]:
    for index, route in enumerate(routes):
        place = f"routes[{index}]"
        if route.timeout_s <= 0:
            yield build_finding(place, "the timeout must be above 0")
        if not route.backends or sum(b.weight for b in route.backends) <= 0:
            yield build_finding(place, "the weights of its services add up to 0")
        if any(b.weight < 0 for b in route.backends):
            yield build_finding(place, "a weight is below 0")
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield build_finding(
                place, f"path prefix {prefix!r} must begin and end with /"
            )


def _check_unique_keys(configuration: RoutingConfiguration) -> Iterator[Finding]:
    organisation_by_key: dict[str, str] = {}
    for index, organisation in enumerate(configuration.organisations):
        for key in organisation.keys:
            holder = organisation_by_key.setdefault(key, organisation.name)
            if holder != organisation.name:
                yield build_finding(
                    f"organisations[{index}]",
                    f"a key of {organisation.name!r} is held by {holder!r} too",
                )
