"""Parser of JSON with comments that keeps the source location of every value."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from json_source_map import handle, types

from galenadrum._internal.models.findings import Finding
from galenadrum._internal.settings.comments import (
    UnclosedCommentError,
    blank_comments,
)

_MAX_FILE_BYTES = 32 * 1024 * 1024
# Each level takes two stack frames in the recursive source map parser.
_MAX_NESTING = 100

DocumentPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """Line and column of a character, both counted from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class MemberLocation:
    """Source location of a value and of its key.

    The key's location is that of the value if it isn't a member of an object.
    """

    key: SourceLocation
    value: SourceLocation


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed file.

    Attributes:
        file: Name of the file as given by the user.
        value: Parsed JSON value, or None if the file can't be parsed.
        locations_by_path: Location of every value, by its path in the document.
        findings: Syntax errors, duplicate keys and non-finite numbers.
    """

    file: str
    value: Any
    locations_by_path: dict[DocumentPath, MemberLocation]
    findings: tuple[Finding, ...] = ()

    def build_finding_at_value(self, path: DocumentPath, message: str) -> Finding:
        """Build a finding located at the value at ``path``."""
        return self._build_finding(path, self._nearest_location(path).value, message)

    def build_finding_at_key(self, path: DocumentPath, message: str) -> Finding:
        """Build a finding located at the key of the member at ``path``."""
        return self._build_finding(path, self._nearest_location(path).key, message)

    def build_finding_at_text_path(
        self, prefix: DocumentPath, text: str, message: str
    ) -> Finding:
        """Build a finding from a path in text form.

        Args:
            prefix: Path of the object to which ``text`` is relative.
            text: Path such as ``spec.stages[2]``; if the document doesn't hold
                it, the finding is located at the nearest parent.
            message: Description of the error.
        """
        for path in _list_paths_along(self.value, prefix, text):
            if path in self.locations_by_path:
                place = self.locations_by_path[path].value
                full = _join_paths(format_path(prefix) if prefix else "", text)
                return Finding(self.file, place.line, place.column, full, message)
        return self.build_finding_at_value(prefix, message)

    def _build_finding(
        self, path: DocumentPath, place: SourceLocation, message: str
    ) -> Finding:
        return Finding(self.file, place.line, place.column, format_path(path), message)

    def _nearest_location(self, path: DocumentPath) -> MemberLocation:
        """Return the location of ``path``, or of its nearest parent."""
        for length in range(len(path), -1, -1):
            place = self.locations_by_path.get(path[:length])
            if place is not None:
                return place
        start = SourceLocation(1, 1)
        return MemberLocation(start, start)


def format_path(path: DocumentPath) -> str:
    """Format a path as ``stages[2].name``; the whole document is ``$``.

    An empty key is written as two quotation marks.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            part_text = part or '""'
            text += f".{part_text}" if text else part_text
    return text or "$"


def _join_paths(prefix: str, text: str) -> str:
    return f"{prefix}.{text}" if prefix else text


def _list_paths_along(
    value: Any, prefix: DocumentPath, text: str
) -> Iterator[DocumentPath]:
    """Yield the existing paths along ``text`` below ``prefix``, longest first."""
    paths = [prefix]
    for part in prefix:
        value = value[part]
    remaining_text = text
    while remaining_text:
        part = _match_leading_part(value, remaining_text)
        if part is None:
            break
        value = value[part]
        paths.append((*paths[-1], part))
        remaining_text = remaining_text[len(format_path((part,))) :].removeprefix(".")
    return reversed(paths)


def _match_leading_part(value: Any, text: str) -> str | int | None:
    """Return the member of ``value`` that ``text`` starts with.

    The text is compared with each member instead of being split, because a key
    may contain a dot or a bracket.
    """
    if isinstance(value, dict):
        parts: list[str | int] = sorted(value, key=len, reverse=True)
    elif isinstance(value, list):
        parts = list(range(len(value)))
    else:
        return None
    for part in parts:
        part_text = format_path((part,))
        follows = text[len(part_text) : len(part_text) + 1]
        if text.startswith(part_text) and follows in ("", ".", "["):
            return part
    return None


def read_document(path: Path) -> Document:
    """Read and parse a file; errors are returned as findings of the document.

    Args:
        path: Path of a UTF-8 file of at most 32 MiB.
    """
    try:
        with path.open("rb") as file:
            data = file.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or str(error)
        return _build_unparsed_document(
            str(path), SourceLocation(1, 1), f"can't read the file: {reason}"
        )
    if len(data) > _MAX_FILE_BYTES:
        message = f"the file is larger than {_MAX_FILE_BYTES} bytes; split it"
        return _build_unparsed_document(str(path), SourceLocation(1, 1), message)
    return _decode_document(str(path), data)


def parse_document(file: str, text: str) -> Document:
    """Parse JSON with comments.

    Args:
        file: File name for the findings.
        text: Text of the whole document.
    """
    try:
        json_text = blank_comments(text)
    except UnclosedCommentError as error:
        return _build_unparsed_document(
            file, _locate_character(text, error.position), str(error)
        )
    if not json_text.strip():
        return _build_unparsed_document(
            file, SourceLocation(1, 1), "the file holds no JSON value"
        )
    excess_position = _find_excessive_nesting(json_text)
    if excess_position is not None:
        message = f"nested more than {_MAX_NESTING} levels deep"
        return _build_unparsed_document(
            file, _locate_character(json_text, excess_position), message
        )
    return _parse_json(file, json_text)


