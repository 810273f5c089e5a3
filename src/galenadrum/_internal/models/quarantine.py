"""Value types of crashes of backend servers and of what is quarantined for them.

A suspect is a prompt part or a whole request, which its digest identifies.
"""

from __future__ import annotations

from dataclasses import dataclass

# Callers choose the ids; parts with longer ones are not tracked.
MAX_PART_ID_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A server that stopped listening while requests ran on it.

    Attributes:
        server_id: Id of the server.
        incarnation_ms: Start time of the crashed process, in Unix milliseconds.
        broken_at: Loop time in seconds at which the first response broke off.
        prompts: Ids of the suspects of each request whose response had not begun or
            had just begun: the parts of its prompt, in order, then its digest.
    """

    server_id: str
    incarnation_ms: int
    broken_at: float
    prompts: tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class NamedPart:
    """A suspect to which crashes are attributed.

    Attributes:
        server_ids: Ids of the servers that crashed.
        suspected_since: Loop time in seconds of the first of the crashes.
    """

    part_id: str
    server_ids: tuple[str, ...]
    suspected_since: float = 0.0


@dataclass(frozen=True, slots=True)
class QuarantinedPart:
    """A suspect whose requests are refused.

    Attributes:
        named_by: Id of the host that attributed the crashes to the part. Only its
            dispatcher may test the part when the term has ended.
        term: Number of the term, from 1; each is longer than the one before.
        expires_at: Loop time in seconds at which the term ends.
        crashes: Number of crashes attributed to the part.
        is_lifted: Whether the term ended early, as a request with the part succeeded.
        suspected_since: Loop time in seconds of the first of the crashes.
    """

    part_id: str
    named_by: str
    term: int
    expires_at: float
    crashes: int
    is_lifted: bool = False
    suspected_since: float = 0.0
