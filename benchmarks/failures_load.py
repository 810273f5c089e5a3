"""A seeded load of requests, and callers that retry as a balancer would."""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

import urllib3

from lib.deployment import KEY, STAGES, expected_output

DEADLINE_S = 5.0
# Answers are waited for beyond the deadline, to tell late ones from lost ones.
_LATE_WAIT_S = 2.0
_TRY_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.5
_HEALTH_INTERVAL_S = 0.5
_RETRY_WAIT_S = 0.25
_MAX_CALLERS = 250
_STREAM_SHARE = 0.2
_ONCE_SHARE = 0.2
# Another host may take at once what these refused.
_RETRIED_STATUSES = frozenset({409, 429, 503})


class Kind(StrEnum):
    """What a request asks for."""

    WHOLE = "whole"
    STREAM = "stream"
    ONCE = "once"


class End(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a caller will send.

    Attributes:
        at: Seconds after the start of the load.
        zone: The zone whose entry hosts the caller reaches.
    """

    number: int
    at: float
    kind: Kind
    zone: str

    @property
    def input(self) -> str:
        """An input that no other request has."""
        return f"{self.kind} request number {self.number} of the load"

    @property
    def expected_output(self) -> str:
        """What the backend servers make of the input."""
        stages = ("charge",) if self.kind is Kind.ONCE else STAGES
        return expected_output(self.input, stages)


@dataclass(frozen=True, slots=True)
class Ended:
    """A request and its end, in seconds after the start of the load."""

    planned: PlannedRequest
    end: End
    at: float
    tries: int
    detail: str


@dataclass(frozen=True, slots=True)
class _Reply:
    """One try's answer: an output, or a refusal with its status."""

    status: int
    output: Any = None
    error: dict[str, Any] | None = None

    @property
    def run(self) -> str:
        return (self.error or {}).get("run", "unknown")

    @property
    def code(self) -> str:
        return (self.error or {}).get("code", "no code")


def plan_load(
    seed: int, rate_per_s: float, seconds: float, zones: Sequence[str]
) -> list[PlannedRequest]:
    """Return requests with exponential gaps between them."""
    random = Random(seed)
    planned: list[PlannedRequest] = []
    at = random.expovariate(rate_per_s)
    while at < seconds:
        kind = random.choices(
            list(Kind), (1 - _STREAM_SHARE - _ONCE_SHARE, _STREAM_SHARE, _ONCE_SHARE)
        )[0]
        planned.append(PlannedRequest(len(planned), at, kind, random.choice(zones)))
        at += random.expovariate(rate_per_s)
    return planned


class Balancer:
    """Sends requests to the entry hosts of a zone that say they are ready.

    Args:
        callers_by_zone: Callers' addresses of each zone's entry hosts.
        platform_by_caller: The address of each host's readiness.
    """

    def __init__(
        self,
        callers_by_zone: dict[str, list[str]],
        platform_by_caller: dict[str, str],
    ) -> None:
        self._callers_by_zone = callers_by_zone
        self._platform_by_caller = platform_by_caller
        self._ready = set(platform_by_caller)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(caller,))
            for caller in platform_by_caller
        ]
        self.pool = urllib3.PoolManager(retries=False, maxsize=_MAX_CALLERS)

    def __enter__(self) -> Balancer:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def choose(self, planned: PlannedRequest, tried: list[str]) -> str:
        """Return a host that is ready, one that was tried least first."""
        hosts = self._callers_by_zone[planned.zone]
        turn = planned.number % len(hosts)
        ordered = hosts[turn:] + hosts[:turn]
        return min(ordered, key=lambda h: (tried.count(h), h not in self._ready))

    def _watch(self, caller: str) -> None:
        url = f"http://{self._platform_by_caller[caller]}/readyz"
        while not self._stopped.wait(_HEALTH_INTERVAL_S):
            try:
                response = self.pool.request("GET", url, timeout=_HEALTH_INTERVAL_S)
                is_ready = response.status == 200
            except urllib3.exceptions.HTTPError:
                is_ready = False
            (self._ready.add if is_ready else self._ready.discard)(caller)


