"""The model engines of one service and who runs on them.

Load pattern: long prompts with parts in common, in bursts of one kind. A long
prompt delays the tokens of all that run beside it, and an engine's own reports
are stale when they come; so the dispatcher counts what it has placed itself,
spreads prompts that are not read in yet, and goes to an engine that holds the
prompt's parts unless that one is clearly busier.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from galenadrum._internal.dispatch.messages import PromptPart
from galenadrum._internal.dispatch.stage_pool import ZONE_DELAY_S_PER_BYTE
from galenadrum._internal.models.announcements import Announcement
from galenadrum._internal.models.routing import EngineLimits

# First guesses, replaced by what is seen.
_FIRST_READ_TOKENS_PER_S = 60_000.0
_FIRST_OVERHEAD_S = 0.08
_READ_RATE_WEIGHT = 0.1
_MIN_LEARN_TOKENS = 2_000
# Slowdown of the first token by each request that runs beside it.
_RUNNING_DELAY_S = 0.001
# What the way from another zone is worth: a dispatcher that owns one zone's
# engines leaves those of others alone as long as it can.
_OTHER_ZONE_DELAY_S = 0.15
_SHARED_ZONE_DELAY_S = 0.02
_WARM_UP_DELAY_S = 0.2
# Share of an engine's places that are filled: other dispatchers may place too.
_PLACES_SHARE = 0.95
_CACHE_SHARE = 0.8
_MAX_PLACES_WITHOUT_LIMIT = 64
_FIRST_PAUSE_S = 0.15
_MAX_PAUSE_S = 3.0
_SLOWNESS_HALF_LIFE_S = 6.0


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """What a request asks of an engine.

    Attributes:
        zone: Where its inputs are, or where it came in.
        input_bytes: Size of the inputs.
    """

    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    zone: str
    input_bytes: float = 0.0


class PrefixCache:
    """Parts of prompts that an engine should hold, the latest used last."""

    def __init__(self, capacity_tokens: float) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Return the tokens at the prompt's start that need not be read in."""
        tokens = 0
        for part in prompt:
            if part.part_id not in self._tokens_by_part:
                break
            tokens += part.tokens
        return tokens

    def use(self, prompt: tuple[PromptPart, ...]) -> None:
        """Note that a prompt was read in."""
        for part in prompt:
            self._held_tokens += part.tokens - self._tokens_by_part.pop(part.part_id, 0)
            self._tokens_by_part[part.part_id] = part.tokens
        while self._held_tokens > self._capacity_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._held_tokens -= tokens


@dataclass(slots=True)
class Run:
    """A request that was placed at an engine."""

    request_id: str
    prompt: tuple[PromptPart, ...]
    unread_tokens: int
    placed_at: float
    queued_tokens: int
    has_started: bool = False


