"""Load patterns, replayed against the dispatcher."""

import random
from collections import Counter

import pytest

from galenadrum._internal.dispatch.messages import (
    CallFailure,
    PieceFailure,
    PlacementOutcome,
)
from galenadrum._internal.models.announcements import ServerState
from galenadrum._internal.models.routing import StageSpec
from lib.dispatch_world import DispatchWorld
from lib.routing_values import entry, request, route, services

ENGINES = [entry(f"g-{i}", "generate", "abc"[i], concurrency=64) for i in range(3)]
ENCODERS = [entry(f"e-{zone}", "encode", zone) for zone in "abc"]
CHAIN = (
    StageSpec("encode", (), 8_000.0),
    StageSpec("retrieve", (0,), 60_000.0),
    StageSpec("rerank", (1,), 6_000.0),
)
CHAIN_SERVERS = [
    entry(f"{service}-{zone}", service, zone)
    for service in ("encode", "retrieve", "rerank")
    for zone in "abc"
]


def world(entries=None, **kwargs):
    return DispatchWorld(services(), entries or [*ENGINES, *ENCODERS], **kwargs)


def offer(played, rate, until, make, seed=1):
    """Submit requests at random times, ``rate`` a second on average."""
    rng = random.Random(seed)
    now, count = 0.0, 0
    while (now := now + rng.expovariate(rate)) < until:
        played.submit_at(now, make(f"r{count}", now))
        count += 1
    return count


class TestCalm:
    def test_request_is_placed_with_the_results_of_its_stage(self):
        played = world()
        played.submit_at(0.0, request(pieces=(2,)))
        played.run(1.0)
        assert played.placed_at["r1"] == pytest.approx(0.24)
        assert len(played.placements["r1"].inputs) == 2

    def test_request_without_pieces_is_placed_at_once(self):
        played = world()
        played.submit_at(0.0, request(pieces=(0,)))
        played.run(1.0)
        assert played.placed_at["r1"] == 0.0

    def test_results_are_released_after_the_first_event(self):
        played = world()
        played.submit_at(0.0, request(pieces=(3,)))
        played.run(2.0)
        assert len(played.released) == 3
        assert not played.results

    def test_releases_of_many_requests_share_calls(self):
        played = world(first_event_s=0.01)
        count = offer(played, 60.0, 2.0, lambda i, now: request(i, now=now))
        played.run(4.0)
        assert played.dispatcher.is_idle
        assert not played.results
        assert played.release_calls <= 0.5 * count

    def test_chain_gives_each_piece_all_results_before_it(self):
        played = DispatchWorld(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )
        played.submit_at(
            0.0, request(pieces=(1, 6, 10), stages=CHAIN, objective_at=2.0)
        )
        played.run(3.0)
        pieces = [p for _, call in played.calls for p in call.pieces]
        assert {len(p.inputs) for p in pieces if p.stage == 1} == {1}
        assert {len(p.inputs) for p in pieces if p.stage == 2} == {6}
        assert "r1" in played.placed_at

    def test_no_server_refuses_at_once(self):
        played = world(entries=ENGINES)
        played.submit_at(0.0, request())
        played.run(0.1)
        assert played.refused_at["r1"] == (0.0, "no_server")


class TestSharedCalls:
    """Many requests of one piece: alone, each would take a whole call."""

    def test_pieces_of_many_requests_share_calls(self):
        played = world()
        # One piece a call would serve 13.6 a second on three servers.
        count = offer(played, 45.0, 6.0, lambda i, now: request(i, now=now))
        played.run(10.0)
        in_time = sum(at < 12 for at in played.placed_at.values())
        assert in_time >= 0.95 * count

    def test_server_is_not_sent_more_calls_than_it_runs(self):
        played = world()
        offer(played, 45.0, 4.0, lambda i, now: request(i, now=now))
        played.run(8.0)
        assert set(played.max_running_by_server.values()) == {1}


class TestOverload:
    """A burst of twice what the stages can make."""

    def play(self):
        played = world()
        self.submitted = {}

        def make(request_id, now):
            self.submitted[request_id] = now
            return request(request_id, (2,), now)

        # Three servers make 66 pieces a second in full calls.
        offer(played, 66.0, 8.0, make)
        played.run(16.0)
        return played

    def test_most_of_what_is_placed_is_in_time(self):
        played = self.play()
        late = [r for r, at in played.placed_at.items() if at > self.submitted[r] + 1.0]
        assert len(late) <= 0.15 * len(played.placed_at)

    def test_servers_are_kept_busy(self):
        played = self.play()
        # Half of the offered load fits.
        assert len(played.placed_at) >= 0.42 * len(self.submitted)

    def test_refusals_come_at_once(self):
        played = self.play()
        waits = [at - self.submitted[r] for r, (at, _) in played.refused_at.items()]
        at_once = sum(wait < 0.05 for wait in waits)
        assert at_once >= 0.95 * len(waits)

    def test_all_are_answered_and_nothing_is_left(self):
        played = self.play()
        assert len(played.placed_at) + len(played.refused_at) == len(self.submitted)
        assert played.dispatcher.request_count == 0
        assert not played.results


