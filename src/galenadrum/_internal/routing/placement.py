"""Placement of a stage call on a server of the own zone or in another zone."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from galenadrum._internal.models.requests import StageCall
from galenadrum._internal.models.servers import ZoneDigest
from galenadrum._internal.routing.catalog import StageCatalog
from galenadrum._internal.routing.counters import Choice
from galenadrum._internal.routing.forecast import Forecast
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Weights
from galenadrum._internal.routing.pool import ServerPool
from galenadrum._internal.routing.prefix_cache import PREFIX_BLOCK_TOKENS
from galenadrum._internal.routing.queues import QueuedCall
from galenadrum._internal.routing.scoring import (
    Candidate,
    choose_candidate,
    estimate_call_s,
    is_prefix_choice,
)
from galenadrum._internal.routing.service_times import ServiceTimes
from galenadrum._internal.routing.spill import (
    ZONE_HOP_LATENCY_S,
    ZoneDigests,
    select_home_zone,
    zone_server_id,
)

_MIN_HOME_ZONE_SAVED_TOKENS = 512
_MIN_SPILL_GAIN_S = 0.02
_MIN_SPILL_GAIN_SHARE = 0.1
_HIGH_FAILURE_SHARE = 0.3
_MIN_FAILURE_SHARE_GAIN = 0.2
_MAX_HOME_ZONE_SLOWNESS = 2.0


@dataclass(frozen=True, slots=True)
class LocalPlacement:
    """Placement on a server of the own zone.

    Attributes:
        expected_s: Expected seconds until the call completes.
        candidates: Number of servers that were compared.
    """

    candidate: Candidate
    choice: Choice
    expected_s: float
    candidates: int


@dataclass(frozen=True, slots=True)
class ForwardPlacement:
    """Placement on an entry host of another zone.

    Attributes:
        digest: Digest of the other zone's stage.
        expected_s: Expected seconds until the call completes.
    """

    digest: ZoneDigest
    choice: Choice
    expected_s: float


Placement = LocalPlacement | ForwardPlacement


class Placer:
    """Chooses a server or zone for each stage call."""

    def __init__(
        self,
        zone: str,
        catalog: StageCatalog,
        times: ServiceTimes,
        pool: ServerPool,
        digests: ZoneDigests,
        forecast: Forecast,
        mechanisms: Mechanisms,
        random: Random,
    ) -> None:
        self._zone = zone
        self._catalog = catalog
        self._times = times
        self._pool = pool
        self._digests = digests
        self._forecast = forecast
        self._mechanisms = mechanisms
        self._random = random

    def place(
        self, queued: QueuedCall, weights: Weights, now: float
    ) -> Placement | None:
        """Return the placement of a call, or None if it has to wait."""
        call = queued.call
        home = self._choose_home_zone(queued, weights, now)
        if home is not None:
            return home
        local = self._choose_local_server(queued, weights, now)
        if not self._may_forward(call):
            return local
        if local is None or self._should_try_spill(call, local, now):
            return self._choose_spill_zone(queued, local, now) or local
        return local

    def _choose_local_server(
        self, queued: QueuedCall, weights: Weights, now: float
    ) -> LocalPlacement | None:
        call = queued.call
        size = self._catalog.estimate_call_size(call.request, call.stage)
        uses_prefix = self._catalog.uses_model(call.stage)
        candidates = self._pool.find_candidates(call, size, uses_prefix, now)
        slack_s = call.request.deadline - now - queued.later_stages_s
        feasible = [c for c in candidates if c.probe or estimate_call_s(c) <= slack_s]
        best = choose_candidate(feasible, weights, self._random)
        if best is None:
            return None
        choice = Choice.LEAST_EXPECTED
        if best.probe:
            choice = Choice.PROBE
        elif is_prefix_choice(best):
            choice = Choice.PREFIX
        return LocalPlacement(best, choice, estimate_call_s(best), len(candidates))

    def _may_forward(self, call: StageCall) -> bool:
        if call.request.forwarded or not self._mechanisms.spill:
            return False
        if self._catalog.spec(call.stage).repeatable:
            return True
        return not self._pool.serves(call.stage)

    def _should_try_spill(
        self, call: StageCall, local: LocalPlacement, now: float
    ) -> bool:
        """Return whether to try another zone although a local server has capacity."""
        if local.candidate.tried:
            return True
        capacity = self._pool.capacity(call.stage, now)
        return capacity.failure_share > _HIGH_FAILURE_SHARE

    def _choose_spill_zone(
        self, queued: QueuedCall, local: LocalPlacement | None, now: float
    ) -> ForwardPlacement | None:
        call = queued.call
        service_s = queued.cost_s
        serves = self._pool.serves(call.stage)
        digest = self._digests.choose_zone(
            call.stage,
            call.tried_server_ids,
            now,
            self._random,
            allow_full=not serves,
        )
        if digest is None:
            return None
        remote_s = ZONE_HOP_LATENCY_S + digest.queue_delay_s + service_s
        if local is not None and not self._has_lower_failure_share(call, digest, now):
            return None
        if local is None and serves:
            wait_s = self._forecast.estimate_queue_delay_s(call.stage, now)
            gain_s = wait_s + service_s - remote_s
            if gain_s < _MIN_SPILL_GAIN_S + _MIN_SPILL_GAIN_SHARE * service_s:
                return None
        if now + remote_s + queued.later_stages_s > call.request.deadline:
            return None
        return ForwardPlacement(digest, Choice.SPILL, remote_s)

    def _has_lower_failure_share(
        self, call: StageCall, digest: ZoneDigest, now: float
    ) -> bool:
        own = self._pool.capacity(call.stage, now).failure_share
        return digest.failure_share + _MIN_FAILURE_SHARE_GAIN < own

    def _choose_home_zone(
        self, queued: QueuedCall, weights: Weights, now: float
    ) -> ForwardPlacement | None:
        """Return a placement in the prefix's home zone, if that is worthwhile."""
        call = queued.call
        if not (self._mechanisms.home_zones and self._may_forward(call)):
            return None
        prefix = call.request.prefix_hashes
        if not prefix or not self._catalog.uses_model(call.stage):
            return None
        reused = self._pool.estimate_reusable_tokens(call.stage, prefix, now)
        if len(prefix) * PREFIX_BLOCK_TOKENS - reused < _MIN_HOME_ZONE_SAVED_TOKENS:
            return None
        digest = self._find_home_zone_digest(call, now)
        if digest is None:
            return None
        wait_s = self._digests.estimate_delay_s(call.stage, digest.zone)
        mean_service_s = self._times.get_mean_s(call.stage)
        if (
            wait_s > weights.max_home_zone_wait_s
            or digest.service_s > _MAX_HOME_ZONE_SLOWNESS * mean_service_s
        ):
            return None
        if digest.failure_share > _HIGH_FAILURE_SHARE:
            return None
        if zone_server_id(digest.zone) in call.tried_server_ids:
            return None
        expected = ZONE_HOP_LATENCY_S + wait_s + queued.cost_s
        return ForwardPlacement(digest, Choice.HOME_ZONE, expected)

    def _find_home_zone_digest(self, call: StageCall, now: float) -> ZoneDigest | None:
        digests_by_zone = {
            digest.zone: digest
            for digest in self._digests.list_same_region(call.stage, now)
        }
        capacity_by_zone = {
            zone: digest.capacity
            for zone, digest in digests_by_zone.items()
            if digest.capacity > 0
        }
        own = self._pool.capacity(call.stage, now)
        if own.servers:
            capacity_by_zone[self._zone] = max(1, int(own.total_limit))
        if not capacity_by_zone:
            return None
        home = select_home_zone(call.request.prefix_hashes, capacity_by_zone)
        return digests_by_zone.get(home)
