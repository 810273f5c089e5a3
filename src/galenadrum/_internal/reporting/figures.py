"""Figures of a period: outcomes of requests by second, zone and route."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field

from galenadrum._internal.observability.events import EventKind, RequestOutcome
from galenadrum._internal.reporting.log_lines import LoggedEvent

# Outcomes in the order in which tables and plots show them.
OUTCOMES = tuple(outcome.value for outcome in RequestOutcome)
# Hosts notice the same change of a server within this time of each other.
_REPEATED_WITHIN_S = 3.0


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a host or a backend server.

    Attributes:
        at_s: Seconds since the start of the period.
        subject: Host or server that changed.
        change: What became of it.
    """

    at_s: float
    subject: str
    change: str


@dataclass(slots=True)
class PeriodFigures:
    """Figures of a period.

    Attributes:
        started_at: Unix time in seconds of the start of the period.
        seconds: Length of the period in whole seconds.
        outcomes_by_second: Number of requests by outcome, for each second since the
            start in which one ended.
        outcomes_by_zone: The same by availability zone of the entry host.
        outcomes_by_route: The same by route.
        refusals_by_reason: Number of refusals by reason.
        changes: Changes of hosts and servers, in order.
    """

    started_at: float
    seconds: int = 0
    outcomes_by_second: dict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    outcomes_by_zone: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    outcomes_by_route: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    refusals_by_reason: Counter[str] = field(default_factory=Counter)
    changes: list[Change] = field(default_factory=list)

    @property
    def totals(self) -> Counter[str]:
        """Number of requests by outcome."""
        return sum(self.outcomes_by_zone.values(), Counter())

    def to_json(self) -> dict[str, object]:
        """Return the figures as values for JSON."""
        return {
            "started_at": self.started_at,
            "seconds": self.seconds,
            "totals": dict(self.totals),
            "by_second": {
                str(second): dict(self.outcomes_by_second[second])
                for second in sorted(self.outcomes_by_second)
            },
            "by_zone": _to_plain(self.outcomes_by_zone),
            "by_route": _to_plain(self.outcomes_by_route),
            "refusals_by_reason": dict(self.refusals_by_reason.most_common()),
            "changes": [asdict(change) for change in self.changes],
        }


def _to_plain(
    counters_by_name: dict[str, Counter[str]],
) -> dict[str, dict[str, int]]:
    return {name: dict(counters_by_name[name]) for name in sorted(counters_by_name)}


def collect_figures(events: Iterable[LoggedEvent], started_at: float) -> PeriodFigures:
    """Collect the figures of a period from its events.

    Args:
        events: Events of all hosts, in any order.
        started_at: Unix time in seconds of the start of the period.
    """
    figures = PeriodFigures(started_at)
    for event in events:
        at_s = event.at - started_at
        figures.seconds = max(figures.seconds, math.floor(at_s) + 1)
        if event.fields.get("kind") == EventKind.REQUEST_ENDED:
            _count_request(figures, event, math.floor(at_s))
        else:
            subject = event.fields.get("server_id") or event.host_id
            change = str(event.fields.get("change", ""))
            figures.changes.append(Change(round(at_s, 3), str(subject), change))
    figures.changes = _remove_repeated(figures.changes)
    return figures


def _remove_repeated(changes: list[Change]) -> list[Change]:
    """Return changes in order, each once though several hosts have logged it."""
    kept: list[Change] = []
    last_at_s_by_change: dict[tuple[str, str], float] = {}
    for change in sorted(changes, key=lambda change: change.at_s):
        key = (change.subject, change.change)
        if change.at_s - last_at_s_by_change.get(key, -math.inf) > _REPEATED_WITHIN_S:
            kept.append(change)
        last_at_s_by_change[key] = change.at_s
    return kept


def _count_request(figures: PeriodFigures, event: LoggedEvent, second: int) -> None:
    outcome = str(event.fields.get("outcome", ""))
    figures.outcomes_by_second[second][outcome] += 1
    figures.outcomes_by_zone[str(event.fields.get("zone", ""))][outcome] += 1
    figures.outcomes_by_route[str(event.fields.get("route", ""))][outcome] += 1
    if outcome == RequestOutcome.REFUSED:
        reason = str(event.fields.get("reason") or "unknown")
        figures.refusals_by_reason[reason] += 1
