"""Placement of requests at the model engines of one service.

Load pattern: bursts of similar requests with long prompts that share parts. The
prefill of a long prompt delays the tokens of all requests that run on the same
engine, and the load that an engine reports is stale on arrival. The dispatcher
therefore counts its own placements, spreads pending prefill over the engines, and
prefers an engine that has the prompt's parts cached unless it is clearly busier.
"""

from __future__ import annotations

import copy
import logging
import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from galenadrum._internal.dispatch.cache_fetch import (
    MIN_FETCHED_TOKENS,
    CacheSource,
    PrefillPlan,
    find_source,
    plan_prefill,
)
from galenadrum._internal.dispatch.engine_load import EngineLoad, ReferenceTimes
from galenadrum._internal.dispatch.engine_memory import (
    EngineMemory,
    Holding,
    build_holding,
)
from galenadrum._internal.dispatch.held_prompts import HeldPrompt
from galenadrum._internal.dispatch.messages import PlacementRequest, PromptPart
from galenadrum._internal.dispatch.prefix_cache import PrefixCache
from galenadrum._internal.dispatch.prompt_reuse import (
    ReuseRecord,
    judge_reuse,
    weigh_reading,
)
from galenadrum._internal.dispatch.transfer_costs import (
    count_moved_bytes,
    estimate_transfer_penalty,
)
from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import EngineLimits
from galenadrum._internal.models.server_load import ServerLoad
from galenadrum._internal.routing.request_pacer import RequestPacer
from galenadrum._internal.routing.rest_schedule import RestSchedule

logger = logging.getLogger(__name__)

# Initial estimates, adjusted to observed times to the first token.
_INITIAL_PREFILL_TOKENS_PER_S = 60_000.0
_INITIAL_OVERHEAD_S = 0.08
_PREFILL_RATE_SMOOTHING = 0.1
_MIN_RATE_SAMPLE_TOKENS = 2_000
# Delay of the first token by each request that runs on the same engine.
_DELAY_PER_RUNNING_REQUEST_S = 0.001
# Delay added to the forecast of an engine in another zone by a dispatcher that owns the
# engines of one zone; it avoids those of other zones as long as it can.
_OTHER_ZONE_PENALTY_S = 0.15
# Delay added for each byte that an engine would fetch from another one's cache.
_FETCH_PENALTY_S_PER_BYTE = 0.15e-9
_WARM_UP_DELAY_S = 0.2
# Share of an engine's slots that are filled; other dispatchers may use it as well.
_SLOT_FILL_SHARE = 0.95
# Share of the memory that cached parts may fill; engines round up to blocks of tokens.
_USABLE_CACHE_SHARE = 0.9
_DEFAULT_SLOTS = 64
_INITIAL_BACKOFF_S = 0.15
_MAX_BACKOFF_S = 3.0
_SLOWNESS_HALF_LIFE_S = 6.0
_LOGGED_RATIO_CHANGE = 1.25
_LOGGED_HIT_SHARE = 0.5
# Its announcements stop, or those of its next incarnation arrive, within this time.
_CRASH_PAUSE_S = 5.0


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """Properties of a request that determine its placement.

    Attributes:
        prompt: Parts of the prompt in order.
        prompt_tokens: Length of the prompt in tokens.
        zone: Zone that holds most of its inputs, or in which the request arrived.
        input_bytes_by_zone: Size of the inputs in bytes, by the zone that holds them.
        slack_s: Time in seconds that the request can lose without being late.
        software_version: Version of the only engines that may serve it; None if any
            may.
        sender: Id of the host that sends it to its engine; empty for this host.
        output_tokens: Most tokens that it may generate; 0 if unknown.
    """

    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    zone: str
    input_bytes_by_zone: Mapping[str, float] = field(default_factory=dict)
    slack_s: float = 0.0
    software_version: str | None = None
    sender: str = ""
    output_tokens: int = 0

    def build_holding(self) -> Holding:
        """Return what the request will hold at its engine."""
        return build_holding(self.prompt, self.prompt_tokens, self.output_tokens)


