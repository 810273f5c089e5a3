"""Costs of declared state, claims and watches at the size to design for.

Run ``python -m benchmarks.declared_state`` with the sources and the tests on the
path. It prints a table and, as its last line, one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import hashlib
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from galenadrum._internal.control.state.machine import ControlState
from galenadrum._internal.declarations.table import split_event
from galenadrum._internal.entry.claim_batches import ClaimBatcher
from galenadrum._internal.entry.declarations import DeclarationsView
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    ClaimBatchRequest,
    ClaimRequest,
    RecordOutcomeRequest,
)
from galenadrum._internal.protocol.commands_pb2 import (
    Change,
    ChangeSet,
    Command,
    CommandResult,
)
from galenadrum._internal.protocol.declarations_pb2 import (
    ConfirmRequest,
    HostRevision,
    WatchRequest,
)
from lib.paused_loop import run_paused

ORGANISATIONS = 8_300
PIPELINES = 37
CHANGES_PER_DAY = 470
HOSTS_PER_ZONE = 28
_STAGES = 8
_RETENTION_MS = 86_400_000
_CHANGES = 2_000
_CLAIMS = 20_000
_ANSWER_BYTES = 200
CLAIMS_PER_S = 155
ZONES = 12
_PLANNED_RETENTION_S = 600
_SERVICE_S = 1.0
# Claims a second of one host, and hosts; the name ends with the time of a commit.
_BATCH_CASES = {
    "planned_5ms": (CLAIMS_PER_S / ZONES / HOSTS_PER_ZONE, ZONES * HOSTS_PER_ZONE),
    "planned_80ms": (CLAIMS_PER_S / ZONES / HOSTS_PER_ZONE, ZONES * HOSTS_PER_ZONE),
    "host_with_a_zone_80ms": (CLAIMS_PER_S / ZONES, ZONES),
    "host_with_all_80ms": (CLAIMS_PER_S, 1),
}
_BATCH_CLAIMS = 4_000


class Member:
    """A state that is fed numbered commands."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.command_bytes = 0

    def send(self, **body: object) -> bytes:
        """Apply one command."""
        command = Command(
            time_ms=self.state.applied_index,
            cluster_id="benchmark",
            change_id_retention_ms=_RETENTION_MS,
            claim_retention_ms=_RETENTION_MS,
            **body,
        ).SerializeToString()
        self.command_bytes += len(command)
        return self.state.apply(self.state.applied_index + 1, command)


def declare_all(member: Member) -> None:
    """Declare stages, pipelines and organisations in three change sets."""
    stages = [put("stage", f"stage-{n}", {}) for n in range(_STAGES)]
    names = [f"stage-{n}" for n in range(_STAGES)]
    pipelines = [
        put(
            "pipeline",
            f"pipeline-{n}",
            {"stages": names[n % 4 : n % 4 + 4], "deadline_ms": 5_000},
        )
        for n in range(PIPELINES)
    ]
    organisations = [organisation(n, 1.0) for n in range(ORGANISATIONS)]
    for number, changes in enumerate((stages, pipelines, organisations)):
        member.send(change_set=change_set(f"load-{number}", changes))
    assert len(member.state.resources()) == _STAGES + PIPELINES + ORGANISATIONS


def put(kind: str, name: str, spec: dict) -> Change:
    """Return a change that puts one resource."""
    spec_json = json.dumps(spec).encode()
    return Change(action=Change.PUT, kind=kind, name=name, spec_json=spec_json)


def organisation(number: int, weight: float) -> Change:
    """Return a change that puts one organisation."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    spec = {"key_sha256": [digest], "weight": weight, "pipelines": ["pipeline-0"]}
    return put("organisation", f"organisation-{number}", spec)


def change_set(change_id: str, changes: Iterable[Change]) -> ChangeSet:
    """Return a change set of one operator."""
    return ChangeSet(operator_name="vatu", change_id=change_id, changes=changes)


def claim_of(number: int) -> ClaimRequest:
    """Return a claim like those of entry hosts."""
    return ClaimRequest(
        fingerprint=hashlib.sha256(str(number).encode()).digest(),
        host_id="entry-1",
        deadline_in_ms=5_000,
        retention_s=_PLANNED_RETENTION_S,
        **names_of(number),
    )


def outcome_of(number: int) -> RecordOutcomeRequest:
    """Return the outcome of a claim."""
    answer = bytes(_ANSWER_BYTES)
    return RecordOutcomeRequest(
        state=CLAIM_STATE_COMPLETED, outcome=answer, **names_of(number)
    )


def names_of(number: int) -> dict[str, str]:
    """Return the names that a claim and its outcome share."""
    return {
        "organisation": f"organisation-{number % 5}",
        "idempotency_key": f"key-{number:032}",
        "request_id": f"{number:032x}",
    }


def claim_and_record(member: Member, number: int) -> None:
    """Make one claim and record its answer."""
    member.send(claim=claim_of(number))
    member.send(record_outcome=outcome_of(number))


def cpu_ms_each(count: int, run: Callable[[int], object]) -> float:
    """Return the processor time of ``run`` in milliseconds a call."""
    began = time.process_time()
    for number in range(count):
        run(number)
    return (time.process_time() - began) * 1_000 / count


def traced_mb(build: Callable[[], object]) -> tuple[object, float]:
    """Return what ``build`` returns and the memory that it keeps."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    return built, (tracemalloc.get_traced_memory()[0] - before) / 1e6


