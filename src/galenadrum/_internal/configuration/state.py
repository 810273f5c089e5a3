"""Replicated state machine that holds the current routing document.

The document is stored as the operator sent it, so that a read returns exactly what
was accepted. The state machine compares versions and doesn't parse the document.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.exceptions import InvariantError, StorageError

logger = logging.getLogger(__name__)

_VERSION_HEADER = struct.Struct(">Q")
_ACCEPTED = b"\x01"
_SUPERSEDED = b"\x00"
# Documents are repetitive; higher levels hardly reduce their size further.
_COMPRESSION_LEVEL = 3


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
        return _VERSION_HEADER.pack(self.version) + self.compressed


def _decode_command(command: bytes) -> VersionedDocument:
    (version,) = _VERSION_HEADER.unpack_from(command)
    return VersionedDocument(version, command[_VERSION_HEADER.size :])


class ConfigurationState:
    """A `StateMachine` of the log that holds the document of the highest version.

    Attributes:
        current: Document of the highest version; None before the first document.
    """

    def __init__(self) -> None:
        self.current: VersionedDocument | None = None
        self._listeners: list[Callable[[VersionedDocument], None]] = []

    @property
    def version(self) -> int:
        """Version of the current document; 0 before the first document."""
        return self.current.version if self.current else 0

    def add_listener(self, listener: Callable[[VersionedDocument], None]) -> None:
        """Register a callback that receives each newer document."""
        self._listeners.append(listener)

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
        document = _decode_command(command)
        if document.version <= self.version:
            return _SUPERSEDED
        self._replace_current(document)
        return _ACCEPTED

    def snapshot(self) -> bytes:
        """Return the current document and version; empty before the first document."""
        return self.current.to_command() if self.current else b""

    def restore(self, data: bytes) -> None:
        """Load a snapshot unless the current document is newer.

        Raises:
            StorageError: The snapshot is too short to hold a version.
        """
        if not data:
            return
        if len(data) < _VERSION_HEADER.size:
            raise StorageError("the snapshot is too short to hold a document version")
        document = _decode_command(data)
        # After a member reopens its data folder, the snapshot there may be older than
        # what the member has already applied.
        if document.version > self.version:
            self._replace_current(document)

    def _replace_current(self, document: VersionedDocument) -> None:
        self.current = document
        for listener in tuple(self._listeners):
            listener(document)


def was_accepted(result: bytes) -> bool:
    """Return whether `ConfigurationState.apply` accepted the document."""
    return result == _ACCEPTED
