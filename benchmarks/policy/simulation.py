"""One run: a site, a scenario, a seed and a policy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum
from math import floor
from random import Random
from typing import Any

from benchmarks.policy.bound import attainable
from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.policy_host import PolicyHost
from benchmarks.policy.results import RunResult
from benchmarks.policy.scenarios import (
    FAULT_S,
    Scenario,
)
from benchmarks.policy.servers import Engine, PlainServer, Server, Usage
from benchmarks.policy.simple_host import SimpleHost
from benchmarks.policy.sites import ENGINE_STAGE, Site
from benchmarks.policy.workload import Arrival, make_arrivals
from galenadrum._internal.models.requests import Refusal, RefusalReason, Request
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)
from galenadrum._internal.routing.mechanisms import Mechanisms

_ANNOUNCE_INTERVAL_S = 1.0
_SAMPLE_INTERVAL_S = 0.5
_DIGEST_INTERVAL_S = 0.5
_TTL_S = 5.0
_DRAIN_S = 3.0
_DOWN_S = 2.0
_SETTLE_S = 15.0
_RETURN_PROBABILITY = 0.7
_MAX_RETURNS = 2


class PolicyName(StrEnum):
    """The policies that are compared."""

    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"
    CHOSEN = "chosen"


class _ServerSource:
    """Announces one server: load reports and cache events come late."""

    def __init__(self, server: Server, scenario: Scenario, seed: int) -> None:
        self.server = server
        self.state = ServerState.SERVING
        self.incarnation = 1
        self._sequence = 0
        self._scenario = scenario
        self._random = Random(f"{seed}/{server.server_id}")
        self._samples: deque[tuple[float, int, int]] = deque(maxlen=32)
        self._held_events: tuple[CacheEvent, ...] = ()

    def sample(self, now: float) -> None:
        """Note the server's load."""
        self._samples.append((now, len(self.server.running), self.server.queued))

    def make(self, now: float) -> Announcement:
        """Return an announcement with the load as it was a while ago."""
        self._sequence += 1
        server = self.server
        return Announcement(
            server_id=server.server_id,
            incarnation=self.incarnation,
            sequence=self._sequence,
            address=server.server_id,
            zone=server.zone,
            stages=(server.stage,),
            capacity=server.slots,
            ttl_s=_TTL_S,
            state=self.state,
            load=self._late_report(now),
            cache_events=self._late_events(),
        )

    def _late_report(self, now: float) -> LoadReport | None:
        due = now - self._scenario.report_age_s
        for at, running, queued in reversed(self._samples):
            if at <= due:
                return LoadReport(running, queued, now - at)
        return None

    def _late_events(self) -> tuple[CacheEvent, ...]:
        due = self._held_events
        event = self.server.take_cache_events()
        lost = self._random.random() < self._scenario.lost_cache_events
        self._held_events = () if event is None or lost else (event,)
        return due


