"""Chooses from whom an entry host follows the declarations.

One host of a zone, its relay, follows them at a control host; the others follow
the relay. A relay stays while it reaches control, whoever joins. When no host
does, a few try at a time, and all follow whoever has the newest revision.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.membership.hosts import ControlReach, HostRecord, HostTable

_RETRY_CONTROL_S = 5.0
_LAG_LIMIT_S = 6.0
_MAX_CANDIDATES = 8
_MAX_PEER_SOURCES = 3


class SourceKind(StrEnum):
    """Where declarations can be followed."""

    CONTROL = "control"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Source:
    """A place to follow declarations.

    Attributes:
        address: Peer address.
        host_id: Id of the entry host, empty for a control host.
    """

    kind: SourceKind
    address: str
    host_id: str = ""


@dataclass(frozen=True, slots=True)
class FollowPlan:
    """What an entry host should do about the declarations now.

    Attributes:
        sources: Where to follow them, the preferred place first; the first one
            that answers is followed.
        confirms_zone: Whether this host confirms the revisions of the whole zone
            to control.
    """

    sources: tuple[Source, ...]
    confirms_zone: bool


@dataclass(frozen=True, slots=True)
class HostRevision:
    """The revision that an entry host serves from."""

    host_id: str
    zone: str
    revision: int


def choose_relays(hosts: Sequence[HostRecord]) -> tuple[str, ...]:
    """Return the ids of the hosts that should follow control, ordered.

    That is the lowest one that does already. Without any, a growing number of
    those that have not just failed try.
    """
    reached = sorted(h.host_id for h in hosts if h.control is ControlReach.REACHED)
    if reached:
        return (reached[0],)
    untried = sorted(h.host_id for h in hosts if h.control is ControlReach.UNKNOWN)
    failed = len(hosts) - len(untried)
    return tuple(untried[: min(2**failed, _MAX_CANDIDATES)])


class RelayRole:
    """What part this host takes in spreading the declarations in its zone.

    Args:
        hosts: The zone's entry hosts, this one included.
        zone: The zone.
        control_addresses: Peer addresses of the control hosts.
        rng: Source of the jitter between attempts to reach control.
    """

    def __init__(
        self,
        hosts: HostTable,
        zone: str,
        control_addresses: Sequence[str],
        rng: random.Random,
    ) -> None:
        self._hosts = hosts
        self._zone = zone
        self._control_addresses = tuple(control_addresses)
        self._rng = rng
        self._retry_at: float | None = None
        self._lagging_since: float | None = None

    def reach_after(
        self, is_connected: bool, failed: bool, now: float
    ) -> ControlReach | None:
        """Return what to tell the zone about this host's reach of control.

        Args:
            is_connected: Whether this host follows declarations at control.
            failed: Whether it tried since the last call and failed.
            now: Loop time in seconds.

        Returns:
            The new state, or None when it stays as it is.
        """
        current = self._hosts.own.control
        if is_connected:
            wanted = ControlReach.REACHED
            self._retry_at = None
        elif failed:
            wanted = ControlReach.UNREACHED
            self._retry_at = now + _RETRY_CONTROL_S * (1 + self._rng.random())
        elif self._retry_at is not None and now < self._retry_at:
            wanted = ControlReach.UNREACHED
        else:
            wanted = ControlReach.UNKNOWN
            self._retry_at = None
        return None if wanted is current else wanted

    def plan(self, now: float) -> FollowPlan:
        """Return where this host should follow the declarations now."""
        live = self._hosts.live(now)
        own = self._hosts.own
        relays = choose_relays(live)
        is_relay = own.host_id in relays
        sources = list(self._control_sources()) if is_relay else []
        sources.extend(self._peer_sources(live, relays))
        if not is_relay and self._has_lagged(live, now):
            sources.extend(self._control_sources())
        if own.host_id in {source.host_id for source in sources}:
            raise InvariantError("a host would follow itself")
        reached = own.control is ControlReach.REACHED
        return FollowPlan(tuple(sources), confirms_zone=is_relay and reached)

    def zone_revisions(self, now: float) -> tuple[HostRevision, ...]:
        """Return the revisions that the zone's live hosts serve from."""
        return tuple(
            HostRevision(host.host_id, self._zone, host.revision)
            for host in self._hosts.live(now)
        )

    def _control_sources(self) -> tuple[Source, ...]:
        return tuple(
            Source(SourceKind.CONTROL, address) for address in self._control_addresses
        )

    def _peer_sources(
        self, live: Sequence[HostRecord], relays: tuple[str, ...]
    ) -> list[Source]:
        """Return the relay, then hosts whose revision is newer than the own one.

        Only strictly newer hosts are followed beside the relay, so that hosts
        can't follow each other in a circle.
        """
        own = self._hosts.own
        relaying = [
            host
            for host in live
            if host.host_id in relays
            and host.control is ControlReach.REACHED
            and own.host_id not in relays
        ]
        newer = [host for host in live if host.revision > own.revision]
        newer.sort(key=lambda host: (-host.revision, host.host_id))
        chosen = relaying + [host for host in newer if host not in relaying]
        return [
            Source(SourceKind.PEER, host.peer_address, host.host_id)
            for host in chosen[:_MAX_PEER_SOURCES]
            if host.host_id != own.host_id
        ]

    def _has_lagged(self, live: Sequence[HostRecord], now: float) -> bool:
        """Return whether this host is behind the zone for longer than it should."""
        newest = max((host.revision for host in live), default=0)
        if newest <= self._hosts.own.revision:
            self._lagging_since = None
            return False
        if self._lagging_since is None:
            self._lagging_since = now
        return now - self._lagging_since >= _LAG_LIMIT_S
