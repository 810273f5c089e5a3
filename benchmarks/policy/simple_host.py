"""Simulated entry hosts with the baseline routing policies.

They know the servers of all zones and retry a failed call up to two times, on
another server if there is one. Round robin sends each call to the next server of
its stage, without admission control or limits. Two random choices picks two servers
and sends the call to the less loaded one, judged by the host's own calls in flight
and the last load report; servers then reject calls above a queue limit.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from benchmarks.policy.attempts import Attempt, AttemptSender
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
_NO_ANSWER_REFUSAL = Refusal(
    RefusalReason.STAGE_FAILED, RunState.UNKNOWN, "no answer", 1.0
)

OnDone = Callable[[Refusal | None], None]


class SimpleHost:
    """Routes calls by two random choices if ``two_choices``, else by round robin."""

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
        self._attempt_sender = AttemptSender(self.zone, clock, network)
        self._servers_by_id = servers_by_id
        self._random = Random(f"{seed}/{index}")
        self._two_choices = two_choices
        self._announcements_by_id: dict[str, Announcement] = {}
        self._in_flight_by_id: dict[str, int] = {}
        self._next_index_by_stage: dict[str, int] = {}
        self._requests_by_id: dict[str, tuple[Arrival, OnDone]] = {}
        self._attempts_by_id: dict[str, Attempt] = {}

    def submit_request(self, arrival: Arrival, on_done: OnDone) -> None:
        """Run a request without admission control.

        Args:
            arrival: Request to run.
            on_done: Called with the refusal, or with None when the request is
                complete.
        """
        request = arrival.request
        self._requests_by_id[request.request_id] = (arrival, on_done)
        self._clock.at(request.deadline, self._expire_request, request.request_id)
        self._send_call(StageCall(request, request.stages[0], 0, 1))

    def update_servers(self, announcements: tuple[Announcement, ...]) -> None:
        """Replace the known servers with the given announcements."""
        self._announcements_by_id = {a.server_id: a for a in announcements}

    def _send_call(self, call: StageCall) -> None:
        server_id = self._choose_server(call)
        if server_id is None:
            self._finish_request(call.request.request_id, _NO_ANSWER_REFUSAL)
            return
        arrival, _ = self._requests_by_id[call.request.request_id]
        attempt = Attempt(call, server_id, self._clock.now, self._handle_attempt_end)
        self._attempts_by_id[call.request.request_id] = attempt
        self._in_flight_by_id[server_id] = self._in_flight_by_id.get(server_id, 0) + 1
        timeout_s = call.request.deadline - self._clock.now
        server = self._servers_by_id[server_id]
        self._attempt_sender.send_to_server(attempt, server, arrival, timeout_s)

    def _choose_server(self, call: StageCall) -> str | None:
        serving = [
            server_id
            for server_id, announcement in self._announcements_by_id.items()
            if call.stage in announcement.stages
            and announcement.state is ServerState.SERVING
        ]
        candidate_ids = [
            server_id for server_id in serving if server_id not in call.tried_server_ids
        ] or serving
        if not candidate_ids:
            return None
        if self._two_choices:
            pair_ids = self._random.sample(candidate_ids, min(2, len(candidate_ids)))
            return min(pair_ids, key=self._estimate_load)
        index = self._next_index_by_stage.get(call.stage)
        if index is None:
            index = self._random.randrange(len(candidate_ids))
        self._next_index_by_stage[call.stage] = index + 1
        return candidate_ids[index % len(candidate_ids)]

    def _estimate_load(self, server_id: str) -> float:
        announcement = self._announcements_by_id[server_id]
        report = announcement.load
        reported = report.running + report.queued if report is not None else 0
        own_in_flight = self._in_flight_by_id.get(server_id, 0)
        return (own_in_flight + reported) / announcement.capacity

    def _handle_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        self._in_flight_by_id[attempt.server_id] -= 1
        call = attempt.call
        request = call.request
        if self._attempts_by_id.get(request.request_id) is attempt:
            del self._attempts_by_id[request.request_id]
        if request.request_id not in self._requests_by_id:
            return
        if result.outcome is Outcome.COMPLETED:
            self._start_next_stage(call)
        elif call.attempt < _MAX_ATTEMPTS:
            tried = call.tried_server_ids | {attempt.server_id}
            self._send_call(
                StageCall(
                    request, call.stage, call.stage_index, call.attempt + 1, tried
                )
            )
        else:
            self._finish_request(request.request_id, _NO_ANSWER_REFUSAL)

    def _start_next_stage(self, call: StageCall) -> None:
        request = call.request
        index = call.stage_index + 1
        if index == len(request.stages):
            self._finish_request(request.request_id, None)
        else:
            self._send_call(StageCall(request, request.stages[index], index, 1))

    def _expire_request(self, request_id: str) -> None:
        if request_id not in self._requests_by_id:
            return
        attempt = self._attempts_by_id.get(request_id)
        self._finish_request(request_id, _NO_ANSWER_REFUSAL)
        if attempt is not None:
            self._attempt_sender.cancel_attempt(attempt, Outcome.CANCELLED)

    def _finish_request(self, request_id: str, refusal: Refusal | None) -> None:
        _, on_done = self._requests_by_id.pop(request_id)
        on_done(refusal)
