"""An exporter of spans to a bounded file of JSON lines."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult
from opentelemetry.trace import StatusCode

from galenadrum._internal.observability.span_files import ROTATED_SUFFIX

logger = logging.getLogger(__name__)

# Built once: json.dumps builds an encoder for each call that names options.
_encode = json.JSONEncoder(ensure_ascii=False).encode


class FileSpanExporter(SpanExporter):
    """Appends spans to a file of JSON lines with one predecessor.

    The two files together take at most twice the given size and one batch.
    """

    def __init__(self, path: Path, host_id: str, max_bytes: int) -> None:
        self._path = path
        self._host_id = host_id
        self._max_bytes = max_bytes
        self._failing = False

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append a batch; a batch that can't be written is dropped."""
        lines = "".join(self._format(span) for span in spans).encode()
        try:
            self._append(lines)
        except OSError as error:
            if not self._failing:
                logger.error("can't write spans to %s: %s", self._path, error)
            self._failing = True
            return SpanExportResult.FAILURE
        self._failing = False
        return SpanExportResult.SUCCESS

    def _append(self, lines: bytes) -> None:
        with self._path.open("ab") as file:
            size = file.tell()
            if size == 0 or size + len(lines) <= self._max_bytes:
                file.write(lines)
                return
        os.replace(self._path, f"{self._path}{ROTATED_SUFFIX}")
        with self._path.open("ab") as file:
            file.write(lines)

    def _format(self, span: ReadableSpan) -> str:
        context = span.get_span_context()
        line: dict[str, Any] = {
            "trace_id": f"{context.trace_id:032x}",
            "span_id": f"{context.span_id:016x}",
            "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
            "name": span.name,
            "kind": span.kind.name.lower(),
            "host_id": self._host_id,
            "start_ns": span.start_time,
            "duration_ns": span.end_time - span.start_time,
        }
        if span.attributes:
            line["attributes"] = dict(span.attributes)
        if span.status.status_code is StatusCode.ERROR:
            line["error"] = span.status.description or "failed"
        return f"{_encode(line)}\n"