def _decode_document(file: str, data: bytes) -> Document:
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = data[: error.start].decode("utf-8-sig", errors="replace")
        place = _locate_character(before, len(before))
        return _build_unparsed_document(
            file, place, "not valid UTF-8; save the file as UTF-8"
        )
    return parse_document(file, text)


def _parse_json(file: str, json_text: str) -> Document:
    try:
        pairs = json.loads(json_text, object_pairs_hook=_MemberPairs)
    except json.JSONDecodeError as error:
        message = f"not valid JSON: {_describe_json_error(json_text, error)}"
        return _build_unparsed_document(
            file, SourceLocation(error.lineno, error.colno), message
        )
    except ValueError as error:
        return _build_unparsed_document(
            file, SourceLocation(1, 1), f"not valid JSON: {error}"
        )
    entries = handle.value(source=json_text, current_location=types.Location(0, 0, 0))
    builder = _DocumentBuilder(file, iter(entry for _, entry in entries))
    value = builder.build((), pairs)
    return Document(file, value, builder.locations_by_path, tuple(builder.findings))


def _describe_json_error(json_text: str, error: json.JSONDecodeError) -> str:
    """Return a hint for a trailing comma, or the parser's own message."""
    before = json_text[: error.pos].rstrip()
    if (
        error.pos < len(json_text)
        and json_text[error.pos] in "]}"
        and before[-1:] == ","
    ):
        return "remove the comma before the closing bracket"
    return error.msg


def _build_unparsed_document(
    file: str, place: SourceLocation, message: str
) -> Document:
    finding = Finding(file, place.line, place.column, "$", message)
    return Document(file, None, {}, (finding,))


def _locate_character(text: str, position: int) -> SourceLocation:
    line = text.count("\n", 0, position) + 1
    column = position - (text.rfind("\n", 0, position) + 1) + 1
    return SourceLocation(line, column)


def _find_excessive_nesting(json_text: str) -> int | None:
    depth = 0
    in_string = False
    escaped = False
    for position, character in enumerate(json_text):
        if in_string:
            in_string = escaped or character != '"'
            escaped = character == "\\" and not escaped
        elif character == '"':
            in_string = True
        elif character in "[{":
            depth += 1
            if depth > _MAX_NESTING:
                return position
        elif character in "]}":
            depth -= 1
    return None


class _MemberPairs(list):
    """Key and value pairs of one JSON object in order, including duplicates."""


class _DocumentBuilder:
    """Assigns the entries of the source map to the parsed values, in order.

    The JSON pointers of the source map aren't used, because they are ambiguous
    for keys that contain a slash and for duplicate keys.
    """

    def __init__(self, file: str, entries: Iterator[types.Entry]) -> None:
        self.locations_by_path: dict[DocumentPath, MemberLocation] = {}
        self.findings: list[Finding] = []
        self._file = file
        self._entries = entries

    def build(self, path: DocumentPath, value: Any) -> Any:
        """Convert ``value`` to plain lists and dictionaries; record locations."""
        place = _locate_member(next(self._entries))
        self.locations_by_path.setdefault(path, place)
        if isinstance(value, _MemberPairs):
            return self._build_object(path, value)
        if isinstance(value, list):
            return [self.build((*path, i), item) for i, item in enumerate(value)]
        if isinstance(value, float) and not math.isfinite(value):
            self._add_finding(path, place.value, "not a finite number")
        return value

    def _build_object(self, path: DocumentPath, pairs: _MemberPairs) -> dict[str, Any]:
        members: dict[str, Any] = {}
        for key, raw in pairs:
            member_path = (*path, key)
            first_place = self.locations_by_path.get(member_path)
            if key not in members or first_place is None:
                members[key] = self.build(member_path, raw)
                continue
            place = self._skip_value(raw).key
            message = f"the key is already used on line {first_place.key.line}"
            self._add_finding(member_path, place, message)
        return members

    def _skip_value(self, value: Any) -> MemberLocation:
        """Consume the source map entries of a duplicate value; return its location."""
        place = _locate_member(next(self._entries))
        if isinstance(value, _MemberPairs):
            for _, member in value:
                self._skip_value(member)
        elif isinstance(value, list):
            for item in value:
                self._skip_value(item)
        return place

    def _add_finding(
        self, path: DocumentPath, place: SourceLocation, message: str
    ) -> None:
        finding = Finding(
            self._file, place.line, place.column, format_path(path), message
        )
        self.findings.append(finding)


def _locate_member(entry: types.Entry) -> MemberLocation:
    value = SourceLocation(entry.value_start.line + 1, entry.value_start.column + 1)
    if entry.key_start is None:
        return MemberLocation(value, value)
    return MemberLocation(
        SourceLocation(entry.key_start.line + 1, entry.key_start.column + 1), value
    )