class TestRoom:
    """Large results: requests made in part would fill the room for each other."""

    def test_requests_made_in_part_go_first(self):
        stages = (StageSpec("encode", (), 3e6),)
        played = world(entries=[*ENGINES, ENCODERS[0]])
        for number in range(8):
            asked = request(
                f"r{number}", (4,), stages=stages, objective_at=9.0, give_up_at=12.0
            )
            played.submit_at(0.01 * number, asked)
        played.run(12.0)
        # Sixteen megabytes hold five results; each request holds four.
        assert len(played.placed_at) == 8

    def test_calls_wait_until_the_server_has_heard_of_releases(self):
        stages = (StageSpec("encode", (), 3e6),)
        played = world(entries=[*ENGINES, ENCODERS[0]])
        for number in range(12):
            asked = request(
                f"r{number}", (2,), stages=stages, objective_at=9.0, give_up_at=12.0
            )
            played.submit_at(0.01 * number, asked)
        # The world asserts before each call that its results fit.
        played.run(12.0)
        assert len(played.placed_at) == 12

    def test_all_results_of_a_call_count_before_the_next_call(self):
        """One result of a call starts others: a lost input is made again."""
        chain = (StageSpec("encode", (), 1e3), StageSpec("encode", (0,), 1e3))
        large = (StageSpec("encode", (), 4e6),)
        played = world(entries=[*ENGINES, ENCODERS[0]])
        times = {"objective_at": 4.0, "give_up_at": 9.0}
        played.submit_at(0.0, request("chain", (1, 1), stages=chain, **times))
        for number in range(2):
            at = 0.1 + 0.2 * number
            played.submit_at(
                at, request(f"big-{number}", (3,), stages=large, priority=1, **times)
            )
        played.run(0.23)
        second = played.calls[-1][1]
        assert [p.request_id for p in second.pieces] == ["chain", *["big-0"] * 3]
        played.lose_inputs(second, "chain")
        # The world asserts that what a server is asked for fits.
        played.run(4.0)
        assert played.placed_at.keys() == {"chain", "big-0", "big-1"}

    def test_lack_of_room_fails_no_request(self):
        played = world()
        for zone in "abc":
            played.failure_by_server[f"e-{zone}"] = PieceFailure.NO_ROOM
        played.submit_at(0.0, request(objective_at=5.0, give_up_at=6.0))
        played.run(1.5)
        played.failure_by_server.clear()
        played.run(4.0)
        assert "r1" in played.placed_at


class TestLateRequests:
    """A server stood still; what waited can't be in time, what comes in can."""

    def test_late_pieces_give_way_to_those_that_can_be_in_time(self):
        played = world(entries=[*ENGINES, ENCODERS[0]])
        # One call holds eight pieces and takes 0.36 s.
        for number in range(3):
            played.submit_at(0.0, request(f"late-{number}", (8,), objective_at=1.5))
        played.slowness_by_server["e-a"] = 4
        played.at(0.1, lambda: played.slowness_by_server.clear())
        played.submit_at(1.2, request("new", (8,), 1.2, objective_at=2.6))
        played.run(6.0)
        late = [played.placed_at[f"late-{n}"] for n in range(3)]
        assert played.placed_at["new"] <= 2.5
        assert max(late) > played.placed_at["new"]

    def test_late_requests_are_served_before_their_callers_leave(self):
        played = world(entries=[*ENGINES, ENCODERS[0]])
        for number in range(3):
            played.submit_at(0.0, request(f"late-{number}", (8,), objective_at=1.5))
        played.slowness_by_server["e-a"] = 4
        played.at(0.1, lambda: played.slowness_by_server.clear())
        offer(
            played, 2.0, 4.0, lambda i, now: request(i, (4,), now, objective_at=now + 1)
        )
        played.run(8.0)
        assert all(played.placed_at[f"late-{n}"] <= 4.0 for n in range(3))


