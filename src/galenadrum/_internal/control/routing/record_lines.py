"""Lines of the small files of a control host, each with a checksum.

A line begins with a line end, which separates it from one before it that was torn by a
loss of power or a full disk.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Sequence


def encode_line(values: Sequence[object]) -> bytes:
    """Encode the values of one record."""
    text = json.dumps(values).encode()
    return b"\n%08x %s" % (zlib.crc32(text), text)


def decode_lines(data: bytes) -> tuple[list[list], int]:
    """Decode the records of a file.

    Returns:
        The values of each record, and the number of unreadable lines.
    """
    decoded = [_decode_line(line) for line in data.splitlines() if line]
    records = [values for values in decoded if values is not None]
    return records, len(decoded) - len(records)


def _decode_line(line: bytes) -> list | None:
    checksum, _, text = line.partition(b" ")
    try:
        if int(checksum, 16) != zlib.crc32(text):
            return None
        values = json.loads(text)
    except ValueError:
        return None
    return values if isinstance(values, list) else None
