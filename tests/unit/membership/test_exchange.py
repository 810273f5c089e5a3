import os
import random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lib import fake_zone
from lib.fake_zone import ACTIONS, FakeZone

_STEPS = int(os.environ.get("GALENADRUM_MEMBERSHIP_STEPS", "60"))


class ExchangeMachine(RuleBasedStateMachine):
    """Hosts, servers and links fail in any order; ``FakeZone`` checks."""

    @initialize(host_count=st.sampled_from((1, 2, 3, 5)), seed=st.integers(0, 2**32))
    def start(self, host_count, seed):
        self.zone = FakeZone(host_count, seed)

    @rule(
        action=st.sampled_from(ACTIONS),
        rng=st.randoms(use_true_random=False, note_method_calls=False),
    )
    def act(self, action, rng):
        self.zone.act(action, random.Random(rng.getrandbits(64)))

    def teardown(self):
        if hasattr(self, "zone"):
            self.zone.settle()


TestExchangeMachine = ExchangeMachine.TestCase
TestExchangeMachine.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    # Each step draws from a generator of its own, which shrinks badly.
    phases=(Phase.explicit, Phase.generate),
)


class TestSeededRun:
    @pytest.mark.parametrize("host_count", [2, 3, 8])
    def test_invariants_hold_and_hosts_agree_after_each_heal(self, host_count):
        rng = random.Random(host_count)
        zone = FakeZone(host_count, seed=host_count)
        for step in range(1, _STEPS + 1):
            zone.act(rng.choice(ACTIONS), rng)
            if step % 30 == 0:
                zone.settle()
        assert sum(zone.counts.values()) >= _STEPS
        print(host_count, dict(zone.counts))


class TestSpread:
    def test_joins_and_leaves_reach_28_hosts_within_a_second(self):
        zone = FakeZone(28, seed=1)
        for expected in (28, 0):
            if expected:
                zone.start_server()
            else:
                zone.stop_server()
            zone.advance(1.0)
            holders = [h for h in zone.hosts.values() if zone.offered(h)]
            assert len(holders) == expected

    def test_a_short_lease_outlives_a_lost_renewal_on_28_hosts(self, monkeypatch):
        monkeypatch.setattr(fake_zone, "TTL_S", 3.0)
        zone = FakeZone(28, seed=2)
        zone.start_server()
        zone.advance(5.0)
        [server] = zone.servers.values()
        for _ in range(6):
            server.next_at += 1.0
            for _ in range(40):
                zone.advance(0.1)
                assert all(zone.offered(host) for host in zone.hosts.values())
