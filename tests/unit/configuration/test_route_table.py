"""Look-ups of routes and organisations."""

import random

from galenadrum._internal.configuration.route_table import RouteTable, choose_service
from galenadrum._internal.models.routing import (
    OrganisationKeys,
    RoutingConfiguration,
    WeightedService,
)
from lib.routing_values import route, services


def table(*routes, organisations=()):
    return RouteTable(
        RoutingConfiguration(1, routes, services(), organisations=organisations)
    )


class TestRoutes:
    def test_longest_prefix_wins(self):
        short = route(name="short", path_prefix="/a/")
        long = route(name="long", path_prefix="/a/b/")
        found = table(short, long)
        assert found.find_route("plan.example", "/a/b/c").name == "long"
        assert found.find_route("plan.example", "/a/c").name == "short"

    def test_prefix_matches_whole_path_segments(self):
        assert table(route()).find_route("plan.example", "/planet") is None

    def test_host_matches_regardless_of_port_and_case(self):
        assert table(route()).find_route("PLAN.example:80", "/plan/x") is not None

    def test_other_host_has_no_route(self):
        assert table(route()).find_route("other.example", "/plan/x") is None


class TestOrganisations:
    def test_organisation_by_key(self):
        found = table(organisations=(OrganisationKeys("one", ("k1",)),))
        assert found.find_organisation("k1").name == "one"
        assert found.find_organisation("k2") is None


class TestWeights:
    def test_services_are_chosen_by_weight(self):
        split = route(backends=(WeightedService("a", 90.0), WeightedService("b", 10.0)))
        rng = random.Random(7)
        chosen = [choose_service(split, rng) for _ in range(1_000)]
        assert 60 <= chosen.count("b") <= 140

    def test_service_with_zero_weight_is_never_chosen(self):
        split = route(backends=(WeightedService("a", 1.0), WeightedService("b", 0.0)))
        rng = random.Random(7)
        assert {choose_service(split, rng) for _ in range(200)} == {"a"}
