"""Simulated load and failures against the zone dispatcher."""

import random
from collections import Counter

import pytest

from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceFailure,
    PlacementOutcome,
)
from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.models.routing import RouteStage
from lib.dispatch_simulation import DispatchSimulation
from lib.routing_values import entry, request, route, services

ENGINES = [entry(f"g-{i}", "generate", "abc"[i], concurrency=64) for i in range(3)]
ENCODERS = [entry(f"e-{zone}", "encode", zone) for zone in "abc"]
CHAIN = (
    RouteStage("encode", (), 8_000.0),
    RouteStage("retrieve", (0,), 60_000.0),
    RouteStage("rerank", (1,), 6_000.0),
)
CHAIN_SERVERS = [
    entry(f"{service}-{zone}", service, zone)
    for service in ("encode", "retrieve", "rerank")
    for zone in "abc"
]


def build_simulation(entries=None, **kwargs):
    return DispatchSimulation(services(), entries or [*ENGINES, *ENCODERS], **kwargs)


def submit_at_random_times(simulation, rate, until, build_request, seed=1):
    """Submit requests at random times, on average ``rate`` per second."""
    rng = random.Random(seed)
    now, count = 0.0, 0
    while (now := now + rng.expovariate(rate)) < until:
        simulation.submit_at(now, build_request(f"r{count}", now))
        count += 1
    return count


class TestLowLoad:
    def test_request_is_placed_with_the_results_of_its_stage(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request(pieces=(2,)))
        simulation.run(1.0)
        assert simulation.placed_at["r1"] == pytest.approx(0.24)
        assert len(simulation.placements["r1"].inputs) == 2

    def test_request_without_pieces_is_placed_at_once(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request(pieces=(0,)))
        simulation.run(1.0)
        assert simulation.placed_at["r1"] == 0.0

    def test_results_are_released_after_the_first_event(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request(pieces=(3,)))
        simulation.run(2.0)
        assert len(simulation.released) == 3
        assert not simulation.results

    def test_releases_are_batched(self):
        simulation = build_simulation(first_event_s=0.01)
        count = submit_at_random_times(
            simulation, 60.0, 2.0, lambda i, now: request(i, now=now)
        )
        simulation.run(4.0)
        assert simulation.dispatcher.is_idle
        assert not simulation.results
        assert simulation.release_calls <= 0.5 * count

    def test_piece_receives_all_results_of_the_previous_stage(self):
        simulation = DispatchSimulation(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )
        simulation.submit_at(
            0.0, request(pieces=(1, 6, 10), stages=CHAIN, objective_at=2.0)
        )
        simulation.run(3.0)
        pieces = [p for _, call in simulation.calls for p in call.pieces]
        assert {len(p.inputs) for p in pieces if p.stage == 1} == {1}
        assert {len(p.inputs) for p in pieces if p.stage == 2} == {6}
        assert "r1" in simulation.placed_at

    def test_request_is_refused_at_once_without_a_server(self):
        simulation = build_simulation(entries=ENGINES)
        simulation.submit_at(0.0, request())
        simulation.run(0.1)
        assert simulation.refused_at["r1"] == (0.0, "no_server")


class TestBatching:
    """Many requests with one piece each; unbatched, each would take a whole call."""

    def test_pieces_of_many_requests_share_calls(self):
        simulation = build_simulation()
        # With one piece per call, three servers would process 13.6 pieces a second.
        count = submit_at_random_times(
            simulation, 45.0, 6.0, lambda i, now: request(i, now=now)
        )
        simulation.run(10.0)
        in_time = sum(at < 12 for at in simulation.placed_at.values())
        assert in_time >= 0.95 * count

    def test_server_with_room_is_told_seldom_what_to_release(self):
        # Results of 1 kB each hold a small part of 18 MB; engines begin one by one.
        simulation = build_simulation()
        rng = random.Random(1)
        simulation.first_event_s = lambda: rng.uniform(0.05, 0.6)
        submit_at_random_times(
            simulation, 45.0, 4.0, lambda i, now: request(i, now=now)
        )
        simulation.run(8.0)
        assert simulation.dispatcher.is_idle
        assert not simulation.results
        # Three servers, for 5 s, once in 0.25 s.
        assert simulation.release_calls <= 3 * 5 / 0.25

    def test_server_concurrency_is_not_exceeded(self):
        simulation = build_simulation()
        submit_at_random_times(
            simulation, 45.0, 4.0, lambda i, now: request(i, now=now)
        )
        simulation.run(8.0)
        assert set(simulation.max_running_by_server.values()) == {1}


