"""Heads of HTTP/1.1 requests and responses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

# Valid statuses (RFC 9110, section 15).
STATUSES = range(100, 600)

# Hop-by-hop headers, which intermediaries don't forward (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: Method in upper case, such as ``b"POST"``.
        target: Path and query, unchanged.
        headers: Names and values in the order received; names keep their case.
        is_http10: Whether the version is HTTP/1.0.
        keep_alive: Whether the connection may carry another request.
    """

    method: bytes
    target: bytes
    headers: Headers
    is_http10: bool = False
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Path without the query, decoded as Latin-1 to preserve non-ASCII bytes."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        keep_alive: Whether the connection may carry another request.
    """

    status: int
    headers: Headers
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` must be in lower case."""
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return None


def select_end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, which an intermediary forwards.

    Hop-by-hop headers and those named by ``Connection`` are left out.
    """
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a request."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of a response."""
    reason = _REASON_BY_STATUS.get(status, "").encode()
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
