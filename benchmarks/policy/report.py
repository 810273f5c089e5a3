"""Tables and targets computed from the runs of all seeds."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from benchmarks.policy.results import RunResult
from benchmarks.policy.scenarios import (
    BOUND_SHARE_TARGET,
    BURST_DURATION_S,
    FAULT_DELAY_S,
    PREFILL_SHARE_TARGET,
    RECOVERY_TARGET_S,
    SMALL_ORGANISATION_LOSS_TARGET,
    SMALL_ORGANISATIONS,
)
from benchmarks.policy.simulation import PolicyName
from benchmarks.policy.sites import ENGINE_STAGE

_RECOVERY_TOLERANCE = 0.05
_BASELINE_NAMES = (PolicyName.ROUND_ROBIN.value, PolicyName.TWO_CHOICES.value)
_CHOSEN_NAME = PolicyName.CHOSEN.value
_BURST_END_S = int(BURST_DURATION_S)


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table: all seeds of a site, scenario and policy.

    Attributes:
        offered: Number of requests that arrived after the warm-up.
        attained: Share of requests answered completely within their deadline.
        of_bound: Attained requests as a share of the upper bound.
        refused: Share of requests refused before the deadline.
        late: Share of requests neither answered nor refused before the deadline.
        p99_s: 99th percentile of the latency of attained requests, in seconds.
        refusal_p99_s: 99th percentile of the time to a refusal, in seconds.
        cost_s_by_stage: Slot or engine seconds per attained request.
        prefill_tokens: Prompt tokens computed per attained request.
        small_attained: Attained share of the small organisations' requests.
        recovery_s: Seconds from the end of the burst until attainment has
            recovered, or None in scenarios without a burst.
        counters: Totals of the refusals and of the policy's counters.
    """

    site: str
    scenario: str
    policy: str
    seeds: int
    offered: int
    attained: float
    of_bound: float
    refused: float
    late: float
    p99_s: float
    refusal_p99_s: float
    cost_s_by_stage: dict[str, float]
    prefill_tokens: float
    small_attained: float
    recovery_s: float | None
    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class Target:
    """Target value of a figure, and its measured value."""

    site: str
    scenario: str
    name: str
    target: float
    measured: float
    met: bool


def make_rows(results: Iterable[RunResult]) -> list[Row]:
    """Return one row for each site, scenario and policy, in order of first result."""
    groups: dict[tuple[str, str, str], list[RunResult]] = {}
    for result in results:
        key = (result.site, result.scenario, result.policy)
        groups.setdefault(key, []).append(result)
    return [_make_row(group) for group in groups.values()]


def _make_row(group: list[RunResult]) -> Row:
    first = group[0]
    offered = sum(r.offered for r in group)
    attained = sum(r.attained for r in group)
    attainable = sum(r.attainable * r.offered for r in group)
    per_attained = 1.0 / max(1, attained)
    return Row(
        site=first.site,
        scenario=first.scenario,
        policy=first.policy,
        seeds=len(group),
        offered=offered,
        attained=attained / offered,
        of_bound=attained / attainable,
        refused=sum(r.refused for r in group) / offered,
        late=sum(r.late for r in group) / offered,
        p99_s=_compute_percentile([s for r in group for s in r.latencies_s], 0.99),
        refusal_p99_s=_compute_percentile(
            [s for r in group for s in r.refusal_delays_s], 0.99
        ),
        cost_s_by_stage={
            stage: sum(r.busy_s_by_stage[stage] for r in group) * per_attained
            for stage in first.busy_s_by_stage
        },
        prefill_tokens=sum(r.prefill_tokens for r in group) * per_attained,
        small_attained=_compute_small_attained(group),
        recovery_s=_compute_recovery_s(group) if "burst" in first.scenario else None,
        counters=_sum_counters(group),
    )


def _compute_percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    values.sort()
    return values[min(len(values) - 1, int(share * len(values)))]


def _compute_small_attained(group: list[RunResult]) -> float:
    offered = attained = 0
    for result in group:
        for name in SMALL_ORGANISATIONS:
            offered += result.offered_by_organisation.get(name, 0)
            attained += result.attained_by_organisation.get(name, 0)
    return attained / max(1, offered)


