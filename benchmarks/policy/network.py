"""Simulated network within and between availability zones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.policy.clock import Clock

_IN_ZONE_DELAY_S = 0.0003
_CROSS_ZONE_DELAY_S = 0.0012


class Network:
    """Delivers messages after a delay; drops those across a network partition."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._isolated_zone: str | None = None

    def isolate_zone(self, zone: str) -> None:
        """Partition a zone from all others."""
        self._isolated_zone = zone

    def heal_partition(self) -> None:
        """Reconnect all zones."""
        self._isolated_zone = None

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Return whether a message can pass between two zones now."""
        return sender == receiver or self._isolated_zone not in (sender, receiver)

    def send(
        self, sender: str, receiver: str, action: Callable[..., None], *args: Any
    ) -> bool:
        """Call ``action`` at the receiver after the delay.

        Returns:
            False if the message is lost, as the zones are partitioned.
        """
        if not self.is_reachable(sender, receiver):
            return False
        delay_s = _IN_ZONE_DELAY_S if sender == receiver else _CROSS_ZONE_DELAY_S
        self._clock.after(delay_s, action, *args)
        return True
