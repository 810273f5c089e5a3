"""Checksummed frames of a segment file.

A frame is a header and a payload. The header holds a mark, the payload's
length, the frame's number, a checksum of the payload and one of the header.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

_HEADER = struct.Struct("<4sIQII")
_HEADER_CHECKED_BYTES = _HEADER.size - 4
_MARK = b"GDL1"


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame that was read.

    Attributes:
        offset: Its place in the file, in bytes.
        end: The place after it.
    """

    number: int
    payload: bytes
    offset: int
    end: int


def encode_frame(number: int, payload: bytes) -> bytes:
    """Return a frame with its header."""
    checked = _HEADER.pack(_MARK, len(payload), number, zlib.crc32(payload), 0)
    checked = checked[:_HEADER_CHECKED_BYTES]
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at ``offset``, or None when there is no whole one."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    mark, length, number, payload_sum, header_sum = _HEADER.unpack_from(data, offset)
    checked = data[offset : offset + _HEADER_CHECKED_BYTES]
    if mark != _MARK or zlib.crc32(checked) != header_sum:
        return None
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != payload_sum:
        return None
    return Frame(number, payload, offset, start + length)


def has_frame_after(data: bytes, offset: int, number: int) -> bool:
    """Return whether a whole frame with a later number follows ``offset``.

    It shows that what stands at ``offset`` was synced once: a frame is written
    only after the one before it was synced.
    """
    place = data.find(_MARK, offset + 1)
    while place >= 0:
        frame = read_frame(data, place)
        if frame is not None and frame.number > number:
            return True
        place = data.find(_MARK, place + 1)
    return False
