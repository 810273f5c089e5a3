"""Members that are replaced or lose their disks one after the other.

At most one member is lost at a time, and a replacement has `CATCH_UP_S` before the next
loss, so that a leader is owed after each of them.
"""

from dataclasses import replace

import pytest

from lib.log_simulation import OPTIONS, Simulation

CATCH_UP_S = 4.0
# Two election timeouts at most until a candidate stands, and as much for a second try.
LEADER_BOUND_S = 6 * OPTIONS.election_timeout_s


def get_leader(simulation):
    leaders = [n for n in simulation.running() if n.core.status().lease_until]
    return leaders[0] if len(leaders) == 1 else None


def run_until(simulation, condition, bound_s=LEADER_BOUND_S):
    """Run until a condition holds; return whether it did within the bound."""
    end = simulation.now + bound_s
    while not condition() and simulation.now < end:
        simulation.run(0.01)
    return condition()


def accept_change(simulation):
    """Propose until a change is accepted; return whether one was in time."""
    accepted = len(simulation.accepted)

    def is_accepted():
        leader = get_leader(simulation)
        if leader is not None:
            simulation.propose(leader)
        return len(simulation.accepted) > accepted

    return run_until(simulation, is_accepted)


def start_group(seed, founders=3):
    simulation = Simulation(seed, founders, removes_lost_members=True)
    simulation.run(5)
    assert accept_change(simulation)
    return simulation


def acknowledge_change(simulation):
    """Have a change accepted and acknowledged; return the leader that did."""
    assert accept_change(simulation)

    def is_settled():
        leader = get_leader(simulation)
        return leader is not None and simulation.is_settled(leader)

    assert run_until(simulation, is_settled)
    return get_leader(simulation)


def choose_victim(simulation, kind, newcomer):
    leader = get_leader(simulation)
    if kind == "newcomer":
        return newcomer
    if kind == "leader":
        return leader
    return next(
        n for n in simulation.running() if n.core and n not in (leader, newcomer)
    )


def lose_and_return_empty(simulation, node, away_s=5.0):
    simulation.lose_disk(node)
    simulation.run(away_s)
    return simulation.replace(node)


class TestReplacedMember:
    # A replaced member counted as a voter until ten seconds of silence had passed.
    @pytest.mark.parametrize("victim", ["newcomer", "leader", "follower"])
    @pytest.mark.parametrize("seed", range(5))
    def test_lost_disk_after_a_replacement_leaves_no_leader(self, seed, victim):
        simulation = start_group(seed)
        replaced = get_leader(simulation)
        others = [n for n in simulation.nodes_by_id.values() if n is not replaced]
        simulation.blocked = {(n.member_id, replaced.member_id) for n in others}
        simulation.run(4)
        simulation.heal()
        simulation.run(4)
        simulation.lose_disk(replaced)
        simulation.run(1)
        newcomer = simulation.join()
        simulation.run(CATCH_UP_S)
        assert accept_change(simulation)
        lose_and_return_empty(simulation, choose_victim(simulation, victim, newcomer))
        assert accept_change(simulation)
        simulation.recover_and_verify()


class TestPlannedReplacement:
    # The vote of a host that stops was lost until its silence was noticed.
    @pytest.mark.parametrize("seed", range(5))
    def test_disk_lost_as_a_replaced_host_stops_leaves_no_leader(self, seed):
        simulation = start_group(seed)
        newcomer = simulation.join()
        simulation.run(CATCH_UP_S)
        stopping = next(
            n
            for n in simulation.running()
            if n not in (newcomer, get_leader(simulation))
        )
        simulation.leave(stopping)
        simulation.run(0.1)
        simulation.lose_disk(stopping)
        assert accept_change(simulation)
        lose_and_return_empty(simulation, choose_victim(simulation, "leader", newcomer))
        assert accept_change(simulation)
        simulation.recover_and_verify()


