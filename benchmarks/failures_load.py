"""Seeded load of requests, and a load balancer that retries them."""

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

from lib.deployment import CALLER_KEY, STAGES, build_expected_output

DEADLINE_S = 5.0
# Wait for answers beyond the deadline, to tell late requests from lost ones.
_LATE_ANSWER_WAIT_S = 2.0
_ATTEMPT_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 0.5
_READINESS_POLL_INTERVAL_S = 0.5
_MIN_RETRY_DELAY_S = 0.25
_MAX_CONCURRENT_REQUESTS = 250
_STREAM_SHARE = 0.2
_NON_REPEATABLE_SHARE = 0.2
# Another host may accept a request that was refused with one of these statuses.
_RETRYABLE_STATUSES = frozenset({409, 429, 503})


class RequestKind(StrEnum):
    """Kind of a request.

    Attributes:
        UNSTREAMED: Pipeline of repeatable stages, with the answer in one piece.
        STREAMED: The same pipeline with a streamed answer.
        NON_REPEATABLE: Pipeline of a non-repeatable stage, with an idempotency key.
    """

    UNSTREAMED = "whole"
    STREAMED = "stream"
    NON_REPEATABLE = "once"


class RequestOutcome(StrEnum):
    """Outcome of a request as its caller saw it.

    Attributes:
        ANSWERED: Expected output within the deadline.
        LATE: Expected output after the deadline.
        REFUSED: Refused before any stage ran.
        LOST: No answer, or a failure after which stages may have run.
        WRONG: Output that differs from the expected one.
    """

    ANSWERED = "answered"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """Request of the planned load.

    Attributes:
        send_at_s: Seconds from the start of the load until the request is sent.
        zone: Zone of the entry hosts that the request is sent to.
    """

    number: int
    send_at_s: float
    kind: RequestKind
    zone: str

    @property
    def input(self) -> str:
        """Input that is unique to this request."""
        return f"{self.kind} request number {self.number} of the load"

    @property
    def expected_output(self) -> str:
        """Output that the backend servers return for the input."""
        stages = ("charge",) if self.kind is RequestKind.NON_REPEATABLE else STAGES
        return build_expected_output(self.input, stages)


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Outcome of a request.

    Attributes:
        ended_at_s: Seconds from the start of the load until the request ended.
        attempts: Number of times that the request was sent.
        detail: Status, error code and run state of the last reply, or the type of
            the exception.
    """

    request: PlannedRequest
    outcome: RequestOutcome
    ended_at_s: float
    attempts: int
    detail: str


@dataclass(frozen=True, slots=True)
class _Reply:
    """Reply to one attempt: a status with an output or an error."""

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
    """Generate requests with exponentially distributed intervals."""
    random = Random(seed)
    planned_requests: list[PlannedRequest] = []
    at_s = random.expovariate(rate_per_s)
    while at_s < seconds:
        kind = random.choices(
            list(RequestKind),
            (
                1 - _STREAM_SHARE - _NON_REPEATABLE_SHARE,
                _STREAM_SHARE,
                _NON_REPEATABLE_SHARE,
            ),
        )[0]
        planned_requests.append(
            PlannedRequest(len(planned_requests), at_s, kind, random.choice(zones))
        )
        at_s += random.expovariate(rate_per_s)
    return planned_requests


class Balancer:
    """Load balancer that prefers the entry hosts of a zone that report ready.

    Args:
        entry_addresses_by_zone: Caller addresses of the entry hosts of each zone.
        readiness_address_by_entry: Address of the readiness check by the caller
            address of the entry host.
    """

    def __init__(
        self,
        entry_addresses_by_zone: dict[str, list[str]],
        readiness_address_by_entry: dict[str, str],
    ) -> None:
        self._entry_addresses_by_zone = entry_addresses_by_zone
        self._readiness_address_by_entry = readiness_address_by_entry
        self._ready_hosts = set(readiness_address_by_entry)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll_readiness, args=(entry_address,))
            for entry_address in readiness_address_by_entry
        ]
        self.pool = urllib3.PoolManager(retries=False, maxsize=_MAX_CONCURRENT_REQUESTS)

    def __enter__(self) -> Balancer:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def choose_host(self, request: PlannedRequest, tried_hosts: list[str]) -> str:
        """Return the host with the fewest attempts so far, preferring ready ones."""
        hosts = self._entry_addresses_by_zone[request.zone]
        first = request.number % len(hosts)
        ordered_hosts = hosts[first:] + hosts[:first]
        return min(
            ordered_hosts,
            key=lambda h: (tried_hosts.count(h), h not in self._ready_hosts),
        )

    def _poll_readiness(self, entry_address: str) -> None:
        url = f"http://{self._readiness_address_by_entry[entry_address]}/readyz"
        while not self._stopped.wait(_READINESS_POLL_INTERVAL_S):
            try:
                response = self.pool.request(
                    "GET", url, timeout=_READINESS_POLL_INTERVAL_S
                )
                is_ready = response.status == 200
            except urllib3.exceptions.HTTPError:
                is_ready = False
            (self._ready_hosts.add if is_ready else self._ready_hosts.discard)(
                entry_address
            )


def run_load(
    requests: Sequence[PlannedRequest],
    balancer: Balancer,
    actions: Sequence[tuple[float, Callable[[], None]]],
) -> list[RequestResult]:
    """Send all requests at their planned times and perform actions at theirs.

    Args:
        requests: Requests to send.
        balancer: Balancer that chooses the entry host of each attempt.
        actions: Pairs of seconds from the start of the load and a function.
    """
    started = time.monotonic()
    schedule = [(at_s, perform) for at_s, perform in actions]
    futures = []
    with ThreadPoolExecutor(_MAX_CONCURRENT_REQUESTS) as executor:
        for request in requests:
            schedule.append(
                (
                    request.send_at_s,
                    lambda request=request: futures.append(
                        executor.submit(_send_with_retries, request, balancer, started)
                    ),
                )
            )
        for at_s, perform in sorted(schedule, key=lambda entry: entry[0]):
            time.sleep(max(0.0, started + at_s - time.monotonic()))
            perform()
    return [future.result() for future in futures]


def _send_with_retries(
    request: PlannedRequest, balancer: Balancer, started: float
) -> RequestResult:
    deadline = started + request.send_at_s + DEADLINE_S
    tried_hosts: list[str] = []
    last_reply: _Reply | None = None
    detail = "no answer"
    while (left_s := deadline - time.monotonic()) > 0:
        host = balancer.choose_host(request, tried_hosts)
        tried_hosts.append(host)
        try:
            last_reply = _send_attempt(request, host, balancer.pool, left_s)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            last_reply, detail = None, type(error).__name__
        else:
            detail = f"{last_reply.status} {last_reply.code} {last_reply.run}"
            if last_reply.status not in _RETRYABLE_STATUSES:
                break
        _wait_before_retry(last_reply, tried_hosts, deadline)
    now = time.monotonic()
    outcome = _classify_outcome(request, last_reply, is_late=now > deadline)
    return RequestResult(request, outcome, now - started, len(tried_hosts), detail)


def _wait_before_retry(
    last_reply: _Reply | None, tried_hosts: list[str], deadline: float
) -> None:
    """Wait before a retry, except before the first one.

    The wait is at least the delay that a refusal asks for, within the deadline.
    """
    if len(tried_hosts) == 1:
        return
    wait_s = _MIN_RETRY_DELAY_S
    if last_reply is not None and last_reply.error:
        wait_s = max(wait_s, last_reply.error.get("retry_after_ms", 0) / 1_000)
    time.sleep(max(0.0, min(wait_s, deadline - time.monotonic())))


def _classify_outcome(
    request: PlannedRequest, last_reply: _Reply | None, is_late: bool
) -> RequestOutcome:
    if last_reply is None:
        return RequestOutcome.LOST
    if last_reply.status == 200:
        if last_reply.output != request.expected_output:
            return RequestOutcome.WRONG
        return RequestOutcome.LATE if is_late else RequestOutcome.ANSWERED
    return (
        RequestOutcome.REFUSED if last_reply.run == "not_run" else RequestOutcome.LOST
    )


def _send_attempt(
    request: PlannedRequest, host: str, pool: urllib3.PoolManager, left_s: float
) -> _Reply:
    pipeline = "book" if request.kind is RequestKind.NON_REPEATABLE else "plan"
    headers = {
        "Authorization": f"Bearer {CALLER_KEY}",
        "Galenadrum-Deadline-Ms": str(max(1, int(left_s * 1_000))),
    }
    if request.kind is RequestKind.NON_REPEATABLE:
        headers["Idempotency-Key"] = f"key-{request.number}"
    streams = request.kind is RequestKind.STREAMED
    is_last_attempt = left_s < _ATTEMPT_TIMEOUT_S
    read_s = left_s + _LATE_ANSWER_WAIT_S if is_last_attempt else _ATTEMPT_TIMEOUT_S
    response = pool.request(
        "POST",
        f"http://{host}/v1/pipelines/{pipeline}",
        body=json.dumps({"input": request.input, "stream": streams}),
        headers=headers,
        timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
    )
    if streams and response.status == 200:
        return _read_stream(response.data)
    body = response.json()
    return _Reply(response.status, body.get("output"), body.get("error"))


def _read_stream(data: bytes) -> _Reply:
    """Return the joined parts of a stream, or the error that ended it.

    Raises:
        ValueError: If the stream has no final event or its digest doesn't match.
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
                raise ValueError("stream digest does not match the received parts")
            return _Reply(200, output)
        deltas.append(body.get("delta", ""))
    raise ValueError("stream ended without a done or error event")
