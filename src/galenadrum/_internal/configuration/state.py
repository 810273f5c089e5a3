"""The replicated state: the routing document of the highest version.

The document is kept as the operator sent it, so that a read gives back what was
accepted; the state machine compares versions and reads nothing of it.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from galenadrum._internal.exceptions import InvariantError, StorageError

logger = logging.getLogger(__name__)

_HEADER = struct.Struct(">Q")
_ACCEPTED = b"\x01"
_SUPERSEDED = b"\x00"
# Documents are repetitive; higher levels save little more.
_COMPRESSION_LEVEL = 3


@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A document and its version.

    Attributes:
        compressed: The document's bytes, deflated.
    """

    version: int
    compressed: bytes

    @classmethod
    def from_bytes(cls, version: int, document: bytes) -> VersionedDocument:
        """Compress a document."""
        return cls(version, zlib.compress(document, _COMPRESSION_LEVEL))

    def document(self) -> bytes:
        """Return the document as it was sent."""
        return zlib.decompress(self.compressed)

    def to_command(self) -> bytes:
        """Return the command that replaces an older document by this one."""
        return _HEADER.pack(self.version) + self.compressed


def _from_command(command: bytes) -> VersionedDocument:
    (version,) = _HEADER.unpack_from(command)
    return VersionedDocument(version, command[_HEADER.size :])


class ConfigurationState:
    """Holds the document of the highest version; a `StateMachine` of the log.

    Attributes:
        current: None until the first document was accepted.
    """

    def __init__(self) -> None:
        self.current: VersionedDocument | None = None
        self._listeners: list[Callable[[VersionedDocument], None]] = []

    @property
    def version(self) -> int:
        """The version held; 0 before the first."""
        return self.current.version if self.current else 0

    def add_listener(self, listener: Callable[[VersionedDocument], None]) -> None:
        """Have ``listener`` called with each newer document."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; returns whether the document was taken."""
        if len(command) < _HEADER.size:
            raise InvariantError(f"entry {index} holds no document")
        document = _from_command(command)
        if document.version <= self.version:
            return _SUPERSEDED
        self._replace(document)
        return _ACCEPTED

    def snapshot(self) -> bytes:
        """Return the document held; empty before the first."""
        return self.current.to_command() if self.current else b""

    def restore(self, data: bytes) -> None:
        """Take over a snapshot.

        Raises:
            StorageError: If it can't be read.
        """
        if not data:
            return
        if len(data) < _HEADER.size:
            raise StorageError("the snapshot holds no document")
        document = _from_command(data)
        # A member that opens its folder anew may find an older snapshot there
        # than what it has applied before.
        if document.version > self.version:
            self._replace(document)

    def _replace(self, document: VersionedDocument) -> None:
        self.current = document
        for listener in tuple(self._listeners):
            listener(document)


def was_taken(result: bytes) -> bool:
    """Return whether `ConfigurationState.apply` took the document."""
    return result == _ACCEPTED
