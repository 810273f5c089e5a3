"""The backend servers of the own zone, as the policy sees them."""

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
from galenadrum._internal.routing.ejection import PeerView, ServerHealth
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.prefix_cache import PrefixHints
from galenadrum._internal.routing.scoring import Candidate, sample
from galenadrum._internal.routing.server_loads import ServerLoad
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes

_GOOD_PROBE_RATIO = 2.5
_ROUNDING_CALLS = 0.5
_SMALL_POOL = 8
_LARGE_POOL_CAPACITY_AGE_S = 0.02
_STALLED_RATIO = 2.0
_MAX_ALLOWANCE_SHARE = 0.5
_UNKNOWN_SHARE = 0.25


@dataclass(slots=True)
class ServerRecord:
    """One backend server and what was learned of it."""

    announcement: Announcement
    limit: ConcurrencyLimit
    load: ServerLoad = field(default_factory=ServerLoad)
    health: ServerHealth = field(default_factory=ServerHealth)
    hints: PrefixHints = field(default_factory=PrefixHints)
    present: bool = True
    probe_key: CallKey | None = None

    @property
    def serving(self) -> bool:
        """Whether the server takes new work."""
        return self.present and self.announcement.state is ServerState.SERVING


@dataclass(frozen=True, slots=True)
class StageCapacity:
    """What the zone's servers can take for one stage.

    Attributes:
        servers: Servers that serve the stage and are not ejected.
        slots: Calls this entry host can have served at once, in units of the
            least slow server.
        free: Calls that could start at once.
        total_limit: Calls that may be on the servers together.
        slowness: Slowness of the least slow server.
        failure_share: Mean recent share of failed calls, 0 to 1.
    """

    servers: int
    slots: float
    free: float
    total_limit: float
    slowness: float
    failure_share: float