def run_load(
    planned: Sequence[PlannedRequest],
    balancer: Balancer,
    actions: Sequence[tuple[float, Callable[[], None]]],
) -> list[Ended]:
    """Send all requests at their times and act at the given ones."""
    started = time.monotonic()
    due = [(at, act) for at, act in actions]
    futures = []
    with ThreadPoolExecutor(_MAX_CALLERS) as executor:
        for request in planned:
            due.append(
                (
                    request.at,
                    lambda request=request: futures.append(
                        executor.submit(_run_one, request, balancer, started)
                    ),
                )
            )
        for at, act in sorted(due, key=lambda entry: entry[0]):
            time.sleep(max(0.0, started + at - time.monotonic()))
            act()
    return [future.result() for future in futures]


def _run_one(planned: PlannedRequest, balancer: Balancer, started: float) -> Ended:
    deadline = started + planned.at + DEADLINE_S
    tried: list[str] = []
    last: _Reply | None = None
    detail = "no answer"
    while (left_s := deadline - time.monotonic()) > 0:
        host = balancer.choose(planned, tried)
        tried.append(host)
        try:
            last = _send(planned, host, balancer.pool, left_s)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            last, detail = None, type(error).__name__
        else:
            detail = f"{last.status} {last.code} {last.run}"
            if last.status not in _RETRIED_STATUSES:
                break
        _wait_before_retry(last, tried, deadline)
    now = time.monotonic()
    end = _end_of(planned, last, is_late=now > deadline)
    return Ended(planned, end, now - started, len(tried), detail)


def _wait_before_retry(last: _Reply | None, tried: list[str], deadline: float) -> None:
    """Go to another host at once, and later on as the refusal says."""
    if len(tried) == 1:
        return
    wait_s = _RETRY_WAIT_S
    if last is not None and last.error:
        wait_s = max(wait_s, last.error.get("retry_after_ms", 0) / 1_000)
    time.sleep(max(0.0, min(wait_s, deadline - time.monotonic())))


def _end_of(planned: PlannedRequest, last: _Reply | None, is_late: bool) -> End:
    if last is None:
        return End.LOST
    if last.status == 200:
        if last.output != planned.expected_output:
            return End.WRONG
        return End.LATE if is_late else End.ANSWERED
    return End.REFUSED if last.run == "not_run" else End.LOST


def _send(
    planned: PlannedRequest, host: str, pool: urllib3.PoolManager, left_s: float
) -> _Reply:
    pipeline = "book" if planned.kind is Kind.ONCE else "plan"
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Galenadrum-Deadline-Ms": str(max(1, int(left_s * 1_000))),
    }
    if planned.kind is Kind.ONCE:
        headers["Idempotency-Key"] = f"key-{planned.number}"
    streams = planned.kind is Kind.STREAM
    last_try = left_s < _TRY_TIMEOUT_S
    read_s = left_s + _LATE_WAIT_S if last_try else _TRY_TIMEOUT_S
    response = pool.request(
        "POST",
        f"http://{host}/v1/pipelines/{pipeline}",
        body=json.dumps({"input": planned.input, "stream": streams}),
        headers=headers,
        timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
    )
    if streams and response.status == 200:
        return _read_stream(response.data)
    body = response.json()
    return _Reply(response.status, body.get("output"), body.get("error"))


def _read_stream(data: bytes) -> _Reply:
    """Return the joined parts of a stream, or the refusal that ended it.

    Raises:
        ValueError: The stream has no end, or its digest differs.
    """
    deltas: list[str] = []
    for event in data.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in event.splitlines())
        body = json.loads(fields.get("data", "{}"))
        name = fields.get("event")
        if name == "error":
            return _Reply(502, error=body["error"])
        if name == "done":
            output = "".join(deltas)
            if body["digest"] != hashlib.sha256(output.encode()).hexdigest():
                raise ValueError("the digest differs")
            return _Reply(200, output)
        deltas.append(body.get("delta", ""))
    raise ValueError("the stream has no end")
