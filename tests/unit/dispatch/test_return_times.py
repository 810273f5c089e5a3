"""When refused callers come back, against the burst that refused them."""

import random

import pytest

from galenadrum._internal.dispatch.return_times import ReturnTimes
from lib.dispatch_world import DispatchWorld
from lib.routing_values import entry, request, services

ENGINES = [entry(f"g-{i}", "generate", "abc"[i], concurrency=64) for i in range(3)]
ENCODERS = [entry(f"e-{zone}", "encode", zone) for zone in "abc"]
SOONEST_S = 0.3


class TestReturnTimes:
    def test_single_refusal_brings_its_caller_back_soon(self):
        times = ReturnTimes()
        times.note("plan", True, 0.0)
        assert times.retry_after_s("plan", SOONEST_S, 0.0) < SOONEST_S + 0.4

    def test_caller_comes_back_later_the_more_are_refused(self):
        times = ReturnTimes()
        waits = []
        for number in range(40):
            times.note("plan", number % 2 == 0 or number > 20, 0.01 * number)
            waits.append(times.retry_after_s("plan", SOONEST_S, 0.01 * number))
        assert waits[5] < waits[20] < waits[39]

    def test_burst_is_forgotten(self):
        times = ReturnTimes()
        for number in range(100):
            times.note("plan", True, 0.01 * number)
        assert times.retry_after_s("plan", SOONEST_S, 9.0) == pytest.approx(
            SOONEST_S, abs=0.05
        )

    def test_routes_are_told_apart(self):
        times = ReturnTimes()
        for number in range(100):
            times.note("plan", True, 0.01 * number)
        assert times.retry_after_s("note", SOONEST_S, 1.0) == SOONEST_S


class TestBurst:
    """Two and a half times what fits, for four seconds; callers ask twice."""

    def play(self, seed, heeds_the_time):
        played = DispatchWorld(services(), [*ENGINES, *ENCODERS])
        rng = random.Random(seed)
        now, count = 0.0, 0
        while (now := now + rng.expovariate(82.0 if now < 4.0 else 20.0)) < 7.0:
            played.submit_at(now, request(f"r{count}", (2,), now))
            count += 1

        def come_back(request_id, retry_after_s):
            if request_id.endswith("-again"):
                return
            wait_s = min(retry_after_s, 2.0) if heeds_the_time else SOONEST_S
            at = played.now + wait_s * (1 + rng.random() / 2)
            played.submit_at(at, request(f"{request_id}-again", (2,), at))

        played.on_refusal = come_back
        played.run(12.0)
        refused = played.refused_at.keys()
        return len(played.placed_at), sum(r.endswith("-again") for r in refused)

    def test_fewer_are_refused_twice_and_more_are_served(self):
        served, refused_again = zip(
            *(self.play(seed, True) for seed in range(4)), strict=True
        )
        served_soon, refused_again_soon = zip(
            *(self.play(seed, False) for seed in range(4)), strict=True
        )
        assert sum(refused_again) <= 0.85 * sum(refused_again_soon)
        assert sum(served) > 1.05 * sum(served_soon)