class TestOverload:
    """A burst of twice the capacity of the stages."""

    def run_burst(self):
        simulation = build_simulation()
        self.submitted = {}

        def build_request(request_id, now):
            self.submitted[request_id] = now
            return request(request_id, (2,), now)

        # Three servers process 66 pieces a second in full calls.
        submit_at_random_times(simulation, 66.0, 8.0, build_request)
        simulation.run(16.0)
        return simulation

    def test_most_placed_requests_meet_their_objective(self):
        simulation = self.run_burst()
        late = [
            r for r, at in simulation.placed_at.items() if at > self.submitted[r] + 1.0
        ]
        assert len(late) <= 0.15 * len(simulation.placed_at)

    def test_servers_are_kept_busy(self):
        simulation = self.run_burst()
        # The capacity is half of the offered load.
        assert len(simulation.placed_at) >= 0.42 * len(self.submitted)

    def test_most_refusals_are_immediate(self):
        simulation = self.run_burst()
        waits = [at - self.submitted[r] for r, (at, _) in simulation.refused_at.items()]
        at_once = sum(wait < 0.05 for wait in waits)
        assert at_once >= 0.95 * len(waits)

    def test_every_request_ends_and_no_results_remain(self):
        simulation = self.run_burst()
        assert len(simulation.placed_at) + len(simulation.refused_at) == len(
            self.submitted
        )
        assert simulation.dispatcher.request_count == 0
        assert not simulation.results


class TestResultMemory:
    """Large results; partially complete requests could block each other's memory."""

    def test_partially_complete_requests_go_first(self):
        stages = (RouteStage("encode", (), 3e6),)
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        for number in range(8):
            submitted_request = request(
                f"r{number}", (4,), stages=stages, objective_at=9.0, give_up_at=12.0
            )
            simulation.submit_at(0.01 * number, submitted_request)
        simulation.run(12.0)
        # Sixteen megabytes hold five results; each request has four.
        assert len(simulation.placed_at) == 8

    def test_calls_wait_for_confirmed_releases(self):
        stages = (RouteStage("encode", (), 3e6),)
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        for number in range(12):
            submitted_request = request(
                f"r{number}", (2,), stages=stages, objective_at=9.0, give_up_at=12.0
            )
            simulation.submit_at(0.01 * number, submitted_request)
        # The simulation asserts before each call that its results fit.
        simulation.run(12.0)
        assert len(simulation.placed_at) == 12

    def test_all_results_of_a_call_are_counted_before_the_next_call(self):
        """A result that reports a lost input starts another call immediately."""
        chain = (RouteStage("encode", (), 1e3), RouteStage("encode", (0,), 1e3))
        large = (RouteStage("encode", (), 4e6),)
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        times = {"objective_at": 4.0, "give_up_at": 9.0}
        simulation.submit_at(0.0, request("chain", (1, 1), stages=chain, **times))
        for number in range(2):
            at = 0.1 + 0.2 * number
            simulation.submit_at(
                at, request(f"big-{number}", (3,), stages=large, priority=1, **times)
            )
        simulation.run(0.23)
        second = simulation.calls[-1][1]
        assert [p.request_id for p in second.pieces] == ["chain", *["big-0"] * 3]
        simulation.lose_inputs(second, "chain")
        # The simulation asserts that the requested results fit.
        simulation.run(4.0)
        assert simulation.placed_at.keys() == {"chain", "big-0", "big-1"}

    def test_full_memory_does_not_fail_a_request(self):
        simulation = build_simulation()
        for zone in "abc":
            simulation.failure_by_server[f"e-{zone}"] = PieceFailure.MEMORY_FULL
        simulation.submit_at(0.0, request(objective_at=5.0, give_up_at=6.0))
        simulation.run(1.5)
        simulation.failure_by_server.clear()
        simulation.run(4.0)
        assert "r1" in simulation.placed_at


