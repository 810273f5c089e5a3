"""Hashes of the leading blocks of an input, for routing by prefix cache reuse."""

from __future__ import annotations

import hashlib

_BLOCK_CHARACTERS = 1_024
_MAX_BLOCKS = 64
_HASH_BYTES = 8
_CHARACTERS_PER_TOKEN = 4


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return a cumulative hash for each whole leading block of ``text``.

    The hash at index i covers blocks 0 to i. A partial last block has none.
    """
    hashes = []
    state = hashlib.blake2b(digest_size=_HASH_BYTES)
    last_end = min(len(text), _BLOCK_CHARACTERS * _MAX_BLOCKS)
    for end in range(_BLOCK_CHARACTERS, last_end + 1, _BLOCK_CHARACTERS):
        state.update(text[end - _BLOCK_CHARACTERS : end].encode())
        hashes.append(state.hexdigest())
    return tuple(hashes)


def estimate_tokens(text: str) -> int:
    """Return the approximate number of tokens in ``text``, at least 1."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)
