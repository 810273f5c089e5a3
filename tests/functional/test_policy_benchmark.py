"""Tests that the policy benchmark is deterministic and the policy beats baselines."""

import json

import pytest

from benchmarks.policy.__main__ import Job, main, run_job
from benchmarks.policy.simulation import PolicyName
from galenadrum._internal.routing.mechanisms import Mechanisms

POLICIES = tuple(PolicyName)


def run(site, scenario, policies=POLICIES, seed=1):
    results = run_job(Job(site, scenario, seed, policies, Mechanisms()))
    return {PolicyName(result.policy): result for result in results}


class TestChosenPolicy:
    @pytest.mark.parametrize(
        ("site", "scenario"),
        [
            ("tornos", "burst"),
            ("vatu", "failing-service"),
        ],
    )
    def test_attains_at_least_as_much_as_the_better_baseline(self, site, scenario):
        by_policy = run(site, scenario)
        chosen = by_policy[PolicyName.CHOSEN]
        assert chosen.offered == by_policy[PolicyName.ROUND_ROBIN].offered
        assert chosen.attained + chosen.refused + chosen.late == chosen.offered
        for baseline in (PolicyName.ROUND_ROBIN, PolicyName.TWO_CHOICES):
            assert chosen.attained >= by_policy[baseline].attained
        assert chosen.attained <= chosen.attainable * chosen.offered + 1

    def test_computes_fewer_prompt_tokens_when_prefixes_are_long(self):
        policies = (PolicyName.ROUND_ROBIN, PolicyName.CHOSEN)
        by_policy = run("tornos", "steady-60", policies)
        chosen = by_policy[PolicyName.CHOSEN]
        baseline = by_policy[PolicyName.ROUND_ROBIN]
        assert chosen.prefill_tokens <= 0.6 * baseline.prefill_tokens


class TestBenchmarkRuns:
    def test_the_same_seed_gives_the_same_figures(self):
        policies = (PolicyName.CHOSEN,)
        first = run("tornos", "steady-60", policies, seed=3)
        second = run("tornos", "steady-60", policies, seed=3)
        assert first == second

    def test_the_last_line_is_one_json_object(self, capsys):
        arguments = ["--seeds", "1", "--site", "tornos", "--scenario", "steady-60"]
        main([*arguments, "--processes", "1", "--policy", "round-robin"])
        last = capsys.readouterr().out.splitlines()[-1]
        (row,) = json.loads(last)["rows"]
        assert row["policy"] == "round-robin"
        assert row["attained"] > 0.9
