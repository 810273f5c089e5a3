import io
import json
import logging
import threading

import pytest

from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings
from galenadrum._internal.observability import logs
from galenadrum._internal.observability.logs import configure_logging, log_context

logger = logging.getLogger("galenadrum._internal.entry.test")


@pytest.fixture
def start_logging():
    """Configure logging for a test and restore the handlers of pytest after it."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level

    def configure(stream, log_format=LogFormat.AUTO):
        return configure_logging(
            ObservabilitySettings(log_format=log_format), "nadi-1", stream
        )

    yield configure
    root.handlers[:] = handlers
    root.setLevel(level)


class _Terminal(io.StringIO):
    def isatty(self):
        return True


class _BlockedStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return super().write(text)


class TestJsonLines:
    def test_records_contain_request_and_trace_ids(self, start_logging):
        stream = io.StringIO()
        stop = start_logging(stream)
        with log_context("r1", "t1"):
            logger.info("inside %s", "one\nline")
            with log_context("r2"):
                logger.info("nested")
        logger.info("outside", extra={"request_id": "r3"})
        stop()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert [line["message"] for line in lines] == [
            "inside one\nline",
            "nested",
            "outside",
        ]
        assert [line.get("request_id") for line in lines] == ["r1", "r2", "r3"]
        assert [line.get("trace_id") for line in lines] == ["t1", None, None]
        assert {line["host_id"] for line in lines} == {"nadi-1"}

    def test_exception_is_written_on_one_line_with_traceback(self, start_logging):
        stream = io.StringIO()
        stop = start_logging(stream)
        try:
            raise ValueError("broken")
        except ValueError:
            logger.exception("failed")
        stop()
        (line,) = stream.getvalue().splitlines()
        assert "ValueError: broken" in json.loads(line)["exception"]


class TestText:
    def test_terminal_text_escapes_control_characters(self, start_logging):
        stream = _Terminal()
        stop = start_logging(stream)
        with log_context("r1"):
            logger.warning("from \x1b[31m caller\nforged line")
        stop()
        (line,) = stream.getvalue().splitlines()
        assert "entry.test: from \\x1b[31m caller\\nforged line request_id=r1" in line


class TestQueueLimit:
    def test_blocked_stream_doesnt_block_logging_and_drops_are_counted(
        self, start_logging, monkeypatch
    ):
        monkeypatch.setattr(logs, "_QUEUE_MAX_RECORDS", 3)
        stream = _BlockedStream()
        stop = start_logging(stream)
        for number in range(20):
            logger.info("record %d", number)
        stream.released.set()
        stop()
        messages = [json.loads(m)["message"] for m in stream.getvalue().splitlines()]
        written = [m for m in messages if m.startswith("record")]
        (report,) = [m for m in messages if "dropped" in m]
        assert len(written) + int(report.split()[0]) == 20
        assert len(written) <= 5
