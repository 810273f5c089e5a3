"""Reading of JSON with comments, with the place of every member."""

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
# Each level takes two frames of the source map's recursion.
_MAX_NESTING = 100

DocumentPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Place:
    """Line and column of a character, both from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class MemberPlace:
    """Where a value stands, and its key when it is a member of an object."""

    key: Place
    value: Place


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed file.

    Attributes:
        file: Name of the file as the user gave it.
        value: The parsed JSON value, None when the file can't be parsed.
        places_by_path: Place of every value, by its path in the document.
        findings: Syntax errors, duplicate keys and numbers JSON doesn't have.
    """

    file: str
    value: Any
    places_by_path: dict[DocumentPath, MemberPlace]
    findings: tuple[Finding, ...] = ()

    def find_at_value(self, path: DocumentPath, message: str) -> Finding:
        """Build a finding that points at the value at ``path``."""
        return self._find(path, self._nearest(path).value, message)

    def find_at_key(self, path: DocumentPath, message: str) -> Finding:
        """Build a finding that points at the key of the member at ``path``."""
        return self._find(path, self._nearest(path).key, message)

    def find_at_text_path(
        self, prefix: DocumentPath, text: str, message: str
    ) -> Finding:
        """Build a finding from a path that is already written as text.

        Args:
            prefix: Path of the object that ``text`` starts from.
            text: Such as ``spec.stages[2]``; its nearest present part is used
                when it doesn't stand in the document.
            message: What is wrong.
        """
        for path in _paths_along(self.value, prefix, text):
            if path in self.places_by_path:
                place = self.places_by_path[path].value
                full = _join_text(format_path(prefix) if prefix else "", text)
                return Finding(self.file, place.line, place.column, full, message)
        return self.find_at_value(prefix, message)

    def _find(self, path: DocumentPath, place: Place, message: str) -> Finding:
        return Finding(self.file, place.line, place.column, format_path(path), message)

    def _nearest(self, path: DocumentPath) -> MemberPlace:
        """Return the place of ``path``, or of the object that should hold it."""
        for length in range(len(path), -1, -1):
            place = self.places_by_path.get(path[:length])
            if place is not None:
                return place
        start = Place(1, 1)
        return MemberPlace(start, start)


def format_path(path: DocumentPath) -> str:
    """Write a path as ``stages[2].name``; the whole document is ``$``.

    An empty key is written as two quotation marks.
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            written = part or '""'
            text += f".{written}" if text else written
    return text or "$"


def _join_text(prefix: str, text: str) -> str:
    return f"{prefix}.{text}" if prefix else text


def _paths_along(value: Any, prefix: DocumentPath, text: str) -> Iterator[DocumentPath]:
    """Yield the paths that ``text`` passes through, the longest first."""
    paths = [prefix]
    for part in prefix:
        value = value[part]
    rest = text
    while rest:
        part = _leading_part(value, rest)
        if part is None:
            break
        value = value[part]
        paths.append((*paths[-1], part))
        rest = rest[len(format_path((part,))) :].removeprefix(".")
    return reversed(paths)


def _leading_part(value: Any, text: str) -> str | int | None:
    """Return the member of ``value`` that ``text`` starts with.

    The members are asked, since a key may itself hold a dot or a bracket.
    """
    if isinstance(value, dict):
        parts: list[str | int] = sorted(value, key=len, reverse=True)
    elif isinstance(value, list):
        parts = list(range(len(value)))
    else:
        return None
    for part in parts:
        written = format_path((part,))
        follows = text[len(written) : len(written) + 1]
        if text.startswith(written) and follows in ("", ".", "["):
            return part
    return None


def read_document(path: Path) -> Document:
    """Read and parse a file; what is wrong with it is in its findings.

    Args:
        path: A file in UTF-8, of at most 32 MiB.
    """
    try:
        with path.open("rb") as file:
            data = file.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or str(error)
        return _unreadable(str(path), Place(1, 1), f"can't read the file: {reason}")
    if len(data) > _MAX_FILE_BYTES:
        message = f"the file is larger than {_MAX_FILE_BYTES} bytes; split it"
        return _unreadable(str(path), Place(1, 1), message)
    return _decode_document(str(path), data)


def parse_document(file: str, text: str) -> Document:
    """Parse JSON with comments.

    Args:
        file: Name that the findings carry.
        text: The whole document.
    """
    try:
        plain = blank_comments(text)
    except UnclosedCommentError as error:
        return _unreadable(file, _place_of(text, error.position), str(error))
    if not plain.strip():
        return _unreadable(file, Place(1, 1), "the file holds no JSON value")
    deep = _find_deep_nesting(plain)
    if deep is not None:
        message = f"nested more than {_MAX_NESTING} levels deep"
        return _unreadable(file, _place_of(plain, deep), message)
    return _parse_plain(file, plain)


def _decode_document(file: str, data: bytes) -> Document:
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = data[: error.start].decode("utf-8-sig", errors="replace")
        place = _place_of(before, len(before))
        return _unreadable(file, place, "not valid UTF-8; save the file as UTF-8")
    return parse_document(file, text)


def _parse_plain(file: str, plain: str) -> Document:
    try:
        pairs = json.loads(plain, object_pairs_hook=_Pairs)
    except json.JSONDecodeError as error:
        message = f"not valid JSON: {_explain(plain, error)}"
        return _unreadable(file, Place(error.lineno, error.colno), message)
    except ValueError as error:
        return _unreadable(file, Place(1, 1), f"not valid JSON: {error}")
    entries = handle.value(source=plain, current_location=types.Location(0, 0, 0))
    builder = _Builder(file, iter(entry for _, entry in entries))
    value = builder.build((), pairs)
    return Document(file, value, builder.places_by_path, tuple(builder.findings))


def _explain(plain: str, error: json.JSONDecodeError) -> str:
    """Add a hint to the parser's message for the most common mistake."""
    before = plain[: error.pos].rstrip()
    if error.pos < len(plain) and plain[error.pos] in "]}" and before[-1:] == ",":
        return "remove the comma before the closing bracket"
    return error.msg


