"""Processor time of the orders' reconciler, and bytes of a zone's reports.

Run with ``python -m benchmarks.engine_orders``; prints one line a size.
"""

from __future__ import annotations

import random
import time

from galenadrum._internal.control.orders.messages import (
    Declared,
    EngineAnswered,
    EngineContents,
    EnginesReported,
    LeadershipGained,
    QueryEngine,
    RecordedOrders,
    ReportedEngine,
)
from galenadrum._internal.control.orders.reconciler import Reconciler
from galenadrum._internal.entry.engine_reports import build_report
from galenadrum._internal.models.resources import ModelSpec
from galenadrum._internal.models.servers import Announcement

_ZONES = 12
_MODELS = 14
# Enough for all engines to be asked: 32 a tick.
_TICKS = 100


def _model(number: int) -> str:
    return f"model-{number % _MODELS}"


def measure_tick_ms(engine_count: int) -> tuple[float, float]:
    """Return milliseconds of a tick: with nothing, and with all to be done."""
    engines = [
        ReportedEngine(
            f"engine-{number}",
            "127.0.0.1:1",
            f"zone-{number % _ZONES}",
            (f"stage-{number % _MODELS}",),
            EngineContents({_model(number): "1"}),
        )
        for number in range(engine_count)
    ]
    return _run(engines, "1"), _run(engines, "2")


def _run(engines: list[ReportedEngine], version: str) -> float:
    reconciler = Reconciler(random.Random(1))
    reconciler.receive(LeadershipGained(1, 1.0, RecordedOrders()), 0.0)
    replicas = [dict[str, int]() for _ in range(_MODELS)]
    for number, engine in enumerate(engines):
        zones = replicas[number % _MODELS]
        zones[engine.zone] = zones.get(engine.zone, 0) + 1
    models = {
        _model(number): ModelSpec(version, replicas_by_zone=replicas[number])
        for number in range(_MODELS)
    }
    stages = {f"stage-{number}": _model(number) for number in range(_MODELS)}
    reconciler.receive(Declared(models, stages), 0.0)
    by_id = {engine.engine_id: engine for engine in engines}
    busy_s = 0.0
    for tick in range(_TICKS):
        now = float(tick)
        for zone in range(_ZONES):
            name = f"zone-{zone}"
            held = tuple(engine for engine in engines if engine.zone == name)
            reconciler.receive(EnginesReported(name, held), now)
        started = time.process_time()
        actions = reconciler.tick(now)
        busy_s += time.process_time() - started
        for action in actions:
            if isinstance(action, QueryEngine):
                contents = by_id[action.engine_id].contents
                answer = EngineAnswered(action.engine_id, now, contents)
                reconciler.receive(answer, now)
    return busy_s / _TICKS * 1_000


def measure_report_bytes(engine_count: int) -> tuple[int, int]:
    """Return the bytes of a zone's report with and without the records."""
    servers = [
        Announcement(
            f"engine-{number}",
            1,
            1,
            f"10.0.0.{number % 250}:9000",
            "zone-1",
            (f"stage-{number % _MODELS}",),
            8,
            3.0,
            model_versions=((_model(number), "1"),),
        )
        for number in range(engine_count)
    ]
    report = build_report("zone-1", servers, {})
    full = report.ByteSize()
    report.ClearField("engines")
    return full, report.ByteSize()


def main() -> None:
    """Print the figures for three sizes."""
    for count in (60, 300, 600):
        idle_ms, busy_ms = measure_tick_ms(count)
        full, short = measure_report_bytes(count // _ZONES)
        print(
            f"{count} engines: tick {idle_ms:.1f} ms settled, {busy_ms:.1f} ms with"
            f" a new version of each model; a zone's report {full} B, then {short} B"
        )


if __name__ == "__main__":
    main()