@dataclass(slots=True)
class Run:
    """A request that was placed at an engine.

    Attributes:
        uncached_tokens: Tokens of its prompt that the engine reads.
        placed_at: Loop time in seconds.
        queued_tokens: Pending prefill of the engine when the request was placed.
        started_at: Loop time in seconds of its first event; None before it.
        fetch_s: Time in seconds that it takes to fetch the other tokens.
        was_suspended: Whether this process was suspended before its first event.
        sender: Id of the host that sent it to the engine; empty for this host.
        work_time_factor: Expected work time factor of the engine's machine when the
            request was placed.
        cached_tokens: Tokens of its prompt that the engine was expected to have.
        last_use: Tokens that the engine had read in all before it last used the
            beginning of the prompt; None if that wasn't in the cache.
    """

    request_id: str
    prompt: tuple[PromptPart, ...]
    uncached_tokens: int
    placed_at: float
    queued_tokens: int
    started_at: float | None = None
    fetch_s: float = 0.0
    was_suspended: bool = False
    sender: str = ""
    work_time_factor: float = 1.0
    cached_tokens: int = 0
    last_use: int | None = None


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engine for a request, and how it gets the prompt.

    Attributes:
        prefill: What the engine reads and what it fetches.
    """

    engine: Engine
    prefill: PrefillPlan

    @property
    def server_id(self) -> str:
        """Id of the engine."""
        return self.engine.announcement.server_id


@dataclass(frozen=True, slots=True)
class EngineRest:
    """Rests of all engines that may serve a request.

    Attributes:
        left_s: Seconds until the first rest ends.
        usable_left_s: Seconds until the first rest of an engine ends that hasn't
            rejected the request; infinite if there is none.
    """

    left_s: float
    usable_left_s: float


@dataclass(slots=True)
class Engine:
    """One model engine.

    Attributes:
        cache: Estimated content of its prefix cache.
        memory: Tokens that its requests hold.
        reuse: What first events have shown of the cache.
        is_silent: Whether its announcements have stopped.
        usable_slots: Number of requests that are placed there at once.
        warm_up_ends_at: Loop time in seconds at which its warm-up ends.
        runs_by_request: Requests that this dispatcher has placed there.
        pending_prefill_tokens: Uncached tokens of placed prompts whose prefill is
            pending.
        load: Learned time ratio and reported work time.
        logged_time_ratio: Learned time ratio that was logged last.
        slowness: Ratio of observed to expected time to the first token, beyond what
            ``load`` explains.
        slowness_at: Loop time in seconds of the last slowness update.
        consecutive_failures: Number of consecutive failed placements.
        paused_until: Loop time in seconds before which nothing is placed there.
        is_evacuated: Whether its zone is evacuated; nothing is placed there.
    """

    announcement: Announcement
    cache: PrefixCache
    memory: EngineMemory = field(default_factory=EngineMemory)
    is_silent: bool = False
    usable_slots: int = 1
    warm_up_ends_at: float = 0.0
    runs_by_request: dict[str, Run] = field(default_factory=dict)
    pending_prefill_tokens: int = 0
    reuse: ReuseRecord = field(default_factory=ReuseRecord)
    load: EngineLoad = field(default_factory=EngineLoad)
    logged_time_ratio: float = 1.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    consecutive_failures: int = 0
    paused_until: float = 0.0
    is_evacuated: bool = False

    def add_run(self, run: Run, holding: Holding) -> None:
        """Add a placed request, its pending prefill and what it will hold."""
        self.remove_run(run.request_id)
        self.memory.add_request(run.request_id, holding)
        self.runs_by_request[run.request_id] = run
        self.pending_prefill_tokens += run.uncached_tokens

    def start_run(self, run: Run, now: float) -> None:
        """Mark a request as started and its prefill as done."""
        run.started_at = now
        self.pending_prefill_tokens -= run.uncached_tokens

    def remove_run(self, request_id: str) -> None:
        """Remove a request and the prefill that it has pending."""
        run = self.runs_by_request.pop(request_id, None)
        if run is None:
            return
        self.memory.remove_request(request_id)
        if run.started_at is None:
            self.pending_prefill_tokens -= run.uncached_tokens

    def abandon_run(self, request_id: str, now: float) -> None:
        """Remove a request whose host is unreachable; its memory counts for a while."""
        run = self.runs_by_request.pop(request_id, None)
        if run is None:
            return
        self.memory.abandon_request(request_id, now)
        if run.started_at is None:
            self.pending_prefill_tokens -= run.uncached_tokens

    def record_load(self, load: ServerLoad, now: float) -> None:
        """Record the load that the engine reports."""
        if load.work_time_factor is not None:
            self.load.work_time.record_report(load.work_time_factor, now)
        # A false report must not count more requests than the engine has slots.
        total = min(load.running + load.waiting, self.announcement.concurrency)
        others = total - len(self.memory.holdings_by_request)
        self.memory.record_others(max(0, others), now)

    def current_slowness(self, now: float) -> float:
        """Return the slowness, decayed exponentially towards 1."""
        if self.slowness == 1.0:
            return 1.0
        age_s = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)

    def estimate_cached_tokens(self, prompt: tuple[PromptPart, ...], now: float) -> int:
        """Return the tokens of a prompt's prefix that it is expected to have."""
        tokens = self.cache.expected_tokens(prompt, now)
        return int(tokens * self.reuse.find_share(now)) if tokens else 0

    def update_room(self, now: float) -> None:
        """Update the room of cached parts beside what running requests generate."""
        memory = self.memory
        if memory.capacity_tokens:
            taken_tokens = memory.generated_tokens + memory.count_other_tokens(now)
            usable_tokens = memory.capacity_tokens * _USABLE_CACHE_SHARE
            self.cache.set_capacity(usable_tokens - taken_tokens)

    def find_time_factor(self, now: float) -> float:
        """Return the factor on the time that an engine usually needs."""
        return self.load.find_factor(now) * self.current_slowness(now)