class TestLateRequests:
    """A server stalls: queued requests miss their objective, new ones can meet it."""

    def test_late_pieces_yield_to_pieces_that_can_be_in_time(self):
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        # One call holds eight pieces and takes 0.36 s.
        for number in range(3):
            simulation.submit_at(0.0, request(f"late-{number}", (8,), objective_at=1.5))
        simulation.slowness_by_server["e-a"] = 4
        simulation.schedule_at(0.1, lambda: simulation.slowness_by_server.clear())
        simulation.submit_at(1.2, request("new", (8,), 1.2, objective_at=2.6))
        simulation.run(6.0)
        late = [simulation.placed_at[f"late-{n}"] for n in range(3)]
        assert simulation.placed_at["new"] <= 2.5
        assert max(late) > simulation.placed_at["new"]

    def test_late_requests_are_placed_before_their_callers_give_up(self):
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        for number in range(3):
            simulation.submit_at(0.0, request(f"late-{number}", (8,), objective_at=1.5))
        simulation.slowness_by_server["e-a"] = 4
        simulation.schedule_at(0.1, lambda: simulation.slowness_by_server.clear())
        submit_at_random_times(
            simulation,
            2.0,
            4.0,
            lambda i, now: request(i, (4,), now, objective_at=now + 1),
        )
        simulation.run(8.0)
        assert all(simulation.placed_at[f"late-{n}"] <= 4.0 for n in range(3))


class TestFailures:
    def test_pieces_of_a_broken_call_are_retried(self):
        simulation = build_simulation()
        simulation.failure_by_server["e-a"] = CallFailure.BROKEN
        simulation.submit_at(0.0, request())
        simulation.run(2.0)
        assert "r1" in simulation.placed_at

    def test_overdue_call_is_retried_at_another_server(self):
        simulation = build_simulation()
        simulation.slowness_by_server["e-a"] = 10
        simulation.submit_at(0.0, request())
        simulation.run(5.0)
        assert simulation.placed_at["r1"] < 1.5

    def test_lost_response_does_not_block_the_server(self):
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]])
        simulation.slowness_by_server["e-a"] = 100
        simulation.submit_at(0.0, request("lost", give_up_at=9.0))
        simulation.run(0.1)
        simulation.slowness_by_server.clear()
        for number in range(4):
            when = 1.2 + number
            simulation.submit_at(when, request(f"r{number}", now=when))
        simulation.run(9.0)
        assert {f"r{number}" for number in range(1, 4)} <= set(simulation.placed_at)

    def test_lost_inputs_are_produced_again(self):
        simulation = DispatchSimulation(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )
        for zone in "abc":
            simulation.failure_by_server[f"retrieve-{zone}"] = PieceFailure.INPUT_LOST
        submitted_request = request(
            pieces=(1, 6, 1), stages=CHAIN, objective_at=3.0, give_up_at=5.0
        )
        simulation.submit_at(0.0, submitted_request)
        simulation.run(0.6)
        simulation.failure_by_server.clear()
        simulation.run(5.0)
        first_stage = [
            p for _, call in simulation.calls for p in call.pieces if p.stage == 0
        ]
        assert len(first_stage) == 2
        assert "r1" in simulation.placed_at

    def test_piece_that_fails_after_its_inputs_were_discarded_waits_for_them(self):
        """One call of a stage reports lost inputs, another breaks later."""
        servers = [
            entry("encode-a", "encode", "a"),
            entry("retrieve-a", "retrieve", "a"),
            entry("retrieve-b", "retrieve", "b"),
        ]
        simulation = DispatchSimulation(
            services("encode", "retrieve"), [*ENGINES, *servers]
        )
        simulation.failure_by_server["retrieve-a"] = PieceFailure.INPUT_LOST
        simulation.failure_by_server["retrieve-b"] = CallFailure.BROKEN
        simulation.slowness_by_server["retrieve-b"] = 2
        submitted_request = request(
            pieces=(1, 12), stages=CHAIN[:2], objective_at=3.0, give_up_at=6.0
        )
        simulation.submit_at(0.0, submitted_request)
        simulation.run(1.0)
        simulation.failure_by_server.clear()
        # The simulation asserts that the inputs of each piece exist.
        simulation.run(6.0)
        for _, call in simulation.calls:
            assert all(len(p.inputs) == 1 for p in call.pieces if p.stage == 1)
        assert "r1" in simulation.placed_at

    def test_request_is_refused_when_its_pieces_keep_failing(self):
        simulation = build_simulation()
        for zone in "abc":
            simulation.failure_by_server[f"e-{zone}"] = PieceFailure.ERROR
        simulation.submit_at(0.0, request())
        simulation.run(5.0)
        assert simulation.refused_at["r1"][1] == "stage_failed"

    def test_waiting_request_is_refused_before_its_caller_gives_up(self):
        simulation = build_simulation()
        for server in ENCODERS:
            simulation.slowness_by_server[server.server_id] = 40
        simulation.submit_at(0.0, request())
        simulation.run(5.0)
        at, reason = simulation.refused_at["r1"]
        assert reason == "deadline"
        assert at < 4.0

    def test_draining_server_receives_no_calls(self):
        simulation = build_simulation()
        leaving = entry("e-a", "encode", "a", sequence=2, state=ServerState.DRAINING)
        simulation.dispatcher.put_server(leaving)
        submit_at_random_times(
            simulation, 20.0, 3.0, lambda i, now: request(i, now=now)
        )
        simulation.run(5.0)
        assert "e-a" not in simulation.max_running_by_server

    def test_cancelled_request_is_not_placed(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request("first"))
        simulation.submit_at(0.0, request("r1"))
        simulation.run(0.0)
        simulation.dispatcher.report("r1", "", PlacementOutcome.CANCELLED, 0.0)
        simulation.run(3.0)
        assert "r1" not in simulation.placed_at
        assert not simulation.results


