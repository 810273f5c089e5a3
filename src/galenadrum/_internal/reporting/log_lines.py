"""Reads the events in the log files of hosts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

# Foreign lines that are named one by one; the others are only counted.
_MAX_NAMED_LINES = 20
_FIELDS = ("time", "host_id", "message")


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event in a log line.

    Attributes:
        at: Unix time in seconds.
        host_id: Host that logged it.
        message: Text of the line.
        fields: Fields of the event.
    """

    at: float
    host_id: str
    message: str
    fields: dict[str, object]


@dataclass(slots=True)
class ReadCounts:
    """What was found in log files.

    Attributes:
        lines: Number of all lines.
        foreign_lines: Number of lines that no daemon has logged.
        named_lines: File and number of the first of them.
        first_at: Unix time in seconds of the earliest line; None if there is none.
        last_at: Unix time in seconds of the latest line; None if there is none.
    """

    lines: int = 0
    foreign_lines: int = 0
    named_lines: list[str] = field(default_factory=list)
    first_at: float | None = None
    last_at: float | None = None

    def record_foreign_line(self, path: Path, number: int) -> None:
        """Count a line that no daemon has logged, and name the first ones."""
        self.foreign_lines += 1
        if len(self.named_lines) < _MAX_NAMED_LINES:
            self.named_lines.append(f"{path}:{number}")

    def record_time(self, at: float) -> None:
        """Widen the time that the lines cover."""
        self.first_at = at if self.first_at is None else min(self.first_at, at)
        self.last_at = at if self.last_at is None else max(self.last_at, at)


def read_events(paths: Iterable[Path], counts: ReadCounts) -> Iterator[LoggedEvent]:
    """Yield the events in log files, in the order of each file.

    Args:
        paths: Log files of JSON lines.
        counts: Receives the numbers of lines, and the lines that aren't ours.

    Raises:
        OSError: A file can't be read.
    """
    for path in paths:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                counts.lines += 1
                record = _parse_record(line)
                if record is None:
                    counts.record_foreign_line(path, number)
                    continue
                at, values = record
                counts.record_time(at)
                fields = values.get("event")
                if isinstance(fields, dict):
                    yield LoggedEvent(
                        at, str(values["host_id"]), str(values["message"]), fields
                    )


def _parse_record(line: bytes) -> tuple[float, dict] | None:
    """Return the time and the fields of a log line, None if it isn't ours."""
    try:
        values = json.loads(line)
        if not all(name in values for name in _FIELDS):
            return None
        return datetime.fromisoformat(values["time"]).timestamp(), values
    except (ValueError, TypeError, RecursionError):
        return None
