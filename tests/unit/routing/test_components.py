from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.models.servers import CacheEvent, LoadReport, ZoneDigest
from galenadrum._internal.routing import ejection
from galenadrum._internal.routing.admission import (
    RetryAfterEstimator,
    StageEstimate,
    estimate_completion_s,
)
from galenadrum._internal.routing.concurrency import ConcurrencyLimit
from galenadrum._internal.routing.ejection import PeerStats, ServerHealth
from galenadrum._internal.routing.prefix_cache import PREFIX_BLOCK_TOKENS, PrefixHints
from galenadrum._internal.routing.queues import FairQueue, OrganisationUsage, QueuedCall
from galenadrum._internal.routing.retry_budget import RetryBudget
from galenadrum._internal.routing.server_loads import ServerLoad
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes
from galenadrum._internal.routing.spill import ZoneDigests, select_home_zone
from lib.policy_driver import make_call, make_request


def queued(index, organisation="a", weight=1.0, give_up_at=10.0, cost_s=1.0):
    request = make_request(f"r{index}", organisation=organisation, weight=weight)
    return QueuedCall(make_call(request), cost_s, 0.0, give_up_at, 0.0, give_up_at)


def serve(queue, usage, count, window_s=1.0):
    served = {}
    for _ in range(count):
        call = queue.peek(usage, window_s, 0.0)
        queue.remove(call.call.key)
        request = call.call.request
        served[request.organisation] = served.get(request.organisation, 0) + 1
        usage.record_cost(request.organisation, call.cost_s, request.weight, 0.0)
    return served


class TestFairQueue:
    @given(
        st.lists(st.floats(0.1, 5.0), min_size=2, max_size=4),
        st.floats(0.05, 0.5),
    )
    def test_organisations_are_served_in_proportion_to_their_weights(
        self, weights, cost_s
    ):
        queue, usage = FairQueue(10_000), OrganisationUsage()
        for place, weight in enumerate(weights):
            for index in range(200):
                call = queued(f"{place}-{index}", str(place), weight, 10.0, cost_s)
                queue.push(call)
        serve(queue, usage, 150)
        values = [usage.value(str(place), 0.0) for place in range(len(weights))]
        assert max(values) - min(values) <= 1.0 + 2 * cost_s / min(weights)

    def test_serves_calls_in_deadline_order_within_the_window(self):
        queue, usage = FairQueue(10), OrganisationUsage()
        for index, due in enumerate((5.0, 3.0, 4.0)):
            queue.push(queued(index, "abc"[index], give_up_at=due))
        order = []
        while queue:
            call = queue.peek(usage, 10.0, 0.0)
            queue.remove(call.call.key)
            order.append(call.give_up_at)
        assert order == [3.0, 4.0, 5.0]

    @given(st.lists(st.sampled_from("abc"), min_size=1, max_size=60))
    def test_full_queue_evicts_from_the_largest_organisation(self, organisations):
        queue = FairQueue(8)
        held = {}
        for index, organisation in enumerate(organisations):
            held[organisation] = held.get(organisation, 0) + 1
            evicted = queue.push(queued(index, organisation))
            if evicted is not None:
                name = evicted.call.request.organisation
                assert held[name] == max(held.values())
                held[name] -= 1
            assert len(queue) == sum(held.values()) <= 8

    @given(st.lists(st.floats(0.0, 10.0), max_size=30), st.floats(0.0, 10.0))
    def test_pop_expired_removes_all_expired_calls(self, give_up_times, now):
        queue = FairQueue(100)
        for index, due in enumerate(give_up_times):
            queue.push(queued(index, give_up_at=due))
        assert len(queue.pop_expired(now)) == sum(due <= now for due in give_up_times)
        expiry = queue.next_expiry()
        assert expiry == min((due for due in give_up_times if due > now), default=None)


class TestServiceTimes:
    @given(st.integers(0, 99), st.floats(0.00005, 0.001))
    def test_learns_the_cost_of_tokens_despite_outliers(self, seed, prefill_s):
        times = ServiceTimes()
        times.set_declared_time("generate", 0.5)
        random = Random(seed)
        for index in range(180):
            prefill, output = random.randrange(4000), random.randrange(300)
            seconds = 0.1 + prefill * prefill_s + output * 0.02
            if index % 20 == 19:
                seconds *= 30
            size = CallSize(prefill, output)
            times.record_call("generate", size, f"s{random.randrange(3)}", seconds, 1.0)
        expected = times.estimate_service_s("generate", CallSize(2000, 150))
        actual_s = 0.1 + 2000 * prefill_s + 3.0
        assert 0.5 * actual_s < expected < 2.0 * actual_s

    def test_predicts_longer_service_times_for_long_outputs(self):
        times = ServiceTimes()
        times.set_declared_time("generate", 1.5)
        random = Random(1)
        for _ in range(200):
            output = random.randrange(20, 110)
            seconds = (0.1 + output * 0.02) * random.uniform(0.9, 1.1)
            times.record_call("generate", CallSize(500, output), "s0", seconds, 1.0)
        expected = times.estimate_service_s("generate", CallSize(500, 200))
        assert 0.8 * 4.1 < expected < 1.2 * 4.1

    def test_detects_slowness_and_decays_it_while_the_server_is_unused(self):
        times = ServiceTimes()
        times.set_declared_time("encode", 0.1)
        size = CallSize(100, 0)
        for index in range(90):
            server_id = f"s{index % 3}"
            seconds = 0.5 if server_id == "s0" else 0.1
            times.record_call("encode", size, server_id, seconds, 1.0)
        assert times.slowness("s0", 1.0) > 3.0 * times.slowness("s1", 1.0)
        assert times.slowness("s0", 120.0) < 1.1