class ServerPool:
    """The servers of the own zone by id and by stage."""

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
        self._judged_at_by_stage: dict[str, float] = {}

    def update(self, announcements: Iterable[Announcement], now: float) -> None:
        """Take in the servers that stand announced; others are gone."""
        seen = set()
        for announcement in announcements:
            seen.add(announcement.server_id)
            self._update_one(announcement, now)
        for server_id, record in list(self._records_by_id.items()):
            if server_id not in seen:
                record.present = False
                self._drop_if_unused(server_id, record)
        self._index_stages()

    def records(self) -> dict[str, ServerRecord]:
        """Return all known servers by id, for metrics."""
        return dict(self._records_by_id)

    def serves(self, stage: str) -> bool:
        """Return whether any server of the zone takes work of a stage."""
        return bool(self._ids_by_stage.get(stage))

    def stages(self) -> tuple[str, ...]:
        """Return the stages that are served in the zone."""
        return tuple(self._ids_by_stage)

    def capacity(self, stage: str, now: float) -> StageCapacity:
        """Return what the zone's servers can take for a stage."""
        known = self._capacity_by_stage.get(stage)
        if known is not None and now - known[0] <= self._capacity_age_s(stage):
            return known[1]
        capacity = self._work_out_capacity(stage, now)
        self._capacity_by_stage[stage] = (now, capacity)
        return capacity

    def candidates(
        self, call: StageCall, size: CallSize, uses_prefix: bool, now: float
    ) -> list[Candidate]:
        """Return the servers that have room for a call."""
        due = self._probe_candidates(call, size, now)
        if due:
            return due
        ids = [server_id for server_id, _ in self._usable(call.stage)]
        candidates = []
        for server_id in sample(ids, self._random):
            record = self._records_by_id[server_id]
            roomy = self._has_room(record, call.stage, now)
            if not (roomy or uses_prefix):
                continue
            candidate = self._candidate(call, size, uses_prefix, server_id, now)
            if roomy or self._pays_to_queue(candidate):
                candidates.append(candidate)
        return candidates

    def reusable_tokens(self, stage: str, prefix: tuple[str, ...], now: float) -> float:
        """Return the tokens of a prefix that the best server can reuse."""
        if not (self._mechanisms.prefixes and prefix):
            return 0.0
        return max(
            (r.hints.expected_tokens(prefix, now) for _, r in self._usable(stage)),
            default=0.0,
        )

    def start(self, call: StageCall, candidate: Candidate, now: float) -> str:
        """Record a dispatch and return the server's address."""
        record = self._records_by_id.get(candidate.server_id)
        if record is None or not record.serving:
            raise InvariantError(f"dispatch to {candidate.server_id}: not serving")
        if call.stage not in record.announcement.stages:
            raise InvariantError(f"{candidate.server_id} does not serve {call.stage}")
        record.load.start(call.key, candidate.nominal_s, now)
        for stage in record.announcement.stages:
            self._note_change(stage)
        if candidate.probe:
            record.health.probing = True
            record.probe_key = call.key
        if call.request.prefix_hashes:
            record.hints.sent(call.request.prefix_hashes, now)
        return record.announcement.address

    def end(
        self,
        call: StageCall,
        server_id: str,
        size: CallSize,
        result: AttemptResult,
        now: float,
    ) -> tuple[str, ...]:
        """Learn from the end of a call; return the stages with room now."""
        record = self._records_by_id[server_id]
        reached = record.load.total(now) >= record.limit.value - 1.0
        record.load.end(call.key, now)
        ratio = result.service_s / self._times.expected(call.stage, size)
        failed = result.outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_RUN)
        if result.outcome is Outcome.COMPLETED:
            self._times.observe(call.stage, size, server_id, result.service_s, now)
            if self._mechanisms.limits:
                record.limit.succeeded(ratio, reached, now)
        elif result.outcome is Outcome.NOT_RUN:
            if self._mechanisms.limits:
                record.limit.overloaded(now)
        elif result.outcome is not Outcome.FAILED:
            self._times.observe_at_least(
                call.stage, size, server_id, result.service_s, now
            )
        self._judge(call, server_id, record, failed, ratio, now)
        for stage in record.announcement.stages:
            self._note_change(stage)
        self._drop_if_unused(server_id, record)
        return record.announcement.stages

    def _capacity_age_s(self, stage: str) -> float:
        """Return how old a stage's capacity may be, in seconds.

        In a large pool one call changes little and working it out costs most.
        """
        large = len(self._ids_by_stage.get(stage, ())) > _SMALL_POOL
        return _LARGE_POOL_CAPACITY_AGE_S if large else 0.0

    def _note_change(self, stage: str) -> None:
        if len(self._ids_by_stage.get(stage, ())) <= _SMALL_POOL:
            self._capacity_by_stage.pop(stage, None)

    def _work_out_capacity(self, stage: str, now: float) -> StageCapacity:
        records = self._usable(stage)
        if not records:
            return StageCapacity(0, 0.0, 0.0, 0.0, 1.0, 0.0)
        slownesses = [self._slowness(i, record, now) for i, record in records]
        least = min(slownesses)
        slots = free = total_limit = failures = 0.0
        for (_, record), slowness in zip(records, slownesses, strict=True):
            limit = record.limit.value
            others = self._others(record, now)
            slots += max(1.0, limit - others) * least / slowness
            free += max(0.0, limit - others - len(record.load.in_flight))
            total_limit += limit
            failures += record.health.failure_share
        return StageCapacity(
            len(records), slots, free, total_limit, least, failures / len(records)
        )

    def _judge(
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
            good = not failed and ratio < _GOOD_PROBE_RATIO
            if ejection.record_probe(record.health, good, now):
                self._counters.restored_by_server[server_id] += 1
            return
        if record.health.ejected:
            return
        ejection.record_call(record.health, failed)
        if self._mechanisms.ejection:
            self._eject_outlier(call.stage, now)

    def _eject_outlier(self, stage: str, now: float) -> None:
        judged_at = self._judged_at_by_stage.get(stage, -1.0)
        if now - judged_at < self._capacity_age_s(stage):
            return
        self._judged_at_by_stage[stage] = now
        peers = [
            PeerView(
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

    def _update_one(self, announcement: Announcement, now: float) -> None:
        record = self._records_by_id.get(announcement.server_id)
        if record is None:
            limit = ConcurrencyLimit(announcement.capacity)
            record = ServerRecord(announcement, limit)
            self._records_by_id[announcement.server_id] = record
            self._learn_announcement(record, announcement, now)
            return
        known = record.announcement
        record.present = True
        record.announcement = announcement
        if announcement.incarnation != known.incarnation:
            self._restart(record)
        elif announcement.sequence == known.sequence:
            return
        record.limit.announce(announcement.capacity)
        self._learn_announcement(record, announcement, now)

    def _restart(self, record: ServerRecord) -> None:
        record.hints.clear()
        record.health = ServerHealth()
        record.probe_key = None
        record.limit = ConcurrencyLimit(record.announcement.capacity)
        self._times.forget(record.announcement.server_id)

    def _learn_announcement(
        self, record: ServerRecord, announcement: Announcement, now: float
    ) -> None:
        record.hints.apply(announcement.cache_events, now)
        if announcement.load is not None:
            record.load.report(announcement.load, now)

    def _drop_if_unused(self, server_id: str, record: ServerRecord) -> None:
        if not record.present and not record.load.in_flight:
            del self._records_by_id[server_id]
            self._times.forget(server_id)

    def _index_stages(self) -> None:
        self._ids_by_stage = {}
        self._capacity_by_stage.clear()
        for server_id, record in self._records_by_id.items():
            if record.serving:
                for stage in record.announcement.stages:
                    self._ids_by_stage.setdefault(stage, []).append(server_id)

    def _usable(self, stage: str) -> list[tuple[str, ServerRecord]]:
        records = [
            (server_id, self._records_by_id[server_id])
            for server_id in self._ids_by_stage.get(stage, ())
        ]
        return [item for item in records if not item[1].health.ejected]

    def _others(self, record: ServerRecord, now: float) -> float:
        return record.load.others(now) if self._mechanisms.reports else 0.0

    def _has_room(self, record: ServerRecord, stage: str, now: float) -> bool:
        own = len(record.load.in_flight)
        if own == 0:
            return True
        total = own + self._others(record, now)
        limit = record.limit.value
        allowed = limit + self._queue_allowance(record, stage, limit, now)
        return total + 1.0 <= allowed

    def _slowness(self, server_id: str, record: ServerRecord, now: float) -> float:
        learned = self._times.slowness(server_id, now)
        if not self._mechanisms.stalls:
            return learned
        stalled = record.load.stall_ratio(now)
        return max(learned, stalled) if stalled > _STALLED_RATIO else learned

    def _pays_to_queue(self, candidate: Candidate) -> bool:
        """Return whether a kept prefix saves more time than queueing for it costs."""
        if not self._mechanisms.prefix_queueing:
            return False
        over = candidate.total + 1.0 - candidate.limit
        if over > _MAX_ALLOWANCE_SHARE * candidate.limit:
            return False
        return candidate.service_s * over / candidate.limit < candidate.prefill_saved_s

    def _queue_allowance(
        self, record: ServerRecord, stage: str, limit: float, now: float
    ) -> float:
        """Return the calls that may queue on a server.

        The older the report is in comparison with the service time, the less
        is known of the calls of other hosts, and slots would stay idle while
        calls wait here.
        """
        service_s = self._times.mean(stage)
        unknown = min(1.0, _UNKNOWN_SHARE * record.load.age_s(now) / service_s)
        return _ROUNDING_CALLS + _MAX_ALLOWANCE_SHARE * unknown * limit

    def _probe_candidates(
        self, call: StageCall, size: CallSize, now: float
    ) -> list[Candidate]:
        return [
            self._candidate(call, size, False, server_id, now, probe=True)
            for server_id in self._ids_by_stage.get(call.stage, ())
            if ejection.may_probe(self._records_by_id[server_id].health, now)
            and server_id not in call.tried_server_ids
        ]

    def _candidate(
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
        whole_s = self._times.expected(call.stage, size) * slowness
        reused = 0.0
        service_s = whole_s
        if uses_prefix and self._mechanisms.prefixes:
            hashes = call.request.prefix_hashes
            reused = min(size.prefill_tokens, record.hints.expected_tokens(hashes, now))
            rest = CallSize(size.prefill_tokens - reused, size.output_tokens)
            service_s = self._times.expected(call.stage, rest) * slowness
        return Candidate(
            server_id=server_id,
            service_s=service_s,
            nominal_s=service_s / slowness,
            prefill_saved_s=whole_s - service_s,
            total=len(record.load.in_flight) + self._others(record, now),
            limit=record.limit.value,
            reused_tokens=reused,
            tried=server_id in call.tried_server_ids,
            probe=probe,
        )
