"""Load balancer for the backend servers of plain services.

Load pattern: many hosts see the same load reports, and see them late. So this host
counts its own requests in flight itself, uses from a report only the load of other
hosts, which decays within a second, and compares the servers of its own zone with only
two random ones, which keeps all hosts from choosing the same server. A server that
fails or is slower than its peers is ejected and probed.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from galenadrum._internal.directory.registry import ServerEntry
from galenadrum._internal.dispatch.engine_load import WorkTime, bound_factor
from galenadrum._internal.gateway.dialect import ResponseMetadata
from galenadrum._internal.routing import ejection

# Added to the load per slot of a server that is in another zone, silent or warming up.
_OTHER_ZONE_LOAD_PENALTY = 0.25
_SILENT_LOAD_PENALTY = 2.0
_WARM_UP_LOAD_PENALTY = 0.5
# Time after which a load report counts half.
_REPORT_HALF_LIFE_S = 0.4
_LATENCY_SMOOTHING_FACTOR = 0.2
# Latencies within such a step count as equal, so that noise doesn't send all requests
# to one of several idle servers.
_LATENCY_STEP = math.log(1.25)
_RANDOM_SAMPLE_SIZE = 2
# Time for which a server that rejected a request or was unreachable is avoided.
_REJECTED_PAUSE_S = 0.1
_UNREACHABLE_PAUSE_S = 1.0
# Time after which a crashed server is silent, or known to go on after all.
_CRASHED_PAUSE_S = 4.0


@dataclass(slots=True)
class _Server:
    """Load and health of one server, as seen by this host.

    Attributes:
        in_flight: Requests of this host that run on the server.
        other_hosts_in_flight: Requests of other hosts at the last load report.
        reported_at: Loop time in seconds of the last load report.
        latency_s: Exponential moving average; 0 if no request succeeded.
        normal_latency_s: The same of latencies divided by the work time factor; 0 if
            the server reported none.
        work_time: Work time that the server's machine reports.
        paused_until: Loop time in seconds until which the server is avoided.
        crashed_until: Loop time in seconds until which it is never chosen.
    """

    entry: ServerEntry
    in_flight: int = 0
    other_hosts_in_flight: float = 0.0
    reported_at: float = -math.inf
    latency_s: float = 0.0
    normal_latency_s: float = 0.0
    work_time: WorkTime = field(default_factory=WorkTime)
    paused_until: float = 0.0
    crashed_until: float = 0.0
    health: ejection.ServerHealth = field(default_factory=ejection.ServerHealth)


class PlainBalancer:
    """Chooses servers of plain services for the requests of one host.

    Args:
        zone: Availability zone of this host.
        rng: Source of randomness for sampling and ties.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._servers_by_id: dict[str, _Server] = {}
        self._ids_by_service: dict[str, set[str]] = {}

    def put_server(self, entry: ServerEntry) -> None:
        """Add or update a server; remove it if it takes no new work.

        One whose zone is evacuated isn't chosen, but its running requests still count
        once the zone is taken back.
        """
        known = self._servers_by_id.get(entry.server_id)
        if known is not None:
            service = known.entry.announcement.service
            self._ids_by_service[service].discard(entry.server_id)
        is_kept = entry.is_evacuated and known is not None
        if not entry.accepts_requests and not is_kept:
            self._servers_by_id.pop(entry.server_id, None)
            return
        if known is None or _is_restarted(known.entry, entry):
            self._servers_by_id[entry.server_id] = _Server(entry)
        else:
            known.entry = entry
        service = entry.announcement.service
        ids = self._ids_by_service.setdefault(service, set())
        if entry.accepts_requests:
            ids.add(entry.server_id)

    def remove_server(self, server_id: str) -> None:
        """Remove a server until its next entry is put."""
        known = self._servers_by_id.pop(server_id, None)
        if known is not None:
            service = known.entry.announcement.service
            self._ids_by_service[service].discard(server_id)

    def record_crash(self, server_id: str, now: float) -> None:
        """Choose a crashed server no more; its next incarnation is a new server."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.crashed_until = now + _CRASHED_PAUSE_S

    def choose_server(
        self, service: str, excluded_ids: set[str], now: float
    ) -> ServerEntry | None:
        """Return a server for a request, or None if none is usable."""
        servers = [
            self._servers_by_id[server_id]
            for server_id in self._ids_by_service.get(service, ())
            if server_id not in excluded_ids
            and now >= self._servers_by_id[server_id].crashed_until
        ]
        self._eject_outlier(service, now)
        probes = [s for s in servers if ejection.is_probe_due(s.health, now)]
        if probes:
            probes[0].health.probing = True
            return probes[0].entry
        unpaused = [
            s for s in servers if now >= s.paused_until and not s.health.ejected
        ]
        usable = unpaused or [s for s in servers if not s.health.ejected] or servers
        if not usable:
            return None
        sample = usable
        if len(usable) > _RANDOM_SAMPLE_SIZE:
            sample = self._sample(usable)
        return min(
            sample,
            key=lambda s: (self._load(s, now), _latency_step(s), self._rng.random()),
        ).entry

    def _sample(self, usable: list[_Server]) -> list[_Server]:
        own = [s for s in usable if s.entry.announcement.zone == self._zone]
        chosen = self._rng.sample(usable, _RANDOM_SAMPLE_SIZE)
        return [*own, *chosen]

    def _load(self, server: _Server, now: float) -> float:
        announcement = server.entry.announcement
        age_s = now - server.reported_at
        other_hosts = server.other_hosts_in_flight * math.exp2(
            -age_s / _REPORT_HALF_LIFE_S
        )
        slots = max(1, announcement.concurrency)
        load = (server.in_flight + other_hosts) / slots
        excess = server.work_time.find_factor(now) - 1.0
        if excess:
            # The request itself counts as well: an idle slow server isn't idle to it.
            load += excess * (server.in_flight + other_hosts + 1) / slots
        if announcement.zone != self._zone:
            load += _OTHER_ZONE_LOAD_PENALTY
        if server.entry.is_silent:
            load += _SILENT_LOAD_PENALTY
        if now < server.entry.warm_up_ends_at:
            load += _WARM_UP_LOAD_PENALTY
        return load

    def list_servers(self, service: str) -> list[str]:
        """Return the ids of the servers of a service that accept new work."""
        return list(self._ids_by_service.get(service, ()))

    def find_server(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a server, None if it takes no new work."""
        server = self._servers_by_id.get(server_id)
        if server is None or not server.entry.accepts_requests:
            return None
        return server.entry

    def cancel_choice(self, server_id: str) -> None:
        """Record that nothing is sent to a server that was chosen."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.health.probing = False

    def not_sent(self, server_id: str) -> None:
        """Record that a request that was started was not sent for want of a path."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.in_flight = max(0, server.in_flight - 1)
            server.health.probing = False

    def started(self, server_id: str) -> None:
        """Record that a request is sent to a server."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.in_flight += 1

    def ended(
        self,
        server_id: str,
        failed: bool,
        latency_s: float,
        metadata: ResponseMetadata | None,
        now: float,
    ) -> None:
        """Record the end of a request that a server accepted.

        Args:
            server_id: Id of the server.
            failed: Whether the server failed the request or closed the connection.
            latency_s: Time from sending the request to its end, in seconds.
            metadata: Header values of the response, None if there was none.
            now: Loop time in seconds.
        """
        server = self._servers_by_id.get(server_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        self._record_health(server, failed, now)
        if not failed:
            step = latency_s - server.latency_s
            server.latency_s += (
                step if not server.latency_s else _LATENCY_SMOOTHING_FACTOR * step
            )
            self._record_normal_latency(server, latency_s, metadata)
        self._record_load_report(server, metadata, now)

    def _record_load_report(
        self, server: _Server, metadata: ResponseMetadata | None, now: float
    ) -> None:
        if metadata is not None and metadata.running is not None:
            total = metadata.running + metadata.waiting
            server.other_hosts_in_flight = max(0.0, total - 1 - server.in_flight)
            server.reported_at = now
            if metadata.work_time_factor is not None:
                server.work_time.record_report(metadata.work_time_factor, now)

    def _record_normal_latency(
        self, server: _Server, latency_s: float, metadata: ResponseMetadata | None
    ) -> None:
        if metadata is None or metadata.work_time_factor is None:
            return
        normal_s = latency_s / bound_factor(metadata.work_time_factor)
        step = normal_s - server.normal_latency_s
        server.normal_latency_s += (
            step if not server.normal_latency_s else _LATENCY_SMOOTHING_FACTOR * step
        )

    def rejected(
        self, server_id: str, metadata: ResponseMetadata | None, now: float
    ) -> None:
        """Record that a server did not accept a request.

        Args:
            server_id: Id of the server.
            metadata: Header values of the rejection, None if the server was
                unreachable.
            now: Loop time in seconds.
        """
        server = self._servers_by_id.get(server_id)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        pause_s = _REJECTED_PAUSE_S if metadata is not None else _UNREACHABLE_PAUSE_S
        server.paused_until = now + pause_s
        self._record_load_report(server, metadata, now)
        if metadata is None:
            self._record_health(server, True, now)
        else:
            server.health.probing = False

    def median_latency_s(self, service: str) -> float:
        """Return the median of a service's server latencies; 0 if none is known."""
        known = [
            self._servers_by_id[server_id].latency_s
            for server_id in self._ids_by_service.get(service, ())
            if self._servers_by_id[server_id].latency_s
        ]
        return sorted(known)[len(known) // 2] if known else 0.0

    def _record_health(self, server: _Server, failed: bool, now: float) -> None:
        if server.health.ejected:
            ejection.record_probe(server.health, not failed, now)
        else:
            ejection.record_call_result(server.health, failed)

    def _eject_outlier(self, service: str, now: float) -> None:
        servers = [
            self._servers_by_id[i] for i in self._ids_by_service.get(service, ())
        ]
        median_s = self.median_latency_s(service) or 1.0
        views = [
            ejection.PeerStats(
                s.entry.server_id, s.health, (s.latency_s or median_s) / median_s
            )
            for s in servers
        ]
        outlier = ejection.find_outlier(views)
        if outlier is not None:
            ejection.eject(outlier.health, now)


def _latency_step(server: _Server) -> int:
    """Return the step of a server's normal latency; 0 if it reports no work time."""
    if server.normal_latency_s <= 0:
        return 0
    # Positive for each latency above a microsecond, so that a server whose latency is
    # unknown is tried first.
    return max(1, round(math.log(server.normal_latency_s * 1e6) / _LATENCY_STEP))


def _is_restarted(known: ServerEntry, entry: ServerEntry) -> bool:
    before = known.announcement.incarnation_ms
    return before != entry.announcement.incarnation_ms