def measure_memory() -> dict[str, float]:
    """Return what states keep; tracing slows, so that nothing is timed."""
    tracemalloc.start()

    def build_member() -> Member:
        member = Member()
        declare_all(member)
        return member

    def build_view() -> DeclarationsView:
        view = DeclarationsView()
        view.apply_event(member.state.events_after(0))
        return view

    def encode_all() -> None:
        member.state.snapshot()

    def make_claims() -> None:
        for number in range(_CLAIMS):
            claim_and_record(member, number)

    member, state_mb = traced_mb(build_member)
    _, encoded_mb = traced_mb(encode_all)
    view, view_mb = traced_mb(build_view)
    _, claims_mb = traced_mb(make_claims)
    assert view.revision == member.state.revision
    tracemalloc.stop()
    return {
        "state_mb": state_mb,
        "encoded_mb": encoded_mb,
        "view_mb": view_mb,
        "claim_memory_bytes": claims_mb * 1e6 / _CLAIMS,
    }


def measure(seed: int) -> dict[str, float]:
    """Return all figures by name; names end with their unit."""
    rng = random.Random(seed)
    figures = measure_memory()
    member = Member()
    figures["declare_all_ms"] = cpu_ms_each(1, lambda _: declare_all(member))
    figures |= measure_watch(member, rng)
    figures |= measure_snapshot(member)
    before_bytes = member.command_bytes
    figures["claim_and_record_ms"] = cpu_ms_each(
        _CLAIMS, lambda number: claim_and_record(member, number)
    )
    log_bytes = member.command_bytes - before_bytes
    figures["claim_and_record_log_bytes"] = log_bytes / _CLAIMS
    figures |= measure_planned_claims()
    for name, (rate, hosts) in _BATCH_CASES.items():
        commit_s = float(name.split("_")[-1].removesuffix("ms")) / 1_000
        figures |= measure_batches(name, rate, hosts, commit_s, rng)
    figures |= messages()
    return figures


def measure_watch(member: Member, rng: random.Random) -> dict[str, float]:
    """Measure changes, and watchers that follow each of them."""
    figures = {}
    view = DeclarationsView()
    figures["first_event_make_ms"] = cpu_ms_each(
        10, lambda _: member.state.events_after(0)
    )
    event = member.state.events_after(0)
    figures["first_event_bytes"] = event.ByteSize()
    figures["first_event_parts"] = len(list(split_event(event)))
    figures["first_event_apply_ms"] = cpu_ms_each(1, lambda _: view.apply_event(event))
    changes = [
        organisation(rng.randrange(ORGANISATIONS), 2.0 + n) for n in range(_CHANGES)
    ]
    sets = [change_set(f"c-{n}", [change]) for n, change in enumerate(changes)]
    figures["change_ms"] = cpu_ms_each(
        _CHANGES, lambda number: member.send(change_set=sets[number])
    )
    revision = member.state.revision
    figures["event_make_ms"] = cpu_ms_each(
        _CHANGES, lambda _: member.state.events_after(revision - 1)
    )
    figures["event_bytes"] = member.state.events_after(revision - 1).ByteSize()
    behind = revision - CHANGES_PER_DAY
    figures["day_event_bytes"] = member.state.events_after(behind).ByteSize()
    follow_ms = cpu_ms_each(1, lambda _: follow(member, view, revision))
    figures["event_apply_ms"] = follow_ms / _CHANGES
    return figures


def follow(member: Member, view: DeclarationsView, revision: int) -> None:
    """Bring the view up to ``revision`` one event at a time."""
    records = sorted(
        member.state.events_after(view.revision).changed, key=lambda row: row.revision
    )
    event = member.state.events_after(revision)
    for record in records:
        event.Clear()
        event.from_revision = view.revision
        event.revision = record.revision
        event.cluster_id = view.cluster_id
        event.changed.append(record)
        view.apply_event(event)
    assert view.revision == revision


