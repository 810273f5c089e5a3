"""Simulated backend servers: model engines and plain servers.

An engine has batch slots, computes prompts in chunks and decodes one token per
call in each iteration. The iteration time grows with the batch. The engine keeps
a bounded prefix cache. A plain server has slots only. Both queue calls by priority.
The simulation polls their load and cache events and delays the reports.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks.policy.clock import Clock
from galenadrum._internal.models.requests import AttemptResult, Outcome
from galenadrum._internal.models.servers import CacheEvent

BLOCK_TOKENS = 256
_PREFILL_CHUNK_TOKENS = 512
_FAILURE_DELAY_S = 0.02
_MAX_UNREPORTED_BLOCKS = 4096


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Size and speed of an engine.

    Attributes:
        slots: Maximum number of calls in one batch.
        iteration_s: Time of an iteration without any call.
        decode_s: Time that each decoding call adds to an iteration.
        prefill_s: Time that each prompt token adds to an iteration.
        cache_blocks: Capacity of the prefix cache in blocks.
    """

    slots: int = 8
    iteration_s: float = 0.014
    decode_s: float = 0.0008
    prefill_s: float = 0.00006
    cache_blocks: int = 200


@dataclass(slots=True, eq=False)
class ServerCall:
    """One call on a server.

    Attributes:
        work_s: Service time on a plain server at normal speed, in seconds.
        on_first_byte: Called when the reply begins.
        on_end: Called with the result when the call ends.
    """

    key: tuple[str, int, int]
    priority: int
    input_tokens: int
    output_tokens: int
    prefix_hashes: tuple[str, ...]
    work_s: float
    on_first_byte: Callable[[], None]
    on_end: Callable[[AttemptResult], None]
    arrived: float = 0.0
    prefill_tokens_left: int = 0
    output_tokens_left: int = 0
    cached_tokens: int = 0
    answered: bool = False
    ended: bool = False


@dataclass(slots=True)
class Usage:
    """Work done by a server; ``busy_s`` counts slot or engine seconds."""

    busy_s: float = 0.0
    prefill_tokens: int = 0
    output_tokens: int = 0


class Server:
    """Base class of engines and plain servers, with slots and a priority queue."""

    def __init__(
        self, server_id: str, zone: str, stage: str, slots: int, clock: Clock, seed: int
    ) -> None:
        self.server_id = server_id
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.slowdown = 1.0
        self.failure_rate = 0.0
        self.queue_limit: int | None = None
        self.is_up = True
        self.usage = Usage()
        self.running: list[ServerCall] = []
        self._clock = clock
        self._random = Random(seed)
        self._queue: list[tuple[int, int, ServerCall]] = []
        self._sequence = 0
        self._queued = 0

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return self._queued

    def accept_call(self, call: ServerCall) -> None:
        """Queue a call, or reject it if the server is down or its queue is full."""
        call.arrived = self._clock.now
        if not self.is_up:
            self._end_call(call, Outcome.NOT_RUN)
            return
        if self.queue_limit is not None and self._queued >= self.queue_limit:
            self._end_call(call, Outcome.NOT_RUN)
            return
        self._sequence += 1
        heapq.heappush(self._queue, (-call.priority, self._sequence, call))
        self._queued += 1
        self._start_queued_calls()

    def cancel_call(self, call: ServerCall) -> None:
        """Remove a call from its slot or the queue without a result."""
        if call.ended:
            return
        call.ended = True
        if call in self.running:
            self.running.remove(call)
            self._start_queued_calls()
        else:
            self._queued -= 1

    def stop(self) -> None:
        """Stop the server and end all its calls with an unknown outcome."""
        self.is_up = False
        waiting = [item[2] for item in self._queue if not item[2].ended]
        for call in [*self.running, *waiting]:
            self._end_call(call, Outcome.UNKNOWN)
        self.running = []
        self._queue = []
        self._queued = 0

    def start(self) -> None:
        """Start the server again."""
        self.is_up = True

    def drain_cache_events(self) -> CacheEvent | None:
        """Return the changes of the prefix cache since the last call."""
        return None

    def _start_queued_calls(self) -> None:
        while self.is_up and len(self.running) < self.slots and self._queue:
            _, _, call = heapq.heappop(self._queue)
            if call.ended:
                continue
            self._queued -= 1
            if self.failure_rate and self._random.random() < self.failure_rate:
                self.running.append(call)
                self._clock.after(_FAILURE_DELAY_S, self._fail_call, call)
                continue
            self.running.append(call)
            self._start_call(call)

    def _fail_call(self, call: ServerCall) -> None:
        if not call.ended:
            self.running.remove(call)
            self.usage.busy_s += _FAILURE_DELAY_S
            self._end_call(call, Outcome.FAILED)
            self._start_queued_calls()

    def _start_call(self, call: ServerCall) -> None:
        raise NotImplementedError

    def _end_call(self, call: ServerCall, outcome: Outcome) -> None:
        call.ended = True
        service_s = self._clock.now - call.arrived
        call.on_end(AttemptResult(outcome, service_s, cached_tokens=call.cached_tokens))


