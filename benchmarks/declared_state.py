"""Benchmark of declared state, claims and watches at the planned size.

Measures processor time, memory and message sizes.

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
from galenadrum._internal.declarations.resource_table import split_event
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

ORGANISATION_COUNT = 8_300
PIPELINE_COUNT = 37
CHANGES_PER_DAY = 470
HOSTS_PER_ZONE = 28
_STAGE_COUNT = 8
_RETENTION_MS = 86_400_000
_CHANGE_COUNT = 2_000
_CLAIM_COUNT = 20_000
_OUTCOME_BYTES = 200
CLAIMS_PER_S = 155
ZONE_COUNT = 12
_PLANNED_RETENTION_S = 600
_MEAN_SERVICE_S = 1.0
# Claims a second of each entry host, and the number of entry hosts. The name ends
# with the commit latency of the simulated leader.
_BATCH_CASES = {
    "planned_5ms": (
        CLAIMS_PER_S / ZONE_COUNT / HOSTS_PER_ZONE,
        ZONE_COUNT * HOSTS_PER_ZONE,
    ),
    "planned_80ms": (
        CLAIMS_PER_S / ZONE_COUNT / HOSTS_PER_ZONE,
        ZONE_COUNT * HOSTS_PER_ZONE,
    ),
    "host_with_a_zone_80ms": (CLAIMS_PER_S / ZONE_COUNT, ZONE_COUNT),
    "host_with_all_80ms": (CLAIMS_PER_S, 1),
}
_BATCH_CLAIM_COUNT = 4_000


class StateReplica:
    """Control state that applies serialised commands at consecutive indexes.

    Attributes:
        state: The control state.
        command_bytes: Total size of the commands applied so far.
    """

    def __init__(self) -> None:
        self.state = ControlState()
        self.command_bytes = 0

    def apply_command(self, **body: object) -> bytes:
        """Serialise and apply a command; return its serialised result."""
        command = Command(
            time_ms=self.state.applied_index,
            cluster_id="benchmark",
            change_id_retention_ms=_RETENTION_MS,
            claim_retention_ms=_RETENTION_MS,
            **body,
        ).SerializeToString()
        self.command_bytes += len(command)
        return self.state.apply(self.state.applied_index + 1, command)


def declare_all(replica: StateReplica) -> None:
    """Declare stages, pipelines and organisations in three change sets."""
    stages = [put("stage", f"stage-{n}", {}) for n in range(_STAGE_COUNT)]
    names = [f"stage-{n}" for n in range(_STAGE_COUNT)]
    pipelines = [
        put(
            "pipeline",
            f"pipeline-{n}",
            {"stages": names[n % 4 : n % 4 + 4], "deadline_ms": 5_000},
        )
        for n in range(PIPELINE_COUNT)
    ]
    organisations = [organisation(n, 1.0) for n in range(ORGANISATION_COUNT)]
    for number, changes in enumerate((stages, pipelines, organisations)):
        replica.apply_command(change_set=change_set(f"load-{number}", changes))
    assert (
        len(replica.state.resources())
        == _STAGE_COUNT + PIPELINE_COUNT + ORGANISATION_COUNT
    )


def put(kind: str, name: str, spec: dict) -> Change:
    """Build a change that puts a resource."""
    spec_json = json.dumps(spec).encode()
    return Change(action=Change.PUT, kind=kind, name=name, spec_json=spec_json)


def organisation(number: int, weight: float) -> Change:
    """Build a change that puts an organisation."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    spec = {"key_sha256": [digest], "weight": weight, "pipelines": ["pipeline-0"]}
    return put("organisation", f"organisation-{number}", spec)


def change_set(change_id: str, changes: Iterable[Change]) -> ChangeSet:
    """Build a change set that an operator submits."""
    return ChangeSet(operator_name="vatu", change_id=change_id, changes=changes)


def build_claim(number: int) -> ClaimRequest:
    """Build a claim as an entry host sends it."""
    return ClaimRequest(
        fingerprint=hashlib.sha256(str(number).encode()).digest(),
        host_id="entry-1",
        deadline_in_ms=5_000,
        retention_s=_PLANNED_RETENTION_S,
        **build_shared_fields(number),
    )


def build_outcome(number: int) -> RecordOutcomeRequest:
    """Build the outcome of a claim."""
    outcome = bytes(_OUTCOME_BYTES)
    return RecordOutcomeRequest(
        state=CLAIM_STATE_COMPLETED, outcome=outcome, **build_shared_fields(number)
    )


def build_shared_fields(number: int) -> dict[str, str]:
    """Build the fields that a claim and its outcome have in common."""
    return {
        "organisation": f"organisation-{number % 5}",
        "idempotency_key": f"key-{number:032}",
        "request_id": f"{number:032x}",
    }


def claim_and_record_outcome(replica: StateReplica, number: int) -> None:
    """Make a claim and record its outcome."""
    replica.apply_command(claim=build_claim(number))
    replica.apply_command(record_outcome=build_outcome(number))


