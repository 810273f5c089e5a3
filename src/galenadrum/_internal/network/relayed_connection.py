"""Connections to backend servers through another host of the system.

The host forwards one request to the server that a header names, and passes the response
on as it comes. A further header of the response says whether the request was forwarded;
if it wasn't, no byte of it was sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from galenadrum._internal.network.http1.client import (
    BackendConnection,
    BrokenResponseError,
    ConnectError,
)
from galenadrum._internal.network.http1.heads import Headers, ResponseHead

SERVER_HEADER = b"relay-server"
SENDER_HEADER = b"relay-sender"
CHECK_HEADER = b"relay-check"
OUTCOME_HEADER = b"relay-outcome"
REQUEST_HEADERS = frozenset({SERVER_HEADER, SENDER_HEADER, CHECK_HEADER})


class RelayOutcome(StrEnum):
    """What a relaying host did with a request; only FORWARDED ones were sent.

    After UNREACHABLE it has tried to connect; after CUT_OFF it knows that others reach
    the server. FULL means that it may not open another connection to the server, and
    RESTING that the server asked it for a rest.
    """

    FORWARDED = "forwarded"
    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut_off"
    UNKNOWN_SERVER = "unknown_server"
    BUSY = "busy"
    FULL = "full"
    RESTING = "resting"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class RelayHost:
    """A host that forwards requests of other hosts.

    Attributes:
        address: IP address and port for relayed requests.
        is_control: Whether it is a control host, which is used last.
    """

    address: str
    is_control: bool = False


class NotForwardedError(ConnectError):
    """Raised when a relaying host has not sent the request to the server.

    Attributes:
        outcome: What it did instead, None if it gave no reason.
    """

    def __init__(self, message: str, outcome: RelayOutcome | None) -> None:
        super().__init__(message)
        self.outcome = outcome


class RelayedConnection(BackendConnection):
    """Connection to a relaying host, used for one server at a time.

    Attributes:
        on_outcome: Called with the outcome of each request.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.on_outcome: Callable[[RelayOutcome], None] = lambda outcome: None

    @property
    def is_relayed(self) -> bool:
        """Whether requests pass another host of the system."""
        return True

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the server's response.

        Raises:
            BrokenResponseError: The connection broke; the server may have run the
                request.
            NotForwardedError: The request was not sent to the server.
        """
        head = await super().read_head()
        value = head.get(OUTCOME_HEADER)
        if value is None:
            raise BrokenResponseError(f"{self.address}: not the response of a relay")
        try:
            outcome = RelayOutcome(value.decode("latin-1"))
        except ValueError:
            outcome = None
        if outcome is not None:
            self.on_outcome(outcome)
        if outcome is not RelayOutcome.FORWARDED:
            raise NotForwardedError(
                f"host {self.address} has not forwarded the request: {value!r}", outcome
            )
        headers = tuple(h for h in head.headers if h[0].lower() != OUTCOME_HEADER)
        return replace(head, headers=headers)


def relay_headers(server_id: str, sender_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a relaying host where to send a request."""
    return [
        (SERVER_HEADER, server_id.encode()),
        (SENDER_HEADER, sender_id.encode()),
    ]


def remove_relay_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that the server is sent."""
    return [h for h in headers if h[0].lower() not in REQUEST_HEADERS]
