"""Which revision each entry host serves from."""

from __future__ import annotations

from dataclasses import dataclass

SILENT_AFTER_S = 30.0
FORGET_AFTER_S = 3_600.0
MAX_HOSTS = 2_000


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What an entry host last confirmed.

    Attributes:
        revision: The revision that it serves from; 0 when it has none.
        age_s: Seconds since it was last heard of.
    """

    host_id: str
    zone: str
    revision: int
    age_s: float


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """Where a revision is in force.

    Attributes:
        live_count: Number of hosts that are heard of.
        missing: Live hosts that have not confirmed it, ordered by id.
        silent: Hosts that were not heard of lately and had not confirmed it
            before; they may be gone, or cut off and serving.
    """

    revision: int
    live_count: int
    missing: tuple[HostStatus, ...]
    silent: tuple[HostStatus, ...]

    @property
    def is_in_force(self) -> bool:
        """Whether all live hosts, at least one, confirmed the revision."""
        return self.live_count > 0 and not self.missing


@dataclass(frozen=True, slots=True)
class _Confirmation:
    zone: str
    revision: int
    heard_at: float


class InForce:
    """Confirmations of entry hosts; a new leader gathers them again.

    Args:
        silent_after_s: Silence after which a host no longer counts as live.
        forget_after_s: Silence after which it is no longer listed.
        max_hosts: Hosts beyond which further ones are not taken.
    """

    def __init__(
        self,
        silent_after_s: float = SILENT_AFTER_S,
        forget_after_s: float = FORGET_AFTER_S,
        max_hosts: int = MAX_HOSTS,
    ) -> None:
        self._silent_after_s = silent_after_s
        self._forget_after_s = forget_after_s
        self._max_hosts = max_hosts
        self._confirmation_by_host: dict[str, _Confirmation] = {}

    def confirm(self, host_id: str, zone: str, revision: int, now: float) -> bool:
        """Take a confirmation; return False when there is no room for it.

        A host that was restarted may confirm a lower revision than before.
        """
        if host_id not in self._confirmation_by_host:
            self._forget_silent(now)
            if len(self._confirmation_by_host) >= self._max_hosts:
                return False
        self._confirmation_by_host[host_id] = _Confirmation(zone, revision, now)
        return True

    def hosts(self, now: float) -> tuple[HostStatus, ...]:
        """Return all hosts that are not forgotten, ordered by id."""
        self._forget_silent(now)
        return tuple(
            HostStatus(host_id, item.zone, item.revision, now - item.heard_at)
            for host_id, item in sorted(self._confirmation_by_host.items())
        )

    def status(self, revision: int, now: float) -> InForceStatus:
        """Return where ``revision`` is in force."""
        behind: list[HostStatus] = []
        silent: list[HostStatus] = []
        live_count = 0
        for host in self.hosts(now):
            is_live = host.age_s <= self._silent_after_s
            live_count += is_live
            if host.revision < revision:
                (behind if is_live else silent).append(host)
        return InForceStatus(revision, live_count, tuple(behind), tuple(silent))

    def _forget_silent(self, now: float) -> None:
        oldest = now - self._forget_after_s
        forgotten = [
            host_id
            for host_id, item in self._confirmation_by_host.items()
            if item.heard_at < oldest
        ]
        for host_id in forgotten:
            del self._confirmation_by_host[host_id]
