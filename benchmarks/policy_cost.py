"""Measure the processor time of the policy's decisions by size of the zone.

Prints, for pools of 5, 50 and 200 servers, the processor time of a request with
one stage (admit, submit, finished, end_request) and of one update with the
announcements of the whole pool. The last line is one JSON object.
"""

from __future__ import annotations

import json
import time
from collections import deque
from random import Random

from galenadrum._internal.models.requests import (
    AttemptResult,
    Dispatch,
    Outcome,
    Request,
    StageCall,
)
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import Announcement, LoadReport
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.policy import Policy

_POOL_SIZES = (5, 50, 200)
_REQUEST_COUNT = 3_000
_UPDATE_COUNT = 50
_IN_FLIGHT_PER_SERVER = 2
_STAGES = ("generate",)


def make_announcements(count: int, sequence: int) -> list[Announcement]:
    """Return one announcement for each server of a pool."""
    return [
        Announcement(
            server_id=f"engine-{index}",
            incarnation=1,
            sequence=sequence,
            address=f"127.0.0.1:{index}",
            zone="a",
            stages=_STAGES,
            capacity=8,
            ttl_s=5.0,
            load=LoadReport(4, 0, 0.5),
        )
        for index in range(count)
    ]


def make_request(index: int, now: float) -> Request:
    """Return a request with a prefix of eight blocks."""
    return Request(
        request_id=f"r{index}",
        organisation=f"o{index % 100}",
        pipeline="p",
        stages=_STAGES,
        deadline=now + 5.0,
        arrived_at=now,
        input_tokens=2_200,
        output_tokens=100,
        prefix_hashes=tuple(f"{index % 300}-{block}" for block in range(8)),
    )


def measure_pool(count: int) -> dict[str, float]:
    """Measure the microseconds per request and per update of a pool of servers."""
    policy = Policy("a", Random(1))
    stages = {"generate": StageSpec(model="m", streams=True, expected_service_ms=900)}
    policy.update_declarations(stages, {}, Objectives(), 0.0)
    policy.update_servers(make_announcements(count, 1), 0.0)
    in_flight: deque[Dispatch] = deque()
    result = AttemptResult(Outcome.COMPLETED, 0.9, cached_tokens=1_024)
    now = 1.0
    started = time.process_time()
    for index in range(_REQUEST_COUNT):
        now += 0.9 / (_IN_FLIGHT_PER_SERVER * count)
        request = make_request(index, now)
        if policy.admit(request, now) is None:
            call = StageCall(request, "generate", 0, 1)
            in_flight.extend(policy.submit(call, now))
        if len(in_flight) >= _IN_FLIGHT_PER_SERVER * count:
            dispatch = in_flight.popleft()
            policy.finished(dispatch.call, dispatch.server_id, result, now)
            policy.end_request(dispatch.call.request, now)
    request_s = (time.process_time() - started) / _REQUEST_COUNT
    started = time.process_time()
    for index in range(_UPDATE_COUNT):
        policy.update_servers(make_announcements(count, 2 + index), now + index)
    update_s = (time.process_time() - started) / _UPDATE_COUNT
    return {
        "servers": count,
        "request_us": round(request_s * 1e6, 1),
        "update_us": round(update_s * 1e6, 1),
    }


def main() -> None:
    """Print the figures of each pool size, with ratios to the smallest pool."""
    rows = [measure_pool(count) for count in _POOL_SIZES]
    for row in rows:
        ratio = row["request_us"] / rows[0]["request_us"]
        print(
            f"{row['servers']:4} servers: {row['request_us']:8.1f} us a request"
            f" (ratio {ratio:.2f}), {row['update_us']:8.1f} us an update of all"
        )
    print(json.dumps({"rows": rows}))


if __name__ == "__main__":
    main()
