"""Requests lost or late under each failure, on separate processes on loopback.

Usage:

    PYTHONPATH=src:tests python -m benchmarks.failures [--only NAME] [--source DIR]

Prints a table and, as its last line, one JSON object. ``--source`` runs the daemons
of another version; callers, backend servers and relays stay this version's.
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
    End,
    Ended,
    Kind,
    PlannedRequest,
    plan_load,
    run_load,
)
from benchmarks.failures_world import FAILURES, Failure, World, open_world
from lib.processes import ROOT

_RATE_PER_S = 20.0
_EARLIEST_STRIKE_S = 2.0
_LATEST_STRIKE_S = 4.0
_DETAILS = 4
# Traces are written within this time.
_TRACES_S = 0.5


@dataclass(frozen=True, slots=True)
class Row:
    """What the callers of one or more loads saw under one failure.

    Attributes:
        doubled: Inputs that may not be repeated and ran more than once.
        unfounded: Answers to such inputs that no run stands behind.
        failed_attempts: Stage attempts that entry hosts saw fail.
        retried: Requests that were sent more than once by their callers.
        p99_s: Time within which 99 of 100 answers came.
        gap_s: Longest time without an answer, of any load.
        details: The most frequent ends other than an answer in time.
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
class _Load:
    """What one load brought."""

    ended: list[Ended]
    runs: Counter[str]
    failed_attempts: int

    @property
    def doubled(self) -> int:
        return sum(count > 1 for count in self.runs.values())

    @property
    def unfounded(self) -> int:
        return sum(not self.runs[e.planned.input] for e in self.ended if _is_once(e))


def measure(
    failure: Failure, seeds: Sequence[int], seconds: float, source: Path
) -> Row:
    """Return the row of one failure over all seeds."""
    loads = []
    for seed in seeds:
        with (
            tempfile.TemporaryDirectory(prefix="galenadrum-failures-") as folder,
            open_world(failure, Path(folder), source) as world,
        ):
            ended = _run(world, failure, seed, seconds)
            time.sleep(_TRACES_S)
            loads.append(_Load(ended, world.runs(), world.failed_attempts()))
    return _row(failure, loads, seconds)


def _run(world: World, failure: Failure, seed: int, seconds: float) -> list[Ended]:
    planned: list[PlannedRequest] = plan_load(seed, _RATE_PER_S, seconds, world.zones)
    strike_at = Random(seed).uniform(_EARLIEST_STRIKE_S, _LATEST_STRIKE_S)
    actions = [(strike_at, lambda: failure.strike(world))]
    if failure.undo is not None:
        undo = failure.undo
        actions.append((strike_at + failure.after_s, lambda: undo(world)))
    with world.balancer() as balancer:
        return run_load(planned, balancer, actions)


def _is_once(ended: Ended) -> bool:
    return ended.planned.kind is Kind.ONCE and ended.end is End.ANSWERED


def _longest_gap(ended: Sequence[Ended], seconds: float) -> float:
    answered = sorted(e.at for e in ended if e.end is End.ANSWERED and e.at < seconds)
    times = [0.0, *answered, seconds]
    return max(
        later - earlier for earlier, later in zip(times, times[1:], strict=False)
    )


def _p99_s(ended: Sequence[Ended]) -> float:
    times = sorted(e.at - e.planned.at for e in ended if e.end is End.ANSWERED)
    return times[int(0.99 * (len(times) - 1))] if times else 0.0


def _row(failure: Failure, loads: Sequence[_Load], seconds: float) -> Row:
    ended = [e for load in loads for e in load.ended]
    ends = Counter(e.end for e in ended)
    details = Counter(
        f"{e.planned.kind} {e.end}: {e.detail}"
        for e in ended
        if e.end is not End.ANSWERED
    )
    return Row(
        failure=failure.name,
        requests=len(ended),
        lost=ends[End.LOST],
        late=ends[End.LATE],
        refused=ends[End.REFUSED],
        wrong=ends[End.WRONG],
        doubled=sum(load.doubled for load in loads),
        unfounded=sum(load.unfounded for load in loads),
        failed_attempts=sum(load.failed_attempts for load in loads),
        retried=sum(e.tries > 1 for e in ended),
        p99_s=round(_p99_s(ended), 2),
        gap_s=round(max(_longest_gap(load.ended, seconds) for load in loads), 2),
        details=dict(details.most_common(_DETAILS)),
    )


def _print(row: Row) -> None:
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
    """Measure each failure and print the table."""
    names = [failure.name for failure in FAILURES]
    if unknown := set(only) - set(names):
        raise click.BadParameter(f"{sorted(unknown)} not in {names}", param_hint="only")
    click.echo(
        "failure            count     lost    late refused"
        "  wrong doubled unfounded  attempts retried     p99     gap"
    )
    seeds = range(seed, seed + repetitions)
    rows = []
    for failure in FAILURES:
        if not only or failure.name in only:
            rows.append(measure(failure, seeds, seconds, source.absolute()))
            _print(rows[-1])
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
