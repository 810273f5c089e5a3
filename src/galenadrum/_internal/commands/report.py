"""The command ``report``."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.exceptions import LogError
from galenadrum._internal.reporting.figures import PeriodFigures, collect_figures
from galenadrum._internal.reporting.log_lines import ReadCounts, read_events

_FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command("report")
@click.argument("files", type=_FILE_TYPE, nargs=-1, required=True)
@click.option("--since", help="Start of the period, as in the log's `time`.")
@click.option("--until", help="End of the period, as in the log's `time`.")
@click.option(
    "-o",
    "--output",
    "form",
    type=click.Choice(["html", "json"]),
    default="html",
    show_default=True,
    help="A page with plots, or the same figures as one line of JSON.",
)
@click.option(
    "--write-to",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="File to write; standard output if omitted.",
)
def command(
    files: tuple[Path, ...],
    since: str | None,
    until: str | None,
    form: str,
    write_to: Path | None,
) -> int:
    """Report what became of the requests of a period, from the logs of hosts.

    FILES are the logs of all hosts as JSON lines. The report counts the requests that
    ended as served, late, refused, failed, denied or left by their callers, by second,
    availability zone and route, with the reasons of refusals, and lists the changes of
    hosts and backend servers at the same times.

    Lines that aren't a daemon's are counted, and the first of them are named.

    \b
    Examples:
      galenadrum report /var/log/galenadrum/*.log --write-to day.html
      galenadrum report *.log --since 2026-12-04T10:00:00Z -o json
    """
    counts = ReadCounts()
    since_at, until_at = _parse_time(since, "--since"), _parse_time(until, "--until")
    events = [
        event
        for event in read_events(files, counts)
        if (since_at is None or event.at >= since_at)
        and (until_at is None or event.at < until_at)
    ]
    if not events:
        raise LogError(_describe_empty_period(counts, len(files)))
    started_at = since_at if since_at is not None else min(e.at for e in events)
    figures = collect_figures(events, started_at)
    _write(_render(figures, counts, form), write_to)
    for line in counts.named_lines:
        output.write_to_stderr(f"warning: {line}: not a log line of a daemon")
    return status_codes.SUCCESS


def _parse_time(text: str | None, option: str) -> float | None:
    """Return a time as Unix seconds; one without an offset is UTC."""
    if text is None:
        return None
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise click.BadParameter(
            f"{text!r} is no time such as 2026-12-04T10:00:00Z", param_hint=option
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


def _describe_empty_period(counts: ReadCounts, files: int) -> str:
    if counts.first_at is None or counts.last_at is None:
        return (
            f"none of the {counts.lines} lines of {files} files is a log line of a "
            "daemon (JSON with `time`, `host_id` and `message`)"
        )
    first, last = (
        datetime.fromtimestamp(at, UTC).isoformat()
        for at in (counts.first_at, counts.last_at)
    )
    return f"the period has no events; the files hold lines from {first} to {last}"


def _render(figures: PeriodFigures, counts: ReadCounts, form: str) -> str:
    if form == "json":
        values = {**figures.to_json(), "foreign_lines": counts.foreign_lines}
        return output.encode_json(values)
    try:
        from galenadrum._internal.reporting.page import render_page
    except ImportError as error:
        raise LogError(
            "the page's plots need matplotlib: install galenadrum[report], or use "
            "`-o json`"
        ) from error
    notes = ()
    if counts.foreign_lines:
        notes = (f"{counts.foreign_lines} lines aren't log lines of a daemon.",)
    return render_page(figures, notes)


def _write(text: str, write_to: Path | None) -> None:
    if write_to is None:
        output.write_text(text)
        return
    try:
        write_to.write_text(text, encoding="utf-8")
    except OSError as error:
        raise LogError(f"can't write the report to {write_to}: {error}") from error
