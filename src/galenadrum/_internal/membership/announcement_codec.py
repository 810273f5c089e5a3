"""JSON codec for the announcements that backend servers send over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)

MAX_BODY_BYTES = 256 * 1024
# Longer contents aren't kept in memory for comparison with the next renewal.
_MAX_RENEWAL_CONTENT_CHARACTERS = 8 * 1024
_REQUIRED = object()


def parse_announcement(body: bytes) -> Announcement:
    """Parse the body of ``POST /v1/announcements``.

    Raises:
        CheckFailedError: The body is malformed; the error holds all findings.
    """
    reader = _Reader()
    document = _parse_object(body, reader)
    announcement = _read_announcement(document, reader)
    if reader.findings:
        raise CheckFailedError(tuple(reader.findings))
    return announcement


@dataclass(frozen=True, slots=True)
class RenewalBody:
    """An announcement body without cache events, split for comparison.

    A body renews an earlier one of its server when their contents are equal.

    Attributes:
        content: Text of all members except sequence and load. Text is compared
            because Python treats values such as 1 and true as equal.
    """

    server_id: str
    content: str
    sequence: int
    load: LoadReport | None


def parse_renewal(body: bytes) -> RenewalBody | None:
    """Split the body of an announcement into its content, sequence and load.

    Returns:
        None if the body can't be compared and has to be parsed whole.
    """
    reader = _Reader()
    try:
        document = _parse_object(body, reader)
    except CheckFailedError:
        return None
    sequence = reader.read_member(document, "", "sequence", reader.count)
    load = reader.read_member(document, "", "load", reader.load, None)
    server_id = document.get("server_id")
    if reader.findings or not isinstance(server_id, str):
        return None
    if document.pop("cache_events", []) != []:
        return None
    del document["sequence"]
    document.pop("load", None)
    try:
        content = repr(document)
    except RecursionError:
        return None
    if len(content) > _MAX_RENEWAL_CONTENT_CHARACTERS:
        return None
    return RenewalBody(server_id, content, sequence, load)


def dump_announcement(announcement: Announcement) -> bytes:
    """Return the JSON body that ``parse_announcement`` reads back."""
    load = announcement.load
    document = {
        "server_id": announcement.server_id,
        "incarnation": announcement.incarnation,
        "sequence": announcement.sequence,
        "address": announcement.address,
        "zone": announcement.zone,
        "stages": announcement.stages,
        "capacity": announcement.capacity,
        "ttl_s": announcement.ttl_s,
        "state": announcement.state,
        "model_versions": announcement.model_versions,
        "adapters": announcement.adapters,
        "role": announcement.role,
        "checks_fencing": announcement.checks_fencing,
        "checks_orderer": announcement.checks_orderer,
        "load": None
        if load is None
        else {"running": load.running, "queued": load.queued, "age_s": load.age_s},
        "cache_events": [
            {
                "sequence": event.sequence,
                "stored": event.stored,
                "evicted": event.evicted,
            }
            for event in announcement.cache_events
        ],
    }
    if announcement.checks_fencing is None:
        del document["checks_fencing"]
    return json.dumps(document, separators=(",", ":")).encode()


class _Reader:
    """Reads typed members of JSON objects and collects findings.

    A method named after a type returns a value of that type; for an invalid value
    it reports a finding and returns a placeholder.
    """

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def report(self, path: str, message: str) -> None:
        self.findings.append(Finding("", 0, 0, path, message))

    def read_member(
        self,
        document: dict[str, Any],
        path: str,
        name: str,
        read: Callable[[Any, str], Any],
        default: Any = _REQUIRED,
    ) -> Any:
        """Read one member; reports a finding if it is required and missing."""
        full_path = f"{path}.{name}" if path else name
        if name not in document:
            if default is _REQUIRED:
                self.report(full_path, "is missing")
                return None
            return default
        return read(document[name], full_path)

    def check_names(self, document: dict[str, Any], path: str, names: set[str]) -> None:
        for name in sorted(set(document) - names):
            self.report(f"{path}.{name}" if path else name, "is not known")

    def text(self, value: Any, path: str) -> str:
        if not isinstance(value, str):
            self.report(path, "must be a string")
            return ""
        return value

    def count(self, value: Any, path: str) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            self.report(path, "must be a whole number, 0 or more")
            return 0
        return value

    def seconds(self, value: Any, path: str) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.report(path, "must be a number of seconds")
            return 0.0
        # The bound also rejects integers that are too large for a float.
        if not 0 <= value <= 1e9:
            self.report(path, "must be from 0 to 1e9 seconds")
            return 0.0
        return float(value)

    def flag(self, value: Any, path: str) -> bool:
        if not isinstance(value, bool):
            self.report(path, "must be true or false")
            return False
        return value

    def items(
        self, value: Any, path: str, read: Callable[[Any, str], Any]
    ) -> tuple[Any, ...]:
        if not isinstance(value, list):
            self.report(path, "must be a list")
            return ()
        return tuple(read(item, f"{path}[{i}]") for i, item in enumerate(value))

    def texts(self, value: Any, path: str) -> tuple[str, ...]:
        return self.items(value, path, self.text)

    def pair(self, value: Any, path: str) -> tuple[str, str]:
        if not isinstance(value, list) or len(value) != 2:
            self.report(path, "must be a list of a model name and a version")
            return ("", "")
        return (self.text(value[0], f"{path}[0]"), self.text(value[1], f"{path}[1]"))

    def pairs(self, value: Any, path: str) -> tuple[tuple[str, str], ...]:
        return self.items(value, path, self.pair)

    def state(self, value: Any, path: str) -> ServerState:
        try:
            return ServerState(value)
        except ValueError:
            self.report(path, "must be serving or leaving")
            return ServerState.SERVING

    def load(self, value: Any, path: str) -> LoadReport | None:
        if value is None:
            return None
        if not isinstance(value, dict):
            self.report(path, "must be an object or null")
            return None
        self.check_names(value, path, {"running", "queued", "age_s"})
        return LoadReport(
            running=self.read_member(value, path, "running", self.count),
            queued=self.read_member(value, path, "queued", self.count),
            age_s=self.read_member(value, path, "age_s", self.seconds, 0.0),
        )

    def cache_event(self, value: Any, path: str) -> CacheEvent | None:
        if not isinstance(value, dict):
            self.report(path, "must be an object")
            return None
        self.check_names(value, path, {"sequence", "stored", "evicted"})
        return CacheEvent(
            sequence=self.read_member(value, path, "sequence", self.count),
            stored=self.read_member(value, path, "stored", self.texts, ()),
            evicted=self.read_member(value, path, "evicted", self.texts, ()),
        )

    def cache_events(self, value: Any, path: str) -> tuple[CacheEvent, ...]:
        return self.items(value, path, self.cache_event)


def _parse_object(body: bytes, reader: _Reader) -> dict[str, Any]:
    if len(body) > MAX_BODY_BYTES:
        reader.report("", f"the body is larger than {MAX_BODY_BYTES} bytes")
    else:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            reader.report("", f"the body is not JSON: {error}")
        else:
            if isinstance(document, dict):
                return document
            reader.report("", "the body must be a JSON object")
    raise CheckFailedError(tuple(reader.findings))


def _read_announcement(document: dict[str, Any], reader: _Reader) -> Announcement:
    readers: dict[str, tuple[Callable[[Any, str], Any], Any]] = {
        "server_id": (reader.text, _REQUIRED),
        "incarnation": (reader.count, _REQUIRED),
        "sequence": (reader.count, _REQUIRED),
        "address": (reader.text, _REQUIRED),
        "zone": (reader.text, _REQUIRED),
        "stages": (reader.texts, _REQUIRED),
        "capacity": (reader.count, _REQUIRED),
        "ttl_s": (reader.seconds, _REQUIRED),
        "state": (reader.state, ServerState.SERVING),
        "model_versions": (reader.pairs, ()),
        "adapters": (reader.texts, ()),
        "role": (reader.text, "both"),
        "checks_fencing": (reader.flag, None),
        "checks_orderer": (reader.flag, False),
        "load": (reader.load, None),
        "cache_events": (reader.cache_events, ()),
    }
    reader.check_names(document, "", set(readers))
    values = {
        name: reader.read_member(document, "", name, read, default)
        for name, (read, default) in readers.items()
    }
    return Announcement(**values)
