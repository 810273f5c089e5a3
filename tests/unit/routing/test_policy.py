import pytest

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    RefusalReason,
    Reject,
    RunState,
)
from galenadrum._internal.models.servers import ServerState, ZoneDigest
from lib.policy_driver import (
    PolicyDriver,
    announcement,
    make_call,
    make_policy,
    make_request,
)

ENCODE = ("encode",)


class TestContract:
    @pytest.mark.parametrize("seed", range(20))
    def test_each_call_gets_one_decision_and_no_state_is_left(self, seed):
        driver = PolicyDriver(seed)
        for _ in range(1_500):
            driver.step()
        driver.drain()
        assert driver.completed > 50
        assert driver.refused > 50
        assert len(driver.policy._requests) == 0
        for stage in ("encode", "confirm", "generate"):
            assert driver.policy._requests.backlog(stage).total_s == pytest.approx(0.0)

    def test_same_seed_gives_the_same_decisions(self):
        drivers = [PolicyDriver(7), PolicyDriver(7)]
        for driver in drivers:
            for _ in range(500):
                driver.step()
        assert drivers[0].policy.counters == drivers[1].policy.counters

    def test_submitting_a_call_twice_raises(self):
        policy = make_policy([announcement("s1")])
        call = make_call(make_request("r", stages=ENCODE))
        policy.admit(call.request, 0.0)
        policy.submit(call, 0.0)
        with pytest.raises(InvariantError):
            policy.submit(call, 0.0)

    def test_finishing_a_call_that_is_not_in_flight_raises(self):
        policy = make_policy([announcement("s1")])
        call = make_call(make_request("r", stages=ENCODE))
        policy.admit(call.request, 0.0)
        with pytest.raises(InvariantError):
            policy.finished(call, "s1", AttemptResult(Outcome.COMPLETED, 0.1), 0.0)


class TestAdmission:
    def test_refuses_without_servers(self):
        refusal = make_policy().admit(make_request("r"), 0.0)
        assert refusal.reason is RefusalReason.NO_SERVER
        assert refusal.run is RunState.NOT_RUN

    def test_refuses_early_once_the_backlog_fills_the_deadline(self):
        policy = make_policy([announcement("s1", ("generate",))])
        refusals = []
        for index in range(40):
            request = make_request(f"r{index}", deadline=5.0, stages=("generate",))
            refusal = policy.admit(request, 0.0)
            if refusal is not None:
                refusals.append(refusal)
                continue
            policy.submit(make_call(request), 0.0)
        assert 25 < len(refusals) < 36
        assert {r.reason for r in refusals} == {RefusalReason.OVERLOADED}
        assert len({r.retry_after_s for r in refusals}) == len(refusals)

    def test_a_small_organisation_is_admitted_past_the_backlog_of_a_large_one(self):
        policy = make_policy([announcement("s1", ("generate",))])
        for index in range(40):
            request = make_request(f"r{index}", stages=("generate",))
            if policy.admit(request, 0.0) is None:
                policy.submit(make_call(request), 0.0)
        small = make_request("small", stages=("generate",), organisation="b")
        assert policy.admit(small, 0.0) is None
        large = make_request("large", stages=("generate",))
        assert policy.admit(large, 0.0).reason is RefusalReason.OVER_SHARE


