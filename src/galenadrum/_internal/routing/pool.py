"""Backend servers of the own zone: capacity, load, health and candidates."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from galenadrum._internal.exceptions import InvariantError
from galenadrum._internal.models.requests import AttemptResult, Outcome, StageCall
from galenadrum._internal.models.servers import Announcement, ServerState
from galenadrum._internal.routing import ejection
from galenadrum._internal.routing.concurrency import ConcurrencyLimit
from galenadrum._internal.routing.counters import CallKey, PolicyCounters
from galenadrum._internal.routing.ejection import PeerStats, ServerHealth
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.prefix_cache import PrefixHints
from galenadrum._internal.routing.scoring import Candidate, sample_servers
from galenadrum._internal.routing.server_loads import ServerLoad
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes

_MAX_PROBE_SERVICE_TIME_RATIO = 2.5
_ROUNDING_ALLOWANCE_CALLS = 0.5
_SMALL_POOL_SERVERS = 8
_LARGE_POOL_MAX_CAPACITY_AGE_S = 0.02
_MIN_STALL_RATIO = 2.0
_MAX_QUEUE_ALLOWANCE_SHARE = 0.5
_UNKNOWN_LOAD_SHARE = 0.25


@dataclass(slots=True)
class ServerRecord:
    """State of one backend server.

    Attributes:
        present: False once the server is no longer announced.
        probe_key: Key of the probe call in flight, or None.
    """

    announcement: Announcement
    limit: ConcurrencyLimit
    load: ServerLoad = field(default_factory=ServerLoad)
    health: ServerHealth = field(default_factory=ServerHealth)
    prefix_hints: PrefixHints = field(default_factory=PrefixHints)
    present: bool = True
    probe_key: CallKey | None = None

    @property
    def serving(self) -> bool:
        """Whether the server accepts new calls."""
        return self.present and self.announcement.state is ServerState.SERVING


@dataclass(frozen=True, slots=True)
class StageCapacity:
    """Capacity of the zone's servers for one stage.

    Attributes:
        servers: Number of servers that serve the stage and are not ejected.
        slots: Calls of this entry host that can be served concurrently, in units
            of the fastest server.
        free: Calls that could start immediately.
        total_limit: Sum of the servers' concurrency limits.
        slowness: Slowness of the fastest server.
        failure_share: Mean recent share of failed calls, 0 to 1.
    """

    servers: int
    slots: float
    free: float
    total_limit: float
    slowness: float
    failure_share: float


class ServerPool:
    """Servers of the own zone, by id and by stage."""

    def __init__(
        self,
        times: ServiceTimes,
        mechanisms: Mechanisms,
        counters: PolicyCounters,
        random: Random,
    ) -> None:
        self._times = times
        self._mechanisms = mechanisms
        self._counters = counters
        self._random = random
        self._records_by_id: dict[str, ServerRecord] = {}
        self._ids_by_stage: dict[str, list[str]] = {}
        self._capacity_by_stage: dict[str, tuple[float, StageCapacity]] = {}
        self._outlier_check_at_by_stage: dict[str, float] = {}

    def update(self, announcements: Iterable[Announcement], now: float) -> None:
        """Replace the announced servers; all others are removed when idle."""
        seen = set()
        for announcement in announcements:
            seen.add(announcement.server_id)
            self._update_server(announcement, now)
        for server_id, record in list(self._records_by_id.items()):
            if server_id not in seen:
                record.present = False
                self._drop_if_unused(server_id, record)
        self._index_stages()

    def records(self) -> dict[str, ServerRecord]:
        """Return all known servers by id, for metrics."""
        return dict(self._records_by_id)

    def serves(self, stage: str) -> bool:
        """Return whether any server of the zone accepts calls of a stage."""
        return bool(self._ids_by_stage.get(stage))

    def stages(self) -> tuple[str, ...]:
        """Return the stages served in the zone."""
        return tuple(self._ids_by_stage)

    def capacity(self, stage: str, now: float) -> StageCapacity:
        """Return the capacity of the zone's servers for a stage."""
        known = self._capacity_by_stage.get(stage)
        if known is not None and now - known[0] <= self._max_capacity_age_s(stage):
            return known[1]
        capacity = self._compute_capacity(stage, now)
        self._capacity_by_stage[stage] = (now, capacity)
        return capacity

    def find_candidates(
        self, call: StageCall, size: CallSize, uses_prefix: bool, now: float
    ) -> list[Candidate]:
        """Return the candidate servers of a call.

        If any servers are due for a probe, only these are returned.
        """
        probes = self._probe_candidates(call, size, now)
        if probes:
            return probes
        ids = [server_id for server_id, _ in self._list_usable_servers(call.stage)]
        candidates = []
        for server_id in sample_servers(ids, self._random):
            record = self._records_by_id[server_id]
            accepts_call = self._may_accept_call(record, call.stage, now)
            if not (accepts_call or uses_prefix):
                continue
            candidate = self._build_candidate(call, size, uses_prefix, server_id, now)
            if accepts_call or self._is_queueing_worthwhile(candidate):
                candidates.append(candidate)
        return candidates

    def estimate_reusable_tokens(
        self, stage: str, prefix: tuple[str, ...], now: float
    ) -> float:
        """Return the most tokens of a prefix that any usable server can reuse."""
        if not (self._mechanisms.prefixes and prefix):
            return 0.0
        return max(
            (
                r.prefix_hints.estimate_reusable_tokens(prefix, now)
                for _, r in self._list_usable_servers(stage)
            ),
            default=0.0,
        )

    def record_dispatch(self, call: StageCall, candidate: Candidate, now: float) -> str:
        """Record a dispatch and return the server's address.

        Raises:
            InvariantError: The server does not accept calls of the stage.
        """
        record = self._records_by_id.get(candidate.server_id)
        if record is None or not record.serving:
            raise InvariantError(
                f"can't dispatch to server {candidate.server_id}: it isn't serving"
            )
        if call.stage not in record.announcement.stages:
            raise InvariantError(
                f"can't dispatch to server {candidate.server_id}: "
                f"it doesn't serve stage {call.stage}"
            )
        record.load.record_dispatch(call.key, candidate.nominal_s, now)
        for stage in record.announcement.stages:
            self._invalidate_capacity(stage)
        if candidate.probe:
            record.health.probing = True
            record.probe_key = call.key
        if call.request.prefix_hashes:
            record.prefix_hints.record_dispatch(call.request.prefix_hashes, now)
        return record.announcement.address

    def record_call_end(
        self,
        call: StageCall,
        server_id: str,
        size: CallSize,
        result: AttemptResult,
        now: float,
    ) -> tuple[str, ...]:
        """Record the result of a call and return the stages its server serves."""
        record = self._records_by_id[server_id]
        reached = record.load.estimate_total_calls(now) >= record.limit.value - 1.0
        record.load.record_call_end(call.key, now)
        ratio = result.service_s / self._times.estimate_service_s(call.stage, size)
        failed = result.outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_RUN)
        if result.outcome is Outcome.COMPLETED:
            self._times.record_call(call.stage, size, server_id, result.service_s, now)
            if self._mechanisms.limits:
                record.limit.record_completion(ratio, reached, now)
        elif result.outcome is Outcome.NOT_RUN:
            if self._mechanisms.limits:
                record.limit.overloaded(now)
        elif result.outcome is not Outcome.FAILED:
            self._times.record_interrupted_call(
                call.stage, size, server_id, result.service_s, now
            )
        self._update_health(call, server_id, record, failed, ratio, now)
        for stage in record.announcement.stages:
            self._invalidate_capacity(stage)
        self._drop_if_unused(server_id, record)
        return record.announcement.stages

    def _max_capacity_age_s(self, stage: str) -> float:
        """Return the maximum age in seconds of a stage's cached capacity.

        In a large pool, one call changes the capacity little and recomputing it
        is most expensive.
        """
        large = len(self._ids_by_stage.get(stage, ())) > _SMALL_POOL_SERVERS
        return _LARGE_POOL_MAX_CAPACITY_AGE_S if large else 0.0

    def _invalidate_capacity(self, stage: str) -> None:
        if len(self._ids_by_stage.get(stage, ())) <= _SMALL_POOL_SERVERS:
            self._capacity_by_stage.pop(stage, None)

    def _compute_capacity(self, stage: str, now: float) -> StageCapacity:
        records = self._list_usable_servers(stage)
        if not records:
            return StageCapacity(0, 0.0, 0.0, 0.0, 1.0, 0.0)
        slownesses = [self._slowness(i, record, now) for i, record in records]
        least = min(slownesses)
        slots = free = total_limit = failures = 0.0
        for (_, record), slowness in zip(records, slownesses, strict=True):
            limit = record.limit.value
            others = self._estimate_other_calls(record, now)
            slots += max(1.0, limit - others) * least / slowness
            free += max(0.0, limit - others - len(record.load.in_flight))
            total_limit += limit
            failures += record.health.failure_share
        return StageCapacity(
            len(records), slots, free, total_limit, least, failures / len(records)
        )

    def _update_health(
        self,
        call: StageCall,
        server_id: str,
        record: ServerRecord,
        failed: bool,
        ratio: float,
        now: float,
    ) -> None:
        if record.probe_key == call.key:
            record.probe_key = None
            succeeded = not failed and ratio < _MAX_PROBE_SERVICE_TIME_RATIO
            if ejection.record_probe(record.health, succeeded, now):
                self._counters.restored_by_server[server_id] += 1
            return
        if record.health.ejected:
            return
        ejection.record_call_result(record.health, failed)
        if self._mechanisms.ejection:
            self._eject_outlier(call.stage, now)

    def _eject_outlier(self, stage: str, now: float) -> None:
        checked_at = self._outlier_check_at_by_stage.get(stage, -1.0)
        if now - checked_at < self._max_capacity_age_s(stage):
            return
        self._outlier_check_at_by_stage[stage] = now
        peers = [
            PeerStats(
                server_id,
                self._records_by_id[server_id].health,
                self._slowness(server_id, self._records_by_id[server_id], now),
            )
            for server_id in self._ids_by_stage.get(stage, ())
        ]
        outlier = ejection.find_outlier(peers)
        if outlier is not None:
            ejection.eject(outlier.health, now)
            self._counters.ejected_by_server[outlier.server_id] += 1

    def _update_server(self, announcement: Announcement, now: float) -> None:
        record = self._records_by_id.get(announcement.server_id)
        if record is None:
            limit = ConcurrencyLimit(announcement.capacity)
            record = ServerRecord(announcement, limit)
            self._records_by_id[announcement.server_id] = record
            self._apply_announcement(record, announcement, now)
            return
        known = record.announcement
        record.present = True
        record.announcement = announcement
        if announcement.incarnation != known.incarnation:
            self._reset_after_restart(record)
        elif announcement.sequence == known.sequence:
            return
        record.limit.update_capacity(announcement.capacity)
        self._apply_announcement(record, announcement, now)

    def _reset_after_restart(self, record: ServerRecord) -> None:
        record.prefix_hints.clear()
        record.health = ServerHealth()
        record.probe_key = None
        record.limit = ConcurrencyLimit(record.announcement.capacity)
        self._times.remove_server(record.announcement.server_id)

    def _apply_announcement(
        self, record: ServerRecord, announcement: Announcement, now: float
    ) -> None:
        record.prefix_hints.apply(announcement.cache_events, now)
        if announcement.load is not None:
            record.load.report(announcement.load, now)

    def _drop_if_unused(self, server_id: str, record: ServerRecord) -> None:
        if not record.present and not record.load.in_flight:
            del self._records_by_id[server_id]
            self._times.remove_server(server_id)

    def _index_stages(self) -> None:
        self._ids_by_stage = {}
        self._capacity_by_stage.clear()
        for server_id, record in self._records_by_id.items():
            if record.serving:
                for stage in record.announcement.stages:
                    self._ids_by_stage.setdefault(stage, []).append(server_id)

    def _list_usable_servers(self, stage: str) -> list[tuple[str, ServerRecord]]:
        records = [
            (server_id, self._records_by_id[server_id])
            for server_id in self._ids_by_stage.get(stage, ())
        ]
        return [item for item in records if not item[1].health.ejected]

    def _estimate_other_calls(self, record: ServerRecord, now: float) -> float:
        return (
            record.load.estimate_other_calls(now) if self._mechanisms.reports else 0.0
        )

    def _may_accept_call(self, record: ServerRecord, stage: str, now: float) -> bool:
        own = len(record.load.in_flight)
        if own == 0:
            return True
        total = own + self._estimate_other_calls(record, now)
        limit = record.limit.value
        allowed = limit + self._compute_queue_allowance(record, stage, limit, now)
        return total + 1.0 <= allowed

    def _slowness(self, server_id: str, record: ServerRecord, now: float) -> float:
        estimated = self._times.slowness(server_id, now)
        if not self._mechanisms.stalls:
            return estimated
        stalled = record.load.stall_ratio(now)
        return max(estimated, stalled) if stalled > _MIN_STALL_RATIO else estimated

    def _is_queueing_worthwhile(self, candidate: Candidate) -> bool:
        """Return whether prefix reuse saves more time than queueing costs."""
        if not self._mechanisms.prefix_queueing:
            return False
        excess_calls = candidate.estimated_calls + 1.0 - candidate.limit
        if excess_calls > _MAX_QUEUE_ALLOWANCE_SHARE * candidate.limit:
            return False
        return (
            candidate.service_s * excess_calls / candidate.limit
            < candidate.prefill_saved_s
        )

    def _compute_queue_allowance(
        self, record: ServerRecord, stage: str, limit: float, now: float
    ) -> float:
        """Return the number of calls that may queue on a server.

        It grows with the age of the load report relative to the service time. An
        old report says little of the calls of other hosts, and without the
        allowance slots would stay idle while calls wait on this host.
        """
        service_s = self._times.get_mean_s(stage)
        unknown = min(1.0, _UNKNOWN_LOAD_SHARE * record.load.age_s(now) / service_s)
        return _ROUNDING_ALLOWANCE_CALLS + _MAX_QUEUE_ALLOWANCE_SHARE * unknown * limit

    def _probe_candidates(
        self, call: StageCall, size: CallSize, now: float
    ) -> list[Candidate]:
        return [
            self._build_candidate(call, size, False, server_id, now, probe=True)
            for server_id in self._ids_by_stage.get(call.stage, ())
            if ejection.is_probe_due(self._records_by_id[server_id].health, now)
            and server_id not in call.tried_server_ids
        ]

    def _build_candidate(
        self,
        call: StageCall,
        size: CallSize,
        uses_prefix: bool,
        server_id: str,
        now: float,
        probe: bool = False,
    ) -> Candidate:
        record = self._records_by_id[server_id]
        slowness = self._slowness(server_id, record, now)
        full_service_s = self._times.estimate_service_s(call.stage, size) * slowness
        reused = 0.0
        service_s = full_service_s
        if uses_prefix and self._mechanisms.prefixes:
            hashes = call.request.prefix_hashes
            reused = min(
                size.prefill_tokens,
                record.prefix_hints.estimate_reusable_tokens(hashes, now),
            )
            uncached_size = CallSize(size.prefill_tokens - reused, size.output_tokens)
            service_s = (
                self._times.estimate_service_s(call.stage, uncached_size) * slowness
            )
        return Candidate(
            server_id=server_id,
            service_s=service_s,
            nominal_s=service_s / slowness,
            prefill_saved_s=full_service_s - service_s,
            estimated_calls=len(record.load.in_flight)
            + self._estimate_other_calls(record, now),
            limit=record.limit.value,
            reused_tokens=reused,
            tried=server_id in call.tried_server_ids,
            probe=probe,
        )
