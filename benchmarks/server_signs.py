"""Rollout and overload of services, with what their servers say obeyed and not.

Three control hosts, three entry hosts and fake servers in one process. Servers leave
one after the other and come back as new ones; then one of each service asks all hosts
for rest, then one host alone. Prints one JSON line: shares of requests with the signs
obeyed, ignored, and with rests shared by all hosts, and processor time as a ratio. Run
with ``make bench-signs``.

    PYTHONPATH=src:tests:platform python -m benchmarks.server_signs
"""

from __future__ import annotations

import asyncio
import json
import logging
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from galenadrum._internal.directory.registry import Registry
from galenadrum._internal.directory.server_rests import ServerRests
from lib.platform_engine import FakePlatformEngine
from lib.routing_deployment import RoutingDeployment, configuration
from lib.stream_caller import PROMPT_HEADERS

_SERVERS = 4
_RATE_PER_S = 40
_OBJECTIVE_S = 2.0
_LEAVING_S = 1.0
_GONE_S = 0.3
_REST_S = 4.0
_TRANSIT_S = 0.5
_REQUESTS = (
    ("/stock/x", {}),
    ("/note/x", {"method": b"POST", "headers": PROMPT_HEADERS, "body": b"{}"}),
)


@dataclass(frozen=True, slots=True)
class _Answer:
    """Status of a request, 0 if it broke off, and its duration in seconds."""

    status: int
    duration_s: float


@dataclass(slots=True)
class _Run:
    """Figures of one run.

    Attributes:
        sent_after_departure: Requests that reached servers after they had said that
            they leave.
        sent_during_rest: Requests that reached a server between half a second after
            its rejection and the end of its rest.
        rejected: Requests that the servers rejected while all hosts were asked.
        served_for_others: Requests that the servers ran while one host was asked.
        processor_s: Processor time of the process, fake servers and callers included.
    """

    answers: list[_Answer]
    sent_after_departure: int
    sent_during_rest: int
    rejected: int
    served_for_others: int
    processor_s: float

    def describe(self) -> dict[str, float]:
        served = [a for a in self.answers if a.status == 200]
        count = len(self.answers)
        return {
            "requests": count,
            "served": round(len(served) / count, 4),
            "late": round(sum(a.duration_s > _OBJECTIVE_S for a in served) / count, 4),
            "refused": round(sum(a.status == 503 for a in self.answers) / count, 4),
            "sent_after_departure": self.sent_after_departure,
            "sent_during_rest": self.sent_during_rest,
            "rejected": self.rejected,
            "served_for_others": self.served_for_others,
            "processor_ms_per_request": round(self.processor_s / count * 1_000, 3),
        }


@contextmanager
def _ignore_signs() -> Iterator[None]:
    """Let hosts ignore rests and departures, as before they were obeyed."""
    begin_rest, mark_leaving = ServerRests._begin_rest, Registry.mark_leaving
    ServerRests._begin_rest = lambda *_: None
    Registry.mark_leaving = lambda *_: False
    try:
        yield
    finally:
        ServerRests._begin_rest, Registry.mark_leaving = begin_rest, mark_leaving


@contextmanager
def _share_rests() -> Iterator[None]:
    """Let a rest that one host is asked for hold for all hosts."""
    begin_rest = ServerRests._begin_rest
    create = ServerRests.__init__
    hosts: list[ServerRests] = []

    def create_and_list(rests: ServerRests, *args: object) -> None:
        create(rests, *args)
        hosts.append(rests)

    def begin_for_all(_: ServerRests, *args: object) -> None:
        for rests in hosts:
            begin_rest(rests, *args)

    ServerRests.__init__, ServerRests._begin_rest = create_and_list, begin_for_all
    try:
        yield
    finally:
        ServerRests.__init__, ServerRests._begin_rest = create, begin_rest


