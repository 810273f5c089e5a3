"""Run the policy benchmark: ``python -m benchmarks.policy --help``."""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields, replace

from benchmarks.policy.report import (
    check_targets,
    format_rows,
    format_targets,
    make_rows,
    to_json,
)
from benchmarks.policy.results import RunResult
from benchmarks.policy.scenarios import SCENARIOS, SCENARIOS_BY_NAME
from benchmarks.policy.simulation import (
    PolicyName,
    Simulation,
    compute_attainment_bound,
)
from benchmarks.policy.sites import SITES_BY_NAME
from galenadrum._internal.routing.mechanisms import Mechanisms

_MAX_PROCESSES = 4
_DEFAULT_SEEDS = 20


@dataclass(frozen=True, slots=True)
class Job:
    """Policies to simulate on one site, scenario and seed."""

    site: str
    scenario: str
    seed: int
    policies: tuple[PolicyName, ...]
    mechanisms: Mechanisms


def run_job(job: Job) -> list[RunResult]:
    """Simulate each policy of a job with the same requests and faults."""
    site = SITES_BY_NAME[job.site]
    scenario = SCENARIOS_BY_NAME[job.scenario]
    bound = compute_attainment_bound(site, scenario, job.seed)
    results = []
    for policy in job.policies:
        simulation = Simulation(site, scenario, job.seed, policy, job.mechanisms)
        result = simulation.run()
        result.attainable = bound
        results.append(result)
    return results


def run_jobs(jobs: list[Job], processes: int) -> list[RunResult]:
    """Run jobs in up to four processes and return their results in job order."""
    if processes == 1:
        groups = [run_job(job) for job in jobs]
    else:
        with ProcessPoolExecutor(min(processes, _MAX_PROCESSES)) as executor:
            groups = list(executor.map(run_job, jobs))
    return [result for group in groups for result in group]


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.policy", description=__doc__)
    parser.add_argument("--seeds", type=int, default=_DEFAULT_SEEDS)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=_MAX_PROCESSES)
    parser.add_argument("--scenario", action="append", choices=tuple(SCENARIOS_BY_NAME))
    parser.add_argument("--site", action="append", choices=tuple(SITES_BY_NAME))
    parser.add_argument(
        "--policy", action="append", choices=[name.value for name in PolicyName]
    )
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=[field.name for field in fields(Mechanisms)],
        help="turn a mechanism of the chosen policy off",
    )
    parser.add_argument("--counters", action="store_true", help="print counters")
    parser.add_argument("--no-json", action="store_true", help="print tables only")
    return parser.parse_args(arguments)


def make_jobs(options: argparse.Namespace) -> list[Job]:
    """Return one job for each selected site, scenario and seed."""
    names = options.policy or [name.value for name in PolicyName]
    mechanisms = replace(Mechanisms(), **dict.fromkeys(options.without, False))
    return [
        Job(site, scenario, seed, tuple(map(PolicyName, names)), mechanisms)
        for site in options.site or SITES_BY_NAME
        for scenario in options.scenario or [s.name for s in SCENARIOS]
        for seed in range(options.first_seed, options.first_seed + options.seeds)
    ]


def main(arguments: list[str] | None = None) -> None:
    """Print the table and the targets, then one JSON object as the last line."""
    options = parse_arguments(arguments)
    results = run_jobs(make_jobs(options), options.processes)
    rows = make_rows(results)
    targets = check_targets(rows)
    print(format_rows(rows))
    if options.counters:
        for row in rows:
            print(row.site, row.scenario, row.policy, row.counters)
    print(format_targets(targets))
    if not options.no_json:
        print(to_json(rows, targets, vars(options)))


if __name__ == "__main__":
    main()
