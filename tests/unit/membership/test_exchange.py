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
    """Applies faults and server events in random order; ``FakeZone`` checks."""

    @initialize(host_count=st.sampled_from((1, 2, 3, 5)), seed=st.integers(0, 2**32))
    def start(self, host_count, seed):
        self.zone = FakeZone(host_count, seed)

    @rule(
        action=st.sampled_from(ACTIONS),
        rng=st.randoms(use_true_random=False, note_method_calls=False),
    )
    def perform_action(self, action, rng):
        self.zone.perform_action(action, random.Random(rng.getrandbits(64)))

    def teardown(self):
        if hasattr(self, "zone"):
            self.zone.heal_and_check_agreement()


TestExchangeMachine = ExchangeMachine.TestCase
TestExchangeMachine.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    # Each step draws from its own random generator, so shrinking is ineffective.
    phases=(Phase.explicit, Phase.generate),
)


class TestSeededRun:
    @pytest.mark.parametrize("host_count", [2, 3, 8])
    def test_hosts_keep_invariants_and_agree_after_heal(self, host_count):
        rng = random.Random(host_count)
        zone = FakeZone(host_count, seed=host_count)
        for step in range(1, _STEPS + 1):
            zone.perform_action(rng.choice(ACTIONS), rng)
            if step % 30 == 0:
                zone.heal_and_check_agreement()
        assert sum(zone.counts.values()) >= _STEPS
        print(host_count, dict(zone.counts))


class TestPropagation:
    def test_joins_and_leaves_reach_28_hosts_within_one_second(self):
        zone = FakeZone(28, seed=1)
        for expected in (28, 0):
            if expected:
                zone.start_server()
            else:
                zone.stop_server()
            zone.advance(1.0)
            holders = [h for h in zone.hosts.values() if zone.list_available(h)]
            assert len(holders) == expected

    def test_short_lease_survives_lost_renewal_on_28_hosts(self, monkeypatch):
        monkeypatch.setattr(fake_zone, "TTL_S", 3.0)
        zone = FakeZone(28, seed=2)
        zone.start_server()
        zone.advance(5.0)
        [server] = zone.servers.values()
        for _ in range(6):
            server.next_renewal_at += 1.0
            for _ in range(40):
                zone.advance(0.1)
                assert all(zone.list_available(host) for host in zone.hosts.values())
