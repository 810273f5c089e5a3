"""Benchmark of the engine order reconciler and of a zone's engine reports.

Measures processor time of a reconciler tick and the size of a report. Run with
``python -m benchmarks.engine_orders``; prints one line for each number of engines.
"""

from __future__ import annotations

import random
import time

from galenadrum._internal.control.orders.events import (
    EngineContents,
    EnginesReported,
    LeadershipGained,
    ModelDeclarations,
    QueryCompleted,
    QueryEngine,
    RecordedOrders,
    ReportedEngine,
)
from galenadrum._internal.control.orders.reconciler import Reconciler
from galenadrum._internal.entry.engine_reports import build_report
from galenadrum._internal.models.resources import ModelSpec
from galenadrum._internal.models.servers import Announcement

_ZONE_COUNT = 12
_MODEL_COUNT = 14
# Enough ticks to query every engine: the reconciler queries 32 engines a tick.
_TICK_COUNT = 100


def _model_name(number: int) -> str:
    return f"model-{number % _MODEL_COUNT}"


def measure_tick_ms(engine_count: int) -> tuple[float, float]:
    """Return the mean processor time of a reconciler tick in milliseconds.

    The first figure is for engines that hold the declared model versions, the
    second for engines that must all load another version.
    """
    engines = [
        ReportedEngine(
            f"engine-{number}",
            "127.0.0.1:1",
            f"zone-{number % _ZONE_COUNT}",
            (f"stage-{number % _MODEL_COUNT}",),
            EngineContents({_model_name(number): "1"}),
        )
        for number in range(engine_count)
    ]
    return _measure_run_ms(engines, "1"), _measure_run_ms(engines, "2")


def _measure_run_ms(engines: list[ReportedEngine], version: str) -> float:
    reconciler = Reconciler(random.Random(1))
    reconciler.apply_event(LeadershipGained(1, 1.0, RecordedOrders()), 0.0)
    replicas = [dict[str, int]() for _ in range(_MODEL_COUNT)]
    for number, engine in enumerate(engines):
        zones = replicas[number % _MODEL_COUNT]
        zones[engine.zone] = zones.get(engine.zone, 0) + 1
    models = {
        _model_name(number): ModelSpec(version, replicas_by_zone=replicas[number])
        for number in range(_MODEL_COUNT)
    }
    stages = {f"stage-{number}": _model_name(number) for number in range(_MODEL_COUNT)}
    reconciler.apply_event(ModelDeclarations(models, stages), 0.0)
    by_id = {engine.engine_id: engine for engine in engines}
    processor_s = 0.0
    for tick in range(_TICK_COUNT):
        now = float(tick)
        for zone in range(_ZONE_COUNT):
            name = f"zone-{zone}"
            held = tuple(engine for engine in engines if engine.zone == name)
            reconciler.apply_event(EnginesReported(name, held), now)
        started = time.process_time()
        actions = reconciler.tick(now)
        processor_s += time.process_time() - started
        for action in actions:
            if isinstance(action, QueryEngine):
                contents = by_id[action.engine_id].contents
                answer = QueryCompleted(action.engine_id, now, contents)
                reconciler.apply_event(answer, now)
    return processor_s / _TICK_COUNT * 1_000


def measure_report_bytes(engine_count: int) -> tuple[int, int]:
    """Return the size of a zone's report in bytes, with and without engine records."""
    servers = [
        Announcement(
            f"engine-{number}",
            1,
            1,
            f"10.0.0.{number % 250}:9000",
            "zone-1",
            (f"stage-{number % _MODEL_COUNT}",),
            8,
            3.0,
            model_versions=((_model_name(number), "1"),),
        )
        for number in range(engine_count)
    ]
    report = build_report("zone-1", servers, {})
    full = report.ByteSize()
    report.ClearField("engines")
    return full, report.ByteSize()


def main() -> None:
    """Measure three numbers of engines and print the results."""
    for count in (60, 300, 600):
        idle_ms, busy_ms = measure_tick_ms(count)
        full, without_records = measure_report_bytes(count // _ZONE_COUNT)
        print(
            f"{count} engines: tick {idle_ms:.1f} ms settled, {busy_ms:.1f} ms with"
            f" a new version of each model; a zone's report {full} B,"
            f" then {without_records} B"
        )


if __name__ == "__main__":
    main()
