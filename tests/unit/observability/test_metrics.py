from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.observability import metrics as metrics_module
from galenadrum._internal.observability.metrics import Metrics


class TestCounters:
    def test_counters_are_separate_by_name_and_labels(self):
        metrics = Metrics()
        metrics.increment("refusals_total", reason="deadline")
        metrics.increment("refusals_total", 2, reason="over_share")
        metrics.increment("refusals_total", reason="deadline")
        text = metrics.render_text().splitlines()
        assert 'galenadrum_refusals_total{reason="deadline"} 2' in text
        assert 'galenadrum_refusals_total{reason="over_share"} 2' in text

    def test_excess_series_are_counted_as_other(self, monkeypatch):
        monkeypatch.setattr(metrics_module, "_COUNTER_SERIES_MAX", 3)
        metrics = Metrics()
        for number in range(10):
            metrics.increment("requests_total", pipeline=f"p{number}")
        metrics.increment("requests_total", pipeline="p0")
        counters = metrics.snapshot()["counters"]
        values = {c["labels"]["pipeline"]: c["value"] for c in counters}
        assert values == {"p0": 2, "p1": 1, "p2": 1, "other": 7}

    def test_escaped_label_values_cannot_inject_lines(self):
        metrics = Metrics()
        metrics.increment("requests_total", pipeline='a"} 7\nforged 1')
        lines = metrics.render_text().splitlines()
        assert lines[1:] == [
            'galenadrum_requests_total{pipeline="a\\"} 7\\nforged 1"} 1'
        ]


class TestGauges:
    def test_gauges_are_read_when_rendered(self):
        metrics, level = Metrics(), [1]
        metrics.register_gauge("requests_in_flight", lambda: level[0])
        level[0] = 5
        assert "galenadrum_requests_in_flight 5" in metrics.render_text().splitlines()


class TestDurations:
    @given(st.lists(st.floats(0.0, 700.0), min_size=1, max_size=60))
    def test_buckets_are_exact_and_quantiles_have_two_digits(self, values):
        metrics = Metrics()
        for value in values:
            metrics.record_duration("stage_seconds", value, stage="encode")
        (summary,) = metrics.snapshot()["durations"]
        ordered_ms = sorted(min(max(v, 1e-6), 600.0) * 1_000 for v in values)
        assert summary["count"] == len(values)
        assert abs(summary["max_ms"] - ordered_ms[-1]) <= 0.01 * ordered_ms[-1] + 0.001
        median = ordered_ms[max((len(values) + 1) // 2 - 1, 0)]
        assert abs(summary["p50_ms"] - median) <= 0.01 * median + 0.002
        for line in metrics.render_text().splitlines():
            if "_bucket" not in line:
                continue
            bound = float(line.split('le="')[1].split('"')[0])
            assert int(line.split()[-1]) == sum(v <= bound for v in values)
