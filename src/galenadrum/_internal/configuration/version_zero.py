"""Log commands and snapshots that hold a document of version 0.

In commands and snapshots of earlier builds, version 0 stands for no document, and an
evacuation or the records of evacuations follow it. A document of version 0 is therefore
written in a form that they ignore:

- In a command, a tag follows version 0. No JSON text begins with it, so that an earlier
  build ignores the command like an evacuation that it can't read.
- In a snapshot, the document is a field of one more record. An earlier build reads that
  record as a withdrawn evacuation of a zone without a name, which exists nowhere.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Mapping

from galenadrum._internal.exceptions import StorageError

_COMMAND_TAG = b"\x01"
_DOCUMENT_FIELD = "document"


def encode_command(compressed: bytes) -> bytes:
    """Encode the part of a log command that follows the version."""
    return _COMMAND_TAG + compressed


def decode_command(data: bytes) -> bytes | None:
    """Return the compressed document of a command; None if it holds something else.

    Args:
        data: The part of a log command that follows version 0.
    """
    return data.removeprefix(_COMMAND_TAG) if data.startswith(_COMMAND_TAG) else None


def build_record(compressed: bytes) -> dict[str, object]:
    """Return the record of a document among those of the evacuations."""
    return {
        "zone": "",
        "is_active": False,
        "order": 0,
        "changed_at_ms": 0,
        _DOCUMENT_FIELD: base64.b64encode(compressed).decode(),
    }


def find_document(records: Iterable[Mapping[str, object]]) -> bytes | None:
    """Return the compressed document among the records of a snapshot, if there is one.

    Raises:
        StorageError: The document can't be decoded.
    """
    for record in records:
        text = record.get(_DOCUMENT_FIELD)
        if text is None:
            continue
        try:
            return base64.b64decode(str(text), validate=True)
        except binascii.Error as error:
            raise StorageError(
                "the document of version 0 in the snapshot can't be read, expected "
                f"base64: {error}"
            ) from error
    return None