class TestLostDispatcher:
    """A dispatcher is lost under load while its results occupy server memory."""

    def build_chain_simulation(self):
        return DispatchSimulation(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )

    def chain_request(self, request_id, now):
        return request(request_id, (1, 6, 10), now, CHAIN, objective_at=now + 1.8)

    def test_complete_stages_are_not_repeated(self):
        simulation = self.build_chain_simulation()
        simulation.submit_at(0.0, self.chain_request("r1", 0.0))
        # The first stage is complete after 0.22 s, the second after 0.54 s.
        simulation.schedule_at(0.6, simulation.fail_over)
        simulation.run(3.0)
        counts = Counter(p.stage for _, call in simulation.calls for p in call.pieces)
        assert counts == {0: 1, 1: 6, 2: 20}
        assert "r1" in simulation.placed_at

    def test_restored_results_are_released(self):
        simulation = self.build_chain_simulation()
        simulation.submit_at(0.0, self.chain_request("r1", 0.0))
        simulation.schedule_at(0.6, simulation.fail_over)
        simulation.run(3.0)
        # No dispatcher knows the results of the lost dispatcher's call.
        orphans = {h for h in simulation.results if h not in simulation.released}
        assert len(orphans) == 10
        assert not simulation.dispatcher.request_count

    def test_consumed_results_are_released_again(self):
        # The dispatcher is lost between the end of a stage and its next releases.
        simulation = self.build_chain_simulation()
        simulation.submit_at(0.0, self.chain_request("r1", 0.0))
        simulation.schedule_at(0.56, simulation.fail_over)
        simulation.run(1.0)
        first_results = {h for h in simulation.size_by_handle if h.endswith("/0")}
        assert first_results <= simulation.released

    def test_results_of_a_lost_server_are_produced_again(self):
        simulation = self.build_chain_simulation()
        simulation.submit_at(0.0, self.chain_request("r1", 0.0))

        def fail_over_without_retrievers():
            kept = [e for e in CHAIN_SERVERS if e.announcement.service != "retrieve"]
            spare = entry("retrieve-new", "retrieve", "a", address="10.9.9.9:80")
            simulation.fail_over([*ENGINES, *kept, spare])

        simulation.schedule_at(0.6, fail_over_without_retrievers)
        simulation.run(4.0)
        counts = Counter(p.stage for _, call in simulation.calls for p in call.pieces)
        assert counts[1] == 12
        assert "r1" in simulation.placed_at

    def test_results_of_a_server_that_leaves_meanwhile_are_reported(self):
        # Without a known expiry, the report could not be encoded for its link.
        simulation = build_simulation([*ENGINES, ENCODERS[0]])
        stages = (
            RouteStage("encode", (), 1_000.0),
            RouteStage("encode", (0,), 1_000.0),
        )
        simulation.submit_at(0.0, request(pieces=(1, 1), stages=stages))
        leaving = entry("e-a", "encode", "a", sequence=2, state=ServerState.DRAINING)
        simulation.schedule_at(0.1, lambda: simulation.dispatcher.put_server(leaving))
        simulation.run(0.5)
        assert [len(call.pieces) for _, call in simulation.calls] == [1]

    def test_most_active_requests_are_still_placed(self):
        simulation = self.build_chain_simulation()
        count = submit_at_random_times(simulation, 4.0, 4.0, self.chain_request)
        simulation.schedule_at(2.0, simulation.fail_over)
        simulation.run(10.0)
        assert len(simulation.placed_at) + len(simulation.refused_at) == count
        assert len(simulation.placed_at) >= 0.9 * count

    def test_requests_that_would_be_far_too_late_are_refused_at_once(self):
        simulation = self.build_chain_simulation()
        times = {"objective_at": 1.8, "give_up_at": 9.0}
        for number in range(12):
            simulation.submit_at(
                0.0, request(f"r{number}", (1, 6, 10), 0, CHAIN, **times)
            )
        simulation.schedule_at(1.5, simulation.fail_over)
        simulation.run(9.0)
        # Refused on arrival, or when the other dispatcher takes over.
        assert {at for at, _ in simulation.refused_at.values()} == {0.0, 1.5}
        # The objective plus 0.6 s of permitted delay, less the time to the first event.
        assert max(simulation.placed_at.values()) <= 1.8 + 0.6 - 0.1

    def test_abandoned_request_leaves_its_results_to_another_dispatcher(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request("r1", pieces=(2,)))
        simulation.schedule_at(
            0.1, lambda: simulation.dispatcher.abandon("r1", simulation.now)
        )
        simulation.submit_at(0.3, request("r2", pieces=(2,), now=0.3))
        simulation.schedule_at(
            0.55, lambda: simulation.dispatcher.abandon("r2", simulation.now)
        )
        simulation.run(0.6)
        assert "r1" not in simulation.placed_at
        assert len(simulation.results) == 2
        assert not simulation.dispatcher.request_count


