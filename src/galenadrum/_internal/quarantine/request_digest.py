"""Digests that tell whether a request is the same one that came before."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# Ids of prompt parts have no colon, so that no caller can name another's request.
_PREFIX = "request:"
_DIGEST_BYTES = 12


def digest_request(
    fields: Iterable[bytes], part_ids: Iterable[str], body: bytes
) -> str:
    """Return the id of a request, the same whenever and wherever it comes again.

    Args:
        fields: What else makes a request the same: its method, host, target and caller.
        part_ids: Ids of the parts of its prompt.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (*fields, *(part_id.encode() for part_id in part_ids)):
        # The length separates the fields.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(b"|")
    digest.update(body)
    return f"{_PREFIX}{digest.hexdigest()}"


def is_request_digest(suspect_id: str) -> bool:
    """Return whether an id is that of a request, not of a prompt part."""
    return suspect_id.startswith(_PREFIX)


def describe_suspect(suspect_id: str) -> str:
    """Return the text for a request or a prompt part in a log line."""
    if is_request_digest(suspect_id):
        return suspect_id.replace(":", " ", 1)
    return f"prompt part {suspect_id}"
