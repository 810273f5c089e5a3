"""One claim as it stands, and the packed form of a claim that has ended.

A packed claim is one bytes object, version 1, in big-endian order:

| bytes | content |
|---|---|
| 1 | state in the lower four bits; flags above |
| 6 | time from which on it is forgotten, in milliseconds |
| 8 | digest of the organisation |
| 16 | first half of the fingerprint |
| 16, or 2 and its length | holder: the bytes of 32 hex digits, or text |
| 1, then 2 and its length each | ids of requests that will never send |
| the rest | outcome, or its SHA-256 |
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

PACKED_VERSION = 1
FINGERPRINT_KEPT_BYTES = 16
ORGANISATION_DIGEST_BYTES = 8
KEY_DIGEST_BYTES = 16
_BLOCK_BYTES = 256 * 1024
_HOLDER_BYTES = 16
_STATE_MASK = 0x0F
_HOLDER_IS_HEX = 0x10
_OUTCOME_IS_DIGEST = 0x20
_HEADER = struct.Struct(f">BHI{ORGANISATION_DIGEST_BYTES}s{FINGERPRINT_KEPT_BYTES}s")
_ROW_LENGTH = struct.Struct(">I")
_LENGTH = struct.Struct(">H")
_HEX_ID = re.compile("[0-9a-f]{32}")


@dataclass(frozen=True, slots=True)
class Claim:
    """One claim as it stands.

    Attributes:
        state: ``GRANTED`` until an outcome is recorded; then ``COMPLETED``,
            ``UNKNOWN`` or ``RELEASED``.
        fingerprint: Its first half, where the claim was packed.
        holder: Id of the request that it was granted to; empty if released.
        lease_end_ms: The holder has given up on its request by then; 0 where
            the claim was packed.
        forget_at_ms: The claim is forgotten from then on.
        outcome_sha256: Set in place of an outcome that was too large.
        released: Ids of requests that will never send, latest last.
        retention_ms: How long it is remembered after its end; 0 where the
            claim was packed, or made before claims carried it.
    """

    organisation_digest: bytes
    state: int
    fingerprint: bytes
    holder: str
    lease_end_ms: int
    forget_at_ms: int
    outcome: bytes = b""
    outcome_sha256: bytes = b""
    released: tuple[str, ...] = ()
    retention_ms: int = 0


def pack(claim: Claim) -> bytes:
    """Return the packed form of a claim that has an outcome."""
    is_hex = _HEX_ID.fullmatch(claim.holder) is not None
    flags = _HOLDER_IS_HEX if is_hex else 0
    if claim.outcome_sha256:
        flags |= _OUTCOME_IS_DIGEST
    header = _HEADER.pack(
        claim.state | flags,
        claim.forget_at_ms >> 32,
        claim.forget_at_ms & 0xFFFFFFFF,
        claim.organisation_digest,
        claim.fingerprint[:FINGERPRINT_KEPT_BYTES],
    )
    holder = bytes.fromhex(claim.holder) if is_hex else _pack_text(claim.holder)
    released = b"".join(map(_pack_text, claim.released))
    count = bytes((len(claim.released),))
    outcome = claim.outcome_sha256 or claim.outcome
    return b"".join((header, holder, count, released, outcome))


def unpack(record: bytes) -> Claim:
    """Return the claim of a packed form.

    Raises:
        ValueError: If it can't be read.
    """
    try:
        return _unpack(record)
    except (struct.error, IndexError) as error:
        raise ValueError(f"a packed claim can't be read: {error}") from error


def packed_forget_at_ms(record: bytes) -> int:
    """Return the time from which on a packed claim is forgotten."""
    return int.from_bytes(record[1:7], "big")


def join_blocks(record_by_digest: Mapping[bytes, bytes]) -> Iterator[bytes]:
    """Yield packed claims by the order of their keys, many in a block."""
    block = bytearray()
    for digest in sorted(record_by_digest):
        record = record_by_digest[digest]
        block += digest
        block += _ROW_LENGTH.pack(len(record))
        block += record
        if len(block) >= _BLOCK_BYTES:
            yield bytes(block)
            block.clear()
    if block:
        yield bytes(block)


def split_blocks(blocks: Iterable[bytes]) -> Iterator[tuple[bytes, bytes]]:
    """Yield key digest and record of each packed claim of blocks.

    Raises:
        ValueError: If a block can't be read.
    """
    for block in blocks:
        at = 0
        while at < len(block):
            begin = at + KEY_DIGEST_BYTES + _ROW_LENGTH.size
            if begin > len(block):
                raise ValueError("a block of packed claims is cut off")
            (length,) = _ROW_LENGTH.unpack_from(block, begin - _ROW_LENGTH.size)
            if begin + length > len(block):
                raise ValueError("a block of packed claims is cut off")
            yield block[at : at + KEY_DIGEST_BYTES], block[begin : begin + length]
            at = begin + length


def _unpack(record: bytes) -> Claim:
    first, high, low, organisation_digest, fingerprint = _HEADER.unpack_from(record)
    at = _HEADER.size
    if first & _HOLDER_IS_HEX:
        holder = record[at : at + _HOLDER_BYTES].hex()
        at += _HOLDER_BYTES
    else:
        holder, at = _unpack_text(record, at)
    released = []
    count = record[at]
    at += 1
    for _ in range(count):
        text, at = _unpack_text(record, at)
        released.append(text)
    is_digest = bool(first & _OUTCOME_IS_DIGEST)
    rest = record[at:]
    return Claim(
        organisation_digest=organisation_digest,
        state=first & _STATE_MASK,
        fingerprint=fingerprint,
        holder=holder,
        lease_end_ms=0,
        forget_at_ms=high << 32 | low,
        outcome=b"" if is_digest else rest,
        outcome_sha256=rest if is_digest else b"",
        released=tuple(released),
    )


def _pack_text(text: str) -> bytes:
    encoded = text.encode()
    return _LENGTH.pack(len(encoded)) + encoded


def _unpack_text(record: bytes, at: int) -> tuple[str, int]:
    (length,) = _LENGTH.unpack_from(record, at)
    begin = at + _LENGTH.size
    if begin + length > len(record):
        raise IndexError("a text ends beyond the record")
    return record[begin : begin + length].decode(), begin + length