class TestServerLoad:
    @given(st.integers(0, 20), st.integers(0, 20), st.floats(0.5, 5.0))
    def test_own_calls_at_the_time_of_the_report_are_not_counted_twice(
        self, own, others, age_s
    ):
        load = ServerLoad()
        for index in range(own):
            load.record_dispatch(("r", index, 1), 1.0, 10.0)
        for index in range(own, own + 5):
            load.record_dispatch(("r", index, 1), 1.0, 10.0 + 1.5 * age_s)
        now = 10.0 + 2 * age_s
        for repeat in range(6):
            report = LoadReport(own + others, 0, age_s + 0.01 * (5 - repeat))
            load.report(report, now)
        assert abs(load.estimate_other_calls(now) - others) <= 0.2 * others + 0.01
        assert load.estimate_total_calls(now) >= own + 5


class TestPrefixHints:
    def test_events_store_and_evict_and_gaps_lower_confidence(self):
        hints = PrefixHints()
        hints.apply((CacheEvent(1, ("a", "b", "c")),), 0.0)
        full = hints.estimate_reusable_tokens(("a", "b", "c", "d"), 0.0)
        assert 2.5 * PREFIX_BLOCK_TOKENS < full <= 3 * PREFIX_BLOCK_TOKENS
        hints.apply((CacheEvent(1, ("d",)), CacheEvent(9, (), ("c",))), 0.0)
        assert hints.gap_count == 1
        after_gap = hints.estimate_reusable_tokens(("a", "b", "c", "d"), 0.0)
        assert after_gap < 2 * PREFIX_BLOCK_TOKENS
        assert hints.estimate_reusable_tokens(("a", "b"), 600.0) < 0.01 * after_gap


class TestEjection:
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 1.0), st.floats(0.25, 16.0)),
            min_size=1,
            max_size=12,
        )
    )
    def test_bounds_the_ejected_share_and_never_ejects_the_last_server(self, servers):
        peers = [
            PeerStats(f"s{i}", ServerHealth(failure_share=f, calls=10), slowness)
            for i, (f, slowness) in enumerate(servers)
        ]
        for _ in peers:
            outlier = ejection.find_outlier(peers)
            if outlier is not None:
                ejection.eject(outlier.health, 0.0)
        out = sum(peer.health.ejected for peer in peers)
        assert out <= max(1, 0.34 * len(peers))
        assert out < len(peers)

    def test_fault_common_to_all_servers_ejects_none(self):
        peers = [
            PeerStats(f"s{i}", ServerHealth(failure_share=0.6, calls=10), 4.0)
            for i in range(4)
        ]
        assert ejection.find_outlier(peers) is None

    def test_successful_probes_restore_a_server_and_failed_ones_back_off(self):
        health = ServerHealth()
        ejection.eject(health, 0.0)
        assert not ejection.is_probe_due(health, 1.0)
        assert not ejection.record_probe(health, False, 2.0)
        assert health.probe_at == 6.0
        assert not ejection.record_probe(health, True, 6.0)
        assert ejection.record_probe(health, True, 6.1)
        assert not health.ejected


class TestLimits:
    @given(st.lists(st.floats(0.1, 10.0), max_size=200))
    def test_the_limit_stays_between_one_and_the_capacity(self, ratios):
        limit = ConcurrencyLimit(8)
        for index, ratio in enumerate(ratios):
            limit.record_completion(ratio, True, 1.0 * index)
            assert 1.0 <= limit.value <= 8.0

    @given(st.lists(st.sampled_from(["first", "ran", "did not run"]), max_size=300))
    def test_retries_that_ran_stay_a_share_of_first_attempts(self, events):
        budget = RetryBudget()
        first = retries = 0
        for event in events:
            if event == "first":
                budget.deposit()
                first += 1
            else:
                may_have_run = event == "ran"
                retries += budget.withdraw(1.0, may_have_run) and may_have_run
        assert retries <= 3 + 0.1 * first

    def test_retries_of_calls_that_failed_early_are_bounded_by_their_duration(self):
        budget = RetryBudget()
        shares = 0.0
        for _ in range(200):
            budget.deposit()
            shares += 0.2 * budget.withdraw(0.2, may_have_run=True)
        assert 0.05 * 200 < shares <= 3.0 + 0.1 * 200


