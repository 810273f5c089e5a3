"""Latest revision that each entry host has confirmed to serve."""

from __future__ import annotations

from dataclasses import dataclass

SILENT_AFTER_S = 30.0
REMOVE_AFTER_S = 3_600.0
MAX_HOSTS = 2_000


@dataclass(frozen=True, slots=True)
class HostConfirmation:
    """Latest confirmation of an entry host.

    Attributes:
        host_id: Id of the entry host.
        zone: Availability zone of the entry host.
        revision: Revision that the host serves; 0 if it has none.
        age_s: Seconds since the host's latest confirmation.
    """

    host_id: str
    zone: str
    revision: int
    age_s: float


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Rollout status of a revision on the entry hosts.

    Attributes:
        revision: The revision, confirmed by hosts that serve it or a later one.
        live_count: Number of hosts with a recent confirmation of any revision.
        missing: Live hosts that have not confirmed the revision, ordered by id.
        silent: Hosts without a recent confirmation that had not confirmed the
            revision; they may have stopped, or serve while partitioned.
    """

    revision: int
    live_count: int
    missing: tuple[HostConfirmation, ...]
    silent: tuple[HostConfirmation, ...]

    @property
    def is_in_force(self) -> bool:
        """Whether there are live hosts and all of them confirmed the revision."""
        return self.live_count > 0 and not self.missing


@dataclass(frozen=True, slots=True)
class _Confirmation:
    zone: str
    revision: int
    confirmed_at: float


class RevisionConfirmations:
    """Latest confirmation of each entry host.

    Confirmations are not replicated; a new leader collects them again.

    Args:
        silent_after_s: Seconds without a confirmation after which a host no
            longer counts as live.
        remove_after_s: Seconds without a confirmation after which a host is
            removed.
        max_hosts: Maximum number of hosts.
    """

    def __init__(
        self,
        silent_after_s: float = SILENT_AFTER_S,
        remove_after_s: float = REMOVE_AFTER_S,
        max_hosts: int = MAX_HOSTS,
    ) -> None:
        self._silent_after_s = silent_after_s
        self._remove_after_s = remove_after_s
        self._max_hosts = max_hosts
        self._confirmation_by_host: dict[str, _Confirmation] = {}

    def record_confirmation(
        self, host_id: str, zone: str, revision: int, now: float
    ) -> bool:
        """Record a confirmation.

        A host that was restarted may confirm a lower revision than before.

        Returns:
            False if the host is new and the maximum number of hosts is reached.
        """
        if host_id not in self._confirmation_by_host:
            self._remove_expired(now)
            if len(self._confirmation_by_host) >= self._max_hosts:
                return False
        self._confirmation_by_host[host_id] = _Confirmation(zone, revision, now)
        return True

    def hosts(self, now: float) -> tuple[HostConfirmation, ...]:
        """Return all hosts that haven't been removed, ordered by id."""
        self._remove_expired(now)
        return tuple(
            HostConfirmation(host_id, item.zone, item.revision, now - item.confirmed_at)
            for host_id, item in sorted(self._confirmation_by_host.items())
        )

    def status(self, revision: int, now: float) -> RolloutStatus:
        """Return the rollout status of ``revision``."""
        missing: list[HostConfirmation] = []
        silent: list[HostConfirmation] = []
        live_count = 0
        for host in self.hosts(now):
            is_live = host.age_s <= self._silent_after_s
            live_count += is_live
            if host.revision < revision:
                (missing if is_live else silent).append(host)
        return RolloutStatus(revision, live_count, tuple(missing), tuple(silent))

    def _remove_expired(self, now: float) -> None:
        oldest_kept = now - self._remove_after_s
        expired_host_ids = [
            host_id
            for host_id, item in self._confirmation_by_host.items()
            if item.confirmed_at < oldest_kept
        ]
        for host_id in expired_host_ids:
            del self._confirmation_by_host[host_id]