class Simulation:
    """A site with servers, entry hosts and faults."""

    def __init__(
        self,
        site: Site,
        scenario: Scenario,
        seed: int,
        policy: PolicyName,
        mechanisms: Mechanisms | None = None,
    ) -> None:
        self._site = site
        self._scenario = scenario
        self._seed = seed
        self._policy = policy
        self._clock = Clock()
        self._network = Network(self._clock)
        self._random = Random(f"{site.name}/{scenario.name}/{seed}/faults")
        self._sources = [
            _ServerSource(server, scenario, seed) for server in self._make_servers()
        ]
        self._servers_by_id = {
            source.server.server_id: source.server for source in self._sources
        }
        self._known_by_host: list[dict[str, tuple[float, Announcement]]] = []
        self.hosts = self._make_hosts(mechanisms or Mechanisms())
        self._result = RunResult(site.name, scenario.name, seed, policy.value)
        self._digest_turn = 0

    def run(self) -> RunResult:
        """Run to the end and return what was seen."""
        arrivals = make_arrivals(self._site, self._scenario, self._seed)
        self._schedule(arrivals)
        end = self._site.warm_up_s + self._scenario.length_s
        self._clock.run_until(end + _SETTLE_S)
        self._collect()
        return self._result

    def _make_servers(self) -> list[Server]:
        servers: list[Server] = []
        for zone in self._site.zones:
            for service in self._site.services:
                name = f"{service.stage}-{zone}"
                servers.append(
                    PlainServer(
                        name,
                        zone,
                        service.stage,
                        service.slots,
                        self._clock,
                        self._seed,
                    )
                )
        for index, zone in enumerate(self._site.engine_zones):
            size = self._site.engine
            name = f"engine-{index}"
            servers.append(
                Engine(name, zone, ENGINE_STAGE, size, self._clock, self._seed)
            )
        if self._policy is PolicyName.TWO_CHOICES:
            for server in servers:
                server.queue_limit = server.slots
        return servers

    def _make_hosts(self, mechanisms: Mechanisms) -> list[PolicyHost | SimpleHost]:
        hosts: list[PolicyHost | SimpleHost] = []
        hosts_by_address: dict[str, PolicyHost] = {}
        for index in range(len(self._site.host_zones)):
            self._known_by_host.append({})
            common = (index, self._site, self._clock, self._network)
            if self._policy is PolicyName.CHOSEN:
                host = PolicyHost(
                    *common,
                    self._servers_by_id,
                    hosts_by_address,
                    self._seed,
                    mechanisms,
                )
                hosts_by_address[host.address] = host
                hosts.append(host)
            else:
                two_choices = self._policy is PolicyName.TWO_CHOICES
                hosts.append(
                    SimpleHost(*common, self._servers_by_id, self._seed, two_choices)
                )
        return hosts

    def _schedule(self, arrivals: list[Arrival]) -> None:
        for index, source in enumerate(self._sources):
            offset_s = index / len(self._sources)
            self._clock.at(0.0, self._announce, source)
            self._clock.at(offset_s, self._sample, source)
            self._clock.at(offset_s, self._renew, source)
        self._clock.at(0.01, self._exchange_digests)
        for arrival in arrivals:
            self._clock.at(arrival.request.arrived, self._arrive, arrival, 0)
        self._clock.at(self._site.warm_up_s, self._forget_warm_up)
        self._schedule_faults()

    def _schedule_faults(self) -> None:
        scenario = self._scenario
        start = self._site.fault_start_s
        engines = [s for s in self._sources if s.server.stage == ENGINE_STAGE]
        if scenario.slow_engine > 1.0:
            server = self._random.choice(engines).server
            self._clock.at(start, self._slow_down, server)
        if scenario.failing_service:
            stage = self._random.choice(self._site.services[:3]).stage
            self._clock.at(start, self._make_fail, stage)
        if scenario.cut_zone:
            zone = self._random.choice(self._site.zones)
            self._clock.at(start, self._network.cut, zone)
            self._clock.at(start + FAULT_S, self._network.heal)
        if scenario.restarts:
            self._schedule_restarts()

    def _schedule_restarts(self) -> None:
        sources = list(self._sources)
        self._random.shuffle(sources)
        interval_s = (self._scenario.length_s - _DRAIN_S - _DOWN_S) / len(sources)
        for index, source in enumerate(sources):
            leave_at = self._site.warm_up_s + index * interval_s
            self._clock.at(leave_at, self._leave, source)
            self._clock.at(leave_at + _DRAIN_S, source.server.stop)
            self._clock.at(leave_at + _DRAIN_S + _DOWN_S, self._come_back, source)

    def _slow_down(self, server: Server) -> None:
        server.slowdown = self._scenario.slow_engine

    def _make_fail(self, stage: str) -> None:
        for server in self._servers_by_id.values():
            if server.stage == stage:
                server.failure_rate = self._scenario.failing_service

    def _leave(self, source: _ServerSource) -> None:
        source.state = ServerState.LEAVING
        self._announce(source)

    def _come_back(self, source: _ServerSource) -> None:
        source.server.start()
        source.state = ServerState.SERVING
        source.incarnation += 1
        self._announce(source)

    def _sample(self, source: _ServerSource) -> None:
        source.sample(self._clock.now)
        self._clock.after(_SAMPLE_INTERVAL_S, self._sample, source)

    def _renew(self, source: _ServerSource) -> None:
        if source.server.up:
            self._announce(source)
        self._clock.after(_ANNOUNCE_INTERVAL_S, self._renew, source)

    def _announce(self, source: _ServerSource) -> None:
        announcement = source.make(self._clock.now)
        zone = source.server.zone
        for index, host in enumerate(self.hosts):
            if host.zone == zone or self._policy is not PolicyName.CHOSEN:
                self._network.send(zone, host.zone, self._hear, index, announcement)

    def _hear(self, index: int, announcement: Announcement) -> None:
        now = self._clock.now
        known = self._known_by_host[index]
        known[announcement.server_id] = (now, announcement)
        for server_id, (heard_at, _) in list(known.items()):
            if heard_at < now - _TTL_S:
                del known[server_id]
        self.hosts[index].announce(tuple(item[1] for item in known.values()))

    def _exchange_digests(self) -> None:
        if self._policy is not PolicyName.CHOSEN:
            return
        self._digest_turn += 1
        for zone in self._site.zones:
            hosts = [host for host in self.hosts if host.zone == zone]
            host = hosts[self._digest_turn % len(hosts)]
            digests = host.digests()
            for other in self.hosts:
                if other.zone != zone:
                    self._network.send(zone, other.zone, other.take_digests, digests)
        self._clock.after(_DIGEST_INTERVAL_S, self._exchange_digests)

    def _arrive(self, arrival: Arrival, returns: int) -> None:
        first = returns == 0
        if first:
            self._note_offered(arrival)
        done = self._on_done(arrival, returns)
        self.hosts[arrival.host_index].arrive(arrival, done)

    def _on_done(
        self, arrival: Arrival, returns: int
    ) -> Callable[[Refusal | None], None]:
        def on_done(refusal: Refusal | None) -> None:
            if returns == 0:
                self._note_end(arrival, refusal)
            if refusal is not None and self._scenario.callers_return:
                self._come_again(arrival, returns, refusal)

        return on_done

    def _come_again(self, arrival: Arrival, returns: int, refusal: Refusal) -> None:
        if returns >= _MAX_RETURNS or self._random.random() > _RETURN_PROBABILITY:
            return
        if refusal.retry_after_s is None:
            return
        request = arrival.request
        at = self._clock.now + refusal.retry_after_s
        again = replace(
            request,
            request_id=f"{request.request_id}-{returns + 1}",
            arrived=at,
            deadline=at + request.deadline - request.arrived,
        )
        host_index = self._random.randrange(len(self.hosts))
        arrival = replace(arrival, request=again, host_index=host_index)
        self._clock.at(at, self._arrive, arrival, returns + 1)

    def _note_offered(self, arrival: Arrival) -> None:
        result = self._result
        request = arrival.request
        if request.arrived < self._site.warm_up_s:
            return
        result.offered += 1
        _add(result.offered_by_second, self._second(request))
        _add(result.offered_by_organisation, request.organisation)

    def _note_end(self, arrival: Arrival, refusal: Refusal | None) -> None:
        result = self._result
        request = arrival.request
        now = self._clock.now
        if request.arrived < self._site.warm_up_s:
            return
        if refusal is None and now <= request.deadline:
            result.attained += 1
            result.latencies_s.append(now - request.arrived)
            _add(result.attained_by_second, self._second(request))
            _add(result.attained_by_organisation, request.organisation)
        elif refusal is None or now >= request.deadline:
            result.late += 1
        else:
            result.refused += 1
            result.refusal_delays_s.append(now - request.arrived)
            reason = refusal.reason.value
            if refusal.reason is RefusalReason.STAGE_FAILED:
                reason += f" {refusal.message}"
            _add(result.counters, f"refused:{reason}/{refusal.run.value}")

    def _second(self, request: Request) -> int:
        """Return the whole seconds from the fault to a request's arrival."""
        return floor(request.arrived - self._site.fault_start_s)

    def _forget_warm_up(self) -> None:
        for server in self._servers_by_id.values():
            server.usage = Usage()

    def _collect(self) -> None:
        result = self._result
        for server in self._servers_by_id.values():
            busy_s = result.busy_s_by_stage.get(server.stage, 0.0)
            result.busy_s_by_stage[server.stage] = busy_s + server.usage.busy_s
            result.prefill_tokens += server.usage.prefill_tokens
            result.output_tokens += server.usage.output_tokens
        for host in self.hosts:
            if isinstance(host, PolicyHost):
                _add_counters(result, host)


def bound_of(site: Site, scenario: Scenario, seed: int) -> float:
    """Return the share of a run's requests that could be attained at most."""
    arrivals = make_arrivals(site, scenario, seed)
    return attainable(site, scenario, arrivals)


def _add_counters(result: RunResult, host: PolicyHost) -> None:
    counters = host.policy.counters
    for name, count in counters.dispatched_by_choice.items():
        _add(result.counters, f"dispatched:{name}", count)
    for name, count in counters.rejected_by_reason.items():
        _add(result.counters, f"rejected:{name}", count)
    _add(result.counters, "ejected", sum(counters.ejected_by_server.values()))
    _add(result.counters, "restored", sum(counters.restored_by_server.values()))
    _add(result.counters, "retries_allowed", counters.retries_allowed)
    _add(result.counters, "retries_refused", counters.retries_refused)


def _add(counts: dict[Any, int], key: Any, count: int = 1) -> None:
    counts[key] = counts.get(key, 0) + count
