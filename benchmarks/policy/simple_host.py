"""Entry hosts with simple routing, as baselines.

They know all servers of all zones and try a failed call again, up to two
times, on another server. Round robin sends every call to the next server of
its stage, without admission or limits. Two random choices sends it to the
less loaded of two, by own calls in flight and the last load report; servers
turn calls away above a queue limit.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from benchmarks.policy.attempts import Attempt, Wire
from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.servers import Server
from benchmarks.policy.sites import Site
from benchmarks.policy.workload import Arrival
from galenadrum._internal.models.requests import (
    AttemptResult,
    Outcome,
    Refusal,
    RefusalReason,
    RunState,
    StageCall,
)
from galenadrum._internal.models.servers import Announcement, ServerState

_MAX_ATTEMPTS = 3
_REFUSED = Refusal(RefusalReason.STAGE_FAILED, RunState.UNKNOWN, "no answer", 1.0)

OnDone = Callable[[Refusal | None], None]


class SimpleHost:
    """Sends calls by a fixed rule; ``two_choices`` picks between the rules."""

    def __init__(
        self,
        index: int,
        site: Site,
        clock: Clock,
        network: Network,
        servers_by_id: dict[str, Server],
        seed: int,
        two_choices: bool,
    ) -> None:
        self.zone = site.host_zones[index]
        self._clock = clock
        self._wire = Wire(self.zone, clock, network)
        self._servers_by_id = servers_by_id
        self._random = Random(f"{seed}/{index}")
        self._two_choices = two_choices
        self._announcements_by_id: dict[str, Announcement] = {}
        self._in_flight_by_id: dict[str, int] = {}
        self._next_by_stage: dict[str, int] = {}
        self._open: dict[str, tuple[Arrival, OnDone]] = {}
        self._attempts_by_id: dict[str, Attempt] = {}

    def arrive(self, arrival: Arrival, on_done: OnDone) -> None:
        """Take a request in."""
        request = arrival.request
        self._open[request.request_id] = (arrival, on_done)
        self._clock.at(request.deadline, self._expire, request.request_id)
        self._send(StageCall(request, request.stages[0], 0, 1))

    def announce(self, announcements: tuple[Announcement, ...]) -> None:
        """Take in the servers as they stand."""
        self._announcements_by_id = {a.server_id: a for a in announcements}

    def _send(self, call: StageCall) -> None:
        server_id = self._choose(call)
        if server_id is None:
            self._finish(call.request.request_id, _REFUSED)
            return
        arrival, _ = self._open[call.request.request_id]
        attempt = Attempt(call, server_id, self._clock.now, self._ended)
        self._attempts_by_id[call.request.request_id] = attempt
        self._in_flight_by_id[server_id] = self._in_flight_by_id.get(server_id, 0) + 1
        left_s = call.request.deadline - self._clock.now
        server = self._servers_by_id[server_id]
        self._wire.send_to_server(attempt, server, arrival, left_s)

    def _choose(self, call: StageCall) -> str | None:
        serving = [
            server_id
            for server_id, announcement in self._announcements_by_id.items()
            if call.stage in announcement.stages
            and announcement.state is ServerState.SERVING
        ]
        untried = [i for i in serving if i not in call.tried_server_ids] or serving
        if not untried:
            return None
        if self._two_choices:
            pair = self._random.sample(untried, min(2, len(untried)))
            return min(pair, key=self._load)
        turn = self._next_by_stage.get(call.stage)
        if turn is None:
            turn = self._random.randrange(len(untried))
        self._next_by_stage[call.stage] = turn + 1
        return untried[turn % len(untried)]

    def _load(self, server_id: str) -> float:
        announcement = self._announcements_by_id[server_id]
        report = announcement.load
        reported = report.running + report.queued if report is not None else 0
        own = self._in_flight_by_id.get(server_id, 0)
        return (own + reported) / announcement.capacity

    def _ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self._in_flight_by_id[attempt.server_id] -= 1
        call = attempt.call
        request = call.request
        if self._attempts_by_id.get(request.request_id) is attempt:
            del self._attempts_by_id[request.request_id]
        if request.request_id not in self._open:
            return
        if result.outcome is Outcome.COMPLETED:
            self._advance(call)
        elif call.attempt < _MAX_ATTEMPTS:
            tried = call.tried_server_ids | {attempt.server_id}
            self._send(
                StageCall(
                    request, call.stage, call.stage_index, call.attempt + 1, tried
                )
            )
        else:
            self._finish(request.request_id, _REFUSED)

    def _advance(self, call: StageCall) -> None:
        request = call.request
        index = call.stage_index + 1
        if index == len(request.stages):
            self._finish(request.request_id, None)
        else:
            self._send(StageCall(request, request.stages[index], index, 1))

    def _expire(self, request_id: str) -> None:
        if request_id not in self._open:
            return
        attempt = self._attempts_by_id.get(request_id)
        self._finish(request_id, _REFUSED)
        if attempt is not None:
            self._wire.abandon(attempt, Outcome.CANCELLED)

    def _finish(self, request_id: str, refusal: Refusal | None) -> None:
        _, on_done = self._open.pop(request_id)
        on_done(refusal)
