"""Simulated entry host that runs the routing policy and the pipeline executor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from benchmarks.policy.attempts import Attempt, AttemptSender
from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.servers import Server
from benchmarks.policy.sites import Site
from benchmarks.policy.workload import Arrival
from galenadrum._internal.entry.pipeline_executor import (
    Action,
    Complete,
    PipelineExecutor,
    SendCall,
)
from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Refusal,
    RefusalReason,
    RunState,
)
from galenadrum._internal.models.servers import Announcement, ZoneDigest
from galenadrum._internal.routing.mechanisms import Mechanisms
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.policy import Policy

OnDone = Callable[[Refusal | None], None]


class PolicyHost:
    """Drives a policy on the simulated clock as the daemon does in real time.

    Attributes:
        address: Address to which hosts of other zones forward calls.
        zone: Availability zone of the host.
        policy: Routing policy that the host runs.
    """

    def __init__(
        self,
        index: int,
        site: Site,
        clock: Clock,
        network: Network,
        servers_by_id: dict[str, Server],
        hosts_by_address: dict[str, PolicyHost],
        seed: int,
        mechanisms: Mechanisms,
    ) -> None:
        self.address = f"entry-{index}"
        self.zone = site.host_zones[index]
        self.policy = Policy(self.zone, Random(f"{seed}/{index}"), mechanisms)
        self.policy.update_declarations(
            site.stages_by_name(), {}, _make_objectives(site), 0.0
        )
        self._clock = clock
        self._attempt_sender = AttemptSender(self.zone, clock, network)
        self._servers_by_id = servers_by_id
        self._hosts_by_address = hosts_by_address
        self._executor = PipelineExecutor(self.policy)
        self._arrivals_by_id: dict[str, Arrival] = {}
        self._on_done_by_id: dict[str, OnDone] = {}
        self._attempts_by_id: dict[str, Attempt] = {}
        self._cached_tokens_by_id: dict[str, int] = {}
        self._wakeup_at: float | None = None

    def submit_request(self, arrival: Arrival, on_done: OnDone) -> None:
        """Admit a request and run its pipeline.

        Args:
            arrival: Request to run.
            on_done: Called with the refusal, or with None when the request is
                complete.
        """
        now = self._clock.now
        request = arrival.request
        refusal = self._executor.admit(request, now)
        if refusal is not None:
            on_done(refusal)
            return
        self._arrivals_by_id[request.request_id] = arrival
        self._on_done_by_id[request.request_id] = on_done
        self._clock.at(request.deadline, self.cancel_request, request.request_id)
        self._perform_actions(
            self._executor.begin(request, frozenset(), now, claimed=False)
        )

    def cancel_request(self, request_id: str) -> None:
        """Cancel a request after its deadline or after its caller cancelled it."""
        if request_id not in self._on_done_by_id:
            return
        attempt = self._attempts_by_id.get(request_id)
        actions = self._executor.abandon(
            request_id, RefusalReason.DEADLINE, self._clock.now
        )
        self._perform_actions(actions)
        if attempt is not None:
            self._attempt_sender.cancel_attempt(attempt, Outcome.CANCELLED)

    def update_servers(self, announcements: tuple[Announcement, ...]) -> None:
        """Update the policy with the current announcements of the zone's servers."""
        now = self._clock.now
        decisions = self.policy.update_servers(announcements, now)
        self._perform_actions(self._executor.apply_decisions(decisions, now))

    def receive_digests(self, digests: tuple[ZoneDigest, ...]) -> None:
        """Update the policy with the digests of another zone."""
        now = self._clock.now
        self.policy.update_digests([replace(d, received_at=now) for d in digests], now)

    def digests(self) -> tuple[ZoneDigest, ...]:
        """Return the digests of this zone to send to other zones."""
        return self.policy.build_zone_digests(self.address, self._clock.now)

    def accept_forwarded_call(
        self, attempt: Attempt, arrival: Arrival, due_at: float
    ) -> None:
        """Run one stage for an entry host of another zone.

        Args:
            attempt: Attempt of the sending host, which receives the result.
            arrival: Request that the call belongs to.
            due_at: Deadline of the call, in simulated seconds.
        """
        request = arrival.request
        request_id = "/".join(map(str, attempt.call.key))
        local_request = replace(
            request,
            request_id=request_id,
            stages=(attempt.call.stage,),
            deadline=due_at,
            forwarded=True,
        )
        sender = self._hosts_by_address[attempt.server_id.rpartition("@")[2]]

        def send_result(refusal: Refusal | None) -> None:
            cached_tokens = self._cached_tokens_by_id.pop(request_id, 0)
            result = _make_forwarded_result(refusal, cached_tokens)
            self._attempt_sender.send_result(sender.zone, attempt, result, self.zone)

        self.submit_request(replace(arrival, request=local_request), send_result)

    def _perform_actions(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, SendCall):
                self._send_call(action.dispatch)
            elif isinstance(action, Complete):
                self._finish_request(action.request_id, None)
            else:
                self._finish_request(action.request_id, action.refusal)
        self._schedule_tick()

    def _send_call(self, dispatch: Dispatch) -> None:
        call = dispatch.call
        request_id = call.request.request_id
        arrival = self._arrivals_by_id[request_id]
        attempt = Attempt(
            call, dispatch.server_id, self._clock.now, self._handle_attempt_end
        )
        self._attempts_by_id[request_id] = attempt
        timeout_s = dispatch.first_byte_timeout_s
        if dispatch.forward_zone is None:
            server = self._servers_by_id[dispatch.server_id]
            self._attempt_sender.send_to_server(attempt, server, arrival, timeout_s)
            return
        host = self._hosts_by_address[dispatch.address]
        attempt.server_id = f"{dispatch.server_id}@{self.address}"
        key = "/".join(map(str, call.key))
        attempt.cancel = lambda: self._cancel_forwarded_call(host, key)
        self._attempt_sender.send(
            attempt,
            host.zone,
            call.request.deadline - self._clock.now,
            host.accept_forwarded_call,
            attempt,
            arrival,
            dispatch.due_at,
        )

    def _cancel_forwarded_call(self, host: PolicyHost, key: str) -> None:
        self._attempt_sender.message(host.zone, host.cancel_request, key)

    def _handle_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        request_id = attempt.call.request.request_id
        if self._attempts_by_id.get(request_id) is attempt:
            del self._attempts_by_id[request_id]
        if attempt.call.request.forwarded:
            self._cached_tokens_by_id[request_id] = result.cached_tokens
        server_id = attempt.server_id.partition("@")[0]
        self._perform_actions(
            self._executor.record_attempt_result(
                attempt.call, server_id, result, self._clock.now
            )
        )

    def _finish_request(self, request_id: str, refusal: Refusal | None) -> None:
        del self._arrivals_by_id[request_id]
        on_done = self._on_done_by_id.pop(request_id)
        on_done(refusal)

    def _schedule_tick(self) -> None:
        wakeup_at = self._executor.next_wakeup(self._clock.now)
        if wakeup_at is None:
            return
        if self._wakeup_at is None or wakeup_at < self._wakeup_at:
            self._wakeup_at = wakeup_at
            self._clock.at(wakeup_at, self._tick, wakeup_at)

    def _tick(self, wakeup_at: float) -> None:
        if wakeup_at != self._wakeup_at:
            return
        self._wakeup_at = None
        self._perform_actions(self._executor.tick(self._clock.now))


def _make_forwarded_result(
    refusal: Refusal | None, cached_tokens: int
) -> AttemptResult:
    if refusal is None:
        return AttemptResult(Outcome.COMPLETED, 0.0, cached_tokens=cached_tokens)
    if refusal.run is RunState.NOT_RUN:
        retry_after_s = refusal.retry_after_s
        return AttemptResult(Outcome.NOT_RUN, 0.0, retry_after_s=retry_after_s)
    if refusal.run is RunState.RUN:
        return AttemptResult(Outcome.FAILED, 0.0)
    return AttemptResult(Outcome.UNKNOWN, 0.0)


def _make_objectives(site: Site) -> Objectives:
    return Objectives(
        {load.name: site.objective for load in site.pipelines},
        dict.fromkeys(site.stages_by_name(), site.objective),
    )
