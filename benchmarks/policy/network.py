"""Messages between zones: delays, and zones that are cut off."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.policy.clock import Clock

_IN_ZONE_S = 0.0003
_BETWEEN_ZONES_S = 0.0012


class Network:
    """Delivers messages after a delay; those across a cut are lost."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cut_zone: str | None = None

    def cut(self, zone: str) -> None:
        """Cut a zone off from all others."""
        self._cut_zone = zone

    def heal(self) -> None:
        """Join all zones again."""
        self._cut_zone = None

    def reachable(self, sender: str, receiver: str) -> bool:
        """Return whether a message can pass between two zones now."""
        return sender == receiver or self._cut_zone not in (sender, receiver)

    def send(
        self, sender: str, receiver: str, action: Callable[..., None], *args: Any
    ) -> bool:
        """Deliver a message; return False if it is lost."""
        if not self.reachable(sender, receiver):
            return False
        delay_s = _IN_ZONE_S if sender == receiver else _BETWEEN_ZONES_S
        self._clock.after(delay_s, action, *args)
        return True
