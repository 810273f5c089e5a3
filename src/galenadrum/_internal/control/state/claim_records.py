"""Claims, and the packed format of claims that have a final outcome.

A packed claim is one bytes object in format version 1, big-endian:

| bytes | content |
|---|---|
| 1 | state in the lower four bits; flags above |
| 6 | time at which the claim expires, in milliseconds |
| 8 | digest of the organisation |
| 16 | first half of the fingerprint |
| 16, or 2 and its length | holder: 32 hex digits decoded, or length and UTF-8 text |
| 1, then 2 and its length each | number of released request ids, then each id |
| remaining bytes | outcome, or its SHA-256 |
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

PACKED_VERSION = 1
PACKED_FINGERPRINT_BYTES = 16
ORGANISATION_DIGEST_BYTES = 8
KEY_DIGEST_BYTES = 16
_BLOCK_FLUSH_BYTES = 256 * 1024
_HOLDER_BYTES = 16
_STATE_MASK = 0x0F
_HOLDER_IS_HEX_FLAG = 0x10
_OUTCOME_IS_DIGEST_FLAG = 0x20
_HEADER = struct.Struct(f">BHI{ORGANISATION_DIGEST_BYTES}s{PACKED_FINGERPRINT_BYTES}s")
_RECORD_LENGTH = struct.Struct(">I")
_TEXT_LENGTH = struct.Struct(">H")
_HEX_ID = re.compile("[0-9a-f]{32}")


@dataclass(frozen=True, slots=True)
class Claim:
    """The state of one claim on an idempotency key.

    Attributes:
        organisation_digest: Truncated SHA-256 of the organisation's name.
        state: ``GRANTED`` until an outcome is recorded; then ``COMPLETED``,
            ``UNKNOWN`` or ``RELEASED``.
        fingerprint: SHA-256 of the request; only its first half if the claim
            was packed.
        holder: Id of the request that it was granted to; empty if released.
        lease_end_ms: Time by which the holder has given up on its request; 0
            if the claim was packed.
        forget_at_ms: Time at which the claim expires.
        outcome: The recorded outcome; empty if only its digest is kept.
        outcome_sha256: Digest that replaces an outcome that was too large.
        released: Ids of requests that released the claim or reported that they
            will never send their work, latest last.
        retention_ms: Time for which the claim is kept after its end; 0 if the
            claim was packed, or created before claims had this field.
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


def pack_claim(claim: Claim) -> bytes:
    """Encode a claim that has a final outcome."""
    is_hex = _HEX_ID.fullmatch(claim.holder) is not None
    flags = _HOLDER_IS_HEX_FLAG if is_hex else 0
    if claim.outcome_sha256:
        flags |= _OUTCOME_IS_DIGEST_FLAG
    header = _HEADER.pack(
        claim.state | flags,
        claim.forget_at_ms >> 32,
        claim.forget_at_ms & 0xFFFFFFFF,
        claim.organisation_digest,
        claim.fingerprint[:PACKED_FINGERPRINT_BYTES],
    )
    holder = bytes.fromhex(claim.holder) if is_hex else _pack_text(claim.holder)
    released = b"".join(map(_pack_text, claim.released))
    count = bytes((len(claim.released),))
    outcome = claim.outcome_sha256 or claim.outcome
    return b"".join((header, holder, count, released, outcome))


def unpack_claim(record: bytes) -> Claim:
    """Decode a packed claim.

    Raises:
        ValueError: If the record is malformed.
    """
    try:
        return _parse_record(record)
    except (struct.error, IndexError) as error:
        raise ValueError(f"malformed packed claim: {error}") from error


def read_forget_at_ms(record: bytes) -> int:
    """Return the expiry time of a packed claim, in milliseconds."""
    return int.from_bytes(record[1:7], "big")


def build_blocks(record_by_digest: Mapping[bytes, bytes]) -> Iterator[bytes]:
    """Yield blocks that each hold many packed claims, ordered by key digest."""
    block = bytearray()
    for digest in sorted(record_by_digest):
        record = record_by_digest[digest]
        block += digest
        block += _RECORD_LENGTH.pack(len(record))
        block += record
        if len(block) >= _BLOCK_FLUSH_BYTES:
            yield bytes(block)
            block.clear()
    if block:
        yield bytes(block)


def split_blocks(blocks: Iterable[bytes]) -> Iterator[tuple[bytes, bytes]]:
    """Yield key digest and record of each packed claim in the blocks.

    Raises:
        ValueError: If a block is truncated.
    """
    for block in blocks:
        offset = 0
        while offset < len(block):
            start = offset + KEY_DIGEST_BYTES + _RECORD_LENGTH.size
            if start > len(block):
                raise ValueError("packed claim block is truncated within a header")
            (length,) = _RECORD_LENGTH.unpack_from(block, start - _RECORD_LENGTH.size)
            if start + length > len(block):
                raise ValueError("packed claim block is truncated within a record")
            yield (
                block[offset : offset + KEY_DIGEST_BYTES],
                block[start : start + length],
            )
            offset = start + length


def _parse_record(record: bytes) -> Claim:
    state_and_flags, high, low, organisation_digest, fingerprint = _HEADER.unpack_from(
        record
    )
    offset = _HEADER.size
    if state_and_flags & _HOLDER_IS_HEX_FLAG:
        holder = record[offset : offset + _HOLDER_BYTES].hex()
        offset += _HOLDER_BYTES
    else:
        holder, offset = _unpack_text(record, offset)
    released = []
    count = record[offset]
    offset += 1
    for _ in range(count):
        text, offset = _unpack_text(record, offset)
        released.append(text)
    is_digest = bool(state_and_flags & _OUTCOME_IS_DIGEST_FLAG)
    outcome_bytes = record[offset:]
    return Claim(
        organisation_digest=organisation_digest,
        state=state_and_flags & _STATE_MASK,
        fingerprint=fingerprint,
        holder=holder,
        lease_end_ms=0,
        forget_at_ms=high << 32 | low,
        outcome=b"" if is_digest else outcome_bytes,
        outcome_sha256=outcome_bytes if is_digest else b"",
        released=tuple(released),
    )


def _pack_text(text: str) -> bytes:
    encoded = text.encode()
    return _TEXT_LENGTH.pack(len(encoded)) + encoded


def _unpack_text(record: bytes, offset: int) -> tuple[str, int]:
    (length,) = _TEXT_LENGTH.unpack_from(record, offset)
    start = offset + _TEXT_LENGTH.size
    if start + length > len(record):
        raise IndexError("text field extends past the end of the record")
    return record[start : start + length].decode(), start + length
