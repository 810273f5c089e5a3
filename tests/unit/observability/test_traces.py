import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.models.settings import ObservabilitySettings
from galenadrum._internal.observability.trace_tree import (
    group_by_trace,
    parse_span,
    read_spans,
    render_tree,
)
from galenadrum._internal.observability.traces import (
    configure_tracing,
    end_span,
    format_trace_id,
    format_traceparent,
    start_span,
)

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@pytest.fixture
def trace_file(tmp_path):
    return tmp_path / "traces.jsonl"


class TestSpans:
    def test_spans_form_a_tree_below_callers_span(self, trace_file):
        stop = configure_tracing(ObservabilitySettings(trace_file=trace_file), "nadi-1")
        request = start_span("request", CALLER_TRACEPARENT, {"pipeline": "plan"})
        for stage in ("encode", "generate"):
            span = start_span(f"stage {stage}", format_traceparent(request))
            end_span(span, None if stage == "encode" else "truncated stream")
        end_span(request)
        other = start_span("request", "00-malformed")
        end_span(other)
        stop()
        spans_by_trace = group_by_trace(read_spans(trace_file))
        assert list(spans_by_trace) == [
            CALLER_TRACEPARENT.split("-")[1],
            format_trace_id(other),
        ]
        root, first, second = render_tree(
            spans_by_trace[CALLER_TRACEPARENT.split("-")[1]]
        )
        assert "ms  request on nadi-1 pipeline=plan" in root
        assert "ms    stage encode" in first
        assert second.endswith("stage generate on nadi-1 FAILED: truncated stream")

    def test_trace_id_is_propagated_without_trace_file(self):
        configure_tracing(ObservabilitySettings(), "nadi-1")
        assert (
            format_traceparent(start_span("request", CALLER_TRACEPARENT))
            == CALLER_TRACEPARENT
        )
        first, second = start_span("request"), start_span("request")
        assert format_trace_id(first) != format_trace_id(second)
        inner = start_span("stage", format_traceparent(first))
        assert format_trace_id(inner) == format_trace_id(first)

    @pytest.mark.parametrize(("percent", "recorded"), [(0, 1), (100, 2)])
    def test_callers_sampling_decision_overrides_trace_percent(
        self, trace_file, percent, recorded
    ):
        settings = ObservabilitySettings(trace_file=trace_file, trace_percent=percent)
        stop = configure_tracing(settings, "nadi-1")
        for parent in (
            CALLER_TRACEPARENT,
            None,
            CALLER_TRACEPARENT.removesuffix("01") + "00",
        ):
            end_span(start_span("request", parent))
        stop()
        assert len(list(read_spans(trace_file))) == recorded

    def test_current_and_rotated_file_stay_within_size_limit(self, trace_file):
        settings = ObservabilitySettings(trace_file=trace_file)
        for _ in range(8):
            # Each run writes one batch of less than 5,000 bytes.
            stop = configure_tracing(settings, "nadi-1", file_max_bytes=8_000)
            for _ in range(10):
                end_span(start_span("request"))
            stop()
        sizes = [path.stat().st_size for path in trace_file.parent.iterdir()]
        assert len(sizes) == 2
        assert max(sizes) <= 8_000
        # The ten spans of the last run are kept.
        recorded_count = sum(1 for _ in read_spans(trace_file))
        assert recorded_count >= 10

    def test_unwritable_trace_file_is_logged_without_raising(self, tmp_path, caplog):
        settings = ObservabilitySettings(trace_file=tmp_path / "none" / "t.jsonl")
        stop = configure_tracing(settings, "nadi-1")
        end_span(start_span("request"))
        stop()
        assert "can't write spans" in caplog.text


class TestTraceTree:
    @given(st.lists(st.integers(0, 12), max_size=12), st.randoms())
    def test_each_span_is_rendered_once_below_its_parent(self, parents, random):
        lines = [
            {
                "trace_id": "t",
                "span_id": str(number + 1),
                "parent_id": str(parent) if parent <= number else None,
                "name": f"n{number + 1}",
                "host_id": "h",
                "start_ns": random.randrange(1000),
                "duration_ns": 1,
            }
            for number, parent in enumerate(parents)
        ]
        spans = [parse_span(json.dumps(line)) for line in lines]
        random.shuffle(spans)
        tree = render_tree(spans)
        depth_by_name, path = {}, []
        for line in tree:
            text = line.split("ms")[-1][2:]
            depth = (len(text) - len(text.lstrip())) // 2
            name = text.split()[0]
            depth_by_name[name] = depth
            path[depth:] = [name]
            record = next(s for s in spans if s.name == name)
            if depth:
                assert path[depth - 1] == f"n{record.parent_id}"
        assert len(tree) == len(spans) == len(depth_by_name)