class TestDecisions:
    def test_leaving_server_gets_no_calls_and_the_call_waits(self):
        policy = make_policy([announcement("s1")])
        request = make_request("r", stages=ENCODE)
        policy.admit(request, 0.0)
        leaving = announcement("s1", sequence=2, state=ServerState.LEAVING)
        policy.update_servers([leaving], 0.1)
        assert policy.submit(make_call(request), 0.2) == ()
        (decision,) = policy.update_servers([announcement("s2")], 0.3)
        assert isinstance(decision, Dispatch)
        assert decision.server_id == "s2"

    def test_call_expected_to_be_late_is_rejected_before_its_deadline(self):
        policy = make_policy([announcement("s1", ("generate",), capacity=1)])
        for index in range(2):
            request = make_request(f"r{index}", stages=("generate",), deadline=2.5)
            policy.admit(request, 0.0)
            policy.submit(make_call(request), 0.0)
        wakeup = policy.next_wakeup(0.0)
        assert wakeup <= 0.1
        (decision,) = policy.tick(1.75)
        assert isinstance(decision, Reject)
        assert decision.refusal.run is RunState.NOT_RUN
        assert decision.refusal.retry_after_s > 0.0

    def test_overflow_goes_to_a_zone_with_free_capacity(self):
        policy = make_policy([announcement("s1", ("generate",), capacity=1)])
        digest = ZoneDigest("ba", "generate", 8, 0.0, "ba-entry:1", 0.0, 8, 0.9)
        policy.update_digests([digest], 0.0)
        zones = []
        for index in range(3):
            request = make_request(f"r{index}", stages=("generate",))
            policy.admit(request, 0.0)
            (decision,) = policy.submit(make_call(request), 0.0)
            zones.append(decision.forward_zone)
        assert zones == [None, "ba", "ba"]

    def test_a_forwarded_call_is_not_forwarded_again(self):
        policy = make_policy([announcement("s1", ("generate",), capacity=1)])
        digest = ZoneDigest("ba", "generate", 8, 0.0, "ba-entry:1", 0.0, 8, 0.9)
        policy.update_digests([digest], 0.0)
        calls = [
            make_call(make_request(f"r{i}", stages=("generate",), forwarded=True))
            for i in range(2)
        ]
        for call in calls:
            policy.admit(call.request, 0.0)
        (decision,) = policy.submit(calls[0], 0.0)
        assert decision.server_id == "s1"
        assert policy.submit(calls[1], 0.0) == ()


class TestRetries:
    def test_non_repeatable_call_that_may_have_run_is_not_retried(self):
        policy = make_policy([announcement("s1", ("confirm",))])
        call = make_call(make_request("r", stages=("confirm",)))
        for outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.CANCELLED):
            assert not policy.allow_retry(call, AttemptResult(outcome, 0.1), 0.0)
        not_run = AttemptResult(Outcome.NOT_RUN, 0.0)
        assert policy.allow_retry(call, not_run, 0.0)
        assert not policy.allow_retry(call, not_run, 4.99)

    def test_retries_are_bounded_while_there_is_no_spare_capacity(self):
        policy = make_policy([announcement("s1", capacity=1)])
        busy = make_request("busy", stages=ENCODE, deadline=1e3)
        policy.admit(busy, 0.0)
        policy.submit(make_call(busy), 0.0)
        failed = AttemptResult(Outcome.FAILED, 0.02)
        allowed = 0
        for index in range(200):
            request = make_request(f"r{index}", stages=ENCODE, deadline=1e3)
            policy.admit(request, 0.0)
            policy.submit(make_call(request), 0.0)
            allowed += policy.allow_retry(make_call(request), failed, 0.0)
        assert 10 <= allowed <= 0.15 * 200


class TestEjection:
    def test_server_that_fails_more_than_its_peers_is_ejected_and_probed(self):
        servers = [announcement(f"s{i}") for i in range(3)]
        policy = make_policy(servers)
        sent = {"s0": 0, "s1": 0, "s2": 0}
        for index in range(120):
            now = index * 0.01
            request = make_request(f"r{index}", stages=ENCODE, deadline=now + 5)
            policy.admit(request, now)
            (decision,) = policy.submit(make_call(request), now)
            sent[decision.server_id] += 1
            failed = decision.server_id == "s0"
            outcome = Outcome.FAILED if failed else Outcome.COMPLETED
            result = AttemptResult(outcome, 0.02)
            policy.finished(decision.call, decision.server_id, result, now + 0.005)
            policy.end_request(request, now + 0.005)
        assert policy.counters.ejected_by_server == {"s0": 1}
        assert 4 <= sent["s0"] < 20


class TestLostServers:
    def test_call_is_rejected_soon_after_its_last_server_leaves(self):
        policy = make_policy([announcement("s1")])
        call = make_call(make_request("r", stages=ENCODE))
        assert policy.admit(call.request, 0.0) is None
        policy.update_servers([], 0.0)
        assert policy.submit(call, 0.0) == ()
        decisions = [d for step in range(40) for d in policy.tick(0.05 * step)]
        [rejection] = decisions
        assert isinstance(rejection, Reject)
        assert rejection.refusal.reason is RefusalReason.NO_SERVER
        assert rejection.refusal.retry_after_s > 0

    def test_call_waits_for_a_server_that_restarts_quickly(self):
        policy = make_policy([announcement("s1")])
        call = make_call(make_request("r", stages=ENCODE))
        policy.admit(call.request, 0.0)
        policy.update_servers([], 0.0)
        policy.submit(call, 0.0)
        assert policy.tick(0.3) == ()
        [decision] = policy.update_servers([announcement("s1")], 0.5)
        assert isinstance(decision, Dispatch)
