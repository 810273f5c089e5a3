"""Metrics of a daemon: counters, gauges and latency distributions.

Memory is bounded: each metric has a maximum number of series. Values for further
label combinations are added to a series whose labels all have the value ``other``.
"""

from __future__ import annotations

import bisect
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

_COUNTER_SERIES_MAX = 1_024
_DURATION_SERIES_MAX = 512
_LABEL_MAX_CHARACTERS = 128
_OVERFLOW_LABEL_VALUE = "other"
_PREFIX = "galenadrum_"

_MICROSECONDS_PER_SECOND = 1_000_000
_DURATION_MAX_US = 600 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 2
_HISTOGRAM_COUNT_BYTES = 4
_PERCENTILES = (50.0, 90.0, 99.0)

# Upper bounds of the exported histogram buckets, in seconds.
BUCKET_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class _DurationDistribution:
    """Latency distribution with exact bucket counts and two-digit quantiles."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, _DURATION_MAX_US, _SIGNIFICANT_DIGITS, word_size=_HISTOGRAM_COUNT_BYTES
        )
    )
    bucket_counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1)
    )
    sum_s: float = 0.0


class Metrics:
    """Metrics of a process; all methods are thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters_by_name: dict[str, dict[Labels, int]] = {}
        self._durations_by_name: dict[str, dict[Labels, _DurationDistribution]] = {}
        self._gauges_by_name: dict[str, dict[Labels, Callable[[], float]]] = {}

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter.

        Args:
            name: Name of the counter, such as ``refusals_total``.
            amount: Increment, 0 or more.
            **labels: Labels of the series, such as ``reason="overloaded"``.
        """
        key = _build_label_key(labels)
        with self._lock:
            series = self._counters_by_name.setdefault(name, {})
            key = _select_series_key(series, key, _COUNTER_SERIES_MAX)
            series[key] = series.get(key, 0) + amount

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Record one duration.

        Args:
            name: Name of the distribution, such as ``stage_seconds``.
            seconds: Duration; the quantiles clip it to the range 0 to 600.
            **labels: Labels of the series, such as
                ``pipeline="restock-plan", stage="encode"``.
        """
        key = _build_label_key(labels)
        value_us = int(seconds * _MICROSECONDS_PER_SECOND)
        value_us = min(max(value_us, 1), _DURATION_MAX_US)
        bucket = bisect.bisect_left(BUCKET_BOUNDS_S, seconds)
        with self._lock:
            series = self._durations_by_name.setdefault(name, {})
            key = _select_series_key(series, key, _DURATION_SERIES_MAX)
            durations = series.get(key)
            if durations is None:
                durations = series[key] = _DurationDistribution()
            durations.histogram.record_value(value_us)
            durations.bucket_counts[bucket] += 1
            durations.sum_s += max(seconds, 0.0)

    def register_gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge that is read each time metrics are exported.

        Args:
            name: Name of the gauge, such as ``requests_in_flight``.
            read: Returns the value; called in the exporting thread, so it must
                not block.
            **labels: Labels of the series, such as ``zone="nadi"``.
        """
        with self._lock:
            self._gauges_by_name.setdefault(name, {})[_build_label_key(labels)] = read

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for name, labels, value in self._read_gauges():
            lines.append(f"{_PREFIX}{name}{_render_labels(labels)} {value:g}")
        with self._lock:
            lines += self._render_counters()
            lines += self._render_durations()
        return "\n".join([*lines, ""])

    def snapshot(self) -> dict[str, list[dict[str, Any]]]:
        """Return all metrics as JSON values, with durations in milliseconds."""
        gauges = [
            {"name": name, "labels": dict(labels), "value": value}
            for name, labels, value in self._read_gauges()
        ]
        with self._lock:
            counters = [
                {"name": name, "labels": dict(labels), "value": value}
                for name, series in self._counters_by_name.items()
                for labels, value in series.items()
            ]
            durations = [
                {
                    "name": name,
                    "labels": dict(labels),
                    **_summarise_durations(distribution),
                }
                for name, series in self._durations_by_name.items()
                for labels, distribution in series.items()
            ]
        return {"counters": counters, "gauges": gauges, "durations": durations}

    def _read_gauges(self) -> Iterator[tuple[str, Labels, float]]:
        """Read the gauges without holding the lock: a reader may lock as well."""
        with self._lock:
            gauge_readers = [
                (name, labels, read)
                for name, series in self._gauges_by_name.items()
                for labels, read in series.items()
            ]
        for name, labels, read in gauge_readers:
            yield name, labels, float(read())

    def _render_counters(self) -> Iterator[str]:
        for name, series in sorted(self._counters_by_name.items()):
            yield f"# TYPE {_PREFIX}{name} counter"
            for labels, value in sorted(series.items()):
                yield f"{_PREFIX}{name}{_render_labels(labels)} {value}"

    def _render_durations(self) -> Iterator[str]:
        for name, series in sorted(self._durations_by_name.items()):
            yield f"# TYPE {_PREFIX}{name} histogram"
            for labels, durations in sorted(series.items(), key=lambda item: item[0]):
                yield from _render_histogram(f"{_PREFIX}{name}", labels, durations)


def _build_label_key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items())) if len(labels) > 1 else tuple(labels.items())


def _select_series_key(series: dict[Labels, Any], key: Labels, limit: int) -> Labels:
    if key in series or len(series) < limit:
        return key
    return tuple((label, _OVERFLOW_LABEL_VALUE) for label, _ in key)


def _render_histogram(
    name: str, labels: Labels, durations: _DurationDistribution
) -> Iterator[str]:
    count = 0
    bounds = (*(f"{bound:g}" for bound in BUCKET_BOUNDS_S), "+Inf")
    for bound, bucket_count in zip(bounds, durations.bucket_counts, strict=True):
        count += bucket_count
        bucket_labels = _render_labels((*labels, ("le", bound)))
        yield f"{name}_bucket{bucket_labels} {count}"
    yield f"{name}_sum{_render_labels(labels)} {durations.sum_s:.6f}"
    yield f"{name}_count{_render_labels(labels)} {count}"


def _summarise_durations(durations: _DurationDistribution) -> dict[str, float]:
    histogram = durations.histogram
    values_us = histogram.get_percentile_to_value_dict(_PERCENTILES)
    summary: dict[str, float] = {
        "count": sum(durations.bucket_counts),
        "sum_ms": round(durations.sum_s * 1_000, 3),
    }
    for percentile in _PERCENTILES:
        summary[f"p{percentile:g}_ms"] = values_us[percentile] / 1_000
    summary["max_ms"] = histogram.get_max_value() / 1_000
    return summary


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = (f'{label}="{_escape_label_value(value)}"' for label, value in labels)
    return "{" + ",".join(pairs) + "}"


def _escape_label_value(value: str) -> str:
    value = value[:_LABEL_MAX_CHARACTERS]
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