class TestFourMembers:
    # An even number of voters tolerates no more losses than one voter less.
    @pytest.mark.parametrize("seed", range(5))
    def test_second_disk_lost_after_a_standby_took_over_leaves_no_leader(self, seed):
        simulation = start_group(seed)
        standby = simulation.join()
        simulation.run(CATCH_UP_S)
        simulation.lose_disk(get_leader(simulation))
        simulation.run(CATCH_UP_S)
        assert accept_change(simulation)
        simulation.lose_disk(choose_victim(simulation, "newcomer", standby))
        assert accept_change(simulation)


class TestLeaderLostDuringAChange:
    # A change of voters that its leader leaves open must be completed or undone.
    @pytest.mark.parametrize("delay_ms", range(0, 40, 2))
    def test_open_change_ends_after_its_leader_is_lost(self, delay_ms):
        simulation = start_group(seed=3)
        leader = get_leader(simulation)
        lost = next(n for n in simulation.running() if n is not leader)
        simulation.lose_disk(lost)
        newcomer = simulation.join()
        assert run_until(
            simulation, lambda: leader.core.membership.is_voter(newcomer.member_id)
        )
        simulation.run(delay_ms / 1_000)
        simulation.crash(leader)
        simulation.run(2)
        simulation.start(leader)
        assert accept_change(simulation)
        assert run_until(
            simulation,
            lambda: all(
                not n.core.membership.is_joint
                and n.core.membership.is_voter(newcomer.member_id)
                for n in simulation.running()
            ),
        )
        simulation.recover_and_verify()


class TestAcknowledgement:
    # A change was acknowledged by two of three voters, one of them gone for good,
    # while a successor that had been up for long waited for the end of a partition.
    @pytest.mark.parametrize("seed", range(20))
    def test_disk_lost_after_an_acknowledgement_leaves_no_leader(self, seed):
        simulation = Simulation(
            seed,
            removes_lost_members=True,
            options=replace(OPTIONS, newcomer_wait_s=1.0),
        )
        simulation.run(5)
        leader = acknowledge_change(simulation)
        lost, other = [n for n in simulation.nodes_by_id.values() if n is not leader]
        simulation.lose_disk(lost)
        simulation.partition([{leader.member_id}, {other.member_id}])
        newcomer = simulation.join()
        simulation.partition(
            [{leader.member_id}, {other.member_id, newcomer.member_id}]
        )
        simulation.run(CATCH_UP_S + 1)
        simulation.heal()
        lose_and_return_empty(simulation, acknowledge_change(simulation))
        assert accept_change(simulation)
        simulation.recover_and_verify()

    def test_change_is_acknowledged_at_once_while_all_voters_answer(self):
        simulation = Simulation(1, options=replace(OPTIONS, newcomer_wait_s=1.0))
        simulation.run(5)
        assert simulation.is_settled(get_leader(simulation))

    def test_lost_voter_without_a_standby_delays_no_acknowledgement_for_long(self):
        simulation = Simulation(1, options=replace(OPTIONS, newcomer_wait_s=1.0))
        simulation.run(5)
        simulation.crash(get_leader(simulation))
        assert run_until(simulation, lambda: get_leader(simulation) is not None)
        elected_at = simulation.now
        acknowledge_change(simulation)
        assert simulation.now - elected_at < 2.2


class TestSilence:
    # A newcomer was counted as silent since the start of the leadership, and removed.
    def test_newcomer_of_a_long_leadership_counts_as_silent(self):
        simulation = start_group(seed=0)
        simulation.run(20)
        leader = get_leader(simulation)
        newcomer = simulation.join()
        others = set(simulation.nodes_by_id) - {newcomer.member_id}
        assert run_until(
            simulation, lambda: leader.core.membership.get(newcomer.member_id)
        )
        simulation.partition([others])
        silences = leader.core.silences_by_id(simulation.clock(leader))
        assert silences[newcomer.member_id] < 1.0
