from lib.log_simulation import OPTIONS, Simulation


def settled(seed=1, founders=3):
    """Return a cluster with a leader, and the leader."""
    simulation = Simulation(seed, founders)
    simulation.run(5)
    return simulation, leader_of(simulation)


def leader_of(simulation):
    (leader,) = [n for n in simulation.running() if n.core.status().lease_until]
    return leader


def accept(simulation, node, count):
    for _ in range(count):
        simulation.propose(node)
        simulation.run(0.05)
    simulation.run(1)


class TestLostDisks:
    def test_second_loss_right_after_a_repair_loses_nothing(self):
        for seed in range(10):
            simulation, leader = settled(seed)
            accept(simulation, leader, 20)
            others = [n for n in simulation.nodes_by_id.values() if n is not leader]
            simulation.lose_disk(others[0])
            new = simulation.replace(others[0])
            while not self.is_repaired(leader, new, others[0]):
                simulation.propose(leader)
                simulation.run(0.01)
            simulation.lose_disk(others[1])
            # The leader may be gone too; the new member holds everything.
            simulation.crash(leader)
            simulation.run(3)
            simulation.start(leader)
            simulation.run(10)
            assert len(simulation.accepted) >= 20
            simulation.recover_and_verify()
            held = dict(leader_of(simulation).applied)
            assert set(simulation.accepted) <= set(held.items())

    def is_repaired(self, leader, new, old):
        membership = leader.core.membership
        committed = leader.core.status().commit_index
        change = leader.core._state.log.membership_index
        return (
            membership.is_voter(new.member_id)
            and membership.get(old.member_id) is None
            and committed >= change
        )

    def test_empty_folder_under_an_old_id_is_refused_and_does_not_count(self):
        simulation, leader = settled()
        accept(simulation, leader, 5)
        wiped, other = [n for n in simulation.nodes_by_id.values() if n is not leader]
        simulation.crash(other)
        simulation.lose_disk(wiped)
        simulation.start(wiped)
        accept(simulation, leader, 5)
        simulation.run(5)
        assert "new member_id" in wiped.refusal
        assert len(simulation.accepted) == 5
        assert not leader.core.is_leader

    def test_learner_becomes_voter_only_with_all_that_is_committed(self):
        simulation, leader = settled()
        accept(simulation, leader, 50)
        new = simulation.replace(simulation.nodes_by_id["m0"])
        simulation.cut_links(0)
        while not leader.core.membership.is_voter(new.member_id):
            committed = leader.core.commit_index
            simulation.run(0.001)
        assert new.core.status().stable_index >= committed


class TestFrozenLeader:
    def test_serves_nothing_as_current_and_accepts_nothing_after_its_lease(self):
        for seed in range(10):
            simulation, old = settled(seed)
            accept(simulation, old, 3)
            simulation.pause(old)
            simulation.run(6)
            new = leader_of(simulation)
            accept(simulation, new, 3)
            accepted = list(simulation.accepted)
            # It asks for a read and proposes while it still believes its clock.
            simulation.resume(old)
            simulation.run(3)
            assert not old.core.is_leader
            assert old.reads_by_token == {}
            assert simulation.accepted == accepted
            assert old.applied == new.applied

    def test_leader_without_a_quorum_steps_down_within_its_lease(self):
        simulation, leader = settled()
        ids = set(simulation.nodes_by_id)
        simulation.partition([{leader.member_id}, ids - {leader.member_id}])
        simulation.run(OPTIONS.lease_s * 1.1)
        assert not leader.core.is_leader


class TestRestart:
    def test_restarted_member_grants_no_vote_for_an_election_timeout(self):
        simulation, leader = settled()
        other = next(n for n in simulation.nodes_by_id.values() if n is not leader)
        simulation.crash(other)
        simulation.partition([{other.member_id}])
        simulation.start(other)
        simulation.run(OPTIONS.election_timeout_s * 0.9)
        assert other.core._state.has_active_leader(simulation.clock(other))
        simulation.run(OPTIONS.election_timeout_s * 0.2)
        assert not other.core._state.has_active_leader(simulation.clock(other))


class TestCatchingUp:
    def behind(self, with_snapshot):
        simulation, leader = settled()
        behind = next(n for n in simulation.nodes_by_id.values() if n is not leader)
        simulation.crash(behind)
        for _ in range(500):
            simulation.propose(leader)
            simulation.run(0.005)
        simulation.run(1)
        if with_snapshot:
            simulation.snapshot(leader)
        simulation.start(behind)
        simulation.run(10)
        assert len(simulation.accepted) == 500
        assert behind.applied == leader.applied
        return behind

    def test_restarted_after_500_changes_by_entries(self):
        assert self.behind(with_snapshot=False).core.status().snapshot_index == 0

    def test_restarted_after_500_changes_by_snapshot(self):
        assert self.behind(with_snapshot=True).core.status().snapshot_index >= 500
