"""Benchmark of the processor time of log records, spans and metrics.

Usage: python -m benchmarks.observability [REPETITIONS]

Each figure is the processor time of the whole process per event, including the
writer threads; the ratio is to the call of an empty function.
"""

from __future__ import annotations

import json
import logging
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings
from galenadrum._internal.observability.logs import configure_logging, log_context
from galenadrum._internal.observability.metrics import Metrics
from galenadrum._internal.observability.traces import (
    configure_tracing,
    end_span,
    format_traceparent,
    start_span,
)

_REPETITIONS = 20_000
# Below the queues' limits: a dropped event would not be written and cost too little.
_EVENTS_PER_BATCH = 2_000
_ATTRIBUTES = {"request_id": "r", "stage": "encode", "attempt": 1, "server_id": "s"}
_US_PER_S = 1_000_000

logger = logging.getLogger("galenadrum._internal.benchmark")


def measure(
    event: Callable[[], object], repetitions: int, finish: Callable[[], object]
) -> float:
    """Return the processor time per event in seconds, including the writing.

    Args:
        event: Function that produces one event.
        repetitions: Number of events.
        finish: Function that waits until all events are written.
    """
    start = time.process_time()
    for _ in range(repetitions):
        event()
    finish()
    return (time.process_time() - start) / repetitions


def measure_spans(folder: Path, repetitions: int) -> float:
    """Return the processor time of one recorded child span in seconds."""
    total_s = 0.0
    for _ in range(repetitions // _EVENTS_PER_BATCH):
        settings = ObservabilitySettings(trace_file=folder / "traces.jsonl")
        stop = configure_tracing(settings, "host-1")
        parent = format_traceparent(start_span("request"))
        total_s += measure(
            lambda parent=parent: end_span(start_span("stage", parent, _ATTRIBUTES)),
            _EVENTS_PER_BATCH,
            stop,
        )
    return total_s / (repetitions // _EVENTS_PER_BATCH)


def measure_unrecorded_spans(repetitions: int) -> float:
    """Return the processor time of one span without a trace file in seconds."""
    configure_tracing(ObservabilitySettings(), "host-1")
    parent = format_traceparent(start_span("request"))
    return measure(
        lambda: end_span(start_span("stage", parent, _ATTRIBUTES)),
        repetitions,
        lambda: None,
    )


def measure_logs(folder: Path, repetitions: int) -> float:
    """Return the processor time of one JSON log line with two IDs in seconds."""
    total_s = 0.0
    for _ in range(repetitions // _EVENTS_PER_BATCH):
        with (folder / "log.jsonl").open("w") as stream, log_context("r" * 16, "t"):
            settings = ObservabilitySettings(log_format=LogFormat.JSON)
            stop = configure_logging(settings, "host-1", stream)
            total_s += measure(
                lambda: logger.info("request %s ended after %d ms", "r", 12),
                _EVENTS_PER_BATCH,
                stop,
            )
    return total_s / (repetitions // _EVENTS_PER_BATCH)


def measure_metrics(repetitions: int) -> dict[str, float]:
    """Return the processor time of metric updates and of exporting 185 distributions.

    All figures are in seconds.
    """
    metrics = Metrics()
    labels = [(f"p{p}", f"s{s}") for p in range(37) for s in range(5)]
    for pipeline, stage in labels:
        metrics.record_duration("stage_seconds", 0.1, pipeline=pipeline, stage=stage)
    return {
        "counter": measure(
            lambda: metrics.increment("requests_total", reason="ok"),
            repetitions,
            lambda: None,
        ),
        "duration": measure(
            lambda: metrics.record_duration(
                "stage_seconds", 0.034, pipeline="p1", stage="s1"
            ),
            repetitions,
            lambda: None,
        ),
        "render_185_distributions": measure(metrics.render_text, 10, lambda: None),
        "snapshot_185_distributions": measure(metrics.snapshot, 3, lambda: None),
    }


def main() -> None:
    """Run the benchmark; print a table and one JSON object."""
    repetitions = int(sys.argv[1]) if len(sys.argv) > 1 else _REPETITIONS
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        seconds = {
            "empty_call": measure(lambda: None, repetitions, lambda: None),
            "span": measure_spans(folder, repetitions),
            "span_without_file": measure_unrecorded_spans(repetitions),
            "log_line": measure_logs(folder, repetitions),
            **measure_metrics(repetitions),
        }
    empty_call_s = seconds["empty_call"]
    print(f"{'event':<28}{'us':>12}{'ratio':>12}")
    for event, value in seconds.items():
        print(f"{event:<28}{value * _US_PER_S:>12.2f}{value / empty_call_s:>12.0f}")
    figures = {f"{k}_us": round(v * _US_PER_S, 3) for k, v in seconds.items()}
    print(json.dumps({"repetitions": repetitions, **figures}))


if __name__ == "__main__":
    main()
