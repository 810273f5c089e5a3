from lib.log_simulation import OPTIONS, Simulation


def start_cluster(seed=1, founders=3):
    """Return a simulation and its leader, after the first election."""
    simulation = Simulation(seed, founders)
    simulation.run(5)
    return simulation, get_leader(simulation)


def get_leader(simulation):
    (leader,) = [n for n in simulation.running() if n.core.status().lease_until]
    return leader


def propose_and_run(simulation, node, count):
    for _ in range(count):
        simulation.propose(node)
        simulation.run(0.05)
    simulation.run(1)


class TestLostDisks:
    def test_second_disk_loss_right_after_a_replacement_loses_no_change(self):
        for seed in range(10):
            simulation, leader = start_cluster(seed)
            propose_and_run(simulation, leader, 20)
            others = [n for n in simulation.nodes_by_id.values() if n is not leader]
            simulation.lose_disk(others[0])
            new = simulation.replace(others[0])
            while not self.is_replaced(leader, new, others[0]):
                simulation.propose(leader)
                simulation.run(0.01)
            simulation.lose_disk(others[1])
            # The leader may fail too: the new member already holds all entries.
            simulation.crash(leader)
            simulation.run(3)
            simulation.start(leader)
            simulation.run(10)
            assert len(simulation.accepted) >= 20
            simulation.recover_and_verify()
            held = dict(get_leader(simulation).applied)
            assert set(simulation.accepted) <= set(held.items())

    def is_replaced(self, leader, new, old):
        membership = leader.core.membership
        committed = leader.core.status().commit_index
        change = leader.core._state.log.membership_index
        return (
            membership.is_voter(new.member_id)
            and membership.get(old.member_id) is None
            and committed >= change
        )

    def test_empty_data_folder_under_a_known_id_is_refused_and_not_counted(self):
        simulation, leader = start_cluster()
        propose_and_run(simulation, leader, 5)
        wiped, other = [n for n in simulation.nodes_by_id.values() if n is not leader]
        simulation.crash(other)
        simulation.lose_disk(wiped)
        simulation.start(wiped)
        propose_and_run(simulation, leader, 5)
        simulation.run(5)
        assert "new member_id" in wiped.refusal
        assert len(simulation.accepted) == 5
        assert not leader.core.is_leader

    def test_learner_is_promoted_only_after_it_synced_all_committed_entries(self):
        simulation, leader = start_cluster()
        propose_and_run(simulation, leader, 50)
        new = simulation.replace(simulation.nodes_by_id["m0"])
        simulation.cut_links(0)
        while not leader.core.membership.is_voter(new.member_id):
            committed = leader.core.commit_index
            simulation.run(0.001)
        assert new.core.status().stable_index >= committed


class TestPausedLeader:
    def test_serves_no_read_and_accepts_no_change_after_its_lease(self):
        for seed in range(10):
            simulation, old = start_cluster(seed)
            propose_and_run(simulation, old, 3)
            simulation.pause(old)
            simulation.run(6)
            new = get_leader(simulation)
            propose_and_run(simulation, new, 3)
            accepted = list(simulation.accepted)
            # The old leader requests a read and proposes before its clock shows
            # that time has passed.
            simulation.resume(old)
            simulation.run(3)
            assert not old.core.is_leader
            assert old.reads_by_token == {}
            assert simulation.accepted == accepted
            assert old.applied == new.applied

    def test_leader_without_a_quorum_steps_down_within_its_lease(self):
        simulation, leader = start_cluster()
        ids = set(simulation.nodes_by_id)
        simulation.partition([{leader.member_id}, ids - {leader.member_id}])
        simulation.run(OPTIONS.lease_s * 1.1)
        assert not leader.core.is_leader


class TestRestart:
    def test_restarted_member_grants_no_vote_for_one_election_timeout(self):
        simulation, leader = start_cluster()
        other = next(n for n in simulation.nodes_by_id.values() if n is not leader)
        simulation.crash(other)
        simulation.partition([{other.member_id}])
        simulation.start(other)
        simulation.run(OPTIONS.election_timeout_s * 0.9)
        assert other.core._state.has_active_leader(simulation.clock(other))
        simulation.run(OPTIONS.election_timeout_s * 0.2)
        assert not other.core._state.has_active_leader(simulation.clock(other))


class TestCatchingUp:
    def catch_up(self, with_snapshot):
        simulation, leader = start_cluster()
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

    def test_member_500_changes_behind_receives_entries(self):
        assert self.catch_up(with_snapshot=False).core.status().snapshot_index == 0

    def test_member_500_changes_behind_receives_a_snapshot(self):
        assert self.catch_up(with_snapshot=True).core.status().snapshot_index >= 500
