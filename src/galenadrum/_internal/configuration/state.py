"""Replicated state machine that holds the routing document and the evacuations.

The document is stored as the operator sent it, so that a read returns exactly what
was accepted. The state machine compares versions and doesn't parse the document.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from galenadrum._internal.configuration import version_zero
from galenadrum._internal.configuration.evacuations import (
    build_records,
    decode_change,
    decode_records,
    encode_change,
    encode_records,
    find_evacuations,
    split_snapshot,
)
from galenadrum._internal.configuration.versions import NO_VERSION
from galenadrum._internal.exceptions import InvariantError, StorageError
from galenadrum._internal.models.evacuations import Evacuation

logger = logging.getLogger(__name__)

_VERSION_HEADER = struct.Struct(">Q")
_ACCEPTED = b"\x01"
_SUPERSEDED = b"\x00"
# Documents are repetitive; higher levels hardly reduce their size further.
_COMPRESSION_LEVEL = 3
# Header of everything but a document of a higher version, which builds before can read.
_ZERO_HEADER = _VERSION_HEADER.pack(0)


@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A routing document and its version.

    Attributes:
        compressed: Bytes of the document in zlib format.
    """

    version: int
    compressed: bytes

    @classmethod
    def from_bytes(cls, version: int, document: bytes) -> VersionedDocument:
        """Compress a document."""
        return cls(version, zlib.compress(document, _COMPRESSION_LEVEL))

    def document(self) -> bytes:
        """Return the document as the operator sent it."""
        return zlib.decompress(self.compressed)

    def to_command(self) -> bytes:
        """Return the log command that replaces an older document with this one."""
        if self.version == 0:
            return _ZERO_HEADER + version_zero.encode_command(self.compressed)
        return _VERSION_HEADER.pack(self.version) + self.compressed


def _decode_document(command: bytes) -> VersionedDocument | None:
    """Return the document of a log command; None if it holds something else."""
    (version,) = _VERSION_HEADER.unpack_from(command)
    data = command[_VERSION_HEADER.size :]
    if version > 0:
        return VersionedDocument(version, data)
    compressed = version_zero.decode_command(data)
    return None if compressed is None else VersionedDocument(0, compressed)


def _decode_snapshot(
    data: bytes,
) -> tuple[VersionedDocument | None, list[dict[str, Any]]]:
    """Return the document of a snapshot, None if it holds none, and its records."""
    (version,) = _VERSION_HEADER.unpack_from(data)
    content = data[_VERSION_HEADER.size :]
    if version > 0:
        compressed, encoded = split_snapshot(content)
        return VersionedDocument(version, compressed), decode_records(encoded)
    records = decode_records(content)
    compressed = version_zero.find_document(records)
    document = None if compressed is None else VersionedDocument(0, compressed)
    return document, records


def encode_evacuation_command(zone: str, is_active: bool, changed_at_ms: int) -> bytes:
    """Return the log command that begins or withdraws an evacuation."""
    return _ZERO_HEADER + encode_change(zone, is_active, changed_at_ms)


class ConfigurationState:
    """A `StateMachine` of the log: the newest document, and the evacuations.

    Attributes:
        current: Document of the highest version; None before the first document.
    """

    def __init__(self) -> None:
        self.current: VersionedDocument | None = None
        self._listeners: list[Callable[[VersionedDocument], None]] = []
        self._evacuations_by_zone: dict[str, Evacuation] = {}
        self._evacuation_listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version of the current document; `NO_VERSION` before the first document."""
        return self.current.version if self.current else NO_VERSION

    def add_listener(self, listener: Callable[[VersionedDocument], None]) -> None:
        """Register a callback that receives each newer document."""
        self._listeners.append(listener)

    @property
    def evacuation_order(self) -> int:
        """Log index of the latest change of an evacuation; 0 before the first."""
        return max((e.order for e in self._evacuations_by_zone.values()), default=0)

    def find_evacuated_zones(self) -> tuple[str, ...]:
        """Return the zones whose servers are to be sent nothing, sorted."""
        evacuations = self._evacuations_by_zone.values()
        return tuple(sorted(e.zone for e in evacuations if e.is_active))

    def add_evacuation_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each change of the evacuations."""
        self._evacuation_listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command.

        Returns:
            Encoded result; ``was_accepted`` decodes it.

        Raises:
            InvariantError: The command is too short to hold a version.
        """
        if len(command) < _VERSION_HEADER.size:
            raise InvariantError(
                f"the command of log entry {index} is too short to hold a version"
            )
        document = _decode_document(command)
        if document is None:
            return self._apply_change(index, command[_VERSION_HEADER.size :])
        if document.version <= self.version:
            return _SUPERSEDED
        self._replace_current(document)
        return _ACCEPTED

    def snapshot(self) -> bytes:
        """Return the document and the evacuations; empty before the first of them.

        A document of a version above 0 follows its version, and the records of the
        evacuations follow the document. Otherwise only records follow version 0.
        """
        records = build_records(self._evacuations_by_zone.values())
        if self.version > 0:
            return self.current.to_command() + encode_records(records)
        if self.current is not None:
            records.insert(0, version_zero.build_record(self.current.compressed))
        return _ZERO_HEADER + encode_records(records) if records else b""

    def restore(self, data: bytes) -> None:
        """Load what is newer in a snapshot than the current document and evacuations.

        Raises:
            StorageError: The snapshot is too short to hold a version, or its records
                can't be read.
        """
        if not data:
            return
        if len(data) < _VERSION_HEADER.size:
            raise StorageError("the snapshot is too short to hold a document version")
        document, records = _decode_snapshot(data)
        self._merge_evacuations(find_evacuations(records))
        # After a member reopens its data folder, the snapshot there may be older than
        # what the member has already applied.
        if document is not None and document.version > self.version:
            self._replace_current(document)

    def _apply_change(self, index: int, data: bytes) -> bytes:
        change = decode_change(data, index)
        if change is None:
            return _SUPERSEDED
        known = self._evacuations_by_zone.get(change.zone)
        # An order that is repeated changes nothing, so that its first time stands.
        if known is None or known.is_active != change.is_active:
            self._merge_evacuations((change,))
        return _ACCEPTED

    def _merge_evacuations(self, evacuations: Iterable[Evacuation]) -> None:
        """Keep the highest order of each zone, and tell the listeners of a change."""
        has_changed = False
        for evacuation in evacuations:
            known = self._evacuations_by_zone.get(evacuation.zone)
            if known is None or evacuation.order > known.order:
                self._evacuations_by_zone[evacuation.zone] = evacuation
                has_changed = True
        for listener in tuple(self._evacuation_listeners) if has_changed else ():
            listener()

    def _replace_current(self, document: VersionedDocument) -> None:
        self.current = document
        for listener in tuple(self._listeners):
            listener(document)


def was_accepted(result: bytes) -> bool:
    """Return whether `ConfigurationState.apply` accepted the document."""
    return result == _ACCEPTED
