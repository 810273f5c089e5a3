"""The command ``trace``."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.observability.trace_tree import (
    group_by_trace,
    read_spans,
    render_tree,
)

_DEFAULT_TRACE_COUNT = 10
_FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command("trace")
@click.argument("file", type=_FILE_TYPE)
@click.argument("trace_id", required=False)
@click.option(
    "--with",
    "further_files",
    type=_FILE_TYPE,
    multiple=True,
    help="Trace file of another host; may be repeated.",
)
@click.option(
    "--last",
    type=click.IntRange(min=1),
    default=_DEFAULT_TRACE_COUNT,
    show_default=True,
    help="Without TRACE_ID, show this many of the latest traces.",
)
@output_option
def command(
    file: Path,
    trace_id: str | None,
    further_files: tuple[Path, ...],
    last: int,
    form: str,
) -> int:
    """Show recorded traces as trees, with the duration of each hop.

    FILE is the trace_file of a host's settings; to see the whole of a trace
    that crosses hosts, name the files of all these hosts. The first number of a
    line is the time from the start of the root span to that of the span, the
    second is its duration. Starts on different hosts are only as accurate as
    their clocks are synchronised.

    \b
    Examples:
      galenadrum trace /var/lib/galenadrum/traces.jsonl
      galenadrum trace nadi-1.jsonl 4bf92f3577b34da6a3ce929d0e0e4736 --with ba-1.jsonl
    """
    spans_by_trace = group_by_trace(
        span
        for path in (file, *further_files)
        for span in read_spans(path)
        if trace_id in (None, span.trace_id)
    )
    if trace_id is not None and not spans_by_trace:
        output.write_to_stderr(f"error: no span of trace {trace_id} is in the files")
        return status_codes.FINDINGS
    for shown_id in list(spans_by_trace)[-last:]:
        if form == "json":
            shown = [dataclasses.asdict(span) for span in spans_by_trace[shown_id]]
            output.write_json({"trace_id": shown_id, "spans": shown})
            continue
        output.write_text(f"trace {shown_id}")
        for line in render_tree(spans_by_trace[shown_id]):
            output.write_text(line)
    return status_codes.SUCCESS
