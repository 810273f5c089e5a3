"""Results of stages are used in the zone that made them, where time allows."""

import random

from galenadrum._internal.dispatch.transfer_costs import (
    count_moved_bytes,
    estimate_transfer_penalty,
)
from galenadrum._internal.models.routing import RouteStage
from lib.dispatch_simulation import DispatchSimulation
from lib.routing_values import entry, request, services

CHAIN = (
    RouteStage("encode", (), 8_000.0),
    RouteStage("retrieve", (0,), 60_000.0),
    RouteStage("rerank", (1,), 6_000.0),
)
LARGE_RESULT = (RouteStage("encode", (), 1.5e6),)


def build_fleet(servers_per_zone):
    """Return a simulation of three zones with servers of each service."""
    entries = [
        entry(
            f"{service}-{zone}{number}",
            service,
            zone,
            address=f"10.{place}.{'abc'.index(zone)}.{number + 1}:80",
            concurrency=16 if service == "generate" else 1,
        )
        for place, service in enumerate(("generate", "encode", "retrieve", "rerank"))
        for zone in "abc"
        for number in range(servers_per_zone)
    ]
    return DispatchSimulation(services("encode", "retrieve", "rerank"), entries)


def simulate_chains(rate, objective_s, length_s=10.0, seed=1):
    """Simulate chains of three stages, the callers spread over three zones.

    Returns:
        The simulation, and the share of requests placed in time.
    """
    simulation = build_fleet(2)
    rng = random.Random(seed)
    now, due_at_by_request = 0.0, {}
    while (now := now + rng.expovariate(rate)) < length_s:
        request_id = f"r{len(due_at_by_request)}"
        due_at_by_request[request_id] = now + objective_s
        simulation.submit_at(
            now,
            request(
                request_id,
                (1, 4, 6),
                now,
                CHAIN,
                objective_at=now + objective_s,
                give_up_at=now + objective_s + 3.0,
                zone=rng.choice("abc"),
            ),
        )
    simulation.run(length_s + 5.0)
    in_time = sum(
        simulation.placed_at.get(request_id, 1e9) <= due_at
        for request_id, due_at in due_at_by_request.items()
    )
    return simulation, in_time / len(due_at_by_request)


class TestChainsWithTime:
    """Chains of a second with an objective of two and a half, at half the capacity."""

    def test_most_results_stay_in_their_zone(self):
        simulation, in_time = simulate_chains(rate=10.0, objective_s=2.5)
        assert simulation.moved_bytes <= 0.25 * simulation.used_bytes
        assert in_time >= 0.97


class TestChainsThatAreDue:
    """The same chains with no time to spare: no server waits for its zone."""

    def test_requests_are_placed_in_time(self):
        _, in_time = simulate_chains(rate=6.0, objective_s=1.25)
        assert in_time >= 0.9


class TestLargeResults:
    def test_engine_runs_where_most_results_are(self):
        simulation = build_fleet(1)
        for number in range(12):
            now = 0.25 * number
            simulation.submit_at(
                now,
                request(
                    f"r{number}",
                    (3,),
                    now,
                    LARGE_RESULT,
                    objective_at=now + 2.0,
                    prompt=(),
                ),
            )
        simulation.run(6.0)
        assert len(simulation.placed_at) == 12
        assert simulation.moved_bytes == 0

    def test_rest_of_a_stage_goes_to_the_zone_of_its_first_results(self):
        simulation = build_fleet(1)
        # A call holds eight pieces.
        simulation.submit_at(
            0.0, request("r1", (12,), 0.0, LARGE_RESULT, objective_at=4.0)
        )
        simulation.run(3.0)
        assert len({call.server.zone for _, call in simulation.calls}) == 1


class TestPenalty:
    def test_request_that_is_due_counts_the_transfer_only(self):
        assert estimate_transfer_penalty(1e6, 0.0) == 0.04

    def test_penalty_grows_with_slack_up_to_a_limit(self):
        slacks_s = [0.1 * step for step in range(40)]
        penalties = [estimate_transfer_penalty(1e6, slack_s) for slack_s in slacks_s]
        assert penalties == sorted(penalties)
        assert penalties[0] == 0.04
        assert penalties[-1] == estimate_transfer_penalty(1e6, 1e9) < 0.3
        # Waiting for a server never takes more than a part of the time that is left.
        for slack_s, penalty_s in zip(slacks_s, penalties, strict=True):
            assert penalty_s <= max(0.04, 0.3 * slack_s)

    def test_results_in_several_zones_are_counted(self):
        assert count_moved_bytes({"a": 3.0, "b": 2.0, "c": 1.0}, "b") == 4.0
        assert count_moved_bytes({}, "b") == 0.0