def _sum_counters(group: list[RunResult]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for result in group:
        for name, count in result.counters.items():
            totals[name] = totals.get(name, 0) + count
    return totals


def _compute_recovery_s(group: list[RunResult]) -> float:
    """Return the seconds from the end of the burst to recovery.

    From then on, the attained share of each second is at most 0.05 below the share
    before the burst.
    """
    before = _compute_attained_share(group, range(-int(FAULT_DELAY_S), 0))
    last = max(second for r in group for second in r.offered_by_second)
    recovered = last
    for second in range(last, _BURST_END_S - 1, -1):
        if _compute_attained_share(group, (second,)) < before - _RECOVERY_TOLERANCE:
            break
        recovered = second
    return float(recovered - _BURST_END_S)


def _compute_attained_share(group: list[RunResult], seconds: Iterable[int]) -> float:
    offered = attained = 0
    for second in seconds:
        offered += sum(r.offered_by_second.get(second, 0) for r in group)
        attained += sum(r.attained_by_second.get(second, 0) for r in group)
    return attained / max(1, offered)


def check_targets(rows: list[Row]) -> list[Target]:
    """Compare the chosen policy's rows with each target that applies to them."""
    rows_by_key = {(row.site, row.scenario, row.policy): row for row in rows}
    targets: list[Target] = []
    for row in rows:
        if row.policy != _CHOSEN_NAME:
            continue
        baselines = [
            rows_by_key[row.site, row.scenario, name]
            for name in _BASELINE_NAMES
            if (row.site, row.scenario, name) in rows_by_key
        ]
        steady = rows_by_key.get((row.site, "steady-60", _CHOSEN_NAME))
        targets.extend(_check_row_targets(row, baselines, steady))
    return targets


def _check_row_targets(
    row: Row, baselines: list[Row], steady: Row | None
) -> list[Target]:
    targets = []
    if baselines:
        better_baseline = max(baseline.attained for baseline in baselines)
        targets.append(
            _check_minimum(row, "better baseline", better_baseline, row.attained)
        )
    if row.scenario in ("steady-90", "burst"):
        targets.append(
            _check_minimum(row, "share of bound", BOUND_SHARE_TARGET, row.of_bound)
        )
    if row.scenario == "greedy" and steady is not None:
        minimum = steady.small_attained - SMALL_ORGANISATION_LOSS_TARGET
        targets.append(
            _check_minimum(row, "small organisations", minimum, row.small_attained)
        )
    if row.recovery_s is not None:
        targets.append(
            _check_maximum(row, "recovery s", RECOVERY_TARGET_S, row.recovery_s)
        )
    if row.site == "tornos" and row.scenario == "steady-60" and baselines:
        share = row.prefill_tokens / baselines[0].prefill_tokens
        targets.append(
            _check_maximum(row, "prefill share", PREFILL_SHARE_TARGET, share)
        )
    return targets


def _check_minimum(row: Row, name: str, target: float, measured: float) -> Target:
    met = measured >= target
    return Target(row.site, row.scenario, name, target, measured, met)


def _check_maximum(row: Row, name: str, target: float, measured: float) -> Target:
    met = measured <= target
    return Target(row.site, row.scenario, name, target, measured, met)


def format_rows(rows: list[Row]) -> str:
    """Format the rows as a text table, with times and costs in seconds."""
    header = (
        f"{'site':7}{'scenario':16}{'policy':12}{'attained':>9}{'of bound':>9}"
        f"{'refused':>8}{'late':>7}{'p99':>6}{'small':>7}{'prefill':>8}"
        f"{'recover':>8}  cost by stage"
    )
    lines = [header]
    for row in rows:
        recovery = "-" if row.recovery_s is None else f"{row.recovery_s:.0f}"
        lines.append(
            f"{row.site:7}{row.scenario:16}{row.policy:12}{row.attained:9.4f}"
            f"{row.of_bound:9.4f}{row.refused:8.3f}{row.late:7.3f}{row.p99_s:6.2f}"
            f"{row.small_attained:7.3f}{row.prefill_tokens:8.0f}{recovery:>8}  "
            + _format_costs(row)
        )
    return "\n".join(lines)


def _format_costs(row: Row) -> str:
    return " ".join(
        f"{'engine' if stage == ENGINE_STAGE else stage}={cost_s:.3f}"
        for stage, cost_s in row.cost_s_by_stage.items()
    )


def format_targets(targets: list[Target]) -> str:
    """Format the targets as text, one per line."""
    return "\n".join(
        f"{'met   ' if t.met else 'MISSED'} {t.site:7}{t.scenario:16}{t.name:20}"
        f" target {t.target:.4f} measured {t.measured:.4f}"
        for t in targets
    )


def to_json(rows: list[Row], targets: list[Target], options: dict[str, object]) -> str:
    """Format the options, rows and targets as a JSON object on one line."""
    document = {
        "options": options,
        "rows": [asdict(row) for row in rows],
        "targets": [asdict(target) for target in targets],
        "missed": sum(not target.met for target in targets),
    }
    return json.dumps(document)
