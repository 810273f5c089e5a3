"""Chooses servers of plain services.

Load pattern: many hosts that see the same reports, each of them late. A report
is corrected by what this host has sent itself, and forgotten within a second;
servers are compared two at a time, so that not all hosts choose the same one.
A server that fails or lags behind its peers is left out and probed.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.gateway.dialect import ReplyFacts
from galenadrum._internal.routing import ejection

# Load of a server of another zone counts as this share of its slots more.
_OTHER_ZONE_SHARE = 0.25
_SILENT_SHARE = 2.0
_WARM_UP_SHARE = 0.5
# Reports of load are worth half after this time.
_REPORT_HALF_LIFE_S = 0.4
_LATENCY_WEIGHT = 0.2
_CHOICES = 2
# Pause of a server that rejected a request or could not be reached.
_REJECTED_PAUSE_S = 0.1
_UNREACHABLE_PAUSE_S = 1.0


@dataclass(slots=True)
class _Server:
    entry: ServerEntry
    in_flight: int = 0
    others: float = 0.0
    reported_at: float = -math.inf
    latency_s: float = 0.0
    paused_until: float = 0.0
    health: ejection.ServerHealth = field(default_factory=ejection.ServerHealth)


class PlainBalancer:
    """Servers of all plain services, as one host sees them.

    Args:
        zone: The host's own.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._servers_by_id: dict[str, _Server] = {}
        self._ids_by_service: dict[str, set[str]] = {}

    def put_server(self, entry: ServerEntry) -> None:
        """Take what is known of a server."""
        known = self._servers_by_id.get(entry.server_id)
        if known is not None:
            service = known.entry.announcement.service
            self._ids_by_service[service].discard(entry.server_id)
        if not entry.takes_work:
            self._servers_by_id.pop(entry.server_id, None)
            return
        if known is None or _is_reborn(known.entry, entry):
            self._servers_by_id[entry.server_id] = _Server(entry)
        else:
            known.entry = entry
        service = entry.announcement.service
        self._ids_by_service.setdefault(service, set()).add(entry.server_id)

    def remove_server(self, server_id: str) -> None:
        """Forget a server until it is heard of again."""
        known = self._servers_by_id.pop(server_id, None)
        if known is not None:
            service = known.entry.announcement.service
            self._ids_by_service[service].discard(server_id)

    def choose(
        self, service: str, excluded: set[str], now: float
    ) -> ServerEntry | None:
        """Return a server for a request, None if there is none."""
        servers = [
            self._servers_by_id[server_id]
            for server_id in self._ids_by_service.get(service, ())
            if server_id not in excluded
        ]
        self._compare(service, now)
        probes = [s for s in servers if ejection.may_probe(s.health, now)]
        if probes:
            probes[0].health.probing = True
            return probes[0].entry
        rested = [s for s in servers if now >= s.paused_until and not s.health.ejected]
        usable = rested or [s for s in servers if not s.health.ejected] or servers
        if not usable:
            return None
        sample = usable
        if len(usable) > _CHOICES:
            sample = self._sample(usable)
        return min(sample, key=lambda s: (self._load(s, now), self._rng.random())).entry

    def _sample(self, usable: list[_Server]) -> list[_Server]:
        own = [s for s in usable if s.entry.announcement.zone == self._zone]
        chosen = self._rng.sample(usable, _CHOICES)
        return [*own, *chosen]

    def _load(self, server: _Server, now: float) -> float:
        announcement = server.entry.announcement
        age_s = now - server.reported_at
        others = server.others * math.exp2(-age_s / _REPORT_HALF_LIFE_S)
        slots = max(1, announcement.concurrency)
        load = (server.in_flight + others) / slots
        if announcement.zone != self._zone:
            load += _OTHER_ZONE_SHARE
        if server.entry.is_silent:
            load += _SILENT_SHARE
        if now < server.entry.warm_until:
            load += _WARM_UP_SHARE
        return load

    def started(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.in_flight += 1

    def ended(
        self,
        server_id: str,
        failed: bool,
        latency_s: float,
        facts: ReplyFacts | None,
        now: float,
    ) -> None:
        """Count the end of a request that a server took.

        Args:
            server_id: The server.
            failed: Whether it failed the request or broke off.
            latency_s: From sending to the end.
            facts: Of the response, if there was one.
            now: Loop time in seconds.
        """
        server = self._servers_by_id.get(server_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        self._note_health(server, failed, now)
        if not failed:
            step = latency_s - server.latency_s
            server.latency_s += step if not server.latency_s else _LATENCY_WEIGHT * step
        self._note_report(server, facts, now)

    def _note_report(
        self, server: _Server, facts: ReplyFacts | None, now: float
    ) -> None:
        if facts is not None and facts.running is not None:
            total = facts.running + facts.waiting
            server.others = max(0.0, total - 1 - server.in_flight)
            server.reported_at = now

    def rejected(self, server_id: str, facts: ReplyFacts | None, now: float) -> None:
        """Count that a server did not take a request; ``facts`` if it said so."""
        server = self._servers_by_id.get(server_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        pause_s = _REJECTED_PAUSE_S if facts is not None else _UNREACHABLE_PAUSE_S
        server.paused_until = now + pause_s
        self._note_report(server, facts, now)
        if facts is None:
            self._note_health(server, True, now)
        else:
            server.health.probing = False

    def usual_latency_s(self, service: str) -> float:
        """Return the usual latency of a service's servers; 0 if none is known."""
        known = [
            self._servers_by_id[server_id].latency_s
            for server_id in self._ids_by_service.get(service, ())
            if self._servers_by_id[server_id].latency_s
        ]
        return sorted(known)[len(known) // 2] if known else 0.0

    def _note_health(self, server: _Server, failed: bool, now: float) -> None:
        if server.health.ejected:
            ejection.record_probe(server.health, not failed, now)
        else:
            ejection.record_call(server.health, failed)

    def _compare(self, service: str, now: float) -> None:
        servers = [
            self._servers_by_id[i] for i in self._ids_by_service.get(service, ())
        ]
        usual_s = self.usual_latency_s(service) or 1.0
        views = [
            ejection.PeerView(
                s.entry.server_id, s.health, (s.latency_s or usual_s) / usual_s
            )
            for s in servers
        ]
        outlier = ejection.find_outlier(views)
        if outlier is not None:
            ejection.eject(outlier.health, now)


def _is_reborn(known: ServerEntry, entry: ServerEntry) -> bool:
    before = known.announcement.incarnation_ms
    return before != entry.announcement.incarnation_ms