class TestRejections:
    def test_rejected_request_is_placed_at_another_engine(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request(pieces=(0,)))
        simulation.run(0.0)
        first = simulation.placements["r1"].server_id
        simulation.dispatcher.report("r1", first, PlacementOutcome.REJECTED, 0.01)
        simulation.run(0.1)
        assert simulation.placements["r1"].server_id != first

    def test_lost_engine_inputs_are_produced_again(self):
        simulation = build_simulation(first_event_s=2.0)
        simulation.submit_at(0.0, request(give_up_at=6.0))
        simulation.run(0.5)
        first = simulation.placements["r1"]
        simulation.dispatcher.report(
            "r1", first.server_id, PlacementOutcome.INPUTS_LOST, 0.5
        )
        simulation.run(1.5)
        assert simulation.placements["r1"].inputs != first.inputs


class TestRetriedRequests:
    def test_retried_request_is_admitted_although_it_is_late(self):
        simulation = build_simulation()
        late = request(now=0.0, objective_at=-0.5, give_up_at=3.0, is_returning=True)
        simulation.submit_at(0.0, late)
        simulation.run(1.0)
        assert "r1" in simulation.placed_at

    def test_new_request_that_would_be_late_is_refused(self):
        simulation = build_simulation()
        simulation.submit_at(0.0, request(objective_at=0.1))
        simulation.run(0.1)
        assert simulation.refused_at["r1"] == (0.0, "overloaded")


class TestSingleZone:
    def test_own_servers_are_preferred(self):
        simulation = build_simulation(zone="b")
        submit_at_random_times(simulation, 5.0, 3.0, lambda i, now: request(i, now=now))
        simulation.run(5.0)
        assert set(simulation.max_running_by_server) == {"e-b"}

    def test_other_zones_are_used_if_the_own_zone_has_no_servers(self):
        simulation = build_simulation(entries=[*ENGINES, ENCODERS[0]], zone="b")
        simulation.submit_at(0.0, request(route=route((RouteStage("encode"),))))
        simulation.run(1.0)
        assert "r1" in simulation.placed_at