class TestSpill:
    def test_a_zone_keeps_its_prefixes_when_another_zone_is_lost(self):
        zones = {"a": 8, "b": 16, "c": 8}
        prefixes = [(f"p{i}", f"q{i}") for i in range(300)]
        before = {p: select_home_zone(p, zones) for p in prefixes}
        del zones["c"]
        for prefix, zone in before.items():
            if zone != "c":
                assert select_home_zone(prefix, zones) == zone
        counts = [list(before.values()).count(zone) for zone in "abc"]
        assert counts[1] > 1.4 * counts[0]

    def test_forwarded_calls_use_up_the_free_capacity_of_a_digest(self):
        digests = ZoneDigests("own")
        digests.update((ZoneDigest("a", "s", 4, 0.0, "a:1", 0.0, 8, 0.1),))
        random = Random(1)
        for index in range(2):
            found = digests.choose_zone("s", frozenset(), 0.1, random, allow_full=False)
            digests.record_forward("s", found.zone, ("r", index, 1), 0.1)
        none = digests.choose_zone("s", frozenset(), 0.1, random, allow_full=False)
        assert none is None
        digests.record_forward_end("s", "a", ("r", 0, 1), False, 0.2)
        assert digests.choose_zone("s", frozenset(), 0.2, random, allow_full=False)
        assert (
            digests.choose_zone("s", frozenset(), 9.0, random, allow_full=True) is None
        )

    def test_zones_of_the_own_region_are_chosen_first(self):
        digests = ZoneDigests("own", "west")
        near = ZoneDigest("near", "s", 4, 0.0, "a:1", 0.0, 8, 0.1, region="west")
        far = ZoneDigest("far", "s", 400, 0.0, "b:1", 0.0, 800, 0.1, region="east")
        digests.update((near, far))
        assert digests.list_same_region("s", 0.1) == [near]
        random = Random(1)
        taken = []
        for index in range(3):
            found = digests.choose_zone("s", frozenset(), 0.1, random, allow_full=False)
            digests.record_forward("s", found.zone, ("r", index, 1), 0.1)
            taken.append(found.zone)
        assert taken == ["near", "near", "far"]

    def test_infrequent_digests_stay_fresh_longer_and_lose_capacity_with_age(self):
        digests = ZoneDigests("own")
        first = ZoneDigest("a", "s", 40, 0.0, "a:1", 0.0, 80, 0.1)
        digests.update((first,))
        assert digests.sum_usable_capacity("s", 4.0) == 0.0
        digests.update((replace(first, received_at=10.0),))
        free = [
            digests.sum_usable_capacity("s", 10.0 + age_s)
            for age_s in (1.0, 3.0, 6.0, 13.0)
        ]
        assert free == pytest.approx([20.0, 20.0, 10.0, 60.0 / 13.0])
        assert digests.list_fresh("s", 10.0 + 14.0) == []
        digests.update((replace(first, received_at=11.0),))
        assert digests.list_fresh("s", 14.5) == []

    def test_digest_age_is_capped_and_interruptions_reset_the_interval(self):
        digests = ZoneDigests("own")
        first = ZoneDigest("a", "s", 40, 0.0, "a:1", 0.0, 80, 0.1)
        digests.update((first,))
        digests.update((replace(first, received_at=24.0),))
        assert digests.sum_usable_capacity("s", 24.0 + 24.0) > 0.0
        assert digests.list_fresh("s", 24.0 + 26.0) == []
        # An interruption doesn't count as a long digest interval.
        digests.update((replace(first, received_at=100.0),))
        assert digests.list_fresh("s", 104.0) == []


class TestExpectedCompletion:
    @given(
        st.lists(
            st.tuples(st.floats(0, 5), st.floats(0, 50), st.floats(0.5, 20)),
            max_size=5,
        )
    )
    def test_is_at_least_the_service_time_and_grows_with_the_work_ahead(self, stages):
        estimates = [StageEstimate(s, ahead, slots, 0.0) for s, ahead, slots in stages]
        longer = [StageEstimate(s, a + 1.0, n, 0.0) for s, a, n in stages]
        expected = estimate_completion_s(estimates)
        assert expected >= sum(s for s, _, _ in stages) - 1e-9
        assert estimate_completion_s(longer) >= expected


class TestRetryAfter:
    def test_retrying_callers_leave_most_slots_to_new_requests(self):
        estimator = RetryAfterEstimator()
        slots, cost_s = 10.0, 1.0
        delays = [
            estimator.record_refusal(0.0, cost_s, slots, 0.01 * index, Random(index))
            for index in range(200)
        ]
        early = sum(delay < 5.0 for delay in delays[100:])
        assert early * cost_s < 0.5 * 5.0 * slots
