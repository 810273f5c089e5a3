"""Benchmark of lost and late requests under injected failures.

Runs separate processes on loopback.

Usage:

    PYTHONPATH=src:tests python -m benchmarks.failures [--only NAME] [--source DIR]

Prints a table and, as its last line, one JSON object. ``--source`` runs the daemons
of another version; callers, backend servers and relays remain those of this version.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

import click

from benchmarks.failures_load import (
    DEADLINE_S,
    PlannedRequest,
    RequestKind,
    RequestOutcome,
    RequestResult,
    plan_load,
    run_load,
)
from benchmarks.failures_testbed import FAILURES, Failure, Testbed, open_testbed
from lib.processes import ROOT

_RATE_PER_S = 20.0
_EARLIEST_FAILURE_S = 2.0
_LATEST_FAILURE_S = 4.0
_MAX_DETAILS = 4
# Time for the entry hosts to write their traces after the load.
_TRACE_FLUSH_WAIT_S = 0.5


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one or more loads under one failure.

    Attributes:
        doubled: Inputs of a non-repeatable stage that ran more than once.
        unfounded: Answered requests to a non-repeatable stage without a recorded run.
        failed_attempts: Stage attempts that entry hosts traced as not completed.
        retried: Requests that their callers sent more than once.
        p99_s: 99th percentile of the time to an answer.
        gap_s: Longest time without an answer in any of the loads.
        details: Most frequent outcomes other than an answer in time, with counts.
    """

    failure: str
    requests: int
    lost: int
    late: int
    refused: int
    wrong: int
    doubled: int
    unfounded: int
    failed_attempts: int
    retried: int
    p99_s: float
    gap_s: float
    details: dict[str, int]


@dataclass(frozen=True, slots=True)
class _LoadResult:
    """Results of one load.

    Attributes:
        results: Result of each request.
        runs: Number of runs of each input of the non-repeatable stage.
        failed_attempts: Stage attempts that did not complete.
    """

    results: list[RequestResult]
    runs: Counter[str]
    failed_attempts: int

    @property
    def doubled(self) -> int:
        return sum(count > 1 for count in self.runs.values())

    @property
    def unfounded(self) -> int:
        return sum(
            not self.runs[result.request.input]
            for result in self.results
            if _is_answered_non_repeatable(result)
        )


def measure(
    failure: Failure, seeds: Sequence[int], seconds: float, source: Path
) -> Row:
    """Run the load under one failure with each seed and sum up the results."""
    loads = []
    for seed in seeds:
        with (
            tempfile.TemporaryDirectory(prefix="galenadrum-failures-") as folder,
            open_testbed(failure, Path(folder), source) as testbed,
        ):
            results = _run_failure(testbed, failure, seed, seconds)
            time.sleep(_TRACE_FLUSH_WAIT_S)
            loads.append(
                _LoadResult(
                    results, testbed.count_runs(), testbed.count_failed_attempts()
                )
            )
    return _build_row(failure, loads, seconds)


def _run_failure(
    testbed: Testbed, failure: Failure, seed: int, seconds: float
) -> list[RequestResult]:
    requests: list[PlannedRequest] = plan_load(
        seed, _RATE_PER_S, seconds, testbed.zones
    )
    failure_at_s = Random(seed).uniform(_EARLIEST_FAILURE_S, _LATEST_FAILURE_S)
    actions = [(failure_at_s, lambda: failure.inject(testbed))]
    if failure.undo is not None:
        undo = failure.undo
        actions.append((failure_at_s + failure.undo_after_s, lambda: undo(testbed)))
    with testbed.build_balancer() as balancer:
        return run_load(requests, balancer, actions)


def _is_answered_non_repeatable(result: RequestResult) -> bool:
    return (
        result.request.kind is RequestKind.NON_REPEATABLE
        and result.outcome is RequestOutcome.ANSWERED
    )


def _longest_gap_s(results: Sequence[RequestResult], seconds: float) -> float:
    answered = sorted(
        result.ended_at_s
        for result in results
        if result.outcome is RequestOutcome.ANSWERED and result.ended_at_s < seconds
    )
    times_s = [0.0, *answered, seconds]
    return max(
        later - earlier for earlier, later in zip(times_s, times_s[1:], strict=False)
    )


def _p99_s(results: Sequence[RequestResult]) -> float:
    times_s = sorted(
        result.ended_at_s - result.request.send_at_s
        for result in results
        if result.outcome is RequestOutcome.ANSWERED
    )
    return times_s[int(0.99 * (len(times_s) - 1))] if times_s else 0.0


def _build_row(failure: Failure, loads: Sequence[_LoadResult], seconds: float) -> Row:
    results = [result for load in loads for result in load.results]
    count_by_outcome = Counter(result.outcome for result in results)
    details = Counter(
        f"{result.request.kind} {result.outcome}: {result.detail}"
        for result in results
        if result.outcome is not RequestOutcome.ANSWERED
    )
    return Row(
        failure=failure.name,
        requests=len(results),
        lost=count_by_outcome[RequestOutcome.LOST],
        late=count_by_outcome[RequestOutcome.LATE],
        refused=count_by_outcome[RequestOutcome.REFUSED],
        wrong=count_by_outcome[RequestOutcome.WRONG],
        doubled=sum(load.doubled for load in loads),
        unfounded=sum(load.unfounded for load in loads),
        failed_attempts=sum(load.failed_attempts for load in loads),
        retried=sum(result.attempts > 1 for result in results),
        p99_s=round(_p99_s(results), 2),
        gap_s=round(max(_longest_gap_s(load.results, seconds) for load in loads), 2),
        details=dict(details.most_common(_MAX_DETAILS)),
    )


def _print_row(row: Row) -> None:
    click.echo(
        f"{row.failure:18} {row.requests:5}"
        f"  {row.lost / row.requests:7.2%} {row.late / row.requests:7.2%}"
        f" {row.refused / row.requests:7.2%}"
        f"  {row.wrong:5} {row.doubled:7} {row.unfounded:9}"
        f"  {row.failed_attempts:8} {row.retried:7}"
        f" {row.p99_s:5.2f} s {row.gap_s:5.2f} s"
        f"  {row.details or ''}"
    )


@click.command()
@click.option("--only", multiple=True, help="Name of a failure; may be repeated.")
@click.option("--seed", default=1)
@click.option("--repetitions", default=1, help="Loads a failure, with seeds in turn.")
@click.option("--seconds", default=15.0, help="Length of each load.")
@click.option("--source", default=ROOT / "src", type=click.Path(path_type=Path))
def main(
    only: tuple[str, ...], seed: int, repetitions: int, seconds: float, source: Path
) -> None:
    """Measure each failure and print the results."""
    names = [failure.name for failure in FAILURES]
    if unknown := set(only) - set(names):
        raise click.BadParameter(
            f"unknown failures {sorted(unknown)}; expected names from {names}",
            param_hint="only",
        )
    click.echo(
        "failure            count     lost    late refused"
        "  wrong doubled unfounded  attempts retried     p99     gap"
    )
    seeds = range(seed, seed + repetitions)
    rows = []
    for failure in FAILURES:
        if not only or failure.name in only:
            rows.append(measure(failure, seeds, seconds, source.absolute()))
            _print_row(rows[-1])
    summary = {
        "rate_per_s": _RATE_PER_S,
        "seconds": seconds,
        "deadline_s": DEADLINE_S,
        "seeds": list(seeds),
        "rows": [asdict(row) for row in rows],
    }
    click.echo(json.dumps(summary))


if __name__ == "__main__":
    main()
