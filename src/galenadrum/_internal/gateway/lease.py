"""How long a host may serve from the configuration that it holds.

A key that was taken away must stop to work within a bound, also on a host that
hears of nothing. So a host serves callers with keys only while it knows that,
less than the bound ago, no newer configuration was accepted.
"""

from __future__ import annotations

# Rates of two clocks differ by far less; the share covers the way of a request
# from its check to its backend server.
_BOUND_SHARE = 0.9


class ConfigurationLease:
    """What is known of the newest configuration, and since when.

    Args:
        bound_s: Time from the acceptance of a configuration to the moment at
            which no request that it forbids may run; None where hosts may go on
            without news.
    """

    def __init__(self, bound_s: float | None) -> None:
        self._bound_s = bound_s
        self.version = 0
        self._confirmed_at_by_version: dict[int, float] = {}
        self._confirmed_at = float("-inf")

    def hold(self, version: int) -> None:
        """Note that a newer configuration is in force here."""
        self.version = version
        for confirmed, confirmed_at in list(self._confirmed_at_by_version.items()):
            if confirmed <= version:
                self._confirmed_at = max(self._confirmed_at, confirmed_at)
                del self._confirmed_at_by_version[confirmed]

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Note that no version above this one was accepted at that time.

        Args:
            version: The newest version then.
            confirmed_at: Loop time in seconds.
        """
        if version <= self.version:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            return
        known = self._confirmed_at_by_version.get(version, float("-inf"))
        self._confirmed_at_by_version = {version: max(known, confirmed_at)}

    def is_valid(self, now: float) -> bool:
        """Return whether callers with keys may be served."""
        if self._bound_s is None:
            return True
        return now < self._confirmed_at + self._bound_s * _BOUND_SHARE

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at
