"""Exporter of spans to a size-limited file of JSON lines."""

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

# Shared, since json.dumps builds an encoder on each call that has options.
_encode_json = json.JSONEncoder(ensure_ascii=False).encode


class FileSpanExporter(SpanExporter):
    """Appends spans to a file of JSON lines and rotates it at a size limit.

    One rotated file is kept. Both files together take at most twice ``max_bytes``
    and one batch.
    """

    def __init__(self, path: Path, host_id: str, max_bytes: int) -> None:
        self._path = path
        self._host_id = host_id
        self._max_bytes = max_bytes
        self._is_failing = False

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append a batch of spans; drop it if the file can't be written."""
        lines = "".join(self._format_span(span) for span in spans).encode()
        try:
            self._append_lines(lines)
        except OSError as error:
            if not self._is_failing:
                logger.error("can't write spans to %s: %s", self._path, error)
            self._is_failing = True
            return SpanExportResult.FAILURE
        self._is_failing = False
        return SpanExportResult.SUCCESS

    def _append_lines(self, lines: bytes) -> None:
        with self._path.open("ab") as file:
            size = file.tell()
            if size == 0 or size + len(lines) <= self._max_bytes:
                file.write(lines)
                return
        os.replace(self._path, f"{self._path}{ROTATED_SUFFIX}")
        with self._path.open("ab") as file:
            file.write(lines)

    def _format_span(self, span: ReadableSpan) -> str:
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
        return f"{_encode_json(line)}\n"