@dataclass(slots=True)
class Engine:
    """One model engine.

    Attributes:
        runs_by_request: What this dispatcher has placed there.
        unread_tokens: Of prompts that were placed and are not read in yet.
        slowness: Observed over expected time to the first token.
        paused_until: Loop time in seconds before which nothing is placed.
    """

    announcement: Announcement
    cache: PrefixCache
    is_silent: bool = False
    warm_until: float = 0.0
    runs_by_request: dict[str, Run] = field(default_factory=dict)
    unread_tokens: int = 0
    slowness: float = 1.0
    slowness_at: float = 0.0
    failures_in_row: int = 0
    paused_until: float = 0.0

    def add(self, run: Run) -> None:
        """Count a request that is placed."""
        self.remove(run.request_id)
        self.runs_by_request[run.request_id] = run
        self.unread_tokens += run.unread_tokens

    def start(self, run: Run) -> None:
        """Count that a prompt was read in."""
        run.has_started = True
        self.unread_tokens -= run.unread_tokens

    def remove(self, request_id: str) -> None:
        """Count that a request has ended."""
        run = self.runs_by_request.pop(request_id, None)
        if run is not None and not run.has_started:
            self.unread_tokens -= run.unread_tokens

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which is forgotten over time."""
        if self.slowness == 1.0:
            return 1.0
        age_s = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)


class EnginePool:
    """Model engines of one service in one dispatcher.

    Args:
        zone: Whose engines the dispatcher owns; empty where it owns all.
    """

    def __init__(self, service: str, zone: str, limits: EngineLimits | None) -> None:
        self.service = service
        self._zone = zone
        self._limits = limits
        self.engines_by_id: dict[str, Engine] = {}
        self.read_tokens_per_s = _FIRST_READ_TOKENS_PER_S
        self.overhead_s = _FIRST_OVERHEAD_S

    def put_server(
        self, announcement: Announcement, is_silent: bool, warm_until: float
    ) -> None:
        """Add an engine or note what changed of it."""
        known = self.engines_by_id.get(announcement.server_id)
        if known is None or (
            known.announcement.incarnation_ms != announcement.incarnation_ms
        ):
            capacity = self._limits.kv_capacity_tokens if self._limits else 0
            known = Engine(announcement, PrefixCache(capacity * _CACHE_SHARE))
            self.engines_by_id[announcement.server_id] = known
        known.announcement = announcement
        known.is_silent = is_silent
        known.warm_until = warm_until

    def remove_server(self, server_id: str) -> None:
        """Place nothing more at an engine; what runs there goes on."""
        self.engines_by_id.pop(server_id, None)

    def choose(
        self, demand: EngineDemand, excluded: frozenset[str], now: float
    ) -> Engine | None:
        """Return the engine with the earliest first token, None if all are full."""
        best: tuple[float, Engine] | None = None
        for engine in self._usable(now):
            if engine.announcement.server_id in excluded or self.is_full(engine):
                continue
            delay_s = self.first_token_delay(engine, demand, now)
            if best is None or delay_s < best[0]:
                best = (delay_s, engine)
        return best[1] if best else None

    def _usable(self, now: float) -> list[Engine]:
        rested = [e for e in self.engines_by_id.values() if now >= e.paused_until]
        heard = [e for e in rested if not e.is_silent]
        return heard or rested

    def is_full(self, engine: Engine) -> bool:
        """Return whether all places of an engine are taken."""
        places = engine.announcement.concurrency or (
            self._limits.concurrency if self._limits else _MAX_PLACES_WITHOUT_LIMIT
        )
        return len(engine.runs_by_request) >= max(1, int(places * _PLACES_SHARE))

    def first_token_delay(
        self, engine: Engine, demand: EngineDemand, now: float
    ) -> float:
        """Return the expected time to the first token, in seconds."""
        to_read = self._unread(engine, demand) + engine.unread_tokens
        delay_s = to_read / self.read_tokens_per_s
        delay_s += len(engine.runs_by_request) * _RUNNING_DELAY_S
        delay_s = (delay_s + self.overhead_s) * engine.current_slowness(now)
        delay_s += self._way_s(engine, demand)
        if now < engine.warm_until:
            delay_s += _WARM_UP_DELAY_S
        return delay_s

    def _unread(self, engine: Engine, demand: EngineDemand) -> int:
        return max(0, demand.prompt_tokens - engine.cache.cached_tokens(demand.prompt))

    def _way_s(self, engine: Engine, demand: EngineDemand) -> float:
        """Return what the way to another zone is worth in time."""
        zone = engine.announcement.zone
        if self._zone:
            return 0.0 if zone == self._zone else _OTHER_ZONE_DELAY_S
        if zone == demand.zone:
            return 0.0
        return _SHARED_ZONE_DELAY_S + demand.input_bytes * ZONE_DELAY_S_PER_BYTE

    def shortest_delay(self, demand: EngineDemand, now: float) -> float:
        """Return the shortest expected time to a first token, in seconds."""
        return min(
            (self.first_token_delay(e, demand, now) for e in self._usable(now)),
            default=math.inf,
        )

    def place(
        self, engine: Engine, request_id: str, demand: EngineDemand, now: float
    ) -> None:
        """Count a request at an engine."""
        unread_tokens = self._unread(engine, demand)
        engine.add(
            Run(request_id, demand.prompt, unread_tokens, now, engine.unread_tokens)
        )
        # Requests with the same parts that follow at once should go there too.
        engine.cache.use(demand.prompt)

    def note_started(self, server_id: str, request_id: str, now: float) -> None:
        """Note the first event of a request."""
        engine = self.engines_by_id.get(server_id)
        run = engine.runs_by_request.get(request_id) if engine else None
        if run is None or run.has_started:
            return
        engine.start(run)
        engine.failures_in_row = 0
        self._learn(engine, run, now)

    def _learn(self, engine: Engine, run: Run, now: float) -> None:
        took_s = max(0.001, now - run.placed_at)
        tokens = run.unread_tokens + run.queued_tokens
        expected_s = self.overhead_s + tokens / self.read_tokens_per_s
        slowness = engine.current_slowness(now)
        engine.slowness = slowness + 0.3 * (max(1.0, took_s / expected_s) - slowness)
        engine.slowness_at = now
        if tokens >= _MIN_LEARN_TOKENS and took_s > self.overhead_s:
            rate = tokens / (took_s - self.overhead_s)
            # A single fast reading, from a cache that held more than known, must
            # not make all engines look idle.
            rate = min(rate, 2 * self.read_tokens_per_s)
            self.read_tokens_per_s += _READ_RATE_WEIGHT * (
                rate - self.read_tokens_per_s
            )

    def note_ended(self, server_id: str, request_id: str) -> None:
        """Free the place of a request."""
        engine = self.engines_by_id.get(server_id)
        if engine is not None:
            engine.remove(request_id)

    def note_failed(self, server_id: str, request_id: str, now: float) -> None:
        """Free the place of a request that failed; the engine rests a while."""
        self.note_ended(server_id, request_id)
        engine = self.engines_by_id.get(server_id)
        if engine is not None:
            pause_s = _FIRST_PAUSE_S * 2**engine.failures_in_row
            engine.paused_until = now + min(pause_s, _MAX_PAUSE_S)
            engine.failures_in_row += 1
