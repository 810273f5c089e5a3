"""Reports of a period from the logs of hosts."""

import json
import logging
from io import StringIO

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.cli import status_codes
from galenadrum._internal.cli.main import run
from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings
from galenadrum._internal.observability.events import (
    RequestOutcome,
    build_host_event,
    build_request_event,
    build_server_event,
    classify_outcome,
)
from galenadrum._internal.observability.logs import configure_logging
from galenadrum._internal.reporting.log_lines import ReadCounts, read_events


def build_line(at_s, event=None, host_id="entry-a"):
    line = {
        "time": f"2026-12-04T10:00:{at_s:06.3f}Z",
        "level": "INFO",
        "logger": "x",
        "host_id": host_id,
        "message": "request ended",
    }
    if event:
        line["event"] = event
    return json.dumps(line)


def build_day():
    served, late = RequestOutcome.SERVED, RequestOutcome.LATE
    refused = RequestOutcome.REFUSED
    return [
        build_line(0.0, build_host_event("started")),
        build_line(1.2, build_request_event("plan", "a", served, 200, 0.3)),
        build_line(1.4, build_request_event("plan", "b", late, 200, 2.3)),
        build_line(
            2.0, build_request_event("note", "a", refused, 503, 0.0, "overloaded")
        ),
        build_line(2.5, build_server_event("g-1", "generate", "silent"), "control-a"),
        build_line(2.7, build_server_event("g-1", "generate", "silent"), "control-b"),
        build_line(3.0),
    ]


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "day.log"
    path.write_text("\n".join(build_day()) + "\n")
    return path


def report_json(capsys, *arguments):
    assert run(["report", *map(str, arguments), "-o", "json"]) == status_codes.SUCCESS
    return json.loads(capsys.readouterr().out)


class TestFigures:
    def test_requests_are_counted_by_second_zone_and_route(self, log_file, capsys):
        figures = report_json(capsys, log_file)
        assert figures["totals"] == {"served": 1, "late": 1, "refused": 1}
        assert figures["by_second"] == {
            "1": {"served": 1, "late": 1},
            "2": {"refused": 1},
        }
        assert figures["by_zone"]["b"] == {"late": 1}
        assert figures["by_route"]["note"] == {"refused": 1}
        assert figures["refusals_by_reason"] == {"overloaded": 1}

    def test_change_that_several_hosts_log_is_listed_once(self, log_file, capsys):
        changes = report_json(capsys, log_file)["changes"]
        assert [(c["subject"], c["change"]) for c in changes] == [
            ("entry-a", "started"),
            ("g-1", "silent"),
        ]

    def test_period_is_cut_out(self, log_file, capsys):
        figures = report_json(
            capsys,
            log_file,
            "--since",
            "2026-12-04T10:00:01.300Z",
            "--until",
            "2026-12-04T10:00:02",
        )
        assert figures["totals"] == {"late": 1}
        assert figures["by_second"] == {"0": {"late": 1}}


class TestBadInput:
    def test_foreign_lines_are_counted_and_named(self, log_file, capsys):
        with log_file.open("a") as file:
            file.write("Traceback (most recent call last):\n[1]\n")
        assert run(["report", str(log_file), "-o", "json"]) == status_codes.SUCCESS
        out, err = capsys.readouterr()
        assert json.loads(out)["foreign_lines"] == 2
        assert f"{log_file}:8" in err
        assert f"{log_file}:9" in err

    def test_empty_period_names_the_times_of_the_files(self, log_file, capsys):
        code = run(["report", str(log_file), "--since", "2027-01-01T00:00:00Z"])
        assert code == status_codes.FINDINGS
        err = capsys.readouterr().err
        assert "2026-12-04T10:00:00+00:00 to 2026-12-04T10:00:03+00:00" in err

    def test_file_without_log_lines_says_what_was_expected(self, tmp_path, capsys):
        path = tmp_path / "other.log"
        path.write_text("hello\n")
        assert run(["report", str(path)]) == status_codes.FINDINGS
        assert "`time`, `host_id` and `message`" in capsys.readouterr().err

    def test_unreadable_time_is_a_usage_error(self, log_file, capsys):
        code = run(["report", str(log_file), "--since", "noon"])
        assert code == status_codes.USAGE
        assert "'noon' is no time" in capsys.readouterr().err

    @given(st.binary(max_size=200))
    def test_any_bytes_are_read(self, tmp_path_factory, data):
        path = tmp_path_factory.mktemp("log") / "any.log"
        path.write_bytes(data)
        counts = ReadCounts()
        assert list(read_events([path], counts)) == []
        assert counts.foreign_lines == counts.lines


class TestPage:
    def test_page_stands_alone(self, log_file, tmp_path):
        page = tmp_path / "day.html"
        assert run(["report", str(log_file), "--write-to", str(page)]) == 0
        text = page.read_text()
        assert text.count("<svg") == 3
        assert "<script" not in text
        assert "src=" not in text
        assert "overloaded" in text

    def test_names_are_escaped(self, tmp_path, capsys):
        path = tmp_path / "day.log"
        event = build_request_event(
            "<b>", "a", RequestOutcome.REFUSED, 503, 0.0, "<script>"
        )
        path.write_text(build_line(0.0, event) + "\n")
        assert run(["report", str(path)]) == 0
        out = capsys.readouterr().out
        assert "<b>" not in out
        assert "<script" not in out


class TestOutcome:
    @pytest.mark.parametrize(
        ("status", "is_complete", "is_gone", "is_in_time", "outcome"),
        [
            (200, True, False, True, "served"),
            (200, True, False, False, "late"),
            (200, False, False, True, "failed"),
            (200, False, True, True, "left"),
            (503, True, False, True, "refused"),
            (502, True, False, True, "failed"),
            (404, True, False, True, "denied"),
            (0, False, False, True, "failed"),
        ],
    )
    def test_outcome_of_a_response(
        self, status, is_complete, is_gone, is_in_time, outcome
    ):
        assert classify_outcome(status, is_complete, is_gone, is_in_time) == outcome


class TestLogLine:
    def test_event_is_a_field_of_its_own(self):
        stream = StringIO()
        stop = configure_logging(
            ObservabilitySettings(log_format=LogFormat.JSON), "entry-a", stream
        )
        logging.getLogger("x").info("m", extra={"event": build_host_event("started")})
        stop()
        line = json.loads(stream.getvalue())
        assert line["event"] == {"kind": "host_changed", "change": "started"}
