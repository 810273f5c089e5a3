"""Log lines and gauges from which the cause of a missing leader can be read."""

import logging

import pytest

from galenadrum._internal.control.replication.log_metrics import register_log_gauges
from galenadrum._internal.observability.metrics import Metrics
from lib.log_simulation import Simulation


@pytest.fixture
def info_log(caplog):
    caplog.set_level(logging.INFO, "galenadrum._internal.control.replication")
    return caplog


class TestElectionLines:
    def test_votes_and_roles_are_logged_with_terms_and_voters(self, info_log):
        Simulation(seed=1).run(5)
        assert "asks for votes for term 1 (last entry 0 of term 0" in info_log.text
        assert "in term 1 granted" in info_log.text
        assert "leads term 1 from entry 1 (voters m0,m1,m2; learners none)" in (
            info_log.text
        )
        assert "follows leader" in info_log.text

    def test_lost_quorum_is_logged_with_the_silent_voters(self, info_log):
        simulation = Simulation(seed=1)
        simulation.run(5)
        (leading,) = [n for n in simulation.running() if n.core.is_leader]
        others = [n for n in simulation.nodes_by_id.values() if n is not leading]
        for node in others:
            simulation.crash(node)
        simulation.run(5)
        assert "has lost its quorum and steps down in term 1" in info_log.text
        for node in others:
            assert f"{node.member_id} for " in info_log.text
        assert leading.core.leaderless_s(simulation.clock(leading)) > 2

    def test_denied_vote_is_logged_with_its_reason(self, info_log):
        simulation = Simulation(seed=1)
        simulation.run(5)
        (leading,) = [n for n in simulation.running() if n.core.is_leader]
        other = next(n for n in simulation.running() if n is not leading)
        pair = (leading.member_id, other.member_id)
        simulation.blocked = {pair, pair[::-1]}
        simulation.run(3)
        assert "denied: leader " in info_log.text


class TestGauges:
    def test_host_without_a_running_member_exports_zeros(self):
        metrics = Metrics()
        register_log_gauges(metrics, lambda: None)
        assert "galenadrum_log_leaderless_seconds 0" in metrics.render_text()
