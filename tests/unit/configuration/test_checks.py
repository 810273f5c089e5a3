"""Checks of routing configurations."""

from dataclasses import replace

from galenadrum._internal.configuration.checks import find_problems
from galenadrum._internal.models.routing import (
    OrganisationKeys,
    RouteStage,
    RoutingConfiguration,
    WeightedService,
)
from lib.routing_values import route, services


def configuration(*routes, organisations=()):
    return RoutingConfiguration(
        1, routes or (route(),), services(), organisations=organisations
    )


def messages(checked):
    return [f"{f.path}: {f.message}" for f in find_problems(checked)]


class TestRoutes:
    def test_valid_configuration_has_no_findings(self):
        assert messages(configuration(route((RouteStage("encode"),)))) == []

    def test_route_with_unknown_service(self):
        broken = route(backends=(WeightedService("missing", 1.0),))
        assert messages(configuration(broken)) == [
            "routes[0]: there is no service 'missing'"
        ]

    def test_stage_with_unknown_service(self):
        broken = route((RouteStage("missing"),))
        assert messages(configuration(broken)) == [
            "routes[0].stages[0]: there is no service 'missing'"
        ]

    def test_stage_that_depends_on_a_later_one(self):
        broken = route((RouteStage("encode", (1,)), RouteStage("encode")))
        assert (
            "a stage may only come after earlier ones"
            in messages(configuration(broken))[0]
        )

    def test_two_routes_with_the_same_host_and_path(self):
        other = route(name="other")
        found = messages(configuration(route(), other))
        assert found == [
            "routes[1]: host 'plan.example' and path '/plan/' are taken by route 'plan'"
        ]

    def test_weights_that_add_up_to_zero(self):
        broken = route(backends=(WeightedService("generate", 0.0),))
        assert messages(configuration(broken)) == [
            "routes[0]: the weights of its services add up to 0"
        ]

    def test_timeout_of_zero(self):
        assert messages(configuration(route(timeout_s=0.0))) == [
            "routes[0]: the timeout must be above 0"
        ]

    def test_prefix_without_slashes(self):
        assert (
            "must begin and end with /"
            in messages(configuration(route(path_prefix="/plan")))[0]
        )

    def test_all_findings_are_returned_together(self):
        broken = replace(
            route(timeout_s=0.0), backends=(WeightedService("missing", 0.0),)
        )
        assert len(messages(configuration(broken))) == 3


class TestKeys:
    def test_key_that_two_organisations_hold(self):
        found = messages(
            configuration(
                organisations=(
                    OrganisationKeys("one", ("k1", "k2")),
                    OrganisationKeys("two", ("k2",)),
                )
            )
        )
        assert found == ["organisations[1]: a key of 'two' is held by 'one' too"]
