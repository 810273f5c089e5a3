import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from galenadrum._internal.control.replication import election, leader, rounds
from galenadrum._internal.control.replication.membership import Membership
from galenadrum._internal.control.replication.messages import TimeoutNow
from galenadrum._internal.control.replication.state import ReplicaState
from galenadrum._internal.exceptions import InvariantError, LogDamagedError
from lib.log_simulation import Simulation, Violation, run_random_steps

# GALENADRUM_LOG_SEEDS and GALENADRUM_LOG_STEPS override the number of seeded runs
# and their number of steps.
SEEDS = int(os.environ.get("GALENADRUM_LOG_SEEDS", "8"))
STEPS = int(os.environ.get("GALENADRUM_LOG_STEPS", "100"))
FIRST_SEED = int(os.environ.get("GALENADRUM_LOG_FIRST_SEED", "0"))


def run_seed(seed, steps=STEPS, **options):
    simulation = Simulation(seed, founders=3 if seed % 3 else 5, **options)
    run_random_steps(simulation, steps)
    simulation.recover_and_verify()
    return simulation


class LogMachine(RuleBasedStateMachine):
    """Simulated cluster whose faults hypothesis generates and shrinks."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(seed=0)
        self.simulation.run(3.0)

    nodes = st.integers(0, 4)

    def node(self, number):
        nodes = list(self.simulation.nodes_by_id.values())
        return nodes[number % len(nodes)]

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.2, 1.0, 3.0]))
    def run_for(self, seconds):
        self.simulation.run(seconds)

    @rule(number=nodes, count=st.integers(1, 5))
    def propose(self, number, count):
        for _ in range(count):
            self.simulation.propose(self.node(number))

    @rule(number=nodes)
    def read(self, number):
        self.simulation.read(self.node(number))

    @rule(number=nodes)
    def snapshot(self, number):
        self.simulation.snapshot(self.node(number))

    @rule(number=nodes)
    def transfer_leadership(self, number):
        self.simulation.transfer_leadership(self.node(number))

    @rule(number=nodes, power=st.booleans())
    def crash(self, number, power):
        self.simulation.crash(self.node(number), power)

    @rule(number=nodes)
    def start(self, number):
        self.simulation.start(self.node(number))

    @rule(number=nodes)
    def pause(self, number):
        self.simulation.pause(self.node(number))

    @rule(number=nodes)
    def resume(self, number):
        self.simulation.resume(self.node(number))

    @rule(alone=nodes)
    def isolate(self, alone):
        ids = set(self.simulation.nodes_by_id)
        isolated = {self.node(alone).member_id}
        self.simulation.partition([isolated, ids - isolated])

    @rule(loss=st.sampled_from([0.1, 0.5]), late=st.sampled_from([0.0, 0.3]))
    def degrade(self, loss, late):
        self.simulation.loss = self.simulation.duplication = loss
        self.simulation.delayed_share = late

    @rule()
    def heal(self):
        self.simulation.heal()

    @precondition(lambda self: len(self.simulation.nodes_by_id) < 6)
    @rule(number=nodes)
    def lose_disk_and_replace(self, number):
        node = self.node(number)
        if not node.lost and not self.simulation.is_last_founder_with_disk(node):
            self.simulation.lose_disk(node)
            self.simulation.replace(node)

    @invariant()
    def guarantees_hold(self):
        self.simulation.check()

    def teardown(self):
        self.simulation.recover_and_verify()


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(max_examples=60, stateful_step_count=40)


class TestSeededRuns:
    def test_accepted_changes_survive_faults(self):
        runs = [run_seed(FIRST_SEED + number) for number in range(SEEDS)]
        assert all(run.accepted for run in runs)
        assert any(len(run.leader_by_term) > 3 for run in runs)


class TestTransferOfLeadership:
    @pytest.mark.parametrize("seed", range(5))
    def test_successor_leads_before_the_election_timeout(self, seed):
        simulation = Simulation(seed)
        simulation.run(5)
        (old,) = [n for n in simulation.running() if n.core.is_leader]
        term = old.core.term
        simulation.transfer_leadership(old)
        assert not old.core.is_leader
        simulation.run(old.core._state.options.election_timeout_s / 4)
        (new,) = [n for n in simulation.running() if n.core.status().lease_until]
        assert new is not old
        assert new.core.term == term + 1

    def test_isolated_leader_without_a_successor_keeps_leading(self):
        simulation = Simulation(seed=1)
        simulation.run(5)
        (leading,) = [n for n in simulation.running() if n.core.is_leader]
        others = set(simulation.nodes_by_id) - {leading.member_id}
        simulation.partition([{leading.member_id}, others])
        simulation.propose(leading)
        simulation.transfer_leadership(leading)
        assert leading.core.is_leader


class TestChecksCanFail:
    """Each test disables one rule of the protocol; the checks must fail."""

    def assert_detected(self, seeds, **options):
        with pytest.raises((Violation, InvariantError, LogDamagedError)):
            for seed in seeds:
                run_seed(seed, steps=200, **options)

    def test_when_changes_are_acknowledged_before_they_are_synced(self):
        assert self.count_accepted_across_power_cuts(confirm_before_sync=False) > 0
        with pytest.raises(Violation, match="accepted and lost|applied"):
            self.count_accepted_across_power_cuts(confirm_before_sync=True)

    def count_accepted_across_power_cuts(self, confirm_before_sync):
        """Cut the power of all members after proposals; return the accepted count."""
        simulation = Simulation(seed=1, confirm_before_sync=confirm_before_sync)
        for _ in range(20):
            simulation.recover_and_verify(5)
            for node in simulation.running():
                node.sync_s = 0.03
                simulation.propose(node)
            simulation.run(0.02)
            for node in simulation.nodes_by_id.values():
                simulation.crash(node)
        simulation.recover_and_verify()
        return len(simulation.accepted)

    def test_when_reads_are_served_without_asking_a_quorum(self, monkeypatch):
        def confirm_without_quorum(state, now):
            rounds._confirm_reads(state, state.leader.waiting_reads)

        monkeypatch.setattr(rounds, "advance_reads", confirm_without_quorum)
        self.assert_detected(range(10))

    def test_when_votes_are_granted_to_members_that_lack_entries(self, monkeypatch):
        monkeypatch.setattr(election, "_is_up_to_date", lambda *_: True)
        self.assert_detected(range(10))

    def test_when_members_vote_while_they_have_an_active_leader(self, monkeypatch):
        self.isolate_member_from_leader()
        monkeypatch.setattr(ReplicaState, "has_active_leader", lambda *_: False)
        with pytest.raises(Violation, match="in the lease of"):
            self.isolate_member_from_leader()

    def isolate_member_from_leader(self):
        """Block the link between one member and the leader only."""
        simulation = Simulation(seed=1)
        simulation.run(5)
        (leading,) = [n for n in simulation.running() if n.core.is_leader]
        other = next(n for n in simulation.running() if n is not leading)
        pair = (leading.member_id, other.member_id)
        simulation.blocked = {pair, pair[::-1]}
        simulation.run(10)
        assert leading.core.is_leader

    def test_when_a_leader_transfers_leadership_and_keeps_its_lease(self, monkeypatch):
        def send_without_stepping_down(state, now):
            state.send(state.peer_voter_ids()[0], TimeoutNow())

        for seed in range(5):
            self.isolate_leader_after_transfer(seed)
        monkeypatch.setattr(leader, "transfer", send_without_stepping_down)
        for seed in range(5):
            with pytest.raises(Violation, match="in the lease of"):
                self.isolate_leader_after_transfer(seed)

    def isolate_leader_after_transfer(self, seed):
        """Block all messages to a leader once its successor has been asked."""
        simulation = Simulation(seed)
        simulation.run(5)
        (leading,) = [n for n in simulation.running() if n.core.is_leader]
        others = [n for n in simulation.running() if n is not leading]
        simulation.transfer_leadership(leading)
        simulation.blocked = {(n.member_id, leading.member_id) for n in others}
        simulation.run(5)
        assert any(n.core.is_leader for n in others)

    def test_when_a_majority_suffices_to_found_after_a_disk_loss(self, monkeypatch):
        self.lose_disk_before_founding_completes()
        monkeypatch.setattr(Membership, "is_founding", lambda _: False)
        with pytest.raises((Violation, InvariantError)):
            self.lose_disk_before_founding_completes()

    def lose_disk_before_founding_completes(self):
        simulation = Simulation(seed=1)
        nodes_by_id = simulation.nodes_by_id
        simulation.partition([{"m0", "m1"}, {"m2"}])
        simulation.run(5)
        simulation.propose(nodes_by_id["m0"])
        simulation.propose(nodes_by_id["m1"])
        simulation.run(1)
        simulation.lose_disk(nodes_by_id["m1"])
        simulation.start(nodes_by_id["m1"])
        simulation.partition([{"m0"}, {"m1", "m2"}])
        simulation.run(10)
        simulation.recover_and_verify()
