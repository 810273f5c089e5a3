"""Bindings of streams to the software version that began them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamBinding:
    """Software version that a stream must go on at.

    Attributes:
        request_id: Id of a request that brought events of the stream.
        organisation: Organisation of its caller; empty if it has none.
        service: Service whose servers may go on with the stream.
        software_version: Version of the software of these servers.
        server_id: Server that sent the first event of the request.
        bound_at: Loop time in seconds of that event.
        expires_at: Loop time in seconds from which the caller doesn't take it up.
        is_ambiguous: Whether the version isn't certain, so that nothing may go on.
    """

    request_id: str
    organisation: str
    service: str
    software_version: str
    server_id: str
    bound_at: float
    expires_at: float
    is_ambiguous: bool = False


@dataclass(frozen=True, slots=True)
class TakenUpStream:
    """A broken stream that a caller takes up with a further request.

    Attributes:
        request_id: Id of the request that brought its first event; empty if the caller
            names none or several.
        organisation: Organisation of the caller; empty if it has none.
    """

    request_id: str
    organisation: str