class TestFailures:
    def test_pieces_of_a_broken_call_are_made_elsewhere(self):
        played = world()
        played.failure_by_server["e-a"] = CallFailure.BROKEN
        played.submit_at(0.0, request())
        played.run(2.0)
        assert "r1" in played.placed_at

    def test_slow_server_is_passed_over_once_it_is_overdue(self):
        played = world()
        played.slowness_by_server["e-a"] = 10
        played.submit_at(0.0, request())
        played.run(5.0)
        assert played.placed_at["r1"] < 1.5

    def test_lost_answer_does_not_hold_the_server(self):
        played = world(entries=[*ENGINES, ENCODERS[0]])
        played.slowness_by_server["e-a"] = 100
        played.submit_at(0.0, request("lost", give_up_at=9.0))
        played.run(0.1)
        played.slowness_by_server.clear()
        for number in range(4):
            when = 1.2 + number
            played.submit_at(when, request(f"r{number}", now=when))
        played.run(9.0)
        assert {f"r{number}" for number in range(1, 4)} <= set(played.placed_at)

    def test_gone_inputs_are_made_again(self):
        played = DispatchWorld(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )
        for zone in "abc":
            played.failure_by_server[f"retrieve-{zone}"] = PieceFailure.INPUT_GONE
        asked = request(
            pieces=(1, 6, 1), stages=CHAIN, objective_at=3.0, give_up_at=5.0
        )
        played.submit_at(0.0, asked)
        played.run(0.6)
        played.failure_by_server.clear()
        played.run(5.0)
        first_stage = [
            p for _, call in played.calls for p in call.pieces if p.stage == 0
        ]
        assert len(first_stage) == 2
        assert "r1" in played.placed_at

    def test_piece_that_fails_after_its_inputs_were_dropped_waits_for_them(self):
        """One call of a stage finds its inputs gone, another breaks off later."""
        servers = [
            entry("encode-a", "encode", "a"),
            entry("retrieve-a", "retrieve", "a"),
            entry("retrieve-b", "retrieve", "b"),
        ]
        played = DispatchWorld(services("encode", "retrieve"), [*ENGINES, *servers])
        played.failure_by_server["retrieve-a"] = PieceFailure.INPUT_GONE
        played.failure_by_server["retrieve-b"] = CallFailure.BROKEN
        played.slowness_by_server["retrieve-b"] = 2
        asked = request(
            pieces=(1, 12), stages=CHAIN[:2], objective_at=3.0, give_up_at=6.0
        )
        played.submit_at(0.0, asked)
        played.run(1.0)
        played.failure_by_server.clear()
        # The world asserts that each piece is given inputs that are there.
        played.run(6.0)
        for _, call in played.calls:
            assert all(len(p.inputs) == 1 for p in call.pieces if p.stage == 1)
        assert "r1" in played.placed_at

    def test_request_is_refused_when_its_pieces_keep_failing(self):
        played = world()
        for zone in "abc":
            played.failure_by_server[f"e-{zone}"] = PieceFailure.ERROR
        played.submit_at(0.0, request())
        played.run(5.0)
        assert played.refused_at["r1"][1] == "stage_failed"

    def test_waiting_request_is_refused_before_its_caller_leaves(self):
        played = world()
        for server in ENCODERS:
            played.slowness_by_server[server.server_id] = 40
        played.submit_at(0.0, request())
        played.run(5.0)
        at, reason = played.refused_at["r1"]
        assert reason == "deadline"
        assert at < 4.0

    def test_leaving_server_gets_no_more_calls(self):
        played = world()
        leaving = entry("e-a", "encode", "a", sequence=2, state=ServerState.DRAINING)
        played.dispatcher.put_server(leaving)
        offer(played, 20.0, 3.0, lambda i, now: request(i, now=now))
        played.run(5.0)
        assert "e-a" not in played.max_running_by_server

    def test_cancelled_request_takes_no_more_calls(self):
        played = world()
        played.submit_at(0.0, request("first"))
        played.submit_at(0.0, request("r1"))
        played.run(0.0)
        played.dispatcher.report("r1", "", PlacementOutcome.CANCELLED, 0.0)
        played.run(3.0)
        assert "r1" not in played.placed_at
        assert not played.results


