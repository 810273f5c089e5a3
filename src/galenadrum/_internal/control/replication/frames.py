"""Checksummed frames of a segment file.

A frame is a header followed by a payload. The header holds a magic number, the
payload length, the frame number, a checksum of the payload and a checksum of the
header fields before it.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_HEADER = struct.Struct("<4sIQII")
_CHECKSUMMED_HEADER_BYTES = _HEADER.size - 4
_MAGIC = b"GDL1"


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame read from a file.

    Attributes:
        number: Sequence number of the frame.
        payload: Content without the header.
        offset: Position of the frame in the file, in bytes.
        end: Position after the frame, in bytes.
    """

    number: int
    payload: bytes
    offset: int
    end: int


def encode_frame(number: int, payload: bytes) -> bytes:
    """Return the bytes of a frame: header and payload."""
    checked = _HEADER.pack(_MAGIC, len(payload), number, zlib.crc32(payload), 0)
    checked = checked[:_CHECKSUMMED_HEADER_BYTES]
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or None if it is torn or damaged."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, length, number, payload_checksum, header_checksum = _HEADER.unpack_from(
        data, offset
    )
    checked = data[offset : offset + _CHECKSUMMED_HEADER_BYTES]
    if magic != _MAGIC or zlib.crc32(checked) != header_checksum:
        return None
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != payload_checksum:
        return None
    return Frame(number, payload, offset, start + length)


def has_later_frame(data: bytes, offset: int, number: int) -> bool:
    """Return whether an intact frame with a higher number follows ``offset``.

    If so, the frame at ``offset`` was synced before it was damaged, as a frame is
    written only after the one before it was synced.
    """
    place = data.find(_MAGIC, offset + 1)
    while place >= 0:
        frame = read_frame(data, place)
        if frame is not None and frame.number > number:
            return True
        place = data.find(_MAGIC, place + 1)
    return False
