"""Reading of recorded spans and rendering of their trees."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from galenadrum._internal.observability.span_files import ROTATED_SUFFIX

_NANOSECONDS_PER_MILLISECOND = 1_000_000
_INDENT = "  "
_MAX_TRACES = 10_000


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """Span as recorded in a file.

    Attributes:
        start_ns: Start in nanoseconds since 1970, on the clock of ``host_id``.
        error: Reason for the failure; None if the span succeeded.
    """

    trace_id: str
    span_id: str
    parent_id: str | None
    name: str
    host_id: str
    start_ns: int
    duration_ns: int
    attributes: dict[str, Any]
    error: str | None


def read_spans(path: Path) -> Iterator[SpanRecord]:
    """Yield the spans of a rotated file, if there is one, and of its successor.

    Lines that aren't complete spans, such as one still being written, are skipped.

    Args:
        path: Current trace file; the rotated file has a suffix.

    Raises:
        OSError: A file can't be read.
    """
    for part in (path.with_name(path.name + ROTATED_SUFFIX), path):
        if part != path and not part.exists():
            continue
        with part.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                span = parse_span(line)
                if span is not None:
                    yield span


def group_by_trace(
    spans: Iterable[SpanRecord], max_traces: int = _MAX_TRACES
) -> dict[str, list[SpanRecord]]:
    """Group spans by trace id, with the traces in the order of their starts.

    Args:
        spans: Spans in the order of the files, roughly by end time.
        max_traces: Maximum number of traces kept; the trace whose latest span is
            oldest is dropped first.
    """
    spans_by_trace: dict[str, list[SpanRecord]] = {}
    for span in spans:
        # Reinserting the trace keeps the dict in the order of the latest span.
        trace = spans_by_trace.pop(span.trace_id, [])
        trace.append(span)
        spans_by_trace[span.trace_id] = trace
        if len(spans_by_trace) > max_traces:
            del spans_by_trace[next(iter(spans_by_trace))]
    start_ns_by_trace = {
        key: min(s.start_ns for s in t) for key, t in spans_by_trace.items()
    }
    return {
        key: spans_by_trace[key]
        for key in sorted(start_ns_by_trace, key=start_ns_by_trace.__getitem__)
    }


def render_tree(spans: Iterable[SpanRecord]) -> list[str]:
    """Render a trace as one line per span, with children below their parents.

    A span whose parent isn't recorded, such as a child of the caller's span, is
    rendered as a root.
    """
    span_by_id = {span.span_id: span for span in spans}
    children_by_parent: dict[str | None, list[SpanRecord]] = {}
    for span in span_by_id.values():
        parent_id = span.parent_id if span.parent_id in span_by_id else None
        children_by_parent.setdefault(parent_id, []).append(span)
    lines: list[str] = []
    pending = [
        (span, 0, span) for span in _sort_latest_first(children_by_parent.get(None, []))
    ]
    while pending:
        span, depth, root = pending.pop()
        lines.append(_render_span(span, depth, root))
        child_spans = _sort_latest_first(children_by_parent.pop(span.span_id, []))
        pending += [(child, depth + 1, root) for child in child_spans]
    return lines


def _sort_latest_first(spans: list[SpanRecord]) -> list[SpanRecord]:
    return sorted(spans, key=lambda span: span.start_ns, reverse=True)


def _render_span(span: SpanRecord, depth: int, root: SpanRecord) -> str:
    offset_ms = (span.start_ns - root.start_ns) / _NANOSECONDS_PER_MILLISECOND
    duration_ms = span.duration_ns / _NANOSECONDS_PER_MILLISECOND
    parts = [
        f"{offset_ms:+10.3f} ms {duration_ms:10.3f} ms  ",
        _INDENT * depth,
        f"{span.name} on {span.host_id}",
    ]
    parts += [f" {name}={value}" for name, value in span.attributes.items()]
    if span.error is not None:
        parts.append(f" FAILED: {span.error}")
    return "".join(parts)


def parse_span(line: str) -> SpanRecord | None:
    """Parse one line of a trace file; return None if it isn't a span."""
    try:
        body = json.loads(line)
        return SpanRecord(
            trace_id=str(body["trace_id"]),
            span_id=str(body["span_id"]),
            parent_id=body["parent_id"],
            name=str(body["name"]),
            host_id=str(body["host_id"]),
            start_ns=int(body["start_ns"]),
            duration_ns=int(body["duration_ns"]),
            attributes=dict(body.get("attributes") or {}),
            error=body.get("error"),
        )
    except (ValueError, KeyError, TypeError):
        return None
