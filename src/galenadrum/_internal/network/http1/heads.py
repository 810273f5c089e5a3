"""Heads of HTTP/1.1 messages as values."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1: these concern one connection only.
_CONNECTION_HEADERS = frozenset(
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
        target: Path and query as the caller sent them.
        headers: Names as sent, in order.
        keep_alive: Whether the caller may send another request.
    """

    method: bytes
    target: bytes
    headers: Headers
    is_http10: bool = False
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """The path without the query; bytes that aren't ASCII are kept as such."""
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
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that an intermediary forwards."""
    dropped = set(_CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the bytes of a request's head."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a response's head."""
    reason = _REASON_BY_STATUS.get(status, "").encode()
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
