"""Value types of crashes of backend servers and of quarantined prompt parts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A server that stopped listening while requests ran on it.

    Attributes:
        server_id: Id of the server.
        incarnation_ms: Start time of the crashed process, in Unix milliseconds.
        prompts: Part ids, in order, of each prompt whose response had not begun or had
            just begun.
    """

    server_id: str
    incarnation_ms: int
    prompts: tuple[tuple[str, ...], ...]
