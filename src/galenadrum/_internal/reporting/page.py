"""Renders the figures of a period as one self-contained HTML page."""

from __future__ import annotations

import html
import io
from collections import Counter
from collections.abc import Mapping
from datetime import UTC, datetime

from matplotlib.figure import Figure

from galenadrum._internal.reporting.figures import OUTCOMES, PeriodFigures

_COLOUR_BY_OUTCOME = {
    "served": "#4c9f70",
    "late": "#e9c46a",
    "refused": "#e76f51",
    "failed": "#9b2226",
    "denied": "#8d99ae",
    "left": "#cbd5e1",
}
# Changes that are drawn and listed; more of them would hide the requests.
_MAX_DRAWN_CHANGES = 60
_MAX_LISTED_CHANGES = 500
_STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
    "td:first-child,th:first-child{text-align:left}svg{max-width:100%}"
)


def render_page(figures: PeriodFigures, notes: tuple[str, ...] = ()) -> str:
    """Return the HTML page of a period.

    Args:
        figures: Figures of the period.
        notes: Remarks on the logs, such as lines that could not be read.
    """
    started = datetime.fromtimestamp(figures.started_at, UTC).isoformat()
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Requests from {started}</title><style>{_STYLE}</style></head><body>",
        f"<h1>{figures.seconds} s from {started}</h1>",
        *(f"<p>{html.escape(note)}</p>" for note in notes),
        "<h2>Requests by second</h2>",
        _draw_seconds(figures),
        _table("Availability zone", figures.outcomes_by_zone),
        _draw_shares("Share by availability zone", figures.outcomes_by_zone),
        _table("Route", figures.outcomes_by_route),
        _draw_shares("Share by route", figures.outcomes_by_route),
        _list_reasons(figures.refusals_by_reason),
        _list_changes(figures),
        "</body></html>",
    ]
    return "\n".join(parts)


def _draw_seconds(figures: PeriodFigures) -> str:
    seconds = range(figures.seconds)
    figure = Figure(figsize=(12, 4), layout="constrained")
    axes = figure.subplots()
    rows = [
        [figures.outcomes_by_second.get(s, Counter())[outcome] for s in seconds]
        for outcome in OUTCOMES
    ]
    colours = [_COLOUR_BY_OUTCOME[outcome] for outcome in OUTCOMES]
    axes.stackplot(seconds, rows, labels=OUTCOMES, colors=colours, step="post")
    for change in figures.changes[:_MAX_DRAWN_CHANGES]:
        axes.axvline(change.at_s, color="black", linewidth=0.8, linestyle="dotted")
    axes.set(xlabel="seconds", ylabel="requests", xlim=(0, max(1, figures.seconds)))
    figure.legend(loc="outside upper left", ncols=len(OUTCOMES), fontsize="small")
    return _to_svg(figure)


def _draw_shares(title: str, counters_by_name: Mapping[str, Counter[str]]) -> str:
    names = sorted(counters_by_name)
    figure = Figure(figsize=(12, 1 + 0.3 * len(names)), layout="constrained")
    axes = figure.subplots()
    left = [0.0] * len(names)
    for outcome in OUTCOMES:
        shares = [
            counters_by_name[n][outcome] / max(1, counters_by_name[n].total())
            for n in names
        ]
        axes.barh(names, shares, left=left, color=_COLOUR_BY_OUTCOME[outcome])
        left = [a + b for a, b in zip(left, shares, strict=True)]
    axes.set(title=title, xlim=(0, 1))
    return _to_svg(figure)


def _to_svg(figure: Figure) -> str:
    """Return a figure as an SVG element without the XML prologue."""
    text = io.StringIO()
    figure.savefig(text, format="svg")
    return text.getvalue()[text.getvalue().index("<svg") :]


def _table(title: str, counters_by_name: Mapping[str, Counter[str]]) -> str:
    head = "".join(f"<th>{name}</th>" for name in (title, "asked", *OUTCOMES))
    rows = []
    for name in sorted(counters_by_name):
        counts = counters_by_name[name]
        cells = [html.escape(name or "none"), counts.total()]
        cells += [counts[outcome] for outcome in OUTCOMES]
        rows.append("<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>"


def _list_reasons(refusals_by_reason: Counter[str]) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(reason)}</td><td>{count}</td></tr>"
        for reason, count in refusals_by_reason.most_common()
    )
    return f"<h2>Reasons of refusals</h2><table>{rows}</table>"


def _list_changes(figures: PeriodFigures) -> str:
    shown = figures.changes[:_MAX_LISTED_CHANGES]
    rows = "".join(
        f"<tr><td>{c.at_s:.3f} s</td><td>{html.escape(c.subject)}</td>"
        f"<td>{html.escape(c.change)}</td></tr>"
        for c in shown
    )
    hidden = len(figures.changes) - len(shown)
    more = f"<p>{hidden} more changes aren't listed.</p>" if hidden else ""
    return f"<h2>Changes of hosts and servers</h2><table>{rows}</table>{more}"
