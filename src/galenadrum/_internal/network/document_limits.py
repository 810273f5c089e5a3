"""Limit on the memory that decoding the JSON document of a request may take.

A document of 8 MiB that consists of empty lists takes 22 times its length once decoded.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from galenadrum._internal.network.http1.server import Exchange

# Share of the process's memory. One document is decoded at a time.
_SHARE = 1 / 4
# Smaller documents take at most 1.6 MB and aren't examined.
_SMALL_BYTES = 64 * 1024
# Memory of the objects that begin with each of these: a dict with an entry, a list with
# its first places, a value with its place in a list, and half of a string's header.
_COST_BY_SIGN = {b"{": 248, b"[": 96, b",": 64, b'"': 28}

Handler = Callable[[Exchange], Awaitable[None]]


def limit_documents(handle: Handler, process_bytes: int) -> Handler:
    """Return a handler that rejects documents whose decoding takes too much memory.

    Args:
        handle: Handler that decodes the bodies of requests.
        process_bytes: Memory limit of the process in bytes; 0 if it has none.
    """
    limit_bytes = int(process_bytes * _SHARE)
    if not limit_bytes:
        return handle

    async def handle_limited(exchange: Exchange) -> None:
        needed_bytes = estimate_decoded_bytes(exchange.body)
        if needed_bytes <= limit_bytes:
            await handle(exchange)
            return
        exchange.respond(
            413,
            [(b"Content-Type", b"text/plain")],
            b"decoding the document takes about %d bytes of memory, limit %d"
            % (needed_bytes, limit_bytes),
        )

    return handle_limited


def estimate_decoded_bytes(document: bytes) -> int:
    """Return about how much memory a JSON document takes once decoded, in bytes."""
    if len(document) <= _SMALL_BYTES:
        return len(document)
    signs = sum(document.count(sign) * cost for sign, cost in _COST_BY_SIGN.items())
    return len(document) + signs