def measure_cpu_ms(count: int, run: Callable[[int], object]) -> float:
    """Return the mean processor time of a call of ``run`` in milliseconds.

    Args:
        count: Number of calls.
        run: Function that gets the number of the call, counted from 0.
    """
    began = time.process_time()
    for number in range(count):
        run(number)
    return (time.process_time() - began) * 1_000 / count


def measure_kept_mb(build: Callable[[], object]) -> tuple[object, float]:
    """Call ``build``; return its result and the megabytes still allocated after it."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    return built, (tracemalloc.get_traced_memory()[0] - before) / 1e6


def measure_memory() -> dict[str, float]:
    """Measure the memory of states, views and claims.

    Nothing is timed here because tracemalloc slows the code down.
    """
    tracemalloc.start()

    def build_replica() -> StateReplica:
        replica = StateReplica()
        declare_all(replica)
        return replica

    def build_view() -> DeclarationsView:
        view = DeclarationsView()
        view.apply_event(replica.state.build_event_after(0))
        return view

    def encode_state() -> None:
        replica.state.snapshot()

    def make_claims() -> None:
        for number in range(_CLAIM_COUNT):
            claim_and_record_outcome(replica, number)

    replica, state_mb = measure_kept_mb(build_replica)
    _, encoded_mb = measure_kept_mb(encode_state)
    view, view_mb = measure_kept_mb(build_view)
    _, claims_mb = measure_kept_mb(make_claims)
    assert view.revision == replica.state.revision
    tracemalloc.stop()
    return {
        "state_mb": state_mb,
        "encoded_mb": encoded_mb,
        "view_mb": view_mb,
        "claim_memory_bytes": claims_mb * 1e6 / _CLAIM_COUNT,
    }


def measure(seed: int) -> dict[str, float]:
    """Run all measurements and return the figures by name.

    Each name ends with its unit.
    """
    rng = random.Random(seed)
    figures = measure_memory()
    replica = StateReplica()
    figures["declare_all_ms"] = measure_cpu_ms(1, lambda _: declare_all(replica))
    figures |= measure_watch(replica, rng)
    figures |= measure_snapshot(replica)
    before_bytes = replica.command_bytes
    figures["claim_and_record_ms"] = measure_cpu_ms(
        _CLAIM_COUNT, lambda number: claim_and_record_outcome(replica, number)
    )
    log_bytes = replica.command_bytes - before_bytes
    figures["claim_and_record_log_bytes"] = log_bytes / _CLAIM_COUNT
    figures |= measure_planned_claims()
    for name, (rate, hosts) in _BATCH_CASES.items():
        commit_s = float(name.split("_")[-1].removesuffix("ms")) / 1_000
        figures |= measure_batches(name, rate, hosts, commit_s, rng)
    figures |= messages()
    return figures


def measure_watch(replica: StateReplica, rng: random.Random) -> dict[str, float]:
    """Measure changes, and the watch events that replicate them to a view."""
    figures = {}
    view = DeclarationsView()
    figures["first_event_make_ms"] = measure_cpu_ms(
        10, lambda _: replica.state.build_event_after(0)
    )
    event = replica.state.build_event_after(0)
    figures["first_event_bytes"] = event.ByteSize()
    figures["first_event_parts"] = len(list(split_event(event)))
    figures["first_event_apply_ms"] = measure_cpu_ms(
        1, lambda _: view.apply_event(event)
    )
    changes = [
        organisation(rng.randrange(ORGANISATION_COUNT), 2.0 + n)
        for n in range(_CHANGE_COUNT)
    ]
    change_sets = [change_set(f"c-{n}", [change]) for n, change in enumerate(changes)]
    figures["change_ms"] = measure_cpu_ms(
        _CHANGE_COUNT,
        lambda number: replica.apply_command(change_set=change_sets[number]),
    )
    revision = replica.state.revision
    figures["event_make_ms"] = measure_cpu_ms(
        _CHANGE_COUNT, lambda _: replica.state.build_event_after(revision - 1)
    )
    figures["event_bytes"] = replica.state.build_event_after(revision - 1).ByteSize()
    day_old_revision = revision - CHANGES_PER_DAY
    figures["day_event_bytes"] = replica.state.build_event_after(
        day_old_revision
    ).ByteSize()
    apply_ms = measure_cpu_ms(
        1, lambda _: apply_events_one_by_one(replica, view, revision)
    )
    figures["event_apply_ms"] = apply_ms / _CHANGE_COUNT
    return figures


def apply_events_one_by_one(
    replica: StateReplica, view: DeclarationsView, revision: int
) -> None:
    """Apply the changes up to ``revision`` to the view, one event for each."""
    records = sorted(
        replica.state.build_event_after(view.revision).changed,
        key=lambda row: row.revision,
    )
    event = replica.state.build_event_after(revision)
    for record in records:
        event.Clear()
        event.from_revision = view.revision
        event.revision = record.revision
        event.cluster_id = view.cluster_id
        event.changed.append(record)
        view.apply_event(event)
    assert view.revision == revision


def measure_snapshot(replica: StateReplica) -> dict[str, float]:
    """Measure taking and restoring a snapshot of the state."""
    data = replica.state.snapshot()
    restored = ControlState()
    return {
        "snapshot_bytes": len(data),
        "snapshot_ms": measure_cpu_ms(3, lambda _: replica.state.snapshot()),
        "restore_ms": measure_cpu_ms(3, lambda _: restored.restore(data)),
    }


def measure_planned_claims() -> dict[str, float]:
    """Measure a snapshot with the claims that are retained at the planned rate.

    The retention is ten minutes.
    """
    replica = StateReplica()
    count = CLAIMS_PER_S * _PLANNED_RETENTION_S
    for number in range(count):
        claim_and_record_outcome(replica, number)
    assert replica.state.claim_count == count
    counted_bytes = replica.state.claims_bytes
    return {f"planned_claims_{k}": v for k, v in measure_snapshot(replica).items()} | {
        "planned_claims_counted_bytes": counted_bytes / count
    }


@dataclass
class SimulatedLeader:
    """Leader that answers calls of entry hosts after the commit latency.

    Attributes:
        commit_s: Commit latency.
        calls: Number of calls so far.
        call_bytes: Total size of their requests and responses.
    """

    commit_s: float
    replica: StateReplica = field(default_factory=StateReplica)
    calls: int = 0
    call_bytes: int = 0

    async def send(self, message: Any, deadline: float) -> Any:
        """Apply a message as one command and return its response."""
        body_by_type = {
            ClaimRequest: "claim",
            RecordOutcomeRequest: "record_outcome",
            ClaimBatchRequest: "claim_batch",
        }
        body = body_by_type[type(message)]
        result = CommandResult.FromString(self.replica.apply_command(**{body: message}))
        response = getattr(result, body)
        self.calls += 1
        self.call_bytes += message.ByteSize() + response.ByteSize()
        await asyncio.sleep(self.commit_s)
        return response


def measure_batches(
    name: str, rate: float, hosts: int, commit_s: float, rng: random.Random
) -> dict[str, float]:
    """Compare claims and outcomes sent one by one with those sent in batches.

    Args:
        name: Prefix of the figures' names.
        rate: Claims a second of each entry host.
        hosts: Number of entry hosts.
        commit_s: Commit latency of the leader.
        rng: Source of the arrival and service times.
    """
    figures = {}
    for mode in ("alone", "batched"):
        leader = SimulatedLeader(commit_s)
        waits_s: list[float] = []
        began = time.process_time()
        run_paused(_send_claims(leader, mode, rate, hosts, rng, waits_s))
        processor_s = time.process_time() - began
        figures |= {
            f"{name}_{mode}_calls": leader.calls / _BATCH_CLAIM_COUNT,
            f"{name}_{mode}_call_bytes": leader.call_bytes / _BATCH_CLAIM_COUNT,
            f"{name}_{mode}_log_bytes": leader.replica.command_bytes
            / _BATCH_CLAIM_COUNT,
            f"{name}_{mode}_wait_ms": sum(waits_s) * 1_000 / len(waits_s),
            f"{name}_{mode}_both_sides_cpu_ms": processor_s
            * 1_000
            / _BATCH_CLAIM_COUNT,
        }
    return figures


async def _send_claims(
    leader: SimulatedLeader,
    mode: str,
    rate: float,
    hosts: int,
    rng: random.Random,
    waits_s: list[float],
) -> None:
    batchers = [ClaimBatcher(leader.send, leader.send) for _ in range(hosts)]
    loop = asyncio.get_running_loop()

    async def claim_and_wait(number: int) -> None:
        send = rng.choice(batchers).send if mode == "batched" else leader.send
        for message in (build_claim(number), build_outcome(number)):
            began = loop.time()
            await send(message, began + 60)
            waits_s.append(loop.time() - began)
            await asyncio.sleep(rng.expovariate(1 / _MEAN_SERVICE_S))

    async with asyncio.TaskGroup() as group:
        for number in range(_BATCH_CLAIM_COUNT):
            group.create_task(claim_and_wait(number))
            await asyncio.sleep(rng.expovariate(rate * hosts))


def messages() -> dict[str, float]:
    """Return the sizes of frequent messages, without gRPC framing."""
    hosts = [
        HostRevision(host_id=f"entry-{n:03}", zone="zone-01", revision=100_000)
        for n in range(HOSTS_PER_ZONE)
    ]
    heartbeat = ControlState().build_event_after(100_000)
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
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    figures = measure(parser.parse_args().seed)
    for name, value in figures.items():
        print(f"{name:44}{value:14.3f}")
    print(json.dumps({name: round(value, 4) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
