"""An entry host that runs the project's policy and pipeline execution."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from benchmarks.policy.attempts import Attempt, Wire
from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.servers import Server
from benchmarks.policy.sites import Site
from benchmarks.policy.workload import Arrival
from galenadrum._internal.entry.execution import (
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
    """Drives a policy as the daemon does, on the paused clock.

    Attributes:
        address: Under which other zones' hosts forward calls here.
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
            site.stages_by_name(), {}, _objectives_of(site), 0.0
        )
        self._clock = clock
        self._wire = Wire(self.zone, clock, network)
        self._servers_by_id = servers_by_id
        self._hosts_by_address = hosts_by_address
        self._executor = PipelineExecutor(self.policy)
        self._arrivals_by_id: dict[str, Arrival] = {}
        self._on_done_by_id: dict[str, OnDone] = {}
        self._attempts_by_id: dict[str, Attempt] = {}
        self._cached_by_id: dict[str, int] = {}
        self._wakeup: float | None = None

    def arrive(self, arrival: Arrival, on_done: OnDone) -> None:
        """Take a request in; ``on_done`` gets a refusal, or None when complete."""
        now = self._clock.now
        request = arrival.request
        refusal = self._executor.admit(request, now)
        if refusal is not None:
            on_done(refusal)
            return
        self._arrivals_by_id[request.request_id] = arrival
        self._on_done_by_id[request.request_id] = on_done
        self._clock.at(request.deadline, self.abandon, request.request_id)
        self._carry_out(self._executor.begin(request, frozenset(), now, claimed=False))

    def abandon(self, request_id: str) -> None:
        """Give a request up, whose deadline passed or whose caller left."""
        if request_id not in self._on_done_by_id:
            return
        attempt = self._attempts_by_id.get(request_id)
        actions = self._executor.abandon(
            request_id, RefusalReason.DEADLINE, self._clock.now
        )
        self._carry_out(actions)
        if attempt is not None:
            self._wire.abandon(attempt, Outcome.CANCELLED)

    def announce(self, announcements: tuple[Announcement, ...]) -> None:
        """Take in the zone's servers as they stand."""
        now = self._clock.now
        decisions = self.policy.update_servers(announcements, now)
        self._carry_out(self._executor.carry_out(decisions, now))

    def take_digests(self, digests: tuple[ZoneDigest, ...]) -> None:
        """Take in what another zone told."""
        now = self._clock.now
        self.policy.update_digests([replace(d, sent_at=now) for d in digests], now)

    def digests(self) -> tuple[ZoneDigest, ...]:
        """Return what other zones should know of this one."""
        return self.policy.zone_digests(self.address, self._clock.now)

    def take_forwarded(self, attempt: Attempt, arrival: Arrival, due_at: float) -> None:
        """Take one stage over from an entry host of another zone."""
        request = arrival.request
        request_id = "/".join(map(str, attempt.call.key))
        own = replace(
            request,
            request_id=request_id,
            stages=(attempt.call.stage,),
            deadline=due_at,
            forwarded=True,
        )
        sender = self._hosts_by_address[attempt.server_id.rpartition("@")[2]]

        def reply(refusal: Refusal | None) -> None:
            cached = self._cached_by_id.pop(request_id, 0)
            result = _forwarded_result(refusal, cached)
            self._wire.reply(sender.zone, attempt, result, self.zone)

        self.arrive(replace(arrival, request=own), reply)

    def _carry_out(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, SendCall):
                self._send(action.dispatch)
            elif isinstance(action, Complete):
                self._finish(action.request_id, None)
            else:
                self._finish(action.request_id, action.refusal)
        self._schedule_tick()

    def _send(self, dispatch: Dispatch) -> None:
        call = dispatch.call
        request_id = call.request.request_id
        arrival = self._arrivals_by_id[request_id]
        attempt = Attempt(call, dispatch.server_id, self._clock.now, self._ended)
        self._attempts_by_id[request_id] = attempt
        timeout_s = dispatch.first_byte_timeout_s
        if dispatch.forward_zone is None:
            server = self._servers_by_id[dispatch.server_id]
            self._wire.send_to_server(attempt, server, arrival, timeout_s)
            return
        host = self._hosts_by_address[dispatch.address]
        attempt.server_id = f"{dispatch.server_id}@{self.address}"
        key = "/".join(map(str, call.key))
        attempt.cancel = lambda: self._wire_cancel(host, key)
        self._wire.send(
            attempt,
            host.zone,
            call.request.deadline - self._clock.now,
            host.take_forwarded,
            attempt,
            arrival,
            dispatch.due_at,
        )

    def _wire_cancel(self, host: PolicyHost, key: str) -> None:
        self._wire.message(host.zone, host.abandon, key)

    def _ended(self, attempt: Attempt, result: AttemptResult) -> None:
        request_id = attempt.call.request.request_id
        if self._attempts_by_id.get(request_id) is attempt:
            del self._attempts_by_id[request_id]
        if attempt.call.request.forwarded:
            self._cached_by_id[request_id] = result.cached_tokens
        server_id = attempt.server_id.partition("@")[0]
        self._carry_out(
            self._executor.attempt_finished(
                attempt.call, server_id, result, self._clock.now
            )
        )

    def _finish(self, request_id: str, refusal: Refusal | None) -> None:
        del self._arrivals_by_id[request_id]
        on_done = self._on_done_by_id.pop(request_id)
        on_done(refusal)

    def _schedule_tick(self) -> None:
        wakeup = self._executor.next_wakeup(self._clock.now)
        if wakeup is None:
            return
        if self._wakeup is None or wakeup < self._wakeup:
            self._wakeup = wakeup
            self._clock.at(wakeup, self._tick, wakeup)

    def _tick(self, wakeup: float) -> None:
        if wakeup != self._wakeup:
            return
        self._wakeup = None
        self._carry_out(self._executor.tick(self._clock.now))


def _forwarded_result(refusal: Refusal | None, cached: int) -> AttemptResult:
    if refusal is None:
        return AttemptResult(Outcome.COMPLETED, 0.0, cached_tokens=cached)
    if refusal.run is RunState.NOT_RUN:
        retry_after_s = refusal.retry_after_s
        return AttemptResult(Outcome.NOT_RUN, 0.0, retry_after_s=retry_after_s)
    if refusal.run is RunState.RUN:
        return AttemptResult(Outcome.FAILED, 0.0)
    return AttemptResult(Outcome.UNKNOWN, 0.0)


def _objectives_of(site: Site) -> Objectives:
    return Objectives(
        {load.name: site.objective for load in site.pipelines},
        dict.fromkeys(site.stages_by_name(), site.objective),
    )