async def _send_load(deployment: RoutingDeployment, answers: list[_Answer]) -> None:
    loop = asyncio.get_running_loop()

    async def send(number: int) -> None:
        path, more = _REQUESTS[number % len(_REQUESTS)]
        zone = deployment.zones[number % len(deployment.zones)]
        headers = (*more.get("headers", ()), (b"X-Zone", zone.encode()))
        more = {**more, "headers": headers}
        sent_at = loop.time()
        try:
            _, status, _, _ = await deployment.send_request(path, zone, **more)
        except Exception:
            status = 0
        answers.append(_Answer(status, loop.time() - sent_at))

    tasks = set()
    try:
        number = 0
        while True:
            tasks.add(asyncio.ensure_future(send(number)))
            number += 1
            await asyncio.sleep(1 / _RATE_PER_S)
    finally:
        await asyncio.gather(*tasks)


async def _roll_out(engine: FakePlatformEngine) -> int:
    """Let a server leave and come back; return its requests after the departure."""
    received = len(engine.received_at)
    engine.is_leaving = True
    await asyncio.sleep(_LEAVING_S)
    # The first response says so; those on their way meanwhile can't know it.
    after = engine.received_at[received:]
    late = [at for at in after if at > after[0] + _TRANSIT_S / 5] if after else []
    engine.stop()
    await asyncio.sleep(_GONE_S)
    engine.is_leaving = False
    engine.born += 1_000
    await engine.start()
    return len(late)


async def _overload(engine: FakePlatformEngine) -> int:
    """Let a server ask for rest; return its requests during the rest."""
    engine.rests.clear()
    engine.rest_s = _REST_S
    await asyncio.sleep(_REST_S)
    engine.rest_s = None
    if not engine.rests:
        return 0
    since, rest_s = engine.rests[0]
    return sum(since + _TRANSIT_S < at < since + rest_s for at in engine.received_at)


async def _ask_one_host(engine: FakePlatformEngine) -> int:
    """Let a server ask one host for rest; return the requests that it ran meanwhile."""
    engine.rest_zone, engine.rest_s = b"a", _REST_S
    ran = engine.run_count_by_request_id.total()
    await asyncio.sleep(_REST_S)
    engine.rest_zone = engine.rest_s = None
    return engine.run_count_by_request_id.total() - ran


async def _run_scenario(folder: Path) -> _Run:
    answers: list[_Answer] = []
    async with RoutingDeployment(folder) as deployment:
        for number in range(_SERVERS):
            zone = deployment.zones[number % len(deployment.zones)]
            await deployment.add_engine(f"p{number}", "plain", zone, work_s=0.02)
            await deployment.add_engine(f"g{number}", "llm", zone, work_s=0.02)
        await deployment.replace_configuration(configuration())
        await deployment.wait_ready()
        started_at = time.process_time()
        load = asyncio.ensure_future(_send_load(deployment, answers))
        engines = list(deployment.engines.values())
        after_departure = 0
        for engine in engines:
            after_departure += await _roll_out(engine)
        during_rest = sum(await asyncio.gather(*map(_overload, engines[:2])))
        rejected = sum(len(engine.rests) for engine in engines[:2])
        served = sum(await asyncio.gather(*map(_ask_one_host, engines[:2])))
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        processor_s = time.process_time() - started_at
    return _Run(answers, after_departure, during_rest, rejected, served, processor_s)


def _measure() -> _Run:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run_scenario(Path(folder)))


def main() -> None:
    """Run the scenario with the signs obeyed and ignored, and print the figures."""
    logging.disable(logging.CRITICAL)
    obeyed = _measure().describe()
    with _ignore_signs():
        ignored = _measure().describe()
    with _share_rests():
        shared = _measure().describe()
    cost = "processor_ms_per_request"
    row = {
        "benchmark": "server_signs",
        "obeyed": obeyed,
        "ignored": ignored,
        "shared": shared,
        "processor_ratio": round(obeyed[cost] / ignored[cost], 3),
    }
    print(json.dumps(row))


if __name__ == "__main__":
    main()
