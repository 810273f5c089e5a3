"""Simulation of one policy on a site, in a scenario, with a seed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum
from math import floor
from random import Random
from typing import Any

from benchmarks.policy.bound import compute_attainable_share
from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.policy_host import PolicyHost
from benchmarks.policy.results import RunResult
from benchmarks.policy.scenarios import (
    FAULT_DURATION_S,
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
_ANNOUNCEMENT_TTL_S = 5.0
_DRAIN_DURATION_S = 3.0
_RESTART_DOWNTIME_S = 2.0
_COMPLETION_WAIT_S = 15.0
_CALLER_RETRY_PROBABILITY = 0.7
_MAX_CALLER_RETRIES = 2


class PolicyName(StrEnum):
    """Policies that the benchmark compares."""

    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"
    CHOSEN = "chosen"


class _ServerAnnouncer:
    """Announces one server, with delayed load reports and cache events."""

    def __init__(self, server: Server, scenario: Scenario, seed: int) -> None:
        self.server = server
        self.state = ServerState.SERVING
        self.incarnation = 1
        self._sequence = 0
        self._scenario = scenario
        self._random = Random(f"{seed}/{server.server_id}")
        self._samples: deque[tuple[float, int, int]] = deque(maxlen=32)
        self._delayed_events: tuple[CacheEvent, ...] = ()

    def sample_load(self, now: float) -> None:
        """Record the server's load."""
        self._samples.append((now, len(self.server.running), self.server.queued))

    def make_announcement(self, now: float) -> Announcement:
        """Return an announcement with a load report of the scenario's age."""
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
            ttl_s=_ANNOUNCEMENT_TTL_S,
            state=self.state,
            load=self._get_delayed_report(now),
            cache_events=self._get_delayed_events(),
        )

    def _get_delayed_report(self, now: float) -> LoadReport | None:
        sampled_by = now - self._scenario.report_age_s
        for sampled_at, running, queued in reversed(self._samples):
            if sampled_at <= sampled_by:
                return LoadReport(running, queued, now - sampled_at)
        return None

    def _get_delayed_events(self) -> tuple[CacheEvent, ...]:
        delayed_events = self._delayed_events
        event = self.server.drain_cache_events()
        lost = self._random.random() < self._scenario.cache_event_loss_share
        self._delayed_events = () if event is None or lost else (event,)
        return delayed_events


