"""Logging of the daemons: text on a terminal, JSON lines otherwise.

Records pass through a bounded queue to one writer thread, so that a blocked
standard error can't block the event loop. Records that don't fit in the queue are
dropped, and their number is logged.
"""

from __future__ import annotations

import contextlib
import copy
import json
import logging
import queue
import sys
import threading
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from datetime import UTC, datetime
from typing import Any, TextIO

from galenadrum._internal.models.settings import LogFormat, ObservabilitySettings

_QUEUE_MAX_RECORDS = 10_000
_MESSAGE_MAX_CHARACTERS = 16_384
_STOP_TIMEOUT_S = 2.0
# Libraries that log each call at INFO.
_VERBOSE_LOGGERS = ("grpclib", "urllib3")

_request_id: ContextVar[str] = ContextVar("request_id", default="")
_trace_id: ContextVar[str] = ContextVar("trace_id", default="")
# Shared, since json.dumps builds an encoder on each call that has options.
_encode_json = json.JSONEncoder(ensure_ascii=False).encode
_TRACEBACK_FORMATTER = logging.Formatter()


@contextlib.contextmanager
def log_context(request_id: str, trace_id: str = "") -> Iterator[None]:
    """Add the ids of a request to all records logged inside the block.

    Asyncio tasks created inside the block inherit the ids; a worker thread must
    set them itself.

    Args:
        request_id: Id of the request, as returned to the caller.
        trace_id: Trace id as 32 hex digits, or an empty string.
    """
    request_token = _request_id.set(request_id)
    trace_token = _trace_id.set(trace_id)
    try:
        yield
    finally:
        _trace_id.reset(trace_token)
        _request_id.reset(request_token)


def configure_logging(
    settings: ObservabilitySettings, host_id: str, stream: TextIO | None = None
) -> Callable[[], None]:
    """Write all log records of the process to ``stream``.

    Args:
        settings: Level and format of the records.
        host_id: Id of the host, included in each record.
        stream: Stream to write to; standard error if omitted.

    Returns:
        A function that writes the queued records and stops the writer thread. It
        waits at most two seconds for space in the queue and two for the thread.
    """
    stream = stream or sys.stderr
    writer = _RecordWriter(
        stream, _build_formatter(settings.log_format, host_id, stream)
    )
    handler = _QueueingHandler(writer)
    root = logging.getLogger()
    for previous_handler in list(root.handlers):
        root.removeHandler(previous_handler)
    root.addHandler(handler)
    root.setLevel(settings.log_level)
    if not root.isEnabledFor(logging.DEBUG):
        for name in _VERBOSE_LOGGERS:
            logging.getLogger(name).setLevel(logging.WARNING)

    def stop() -> None:
        root.removeHandler(handler)
        writer.stop()

    return stop


def _build_formatter(
    log_format: LogFormat, host_id: str, stream: TextIO
) -> logging.Formatter:
    if log_format is LogFormat.AUTO:
        log_format = LogFormat.TEXT if stream.isatty() else LogFormat.JSON
    if log_format is LogFormat.TEXT:
        return _TextFormatter(host_id)
    return _JsonFormatter(host_id)


def _add_request_ids(record: logging.LogRecord) -> None:
    """Set the ids of the current request, unless ``extra`` has set them."""
    for name, variable in (("request_id", _request_id), ("trace_id", _trace_id)):
        if not hasattr(record, name):
            setattr(record, name, variable.get())


class _JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": _format_time(record.created),
            "level": record.levelname,
            "logger": record.name,
            "host_id": self._host_id,
            "message": record.getMessage()[:_MESSAGE_MAX_CHARACTERS],
        }
        for name in ("request_id", "trace_id"):
            if value := getattr(record, name, ""):
                line[name] = value
        if event := getattr(record, "event", None):
            line["event"] = event
        if record.exc_text:
            line["exception"] = record.exc_text
        return _encode_json(line)


class _TextFormatter(logging.Formatter):
    """Formats a record as text; control characters in the message are escaped."""

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id

    def format(self, record: logging.LogRecord) -> str:
        message = record.getMessage()[:_MESSAGE_MAX_CHARACTERS]
        parts = [
            _format_time(record.created),
            f"{record.levelname:<7}",
            self._host_id,
            f"{record.name.removeprefix('galenadrum._internal.')}:",
            "".join(c if c.isprintable() else repr(c)[1:-1] for c in message),
        ]
        for name in ("request_id", "trace_id"):
            if value := getattr(record, name, ""):
                parts.append(f"{name}={value}")
        line = " ".join(parts)
        return f"{line}\n{record.exc_text}" if record.exc_text else line


def _format_time(created: float) -> str:
    moment = datetime.fromtimestamp(created, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class _QueueingHandler(logging.Handler):
    """Queues records for the writer thread without blocking."""

    def __init__(self, writer: _RecordWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._writer.put(self._copy_rendered(record))
        except Exception:
            self.handleError(record)

    def _copy_rendered(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return a copy of a record with its message and traceback rendered.

        The arguments may change before the writer thread formats the record.
        """
        rendered = copy.copy(record)
        rendered.msg = record.getMessage()
        rendered.args = None
        if record.exc_info and not record.exc_text:
            rendered.exc_text = _TRACEBACK_FORMATTER.formatException(record.exc_info)
        rendered.exc_info = None
        _add_request_ids(rendered)
        return rendered


class _RecordWriter:
    """Formats and writes queued records in one thread."""

    def __init__(self, stream: TextIO, formatter: logging.Formatter) -> None:
        self._stream = stream
        self._formatter = formatter
        self._queue: queue.Queue[logging.LogRecord | None] = queue.Queue(
            _QUEUE_MAX_RECORDS
        )
        self._lock = threading.Lock()
        self._dropped_count = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def put(self, record: logging.LogRecord) -> None:
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            with self._lock:
                self._dropped_count += 1

    def stop(self) -> None:
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=_STOP_TIMEOUT_S)
            self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        while (record := self._queue.get()) is not None:
            self._report_dropped()
            self._write(record)
        self._report_dropped()

    def _report_dropped(self) -> None:
        with self._lock:
            dropped_count, self._dropped_count = self._dropped_count, 0
        if dropped_count:
            message = (
                f"{dropped_count} log records were dropped: the writer fell behind"
            )
            level = logging.WARNING
            self._write(
                logging.LogRecord(__name__, level, __file__, 0, message, None, None)
            )

    def _write(self, record: logging.LogRecord) -> None:
        # A closed or full standard error must not end the daemon.
        with contextlib.suppress(OSError, ValueError):
            self._stream.write(self._formatter.format(record) + "\n")
            self._stream.flush()