def _unreadable(file: str, place: Place, message: str) -> Document:
    finding = Finding(file, place.line, place.column, "$", message)
    return Document(file, None, {}, (finding,))


def _place_of(text: str, position: int) -> Place:
    line = text.count("\n", 0, position) + 1
    column = position - (text.rfind("\n", 0, position) + 1) + 1
    return Place(line, column)


def _find_deep_nesting(plain: str) -> int | None:
    depth = 0
    in_string = False
    escaped = False
    for position, character in enumerate(plain):
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


class _Pairs(list):
    """The members of one JSON object in order, duplicates included."""


class _Builder:
    """Joins parsed values with the source map, which lists them in order.

    The source map's own pointers aren't used: they don't tell a key that
    holds a slash from two keys, nor duplicate keys from each other.
    """

    def __init__(self, file: str, entries: Iterator[types.Entry]) -> None:
        self.places_by_path: dict[DocumentPath, MemberPlace] = {}
        self.findings: list[Finding] = []
        self._file = file
        self._entries = entries

    def build(self, path: DocumentPath, value: Any) -> Any:
        place = _member_place(next(self._entries))
        self.places_by_path.setdefault(path, place)
        if isinstance(value, _Pairs):
            return self._build_object(path, value)
        if isinstance(value, list):
            return [self.build((*path, i), item) for i, item in enumerate(value)]
        if isinstance(value, float) and not math.isfinite(value):
            self._add(path, place.value, "not a finite number")
        return value

    def _build_object(self, path: DocumentPath, pairs: _Pairs) -> dict[str, Any]:
        members: dict[str, Any] = {}
        for key, raw in pairs:
            member_path = (*path, key)
            first = self.places_by_path.get(member_path)
            if key not in members or first is None:
                members[key] = self.build(member_path, raw)
                continue
            place = self._skip(raw).key
            message = f"the key is already used on line {first.key.line}"
            self._add(member_path, place, message)
        return members

    def _skip(self, value: Any) -> MemberPlace:
        """Consume the entries of a duplicate's value; return its place."""
        place = _member_place(next(self._entries))
        if isinstance(value, _Pairs):
            for _, member in value:
                self._skip(member)
        elif isinstance(value, list):
            for item in value:
                self._skip(item)
        return place

    def _add(self, path: DocumentPath, place: Place, message: str) -> None:
        finding = Finding(
            self._file, place.line, place.column, format_path(path), message
        )
        self.findings.append(finding)


def _member_place(entry: types.Entry) -> MemberPlace:
    value = Place(entry.value_start.line + 1, entry.value_start.column + 1)
    if entry.key_start is None:
        return MemberPlace(value, value)
    return MemberPlace(
        Place(entry.key_start.line + 1, entry.key_start.column + 1), value
    )
