"""Evacuated zones as this host knows them, from its log or from its links."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from galenadrum._internal.directory.registry import Registry

logger = logging.getLogger(__name__)


class EvacuatedZones:
    """Passes the evacuated zones of the highest order to the registry.

    Args:
        registry: Directory of the backend servers.

    Attributes:
        order: Log index of the latest change that is known; 0 before the first.
        zones: The zones whose servers are sent nothing.
    """

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self.order = 0
        self.zones: frozenset[str] = frozenset()

    def merge(self, order: int, zones: Iterable[str], now: float) -> bool:
        """Apply zones unless a later order is known.

        Returns:
            False if the order is not later than the known one and was ignored.
        """
        if order <= self.order:
            return False
        former, self.order, self.zones = self.zones, order, frozenset(zones)
        logger.info(
            "evacuated zones are now %s (before: %s; log index %d)",
            ",".join(sorted(self.zones)) or "none",
            ",".join(sorted(former)) or "none",
            order,
        )
        self._registry.set_evacuated_zones(self.zones, now)
        return True
