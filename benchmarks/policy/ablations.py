"""Measure the effect of each mechanism: ``python -m benchmarks.policy.ablations``.

Prints a Markdown table: the attained share of the chosen policy with all
mechanisms enabled, and the difference when one mechanism is disabled.
"""

from __future__ import annotations

import argparse
from dataclasses import fields, replace

from benchmarks.policy.__main__ import Job, run_jobs
from benchmarks.policy.report import Row, make_rows
from benchmarks.policy.scenarios import SCENARIOS_BY_NAME
from benchmarks.policy.simulation import PolicyName
from benchmarks.policy.sites import SITES_BY_NAME
from galenadrum._internal.routing.mechanisms import Mechanisms

_DEFAULT_SCENARIOS = (
    "steady-90",
    "burst",
    "slow-engine",
    "failing-service",
    "zone-cut",
    "greedy",
    "restarts",
)
_MAX_PROCESSES = 4


def run_variant(
    mechanisms: Mechanisms, scenarios: tuple[str, ...], seeds: int
) -> list[Row]:
    """Simulate the chosen policy with the given mechanisms and return its rows."""
    jobs = [
        Job(site, scenario, seed, (PolicyName.CHOSEN,), mechanisms)
        for site in SITES_BY_NAME
        for scenario in scenarios
        for seed in range(1, seeds + 1)
    ]
    return make_rows(run_jobs(jobs, _MAX_PROCESSES))


def format_variant(name: str, rows: list[Row], reference: list[Row] | None) -> str:
    """Return one line of the table, with shares in percent.

    With ``reference`` rows, shares are differences in percentage points.
    """
    cells = [name]
    for index, row in enumerate(rows):
        if reference is None:
            cells.append(f"{100 * row.attained:.2f}")
        else:
            cells.append(f"{100 * (row.attained - reference[index].attained):+.2f}")
    cells.extend(_format_extra_columns(rows))
    return "| " + " | ".join(cells) + " |"


def _format_extra_columns(rows: list[Row]) -> list[str]:
    """Return the small organisations' attained shares and the prefill tokens.

    The shares come from the greedy scenario, the tokens per attained request
    from steady-90 at tornos.
    """
    cells = [
        f"{100 * row.small_attained:.2f}" for row in rows if row.scenario == "greedy"
    ]
    cells.extend(
        f"{row.prefill_tokens:.0f}"
        for row in rows
        if row.site == "tornos" and row.scenario == "steady-90"
    )
    return cells


def format_header(rows: list[Row]) -> str:
    """Return the header of the table."""
    cells = ["without", *(f"{row.site} {row.scenario}" for row in rows)]
    cells.extend(
        f"{row.site} greedy, small" for row in rows if row.scenario == "greedy"
    )
    cells.append("tornos steady-90, prefill tokens")
    rule = "| " + " | ".join("---" for _ in cells) + " |"
    return "| " + " | ".join(cells) + " |\n" + rule


def main() -> None:
    """Run all variants and print each line of the table when it is ready."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--scenario", action="append", choices=tuple(SCENARIOS_BY_NAME))
    names = tuple(field.name for field in fields(Mechanisms))
    parser.add_argument("--mechanism", action="append", choices=names)
    options = parser.parse_args()
    scenarios = tuple(options.scenario or _DEFAULT_SCENARIOS)
    reference = run_variant(Mechanisms(), scenarios, options.seeds)
    print(format_header(reference))
    print(format_variant("nothing", reference, None), flush=True)
    for name in options.mechanism or names:
        mechanisms = replace(Mechanisms(), **{name: False})
        rows = run_variant(mechanisms, scenarios, options.seeds)
        print(format_variant(name, rows, reference), flush=True)


if __name__ == "__main__":
    main()
