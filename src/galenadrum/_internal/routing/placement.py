"""Where one stage call goes: a server of the own zone, another zone, or nowhere."""

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
    choose,
    expected_s,
    is_prefix_choice,
)
from galenadrum._internal.routing.service_times import ServiceTimes
from galenadrum._internal.routing.spill import (
    ZONE_HOP_S,
    ZoneDigests,
    home_zone,
    zone_server_id,
)

_MIN_HOME_TOKENS = 512
_SPILL_GAIN_S = 0.02
_SPILL_GAIN_SHARE = 0.1
_LOCAL_FAILURE_SHARE = 0.3
_FAILURE_GAIN = 0.2
_SLOW_ZONE = 2.0


@dataclass(frozen=True, slots=True)
class LocalPlacement:
    """A server of the own zone.

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
    """An entry host of another zone."""

    digest: ZoneDigest
    choice: Choice
    expected_s: float


Placement = LocalPlacement | ForwardPlacement


class Placer:
    """Chooses placements from what the policy has learned."""

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
        """Return where to send a call now, or None when it has to wait."""
        call = queued.call
        home = self._home_placement(queued, weights, now)
        if home is not None:
            return home
        local = self._local_placement(queued, weights, now)
        if not self._may_forward(call):
            return local
        if local is None or self._should_leave(call, local, now):
            return self._spill_placement(queued, local, now) or local
        return local

    def _local_placement(
        self, queued: QueuedCall, weights: Weights, now: float
    ) -> LocalPlacement | None:
        call = queued.call
        size = self._catalog.size(call.request, call.stage)
        uses_prefix = self._catalog.uses_model(call.stage)
        candidates = self._pool.candidates(call, size, uses_prefix, now)
        slack_s = call.request.deadline - now - queued.rest_s
        feasible = [c for c in candidates if c.probe or expected_s(c) <= slack_s]
        best = choose(feasible, weights, self._random)
        if best is None:
            return None
        choice = Choice.LEAST_EXPECTED
        if best.probe:
            choice = Choice.PROBE
        elif is_prefix_choice(best):
            choice = Choice.PREFIX
        return LocalPlacement(best, choice, expected_s(best), len(candidates))

    def _may_forward(self, call: StageCall) -> bool:
        if call.request.forwarded or not self._mechanisms.spill:
            return False
        if self._catalog.spec(call.stage).repeatable:
            return True
        return not self._pool.serves(call.stage)

    def _should_leave(self, call: StageCall, local: LocalPlacement, now: float) -> bool:
        """Return whether another zone may do better although there is room."""
        if local.candidate.tried:
            return True
        capacity = self._pool.capacity(call.stage, now)
        return capacity.failure_share > _LOCAL_FAILURE_SHARE

    def _spill_placement(
        self, queued: QueuedCall, local: LocalPlacement | None, now: float
    ) -> ForwardPlacement | None:
        call = queued.call
        service_s = queued.cost_s
        serves = self._pool.serves(call.stage)
        digest = self._digests.best(
            call.stage,
            call.tried_server_ids,
            now,
            self._random,
            even_full=not serves,
        )
        if digest is None:
            return None
        remote_s = ZONE_HOP_S + digest.queue_delay_s + service_s
        if local is not None and not self._fails_less(call, digest, now):
            return None
        if local is None and serves:
            wait_s = self._forecast.queue_delay_s(call.stage, now)
            gain_s = wait_s + service_s - remote_s
            if gain_s < _SPILL_GAIN_S + _SPILL_GAIN_SHARE * service_s:
                return None
        if now + remote_s + queued.rest_s > call.request.deadline:
            return None
        return ForwardPlacement(digest, Choice.SPILL, remote_s)

    def _fails_less(self, call: StageCall, digest: ZoneDigest, now: float) -> bool:
        own = self._pool.capacity(call.stage, now).failure_share
        return digest.failure_share + _FAILURE_GAIN < own

    def _home_placement(
        self, queued: QueuedCall, weights: Weights, now: float
    ) -> ForwardPlacement | None:
        """Return the zone that keeps a long prefix, if it should take the call."""
        call = queued.call
        if not (self._mechanisms.home_zones and self._may_forward(call)):
            return None
        prefix = call.request.prefix_hashes
        if not prefix or not self._catalog.uses_model(call.stage):
            return None
        reused = self._pool.reusable_tokens(call.stage, prefix, now)
        if len(prefix) * PREFIX_BLOCK_TOKENS - reused < _MIN_HOME_TOKENS:
            return None
        digest = self._home_digest(call, now)
        if digest is None:
            return None
        wait_s = self._digests.delay_s(call.stage, digest.zone)
        usual_s = self._times.mean(call.stage)
        if wait_s > weights.home_wait_s or digest.service_s > _SLOW_ZONE * usual_s:
            return None
        if digest.failure_share > _LOCAL_FAILURE_SHARE:
            return None
        if zone_server_id(digest.zone) in call.tried_server_ids:
            return None
        expected = ZONE_HOP_S + wait_s + queued.cost_s
        return ForwardPlacement(digest, Choice.HOME_ZONE, expected)

    def _home_digest(self, call: StageCall, now: float) -> ZoneDigest | None:
        digests_by_zone = {
            digest.zone: digest for digest in self._digests.near(call.stage, now)
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
        home = home_zone(call.request.prefix_hashes, capacity_by_zone)
        return digests_by_zone.get(home)