class EnginePool:
    """Model engines of one service, as one dispatcher uses them.

    Args:
        service: Name of the service.
        zone: Zone whose engines the dispatcher owns; empty if it owns all zones.
        limits: Capacity limits of the service's engines, if configured.
        pacer: Spaces the requests to engines that name a limit.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        limits: EngineLimits | None,
        pacer: RequestPacer,
    ) -> None:
        self.service = service
        self._pacer = pacer
        self._zone = zone
        self._limits = limits
        self.engines_by_id: dict[str, Engine] = {}
        # An engine asks each sender for a rest of its own.
        self._rests = RestSchedule(random.Random())
        self.prefill_tokens_per_s = _INITIAL_PREFILL_TOKENS_PER_S
        self.overhead_s = _INITIAL_OVERHEAD_S
        self._reference = ReferenceTimes()

    def copy_for_reading(self, pacer: RequestPacer) -> EnginePool:
        """Return a copy for estimates only, which uses a pacer of its own."""
        copied = copy.copy(self)
        copied._pacer = pacer
        return copied

    def put_server(
        self, announcement: Announcement, is_silent: bool, warm_up_ends_at: float
    ) -> None:
        """Add an engine, or update it.

        A restarted engine starts afresh, but keeps the time ratio of its machine.
        """
        known = self.engines_by_id.get(announcement.server_id)
        if known is None or (
            known.announcement.incarnation_ms != announcement.incarnation_ms
        ):
            capacity = self._limits.kv_capacity_tokens if self._limits else 0
            load = known.load.restart() if known is not None else EngineLoad()
            cache = PrefixCache(capacity * _USABLE_CACHE_SHARE)
            known = Engine(announcement, cache, EngineMemory(capacity), load=load)
            self.engines_by_id[announcement.server_id] = known
        known.announcement = announcement
        slots = announcement.concurrency or (
            self._limits.concurrency if self._limits else _DEFAULT_SLOTS
        )
        known.usable_slots = max(1, int(slots * _SLOT_FILL_SHARE))
        known.is_silent = is_silent
        known.is_evacuated = False
        known.warm_up_ends_at = warm_up_ends_at

    def remove_server(self, server_id: str) -> None:
        """Stop placing requests at an engine; its running requests continue."""
        self.engines_by_id.pop(server_id, None)

    def evacuate_server(self, server_id: str) -> None:
        """Stop placing requests at an engine, but remember those that run there.

        Its zone may be taken back while they still use its slots and its memory.
        """
        engine = self.engines_by_id.get(server_id)
        if engine is not None:
            engine.is_evacuated = True

    def choose_engine(
        self, demand: EngineDemand, excluded: frozenset[str], now: float
    ) -> EngineChoice | None:
        """Return the engine with the earliest expected first token.

        Returns:
            None if all engines are full, excluded, paused, at their limit or at rest,
            or have no memory left for the request.
        """
        best: EngineChoice | None = None
        lowest_s = math.inf
        holding = demand.build_holding()
        time_left_s = self._find_time_left(demand)
        is_paced = self._pacer.has_limits()
        engines = self._usable_engines(demand, now)
        if self.has_rests:
            engines = [e for e in engines if self._may_place(e, demand.sender, now)]
        forecast = self._build_forecast(demand, engines, now)
        for engine in engines:
            server_id = engine.announcement.server_id
            if server_id in excluded or self.is_full(engine):
                continue
            if not engine.memory.has_room(holding, now):
                continue
            if is_paced and self._pacer.wait_s(server_id, now) > 0:
                continue
            cost_s, prefill = forecast(engine)
            if cost_s >= lowest_s:
                continue
            read_s = prefill.read_tokens / self.prefill_tokens_per_s
            cost_s = weigh_reading(cost_s, read_s, time_left_s)
            if cost_s < lowest_s:
                lowest_s, best = cost_s, EngineChoice(engine, prefill)
        return best

    def _find_time_left(self, demand: EngineDemand) -> float:
        """Return the seconds until a first event is due; 0 without any slack."""
        if not demand.slack_s:
            return 0.0
        read_s = demand.prompt_tokens / self.prefill_tokens_per_s
        return demand.slack_s + self.overhead_s + read_s

    def forecast_engines(
        self, demand: EngineDemand, now: float
    ) -> Iterator[tuple[EngineChoice, float, float, str]]:
        """Yield what `choose_engine` would compare, for engines that it skips as well.

        Only for copies: the estimates may change schedules of the pacer.

        Returns:
            Each engine with its prefill, its expected delay in seconds, the cost in
            seconds that is compared, and why nothing would be placed there; empty if it
            could be chosen.
        """
        usable = self._usable_engines(demand, now)
        usable = [e for e in usable if self._may_place(e, demand.sender, now)]
        forecast = self._build_forecast(demand, usable, now)
        time_left_s = self._find_time_left(demand)
        for engine in self.engines_by_id.values():
            delay_s, prefill = forecast(engine)
            read_s = prefill.read_tokens / self.prefill_tokens_per_s
            cost_s = weigh_reading(delay_s, read_s, time_left_s)
            if any(engine is candidate for candidate in usable):
                reason = self._find_obstacle(engine, demand, now)
            else:
                reason = self._find_exclusion(engine, demand, now)
            yield EngineChoice(engine, prefill), delay_s, cost_s, reason

    def _find_exclusion(self, engine: Engine, demand: EngineDemand, now: float) -> str:
        """Return why an engine isn't usable for a request."""
        if engine.is_evacuated:
            return "evacuated"
        if not any(engine is e for e in self._list_engines(demand.software_version)):
            return "other_version"
        if now < engine.paused_until:
            return "paused"
        if self._zone and self._pacer.has_limits() and self._is_paced_elsewhere(engine):
            return "limited_in_other_zone"
        if not self._may_place(engine, demand.sender, now):
            return "resting"
        return "silent" if engine.is_silent else "cold"

    def _find_obstacle(self, engine: Engine, demand: EngineDemand, now: float) -> str:
        """Return why a usable engine can't be sent a request now; empty if it can."""
        if self.is_full(engine):
            return "full"
        if not engine.memory.copy().has_room(demand.build_holding(), now):
            return "memory"
        server_id = engine.announcement.server_id
        if self._pacer.has_limits() and self._pacer.wait_s(server_id, now) > 0:
            return "cold" if now < engine.warm_up_ends_at else "limited"
        return ""

    def _find_source(
        self, engines: list[Engine], demand: EngineDemand
    ) -> CacheSource | None:
        """Return the engine that others can fetch the prompt's prefix from."""
        if not self._limits or not self._limits.cache_link_bytes_per_s:
            return None
        return find_source(
            demand.prompt,
            (
                (e.announcement.server_id, e.announcement.address, e.cache)
                for e in engines
                if not e.is_silent
            ),
        )

    def _build_forecast(
        self, demand: EngineDemand, engines: list[Engine], now: float
    ) -> Callable[[Engine], tuple[float, PrefillPlan]]:
        """Return a function that forecasts a request's first event at an engine.

        What is the same at all engines, or at all of a zone, is computed once: with
        600 engines the function has a microsecond each.

        Args:
            demand: Properties of the request.
            engines: Engines from which others may fetch the prompt's prefix.
            now: Loop time in seconds.

        Returns:
            Returns the expected time to the first event in seconds, and how the engine
            gets the prompt.
        """
        rate, overhead_s = self.prefill_tokens_per_s, self.overhead_s
        prompt, prompt_tokens = demand.prompt, demand.prompt_tokens
        source = self._find_source(engines, demand)
        source_version = ""
        if source is not None:
            holder = self.engines_by_id[source.server_id].announcement
            source_version = holder.software_version

        def plan(cached_tokens: int, usable: CacheSource | None) -> PrefillPlan:
            return plan_prefill(
                prompt_tokens,
                cached_tokens,
                usable,
                self._limits,
                lambda tokens: tokens / rate,
            )

        plan_without_source = plan(0, None)
        plan_with_source = plan(0, source)
        penalties_s_by_zone: dict[str, float] = {}

        def forecast(engine: Engine) -> tuple[float, PrefillPlan]:
            announcement = engine.announcement
            # Software of another version may keep its cache in another form.
            may_fetch = (
                source is not None and announcement.software_version == source_version
            )
            cached_tokens = engine.estimate_cached_tokens(prompt, now)
            if cached_tokens:
                prefill = plan(cached_tokens, source if may_fetch else None)
            else:
                prefill = plan_with_source if may_fetch else plan_without_source
            tokens = prefill.read_tokens + engine.pending_prefill_tokens
            delay_s = tokens / rate + prefill.fetch_s + overhead_s
            delay_s += len(engine.runs_by_request) * _DELAY_PER_RUNNING_REQUEST_S
            delay_s *= engine.find_time_factor(now)
            penalty_s = penalties_s_by_zone.get(announcement.zone)
            if penalty_s is None:
                penalty_s = self._zone_penalty_s(engine, demand)
                penalties_s_by_zone[announcement.zone] = penalty_s
            delay_s += penalty_s
            if prefill.fetched_tokens:
                delay_s += self._fetch_penalty_s(prefill)
            if now < engine.warm_up_ends_at:
                delay_s += _WARM_UP_DELAY_S
            return delay_s, prefill

        return forecast

    @property
    def has_rests(self) -> bool:
        """Whether an engine asked any host for a rest lately."""
        return len(self._rests) > 0

    def _rest_s(self, engine: Engine, sender: str, now: float) -> float:
        """Return the seconds until a host's rest from an engine ends."""
        return self._rests.left_s(_build_rest_key(engine, sender), now)

    def _may_place(self, engine: Engine, sender: str, now: float) -> bool:
        """Return whether neither a rest nor the first request after it is under way."""
        return self._rests.wait_s(_build_rest_key(engine, sender), now) == 0

    def record_rest(
        self, server_id: str, sender: str, rest_s: float, now: float
    ) -> None:
        """Record that an engine asked a host for a rest.

        Args:
            server_id: Id of the engine.
            sender: Id of the host; empty for this one.
            rest_s: Seconds until the host may send to it again.
            now: Loop time in seconds.
        """
        engine = self.engines_by_id.get(server_id)
        if engine is not None and rest_s > self._rest_s(engine, sender, now):
            self._rests.begin_rest(_build_rest_key(engine, sender), rest_s, now)

    def find_common_rest(
        self, demand: EngineDemand, excluded: frozenset[str], now: float
    ) -> EngineRest | None:
        """Return the earliest end of rests if all engines are at rest.

        Args:
            demand: The request.
            excluded: Engines that rejected it.
            now: Loop time in seconds.

        Returns:
            None if an engine that isn't excluded doesn't rest, or none rests at all.
        """
        if not self.has_rests:
            return None
        waits_s: list[float] = []
        usable_waits_s: list[float] = []
        for engine in self._list_engines(demand.software_version):
            rest_s = self._rest_s(engine, demand.sender, now)
            is_excluded = engine.announcement.server_id in excluded
            if not rest_s and not is_excluded:
                return None
            if rest_s:
                waits_s.append(rest_s)
                if not is_excluded:
                    usable_waits_s.append(rest_s)
        if not waits_s:
            return None
        return EngineRest(min(waits_s), min(usable_waits_s, default=math.inf))

    def has_version(self, software_version: str) -> bool:
        """Return whether an engine of a software version takes requests."""
        return bool(self._list_engines(software_version))

    def _usable_engines(self, demand: EngineDemand, now: float) -> list[Engine]:
        engines = self._list_engines(demand.software_version)
        unpaused = [e for e in engines if now >= e.paused_until]
        if self._zone and self._pacer.has_limits():
            unpaused = [e for e in unpaused if not self._is_paced_elsewhere(e)]
        unpaused = self._pacer.skip_last_resorts(unpaused)
        responsive = [e for e in unpaused if not e.is_silent]
        return responsive or unpaused

    def _list_engines(self, software_version: str | None) -> list[Engine]:
        engines = [e for e in self.engines_by_id.values() if not e.is_evacuated]
        if software_version is None:
            return engines
        return [
            e for e in engines if e.announcement.software_version == software_version
        ]

    def _is_paced_elsewhere(self, engine: Engine) -> bool:
        """Return whether the dispatcher of another zone spaces an engine's requests."""
        announcement = engine.announcement
        if announcement.zone == self._zone:
            return False
        return self._pacer.find_rate(announcement.server_id) is not None

    def is_full(self, engine: Engine) -> bool:
        """Return whether the usable share of an engine's slots is occupied."""
        return len(engine.runs_by_request) >= engine.usable_slots

    def estimate_first_token_delay(
        self, engine: Engine, demand: EngineDemand, now: float
    ) -> float:
        """Return the expected time to the first token, in seconds."""
        engines = self._usable_engines(demand, now)
        return self._build_forecast(demand, engines, now)(engine)[0]

    def _fetch_penalty_s(self, prefill: PrefillPlan) -> float:
        if not prefill.fetched_tokens or self._limits is None:
            return 0.0
        size = prefill.fetched_tokens * self._limits.cache_token_bytes
        return size * _FETCH_PENALTY_S_PER_BYTE

    def _zone_penalty_s(self, engine: Engine, demand: EngineDemand) -> float:
        """Return the delay in seconds added for an engine in another zone."""
        zone = engine.announcement.zone
        if self._zone:
            return 0.0 if zone == self._zone else _OTHER_ZONE_PENALTY_S
        moved_bytes = count_moved_bytes(demand.input_bytes_by_zone, zone)
        if not moved_bytes and zone == demand.zone:
            return 0.0
        return estimate_transfer_penalty(moved_bytes, demand.slack_s)

    def estimate_shortest_delay(
        self, demand: EngineDemand, now: float, count_waiting: Callable[[], int]
    ) -> float:
        """Return the shortest expected time to a first token, in seconds.

        Args:
            demand: Properties of the request.
            now: Loop time in seconds.
            count_waiting: Returns the number of requests that will be placed before;
                called if all engines name a limit.
        """
        engines = self._usable_engines(demand, now)
        if not engines:
            return self._estimate_delay_after_pause(demand, now)
        forecast = self._build_forecast(demand, engines, now)
        has_rests = self.has_rests
        delays_s = [
            forecast(e)[0] + (self._rest_s(e, demand.sender, now) if has_rests else 0.0)
            for e in engines
        ]
        if not self._pacer.has_limits():
            return min(delays_s)
        server_ids = [e.announcement.server_id for e in engines]
        delay_s = min(
            delay_s + self._pacer.wait_s(server_id, now)
            for delay_s, server_id in zip(delays_s, server_ids, strict=True)
        )
        rates = [self._pacer.find_rate(server_id) for server_id in server_ids]
        if None not in rates:
            delay_s += count_waiting() / sum(rates)
        return delay_s

    def _estimate_delay_after_pause(self, demand: EngineDemand, now: float) -> float:
        """Return the shortest delay of engines whose version alone may serve.

        Any other request is better refused than to wait for a paused engine.
        """
        if demand.software_version is None:
            return math.inf
        return min(
            (
                self.estimate_first_token_delay(engine, demand, now)
                + max(0.0, engine.paused_until - now)
                for engine in self._list_engines(demand.software_version)
            ),
            default=math.inf,
        )

    def place(
        self, choice: EngineChoice, request_id: str, demand: EngineDemand, now: float
    ) -> None:
        """Record the placement of a request at an engine."""
        engine = choice.engine
        self._pacer.record_request(choice.server_id, now)
        self._rests.record_send(_build_rest_key(engine, demand.sender), now)
        engine.add_run(
            Run(
                request_id,
                demand.prompt,
                choice.prefill.read_tokens,
                now,
                engine.pending_prefill_tokens,
                fetch_s=choice.prefill.fetch_s,
                sender=demand.sender,
                work_time_factor=engine.load.work_time.find_factor(now),
                cached_tokens=engine.estimate_cached_tokens(demand.prompt, now),
                last_use=engine.cache.find_last_use(demand.prompt),
            ),
            demand.build_holding(),
        )
        engine.update_room(now)
        # Updated before the prefill ends, so that requests with the same prompt parts
        # that follow immediately are placed at the same engine.
        engine.cache.record_use(demand.prompt, now)

    def record_start(
        self,
        server_id: str,
        request_id: str,
        now: float,
        load: ServerLoad | None = None,
    ) -> None:
        """Record the first event of a request and update the estimates.

        Args:
            server_id: Id of the engine.
            request_id: Id of the request.
            now: Loop time in seconds.
            load: Load that the engine reports; None if it reports none.
        """
        engine = self.engines_by_id.get(server_id)
        run = engine.runs_by_request.get(request_id) if engine else None
        if run is None or run.started_at is not None:
            return
        engine.start_run(run, now)
        self._rests.record_response(_build_rest_key(engine, run.sender), run.placed_at)
        engine.cache.record_read(run.prompt)
        engine.consecutive_failures = 0
        if load is not None:
            engine.record_load(load, now)
        if not run.was_suspended:
            self._update_estimates(engine, run, now)

    def record_suspension(self) -> None:
        """Record that this process was suspended while requests waited for an engine.

        Their first events are reported late, which tells nothing of the engines.
        """
        for run in self.list_runs():
            if run.started_at is None:
                run.was_suspended = True

    def describe_held_prompt(
        self, server_id: str, request_id: str
    ) -> HeldPrompt | None:
        """Return the parts of a started request that others may share.

        Returns:
            None if the request is unknown or its shared parts are too short to fetch.
        """
        engine = self.engines_by_id.get(server_id)
        run = engine.runs_by_request.get(request_id) if engine else None
        # The last part belongs to the request itself.
        parts = run.prompt[:-1] if run is not None else ()
        if sum(part.tokens for part in parts) < MIN_FETCHED_TOKENS:
            return None
        return HeldPrompt(server_id, engine.announcement.incarnation_ms, parts)

    def record_held_prompt(self, held: HeldPrompt, now: float) -> None:
        """Record what an engine has read for another dispatcher."""
        engine = self.engines_by_id.get(held.server_id)
        if engine is None:
            return
        if engine.announcement.incarnation_ms == held.incarnation_ms:
            engine.cache.record_use(held.parts, now)
            engine.cache.record_read(held.parts)

    def _update_estimates(self, engine: Engine, run: Run, now: float) -> None:
        # The machine may have changed its work time while the request waited.
        work_time_factor = (
            run.work_time_factor + engine.load.work_time.find_factor(now)
        ) / 2
        usual_s = max(0.001, now - run.placed_at - run.fetch_s) / work_time_factor
        # Of an engine with the time ratio 1, of which the common estimates are.
        duration_s = usual_s / engine.load.time_ratio
        slowness = engine.current_slowness(now)
        tokens = run.uncached_tokens + run.queued_tokens
        if self._judge_cache(engine, run, duration_s / slowness, now) is False:
            # The engine has read more than was expected, but wasn't slower.
            tokens += run.cached_tokens
        expected_s = self.overhead_s + tokens / self.prefill_tokens_per_s
        engine.slowness = slowness + 0.3 * (
            max(1.0, duration_s / expected_s) - slowness
        )
        engine.slowness_at = now
        self._reference.record_time(engine.load, usual_s, expected_s)
        if self._reference.is_centring_due:
            self._reference.centre(e.load for e in self.engines_by_id.values())
        self._log_time_ratio(engine)
        if tokens >= _MIN_RATE_SAMPLE_TOKENS and duration_s > self.overhead_s:
            rate = tokens / (duration_s - self.overhead_s)
            # Bounds the effect of a single fast prefill (the engine may have cached
            # more than estimated), which would make all engines look idle.
            rate = min(rate, 2 * self.prefill_tokens_per_s)
            self.prefill_tokens_per_s += _PREFILL_RATE_SMOOTHING * (
                rate - self.prefill_tokens_per_s
            )

    def _judge_cache(
        self, engine: Engine, run: Run, observed_s: float, now: float
    ) -> bool | None:
        """Return whether a prompt's beginning was in the cache, and record it.

        Returns:
            None if nothing was expected there, or the first event doesn't tell.
        """
        if run.last_use is None or run.fetch_s:
            return None
        tokens = run.uncached_tokens + run.queued_tokens
        hit_s = self.overhead_s + tokens / self.prefill_tokens_per_s
        miss_s = hit_s + run.cached_tokens / self.prefill_tokens_per_s
        was_held = judge_reuse(observed_s, hit_s, miss_s)
        if was_held is None:
            return None
        share_before = engine.reuse.find_share(now)
        engine.reuse.record_verdict(was_held, now)
        if not was_held:
            engine.cache.record_loss(run.last_use)
        if engine.reuse.hit_share < _LOGGED_HIT_SHARE <= share_before:
            logger.info(
                "engine %s of %s holds fewer cached parts than expected",
                engine.announcement.server_id,
                self.service,
            )
        return was_held

    def _log_time_ratio(self, engine: Engine) -> None:
        """Log the learned time ratio of an engine if it has changed noticeably."""
        ratio = engine.load.time_ratio
        change = ratio / engine.logged_time_ratio
        if 1 / _LOGGED_RATIO_CHANGE < change < _LOGGED_RATIO_CHANGE:
            return
        engine.logged_time_ratio = ratio
        logger.info(
            "engine %s of %s takes %.2f times as long as its peers",
            engine.announcement.server_id,
            self.service,
            ratio,
        )

    def record_end(self, server_id: str, request_id: str) -> None:
        """Free the slot of a request that has ended."""
        engine = self.engines_by_id.get(server_id)
        run = engine.runs_by_request.get(request_id) if engine else None
        if run is not None:
            engine.remove_run(request_id)
            if run.started_at is None:
                engine.cache.remove_unread(run.prompt)

    def record_abandonment(self, server_id: str, request_id: str, now: float) -> None:
        """Free the slot of a request whose host is unreachable.

        The engine may go on with it, so that its memory counts for some time.
        """
        engine = self.engines_by_id.get(server_id)
        if engine is not None:
            engine.abandon_run(request_id, now)

    def is_too_large(self, request: PlacementRequest) -> bool:
        """Return whether a request alone exceeds the memory of each engine."""
        capacity = self._limits.kv_capacity_tokens if self._limits else 0
        holding = build_holding(
            request.prompt, request.prompt_tokens, request.most_output_tokens
        )
        return 0 < capacity < holding.tokens

    def record_failure(self, server_id: str, request_id: str, now: float) -> None:
        """Free the slot of a failed request and pause its engine with backoff.

        Requests that fail while the engine is paused were placed before, and are of one
        failure.
        """
        self.record_end(server_id, request_id)
        engine = self.engines_by_id.get(server_id)
        if engine is not None and now >= engine.paused_until:
            pause_s = _INITIAL_BACKOFF_S * 2**engine.consecutive_failures
            brittle = self._pacer.find_brittle(server_id)
            if brittle is not None:
                pause_s = max(pause_s, brittle.rejection_pause_s)
            engine.paused_until = now + min(pause_s, _MAX_BACKOFF_S)
            engine.consecutive_failures += 1

    def record_crash(self, server_id: str, now: float) -> None:
        """Place nothing at a crashed engine until it may have started again."""
        engine = self.engines_by_id.get(server_id)
        if engine is not None:
            engine.paused_until = max(engine.paused_until, now + _CRASH_PAUSE_S)

    def find_run(self, server_id: str, request_id: str) -> Run | None:
        """Return a request's run at an engine, None if there is none."""
        engine = self.engines_by_id.get(server_id)
        return engine.runs_by_request.get(request_id) if engine else None

    def list_runs(self) -> Iterator[Run]:
        """Yield the runs at all engines."""
        for engine in self.engines_by_id.values():
            yield from engine.runs_by_request.values()


def _build_rest_key(engine: Engine, sender: str) -> tuple[str, str, int]:
    """Return the key of a host's rest; the next incarnation has none."""
    announcement = engine.announcement
    return sender, announcement.server_id, announcement.incarnation_ms