def measure_snapshot(member: Member) -> dict[str, float]:
    """Measure snapshot and restore without claims."""
    data = member.state.snapshot()
    other = ControlState()
    return {
        "snapshot_bytes": len(data),
        "snapshot_ms": cpu_ms_each(3, lambda _: member.state.snapshot()),
        "restore_ms": cpu_ms_each(3, lambda _: other.restore(data)),
    }


def measure_planned_claims() -> dict[str, float]:
    """Measure the claims that the planned size remembers in ten minutes."""
    member = Member()
    count = CLAIMS_PER_S * _PLANNED_RETENTION_S
    for number in range(count):
        claim_and_record(member, number)
    assert member.state.claim_count == count
    held_bytes = member.state.claims_bytes
    return {f"planned_claims_{k}": v for k, v in measure_snapshot(member).items()} | {
        "planned_claims_counted_bytes": held_bytes / count
    }


@dataclass
class Leader:
    """Answers calls of many entry hosts after the time of a commit."""

    commit_s: float
    member: Member = field(default_factory=Member)
    calls: int = 0
    call_bytes: int = 0

    async def send(self, message: Any, deadline: float) -> Any:
        """Apply a message as one command and answer it."""
        bodies = {
            ClaimRequest: "claim",
            RecordOutcomeRequest: "record_outcome",
            ClaimBatchRequest: "claim_batch",
        }
        body = bodies[type(message)]
        result = CommandResult.FromString(self.member.send(**{body: message}))
        answer = getattr(result, body)
        self.calls += 1
        self.call_bytes += message.ByteSize() + answer.ByteSize()
        await asyncio.sleep(self.commit_s)
        return answer


def measure_batches(
    name: str, rate: float, hosts: int, commit_s: float, rng: random.Random
) -> dict[str, float]:
    """Send claims and outcomes of hosts at a rate, alone and in batches."""
    figures = {}
    for way in ("alone", "batched"):
        leader = Leader(commit_s)
        waits_s: list[float] = []
        began = time.process_time()
        run_paused(_send_claims(leader, way, rate, hosts, rng, waits_s))
        spent_s = time.process_time() - began
        figures |= {
            f"{name}_{way}_calls": leader.calls / _BATCH_CLAIMS,
            f"{name}_{way}_call_bytes": leader.call_bytes / _BATCH_CLAIMS,
            f"{name}_{way}_log_bytes": leader.member.command_bytes / _BATCH_CLAIMS,
            f"{name}_{way}_wait_ms": sum(waits_s) * 1_000 / len(waits_s),
            f"{name}_{way}_both_sides_cpu_ms": spent_s * 1_000 / _BATCH_CLAIMS,
        }
    return figures


async def _send_claims(
    leader: Leader,
    way: str,
    rate: float,
    hosts: int,
    rng: random.Random,
    waits_s: list[float],
) -> None:
    batchers = [ClaimBatcher(leader.send, leader.send) for _ in range(hosts)]
    loop = asyncio.get_running_loop()

    async def run_one(number: int) -> None:
        send = rng.choice(batchers).send if way == "batched" else leader.send
        for message in (claim_of(number), outcome_of(number)):
            began = loop.time()
            await send(message, began + 60)
            waits_s.append(loop.time() - began)
            await asyncio.sleep(rng.expovariate(1 / _SERVICE_S))

    async with asyncio.TaskGroup() as group:
        for number in range(_BATCH_CLAIMS):
            group.create_task(run_one(number))
            await asyncio.sleep(rng.expovariate(rate * hosts))


def messages() -> dict[str, float]:
    """Return sizes of the frequent messages, without framing."""
    hosts = [
        HostRevision(host_id=f"entry-{n:03}", zone="zone-01", revision=100_000)
        for n in range(HOSTS_PER_ZONE)
    ]
    heartbeat = ControlState().events_after(100_000)
    heartbeat.cluster_id = "0" * 32
    heartbeat.from_revision = heartbeat.revision = 100_000
    return {
        "heartbeat_bytes": heartbeat.ByteSize(),
        "confirm_one_host_bytes": ConfirmRequest(hosts=hosts[:1]).ByteSize(),
        "confirm_zone_bytes": ConfirmRequest(hosts=hosts).ByteSize(),
        "watch_request_bytes": WatchRequest(
            host_id="entry-001", zone="zone-01", from_revision=1, cluster_id="0" * 32
        ).ByteSize(),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    figures = measure(parser.parse_args().seed)
    for name, value in figures.items():
        print(f"{name:44}{value:14.3f}")
    print(json.dumps({name: round(value, 4) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
