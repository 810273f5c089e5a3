"""Log commands and snapshots of evacuations.

A command starts with version 0 of a document. Builds that keep no evacuations take it
for a document older than any, and ignore it. In a snapshot the records of evacuations
follow the compressed document; those builds stop reading at the end of its zlib stream.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Mapping
from typing import Any

from galenadrum._internal.exceptions import StorageError
from galenadrum._internal.models.evacuations import Evacuation


def encode_change(zone: str, is_active: bool, changed_at_ms: int) -> bytes:
    """Encode the part of a log command that follows the version."""
    change = {"zone": zone, "is_active": is_active, "changed_at_ms": changed_at_ms}
    return json.dumps(change).encode()


def decode_change(data: bytes, order: int) -> Evacuation | None:
    """Decode a change; None if the command holds something else.

    Args:
        data: The part of a log command that follows the version.
        order: Index of the log entry.
    """
    try:
        change = json.loads(data)
        return Evacuation(
            str(change["zone"]),
            bool(change["is_active"]),
            order,
            int(change["changed_at_ms"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


def build_records(evacuations: Iterable[Evacuation]) -> list[dict[str, Any]]:
    """Return the records of evacuations for a snapshot, sorted by zone."""
    return [
        {
            "zone": evacuation.zone,
            "is_active": evacuation.is_active,
            "order": evacuation.order,
            "changed_at_ms": evacuation.changed_at_ms,
        }
        for evacuation in sorted(evacuations, key=lambda e: e.zone)
    ]


def encode_records(records: list[dict[str, Any]]) -> bytes:
    """Encode the records of a snapshot; empty if there are none."""
    return json.dumps(records).encode() if records else b""


def decode_records(data: bytes) -> list[dict[str, Any]]:
    """Decode the records of a snapshot.

    Raises:
        StorageError: The data isn't a JSON list of objects.
    """
    if not data:
        return []
    try:
        records = json.loads(data)
    except ValueError as error:
        raise _build_error(error) from error
    if not isinstance(records, list) or not all(isinstance(r, dict) for r in records):
        raise _build_error(TypeError("not a list of objects"))
    return records


def find_evacuations(records: Iterable[Mapping[str, Any]]) -> tuple[Evacuation, ...]:
    """Return the evacuations among the records of a snapshot.

    Raises:
        StorageError: A record can't be read.
    """
    try:
        evacuations = tuple(
            Evacuation(
                str(record["zone"]),
                bool(record["is_active"]),
                int(record["order"]),
                int(record["changed_at_ms"]),
            )
            for record in records
        )
    except (ValueError, TypeError, KeyError) as error:
        raise _build_error(error) from error
    # The record of a document of version 0 names no zone.
    return tuple(evacuation for evacuation in evacuations if evacuation.zone)


def _build_error(error: Exception) -> StorageError:
    return StorageError(
        "the evacuations in the snapshot can't be read, expected a JSON list of "
        f"records: {error!r}"
    )


def split_snapshot(data: bytes) -> tuple[bytes, bytes]:
    """Split a compressed document from the evacuations that follow it.

    Returns:
        The compressed document and the encoded evacuations; both may be empty.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressor.decompress(data)
    except zlib.error:
        # Whoever reads the document reports the damage.
        return data, b""
    evacuations = decompressor.unused_data
    return data[: len(data) - len(evacuations)], evacuations
