"""Callers of the demonstration, which check that answers match their requests."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import urllib3

from galenadrum._internal.models.resources import (
    Declaration,
    OrganisationSpec,
    PipelineSpec,
)

_MAX_CONCURRENT_REQUESTS = 32
_REQUEST_TIMEOUT_S = 30.0
_KEY_PREFIX = "demo-key-"


class AttemptState(StrEnum):
    """Outcome of a request of a caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that is still to be sent."""

    number: int
    organisation: str
    pipeline: str
    stages: tuple[str, ...]

    @property
    def input(self) -> str:
        """The input, which is unique to the request."""
        return f"{self.organisation} asks {self.pipeline} as number {self.number}"

    @property
    def expected_output(self) -> str:
        """The output of the demonstration's backend servers for the input."""
        output = self.input
        for stage in self.stages:
            output = f"{stage}({output})"
        return output


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request that was sent, with its outcome and duration."""

    planned: PlannedRequest
    state: AttemptState
    seconds: float


@dataclass(frozen=True, slots=True)
class DemoSummary:
    """Request counts and latencies of a demonstration."""

    requests: int
    answered: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    seconds: float

    @classmethod
    def from_attempts(cls, attempts: Sequence[Attempt], seconds: float) -> DemoSummary:
        """Return the summary of attempts that took ``seconds`` in total."""
        latencies = sorted(a.seconds for a in attempts if a.state == "answered")
        states = [attempt.state for attempt in attempts]
        return cls(
            requests=len(attempts),
            answered=states.count(AttemptState.ANSWERED),
            refused=states.count(AttemptState.REFUSED),
            failed=states.count(AttemptState.FAILED),
            p50_ms=_percentile_ms(latencies, 0.50),
            p99_ms=_percentile_ms(latencies, 0.99),
            seconds=round(seconds, 1),
        )

    def to_json(self) -> dict[str, Any]:
        """Return the summary as JSON values."""
        return {name: getattr(self, name) for name in self.__slots__}


def _percentile_ms(latencies: Sequence[float], share: float) -> float:
    if not latencies:
        return 0.0
    index = min(len(latencies) - 1, int(share * len(latencies)))
    return round(latencies[index] * 1_000, 1)


def plan_attempts(
    declarations: Sequence[Declaration], requests_per_pair: int
) -> list[PlannedRequest]:
    """Return requests of each organisation to each pipeline that it may call."""
    planned: list[PlannedRequest] = []
    for organisation in declarations:
        if not isinstance(organisation.spec, OrganisationSpec):
            continue
        for pipeline in declarations:
            if not isinstance(pipeline.spec, PipelineSpec):
                continue
            if not _may_call(organisation.spec, pipeline.key.name):
                continue
            for _ in range(requests_per_pair):
                request = PlannedRequest(
                    len(planned),
                    organisation.key.name,
                    pipeline.key.name,
                    pipeline.spec.stages,
                )
                planned.append(request)
    return planned


def _may_call(organisation: OrganisationSpec, pipeline: str) -> bool:
    return not organisation.pipelines or pipeline in organisation.pipelines


def run_attempts(
    planned: Sequence[PlannedRequest], addresses: Sequence[str]
) -> list[Attempt]:
    """Send all requests, some of them concurrently, and check their answers."""
    pool = urllib3.PoolManager(
        retries=False, maxsize=_MAX_CONCURRENT_REQUESTS, timeout=_REQUEST_TIMEOUT_S
    )

    def run_attempt(request: PlannedRequest) -> Attempt:
        started = time.monotonic()
        address = addresses[request.number % len(addresses)]
        state = _send_request(pool, address, request)
        return Attempt(request, state, time.monotonic() - started)

    with ThreadPoolExecutor(_MAX_CONCURRENT_REQUESTS) as executor:
        return list(executor.map(run_attempt, planned))


def _send_request(
    pool: urllib3.PoolManager, address: str, request: PlannedRequest
) -> AttemptState:
    headers = {
        "Authorization": f"Bearer {_KEY_PREFIX}{request.organisation}",
        "Idempotency-Key": f"demo-{request.number}",
    }
    try:
        response = pool.request(
            "POST",
            f"http://{address}/v1/pipelines/{request.pipeline}",
            body=json.dumps({"input": request.input}),
            headers=headers,
        )
        body = response.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        return AttemptState.FAILED
    if response.status == 200:
        is_expected = body["output"] == request.expected_output
        return AttemptState.ANSWERED if is_expected else AttemptState.FAILED
    return AttemptState.REFUSED if "error" in body else AttemptState.FAILED
