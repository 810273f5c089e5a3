"""Drives a routing policy with random events and checks its contract."""

from random import Random

from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Request,
    RunState,
    StageCall,
)
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
    ZoneDigest,
)
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.policy import Policy

STAGES = {
    "encode": StageSpec(expected_service_ms=20),
    "confirm": StageSpec(expected_service_ms=30, repeatable=False),
    "generate": StageSpec(expected_service_ms=900, model="m", streams=True),
}


def announcement(server_id, stages=("encode",), capacity=2, **fields):
    values = {"incarnation": 1, "sequence": 1, "zone": "nadi", "ttl_s": 5.0}
    values.update(fields)
    return Announcement(
        server_id=server_id,
        address=f"{server_id}:1",
        stages=stages,
        capacity=capacity,
        **values,
    )


def make_request(request_id, deadline=5.0, stages=tuple(STAGES), **fields):
    values = {
        "organisation": "a",
        "arrived_at": 0.0,
        "input_tokens": 600,
        "pipeline": "p",
    }
    values.update(fields)
    return Request(
        request_id=request_id,
        stages=stages,
        deadline=deadline,
        output_tokens=60,
        **values,
    )


def make_policy(servers=(), random=None, now=0.0, mechanisms=None):
    policy = Policy("nadi", random or Random(1), mechanisms)
    policy.update_declarations(STAGES, {}, Objectives(), now)
    policy.update_servers(servers, now)
    return policy


def make_call(request, stage_index=0, attempt=1, **fields):
    return StageCall(
        request, request.stages[stage_index], stage_index, attempt, **fields
    )


class PolicyDriver:
    """Simulates the calls of one entry host while servers join and leave."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.policy = make_policy(random=Random(seed + 1))
        self.now = 0.0
        self.sequence = 1
        self.servers = {}
        self.waiting = {}
        self.running = {}
        self.decided = set()
        self.refused = self.completed = 0
        self.next_id = 0

    def step(self):
        self.now += self.random.expovariate(40.0)
        actions = (
            [self.admit_request] * 5 + [self.finish_call] * 8 + [self.change_servers]
        )
        actions += [self.withdraw_call, self.tick, self.digest]
        self.random.choice(actions)()
        wakeup = self.policy.next_wakeup(self.now)
        assert (wakeup is not None) == bool(self.waiting)

    def drain(self):
        """Advance time until no call is waiting or running."""
        while self.waiting or self.running:
            self.now += 0.5
            self.tick()
            while self.running:
                self.finish_call()

    def admit_request(self):
        self.next_id += 1
        stages = self.random.choice((tuple(STAGES), ("encode", "generate")))
        request = make_request(
            f"r{self.next_id}",
            deadline=self.now + self.random.choice((0.01, 1.5, 5.0)),
            stages=stages,
            organisation=self.random.choice("abc"),
            weight=self.random.choice((0.5, 2.0)),
            priority=self.random.choice((0, 5)),
            prefix_hashes=tuple(f"h{i}" for i in range(self.random.randrange(6))),
        )
        refusal = self.policy.admit(request, self.now)
        if refusal is not None:
            assert refusal.run is RunState.NOT_RUN
            assert refusal.retry_after_s > 0.0
            self.refused += 1
            return
        self.submit(make_call(request))

    def submit(self, call):
        assert call.key not in self.waiting
        self.waiting[call.key] = call
        self.handle_decisions(self.policy.submit(call, self.now))

    def handle_decisions(self, decisions):
        for decision in decisions:
            key = decision.call.key
            assert key in self.waiting and key not in self.decided
            del self.waiting[key]
            self.decided.add(key)
            if isinstance(decision, Dispatch):
                self.check_dispatch(decision)
                self.running[key] = decision
            else:
                self.check_reject(decision)
                self.policy.end_request(decision.call.request, self.now)

    def check_dispatch(self, decision):
        left_s = decision.call.request.deadline - self.now
        assert 0.0 <= decision.first_byte_timeout_s <= max(0.0, left_s)
        if decision.forward_zone is not None:
            assert decision.address == "lautoka-entry:1"
            return
        server = self.servers[decision.server_id]
        assert server.state is ServerState.SERVING
        assert decision.call.stage in server.stages
        assert (
            self.policy.get_explanation(decision.call).server_id == decision.server_id
        )

    def check_reject(self, decision):
        prefix = (decision.call.request.request_id,)
        earlier = [key for key in self.decided if key[:1] == prefix]
        if decision.refusal.run is RunState.NOT_RUN and len(earlier) > 1:
            assert decision.call.stage_index == 0

    def finish_call(self):
        if not self.running:
            return
        key = self.random.choice(sorted(self.running))
        dispatch = self.running.pop(key)
        call = dispatch.call
        outcome = self.random.choice([Outcome.COMPLETED] * 6 + list(Outcome))
        service_s = self.random.uniform(0.0, 0.5)
        result = AttemptResult(outcome, service_s, cached_tokens=128)
        abandoned = self.random.random() < 0.1
        if abandoned:
            self.policy.end_request(call.request, self.now)
        self.handle_decisions(
            self.policy.finished(call, dispatch.server_id, result, self.now)
        )
        if not abandoned:
            self.continue_request(call, dispatch.server_id, result)

    def continue_request(self, call, server_id, result):
        request = call.request
        if result.outcome is Outcome.COMPLETED:
            if call.stage_index + 1 < len(request.stages):
                self.submit(make_call(request, call.stage_index + 1))
                return
            self.completed += 1
        elif self.policy.allow_retry(call, result, self.now):
            assert result.outcome is Outcome.NOT_RUN or call.stage != "confirm"
            tried = call.tried_server_ids | {server_id}
            self.submit(
                make_call(
                    request,
                    call.stage_index,
                    call.attempt + 1,
                    tried_server_ids=tried,
                )
            )
            return
        self.policy.end_request(request, self.now)

    def withdraw_call(self):
        if not self.waiting:
            return
        call = self.waiting.pop(self.random.choice(sorted(self.waiting)))
        self.handle_decisions(self.policy.withdraw(call, self.now))
        self.policy.end_request(call.request, self.now)

    def tick(self):
        self.handle_decisions(self.policy.tick(self.now))

    def digest(self):
        digests = [
            ZoneDigest("lautoka", stage, 2, 0.0, "lautoka-entry:1", self.now, 4, 0.1)
            for stage in STAGES
        ]
        self.policy.update_digests(digests, self.now)

    def change_servers(self):
        self.sequence += self.random.choice((1, 2))
        server_id = f"s{self.random.randrange(6)}"
        event = CacheEvent(self.sequence, ("h1", "h2"), ("h3",))
        self.servers[server_id] = announcement(
            server_id,
            self.random.choice((("encode", "confirm"), ("generate",))),
            capacity=self.random.choice((1, 4)),
            incarnation=1 + self.sequence // 40,
            sequence=self.sequence,
            state=self.random.choice([ServerState.SERVING] * 4 + [ServerState.LEAVING]),
            load=LoadReport(self.random.randrange(4), 0, 1.0),
            cache_events=(event,),
        )
        if self.random.random() < 0.2:
            del self.servers[server_id]
        servers = tuple(self.servers.values())
        self.handle_decisions(self.policy.update_servers(servers, self.now))