class Simulation:
    """Simulates a site with its servers, entry hosts and faults."""

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
        self._announcers = [
            _ServerAnnouncer(server, scenario, seed) for server in self._make_servers()
        ]
        self._servers_by_id = {
            announcer.server.server_id: announcer.server
            for announcer in self._announcers
        }
        self._announcements_by_host: list[dict[str, tuple[float, Announcement]]] = []
        self.hosts = self._make_hosts(mechanisms or Mechanisms())
        self._result = RunResult(site.name, scenario.name, seed, policy.value)
        self._digest_round = 0

    def run(self) -> RunResult:
        """Run the simulation to the end and return its figures."""
        arrivals = make_arrivals(self._site, self._scenario, self._seed)
        self._schedule(arrivals)
        end = self._site.warm_up_s + self._scenario.length_s
        self._clock.run_until(end + _COMPLETION_WAIT_S)
        self._collect_totals()
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
            self._announcements_by_host.append({})
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
        for index, announcer in enumerate(self._announcers):
            offset_s = index / len(self._announcers)
            self._clock.at(0.0, self._announce, announcer)
            self._clock.at(offset_s, self._sample_load, announcer)
            self._clock.at(offset_s, self._renew_announcement, announcer)
        self._clock.at(0.01, self._exchange_digests)
        for arrival in arrivals:
            self._clock.at(arrival.request.arrived_at, self._submit_request, arrival, 0)
        self._clock.at(self._site.warm_up_s, self._reset_usage)
        self._schedule_faults()

    def _schedule_faults(self) -> None:
        scenario = self._scenario
        start = self._site.fault_start_s
        engines = [s for s in self._announcers if s.server.stage == ENGINE_STAGE]
        if scenario.engine_slowdown > 1.0:
            server = self._random.choice(engines).server
            self._clock.at(start, self._slow_engine, server)
        if scenario.service_failure_share:
            stage = self._random.choice(self._site.services[:3]).stage
            self._clock.at(start, self._fail_service, stage)
        if scenario.isolates_zone:
            zone = self._random.choice(self._site.zones)
            self._clock.at(start, self._network.isolate_zone, zone)
            self._clock.at(start + FAULT_DURATION_S, self._network.heal_partition)
        if scenario.restarts:
            self._schedule_restarts()

    def _schedule_restarts(self) -> None:
        announcers = list(self._announcers)
        self._random.shuffle(announcers)
        interval_s = (
            self._scenario.length_s - _DRAIN_DURATION_S - _RESTART_DOWNTIME_S
        ) / len(announcers)
        for index, announcer in enumerate(announcers):
            leaves_at = self._site.warm_up_s + index * interval_s
            self._clock.at(leaves_at, self._announce_leaving, announcer)
            self._clock.at(leaves_at + _DRAIN_DURATION_S, announcer.server.stop)
            self._clock.at(
                leaves_at + _DRAIN_DURATION_S + _RESTART_DOWNTIME_S,
                self._restart_server,
                announcer,
            )

    def _slow_engine(self, server: Server) -> None:
        server.slowdown = self._scenario.engine_slowdown

    def _fail_service(self, stage: str) -> None:
        for server in self._servers_by_id.values():
            if server.stage == stage:
                server.failure_rate = self._scenario.service_failure_share

    def _announce_leaving(self, announcer: _ServerAnnouncer) -> None:
        announcer.state = ServerState.LEAVING
        self._announce(announcer)

    def _restart_server(self, announcer: _ServerAnnouncer) -> None:
        announcer.server.start()
        announcer.state = ServerState.SERVING
        announcer.incarnation += 1
        self._announce(announcer)

    def _sample_load(self, announcer: _ServerAnnouncer) -> None:
        announcer.sample_load(self._clock.now)
        self._clock.after(_SAMPLE_INTERVAL_S, self._sample_load, announcer)

    def _renew_announcement(self, announcer: _ServerAnnouncer) -> None:
        if announcer.server.is_up:
            self._announce(announcer)
        self._clock.after(_ANNOUNCE_INTERVAL_S, self._renew_announcement, announcer)

    def _announce(self, announcer: _ServerAnnouncer) -> None:
        announcement = announcer.make_announcement(self._clock.now)
        zone = announcer.server.zone
        for index, host in enumerate(self.hosts):
            if host.zone == zone or self._policy is not PolicyName.CHOSEN:
                self._network.send(
                    zone, host.zone, self._receive_announcement, index, announcement
                )

    def _receive_announcement(self, index: int, announcement: Announcement) -> None:
        now = self._clock.now
        announcements_by_id = self._announcements_by_host[index]
        announcements_by_id[announcement.server_id] = (now, announcement)
        for server_id, (received_at, _) in list(announcements_by_id.items()):
            if received_at < now - _ANNOUNCEMENT_TTL_S:
                del announcements_by_id[server_id]
        self.hosts[index].update_servers(
            tuple(item[1] for item in announcements_by_id.values())
        )

    def _exchange_digests(self) -> None:
        if self._policy is not PolicyName.CHOSEN:
            return
        self._digest_round += 1
        for zone in self._site.zones:
            hosts = [host for host in self.hosts if host.zone == zone]
            host = hosts[self._digest_round % len(hosts)]
            digests = host.digests()
            for other in self.hosts:
                if other.zone != zone:
                    self._network.send(zone, other.zone, other.receive_digests, digests)
        self._clock.after(_DIGEST_INTERVAL_S, self._exchange_digests)

    def _submit_request(self, arrival: Arrival, retries: int) -> None:
        is_first = retries == 0
        if is_first:
            self._record_offered(arrival)
        done = self._make_done_callback(arrival, retries)
        self.hosts[arrival.host_index].submit_request(arrival, done)

    def _make_done_callback(
        self, arrival: Arrival, retries: int
    ) -> Callable[[Refusal | None], None]:
        def on_done(refusal: Refusal | None) -> None:
            if retries == 0:
                self._record_request_end(arrival, refusal)
            if refusal is not None and self._scenario.callers_retry:
                self._schedule_retry(arrival, retries, refusal)

        return on_done

    def _schedule_retry(self, arrival: Arrival, retries: int, refusal: Refusal) -> None:
        if (
            retries >= _MAX_CALLER_RETRIES
            or self._random.random() > _CALLER_RETRY_PROBABILITY
        ):
            return
        if refusal.retry_after_s is None:
            return
        request = arrival.request
        retry_at = self._clock.now + refusal.retry_after_s
        retry = replace(
            request,
            request_id=f"{request.request_id}-{retries + 1}",
            arrived_at=retry_at,
            deadline=retry_at + request.deadline - request.arrived_at,
        )
        host_index = self._random.randrange(len(self.hosts))
        arrival = replace(arrival, request=retry, host_index=host_index)
        self._clock.at(retry_at, self._submit_request, arrival, retries + 1)

    def _record_offered(self, arrival: Arrival) -> None:
        result = self._result
        request = arrival.request
        if request.arrived_at < self._site.warm_up_s:
            return
        result.offered += 1
        _add_count(result.offered_by_second, self._get_fault_second(request))
        _add_count(result.offered_by_organisation, request.organisation)

    def _record_request_end(self, arrival: Arrival, refusal: Refusal | None) -> None:
        result = self._result
        request = arrival.request
        now = self._clock.now
        if request.arrived_at < self._site.warm_up_s:
            return
        if refusal is None and now <= request.deadline:
            result.attained += 1
            result.latencies_s.append(now - request.arrived_at)
            _add_count(result.attained_by_second, self._get_fault_second(request))
            _add_count(result.attained_by_organisation, request.organisation)
        elif refusal is None or now >= request.deadline:
            result.late += 1
        else:
            result.refused += 1
            result.refusal_delays_s.append(now - request.arrived_at)
            reason = refusal.reason.value
            if refusal.reason is RefusalReason.STAGE_FAILED:
                reason += f" {refusal.message}"
            _add_count(result.counters, f"refused:{reason}/{refusal.run.value}")

    def _get_fault_second(self, request: Request) -> int:
        """Return the whole seconds from the start of the fault to the arrival."""
        return floor(request.arrived_at - self._site.fault_start_s)

    def _reset_usage(self) -> None:
        for server in self._servers_by_id.values():
            server.usage = Usage()

    def _collect_totals(self) -> None:
        result = self._result
        for server in self._servers_by_id.values():
            busy_s = result.busy_s_by_stage.get(server.stage, 0.0)
            result.busy_s_by_stage[server.stage] = busy_s + server.usage.busy_s
            result.prefill_tokens += server.usage.prefill_tokens
            result.output_tokens += server.usage.output_tokens
        for host in self.hosts:
            if isinstance(host, PolicyHost):
                _add_counters(result, host)


def compute_attainment_bound(site: Site, scenario: Scenario, seed: int) -> float:
    """Return the upper bound on the share of a run's requests that can be attained."""
    arrivals = make_arrivals(site, scenario, seed)
    return compute_attainable_share(site, scenario, arrivals)


def _add_counters(result: RunResult, host: PolicyHost) -> None:
    counters = host.policy.counters
    for name, count in counters.dispatched_by_choice.items():
        _add_count(result.counters, f"dispatched:{name}", count)
    for name, count in counters.rejected_by_reason.items():
        _add_count(result.counters, f"rejected:{name}", count)
    _add_count(result.counters, "ejected", sum(counters.ejected_by_server.values()))
    _add_count(result.counters, "restored", sum(counters.restored_by_server.values()))
    _add_count(result.counters, "retries_allowed", counters.retries_allowed)
    _add_count(result.counters, "retries_refused", counters.retries_refused)


def _add_count(counts: dict[Any, int], key: Any, count: int = 1) -> None:
    counts[key] = counts.get(key, 0) + count
