"""Lease under which a host serves from its configuration.

A revoked key must stop working within a bound, even on a host that is cut off from
all control hosts. So a host serves callers with keys only if it has a confirmation,
younger than the bound, that no newer configuration had been accepted.
"""

from __future__ import annotations

from galenadrum._internal.configuration.versions import NO_VERSION

# Share of the bound for which a confirmation is valid. The rest covers the time from
# the check of a request to its arrival at a backend server, and clock drift, which is
# far smaller.
_USABLE_BOUND_SHARE = 0.9


class ConfigurationLease:
    """Tracks the last confirmation that the applied configuration is the newest.

    Args:
        bound_s: Time in seconds after the acceptance of a configuration from which
            no request that it forbids may run; None if hosts may serve without
            confirmations.

    Attributes:
        version: Version that is applied on this host; `NO_VERSION` before the first.
    """

    def __init__(self, bound_s: float | None) -> None:
        self._bound_s = bound_s
        self.version = NO_VERSION
        self._confirmed_at_by_version: dict[int, float] = {}
        self._confirmed_at = float("-inf")

    def record_applied_version(self, version: int) -> None:
        """Record that a newer configuration version was applied on this host."""
        self.version = version
        for confirmed, confirmed_at in list(self._confirmed_at_by_version.items()):
            if confirmed <= version:
                self._confirmed_at = max(self._confirmed_at, confirmed_at)
                del self._confirmed_at_by_version[confirmed]

    def record_confirmation(self, version: int, confirmed_at: float) -> None:
        """Record that no higher version had been accepted at the given time.

        A confirmation of a version that is not applied yet counts once it is.

        Args:
            version: Newest accepted version at that time; `NO_VERSION` if there was
                none.
            confirmed_at: Loop time in seconds of the confirmation.
        """
        if version <= self.version:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            return
        known = self._confirmed_at_by_version.get(version, float("-inf"))
        self._confirmed_at_by_version = {version: max(known, confirmed_at)}

    def is_valid(self, now: float) -> bool:
        """Return whether callers with keys may be served now."""
        if self._bound_s is None:
            return True
        return now < self._confirmed_at + self._bound_s * _USABLE_BOUND_SHARE

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return now - self._confirmed_at