class PlainServer(Server):
    """A server whose calls each occupy a slot for their service time."""

    def _start_call(self, call: ServerCall) -> None:
        service_s = call.work_s * self.slowdown
        self._clock.after(service_s, self._complete_call, call, service_s)

    def _complete_call(self, call: ServerCall, service_s: float) -> None:
        if not call.ended:
            self.usage.busy_s += service_s
            self.running.remove(call)
            self._end_call(call, Outcome.COMPLETED)
            self._start_queued_calls()


class Engine(Server):
    """A model engine with continuous batching."""

    def __init__(
        self,
        server_id: str,
        zone: str,
        stage: str,
        config: EngineConfig,
        clock: Clock,
        seed: int,
    ) -> None:
        super().__init__(server_id, zone, stage, config.slots, clock, seed)
        self._config = config
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._stored: list[str] = []
        self._evicted: list[str] = []
        self._event_sequence = 0
        self._is_iterating = False

    def start(self) -> None:
        """Start the engine again with an empty prefix cache."""
        super().start()
        self._cache.clear()
        self._stored = []
        self._evicted = []

    def drain_cache_events(self) -> CacheEvent | None:
        """Return the changes of the prefix cache since the last call."""
        if not self._stored and not self._evicted:
            return None
        self._event_sequence += 1
        event = CacheEvent(
            self._event_sequence, tuple(self._stored), tuple(self._evicted)
        )
        self._stored = []
        self._evicted = []
        return event

    def _start_call(self, call: ServerCall) -> None:
        cached_blocks = 0
        for block in call.prefix_hashes:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached_blocks += 1
        call.cached_tokens = min(cached_blocks * BLOCK_TOKENS, call.input_tokens)
        call.prefill_tokens_left = call.input_tokens - call.cached_tokens
        call.output_tokens_left = max(1, call.output_tokens)
        if not self._is_iterating:
            self._is_iterating = True
            self._start_iteration()

    def _start_iteration(self) -> None:
        """Start one iteration over the calls in the batch."""
        batch = [call for call in self.running if call.output_tokens_left > 0]
        if not batch or not self.is_up:
            self._is_iterating = False
            return
        budget = _PREFILL_CHUNK_TOKENS
        decoding = []
        for call in batch:
            if call.prefill_tokens_left > 0:
                chunk = min(budget, call.prefill_tokens_left)
                call.prefill_tokens_left -= chunk
                budget -= chunk
                if call.prefill_tokens_left == 0 and chunk:
                    self._store_prefix_blocks(call.prefix_hashes)
            else:
                decoding.append(call)
        computed = _PREFILL_CHUNK_TOKENS - budget
        self.usage.prefill_tokens += computed
        config = self._config
        duration_s = self.slowdown * (
            config.iteration_s
            + config.decode_s * len(decoding)
            + config.prefill_s * computed
        )
        self.usage.busy_s += duration_s
        self._clock.after(duration_s, self._finish_iteration, decoding)

    def _finish_iteration(self, decoding: list[ServerCall]) -> None:
        for call in decoding:
            if call.ended:
                continue
            call.output_tokens_left -= 1
            self.usage.output_tokens += 1
            if not call.answered:
                call.answered = True
                call.on_first_byte()
            if call.output_tokens_left == 0 and not call.ended:
                self.running.remove(call)
                self._end_call(call, Outcome.COMPLETED)
        self._start_queued_calls()
        self._start_iteration()

    def _store_prefix_blocks(self, blocks: tuple[str, ...]) -> None:
        cache = self._cache
        for block in blocks:
            if block not in cache:
                self._stored.append(block)
            cache[block] = None
            cache.move_to_end(block)
        while len(cache) > self._config.cache_blocks:
            self._evicted.append(cache.popitem(last=False)[0])
        del self._stored[:-_MAX_UNREPORTED_BLOCKS]
        del self._evicted[:-_MAX_UNREPORTED_BLOCKS]


def compute_engine_work(
    config: EngineConfig, prefill_tokens: int, output: int
) -> float:
    """Return the engine seconds that a call costs in a full batch."""
    decode_s = output * (config.iteration_s / config.slots + config.decode_s)
    return decode_s + prefill_tokens * config.prefill_s
