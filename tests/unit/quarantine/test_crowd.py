"""A request that crashes its servers, among servers that crash for other reasons."""

import random
from dataclasses import dataclass

import pytest

from galenadrum._internal.models.quarantine import ServerCrash
from galenadrum._internal.quarantine.attribution import CrashAttribution

LETHAL = "request:lethal"
SERVERS = 14
USERS = 400
REQUESTS_PER_S = 30
STEP_S = 0.02
RUN_S = 1.0
# Sent twice by the entry host, and once more by the caller in the same way.
MAX_SENDS = 4
# Three crashes, and the three further sends that are allowed.
MAX_LETHAL_CRASHES = 6


@dataclass(frozen=True, slots=True)
class Send:
    prompt: tuple[str, ...]
    left: int
    sent_at: float = 0.0

    @property
    def is_lethal(self):
        return self.prompt[-1] == LETHAL


class Crowd:
    """Simulated servers and the requests on them, all drawn from a seed.

    Attributes:
        named: Suspects that were named, in order.
        lethal_crashes: Number of crashes of servers that ran the lethal request.
    """

    def __init__(self, seed, crashes_per_s):
        self.rng = random.Random(seed)
        self.crashes_per_s = crashes_per_s
        self.attribution = CrashAttribution()
        self.now = 0.0
        self.requests = 0
        self.named = []
        self.lethal_crashes = 0
        self._running = {server: [] for server in range(SERVERS)}
        self._incarnations = [0] * SERVERS

    def run(self, seconds, lethal_per_s=0.0):
        while self.now < seconds and LETHAL not in self.named:
            self.now += STEP_S
            if self.rng.random() < REQUESTS_PER_S * STEP_S:
                self.requests += 1
                user = f"user-{self.rng.randrange(USERS)}"
                self._send(("system", user, f"request:{self.requests}"), MAX_SENDS)
            if self.rng.random() < lethal_per_s * STEP_S:
                self._send(("system", "user-0", LETHAL), 2)
            self._crash_servers()
            self._finish_requests()

    def _send(self, prompt, left):
        server = self.rng.randrange(SERVERS)
        self._running[server].append(Send(prompt, left, self.now))

    def _crash_servers(self):
        down = {
            server
            for server, sends in self._running.items()
            if any(send.is_lethal for send in sends)
        }
        if self.rng.random() < self.crashes_per_s * STEP_S:
            down.add(self.rng.randrange(SERVERS))
        for server in down:
            self._crash(server)

    def _crash(self, server):
        sends, self._running[server] = self._running[server], []
        self._incarnations[server] += 1
        self.lethal_crashes += any(send.is_lethal for send in sends)
        prompts = tuple(send.prompt for send in sends)
        crash = ServerCrash(
            f"s-{server}", self._incarnations[server], self.now, prompts
        )
        named = self.attribution.record_crash(crash, self.now)
        if named is not None:
            self.named.append(named.part_id)
        for send in sends:
            if send.left > 1:
                self._send(send.prompt, send.left - 1)

    def _finish_requests(self):
        for sends in self._running.values():
            for send in [s for s in sends if self.now - s.sent_at >= RUN_S]:
                sends.remove(send)
                self.attribution.record_success(send.prompt)


class TestCrowd:
    @pytest.mark.parametrize("crashes_per_s", [0.0, 0.33, 1.0])
    def test_lethal_request_is_named_within_the_allowed_crashes(self, crashes_per_s):
        for seed in range(10):
            crowd = Crowd(seed, crashes_per_s)
            crowd.run(60, lethal_per_s=1.0)
            assert crowd.named[-1] == LETHAL
            assert crowd.lethal_crashes <= MAX_LETHAL_CRASHES

    def test_few_sound_requests_are_named_beside_other_crashes(self):
        crowds = [Crowd(seed, crashes_per_s=0.33) for seed in range(10)]
        for crowd in crowds:
            crowd.run(60)
        assert sum(len(crowd.named) for crowd in crowds) <= 1
        assert sum(crowd.requests for crowd in crowds) > 10_000