class TestLostDispatcher:
    """A dispatcher is lost under load: its results fill the servers' room."""

    def chain_world(self):
        return DispatchWorld(
            services("encode", "retrieve", "rerank"), [*ENGINES, *CHAIN_SERVERS]
        )

    def chain_request(self, request_id, now):
        return request(request_id, (1, 6, 10), now, CHAIN, objective_at=now + 1.8)

    def test_made_stages_are_not_made_again(self):
        played = self.chain_world()
        played.submit_at(0.0, self.chain_request("r1", 0.0))
        # The first stage is made after 0.22 s, the second after 0.54 s.
        played.at(0.6, played.fail_over)
        played.run(3.0)
        counts = Counter(p.stage for _, call in played.calls for p in call.pieces)
        assert counts == {0: 1, 1: 6, 2: 20}
        assert "r1" in played.placed_at

    def test_results_that_were_taken_over_are_released_in_the_end(self):
        played = self.chain_world()
        played.submit_at(0.0, self.chain_request("r1", 0.0))
        played.at(0.6, played.fail_over)
        played.run(3.0)
        # What the lost dispatcher's call made is known to nobody.
        orphans = {h for h in played.results if h not in played.released}
        assert len(orphans) == 10
        assert not played.dispatcher.request_count

    def test_results_of_a_server_that_is_gone_are_made_again(self):
        played = self.chain_world()
        played.submit_at(0.0, self.chain_request("r1", 0.0))

        def fail_over_without_encoders():
            kept = [e for e in CHAIN_SERVERS if e.announcement.service != "retrieve"]
            spare = entry("retrieve-new", "retrieve", "a", address="10.9.9.9:80")
            played.fail_over([*ENGINES, *kept, spare])

        played.at(0.6, fail_over_without_encoders)
        played.run(4.0)
        counts = Counter(p.stage for _, call in played.calls for p in call.pieces)
        assert counts[1] == 12
        assert "r1" in played.placed_at

    def test_most_that_was_under_way_is_still_in_time(self):
        played = self.chain_world()
        count = offer(played, 4.0, 4.0, self.chain_request)
        played.at(2.0, played.fail_over)
        played.run(10.0)
        assert len(played.placed_at) + len(played.refused_at) == count
        assert len(played.placed_at) >= 0.9 * count

    def test_what_would_be_far_too_late_is_refused_and_frees_its_room(self):
        played = self.chain_world()
        times = {"objective_at": 1.8, "give_up_at": 9.0}
        for number in range(12):
            played.submit_at(0.0, request(f"r{number}", (1, 6, 10), 0, CHAIN, **times))
        played.at(1.5, played.fail_over)
        played.run(9.0)
        # Refused when it came in, or when the other dispatcher took over.
        assert {at for at, _ in played.refused_at.values()} == {0.0, 1.5}
        # The objective, 0.6 s that it may be late, less the way to the first event.
        assert max(played.placed_at.values()) <= 1.8 + 0.6 - 0.1

    def test_abandoned_request_leaves_its_results_to_another_dispatcher(self):
        played = world()
        played.submit_at(0.0, request("r1", pieces=(2,)))
        played.at(0.1, lambda: played.dispatcher.abandon("r1"))
        played.submit_at(0.3, request("r2", pieces=(2,), now=0.3))
        played.at(0.55, lambda: played.dispatcher.abandon("r2"))
        played.run(0.6)
        assert "r1" not in played.placed_at
        assert len(played.results) == 2
        assert not played.dispatcher.request_count


class TestRejections:
    def test_rejected_request_is_placed_at_another_engine(self):
        played = world()
        played.submit_at(0.0, request(pieces=(0,)))
        played.run(0.0)
        first = played.placements["r1"].server_id
        played.dispatcher.report("r1", first, PlacementOutcome.REJECTED, 0.01)
        played.run(0.1)
        assert played.placements["r1"].server_id != first

    def test_lost_inputs_are_made_again_for_the_engine(self):
        played = world(first_event_s=2.0)
        played.submit_at(0.0, request(give_up_at=6.0))
        played.run(0.5)
        first = played.placements["r1"]
        played.dispatcher.report(
            "r1", first.server_id, PlacementOutcome.INPUTS_GONE, 0.5
        )
        played.run(1.5)
        assert played.placements["r1"].inputs != first.inputs


class TestReturningCallers:
    def test_returning_request_is_taken_though_it_is_late(self):
        played = world()
        late = request(now=0.0, objective_at=-0.5, give_up_at=3.0, is_returning=True)
        played.submit_at(0.0, late)
        played.run(1.0)
        assert "r1" in played.placed_at

    def test_new_request_that_would_be_late_is_refused(self):
        played = world()
        played.submit_at(0.0, request(objective_at=0.1))
        played.run(0.1)
        assert played.refused_at["r1"] == (0.0, "overloaded")


class TestOneZone:
    def test_own_servers_are_preferred(self):
        played = world(zone="b")
        offer(played, 5.0, 3.0, lambda i, now: request(i, now=now))
        played.run(5.0)
        assert set(played.max_running_by_server) == {"e-b"}

    def test_other_zones_serve_when_the_own_are_lost(self):
        played = world(entries=[*ENGINES, ENCODERS[0]], zone="b")
        played.submit_at(0.0, request(route=route((StageSpec("encode"),))))
        played.run(1.0)
        assert "r1" in played.placed_at
