"""Status of a model on the engines, for operators."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.orders.engine_table import Engine
from galenadrum._internal.control.orders.fencing import (
    declared_fencing,
    resolve_fencing,
)
from galenadrum._internal.control.orders.reconciler import OpenOrder, Reconciler
from galenadrum._internal.models.resources import Fencing


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status of a model on one engine, and the engine's open order for it.

    Attributes:
        version: Loaded version of the model, or None.
        order: Open order with its phase, such as ``switch 2 (sending)``, or None.
        waits_for: The next order with the reason why it waits, or None.
        fencing: Whether the engine counts as refusing orders of earlier terms.
        announces_fencing: True if the engine announces that it refuses such orders;
            None if it announces nothing.
        declared_fencing: Fencing that operators declare for the engine, or None.
    """

    engine_id: str
    zone: str
    version: str | None
    adapters: tuple[str, ...]
    role: str
    order: str | None
    waits_for: str | None
    fencing: Fencing
    announces_fencing: bool | None
    declared_fencing: Fencing | None


@dataclass(frozen=True, slots=True)
class FailureStatus:
    """Latest failure to load the declared version.

    Attributes:
        count: Number of failures since the last successful load.
        retry_in_s: Seconds until a retry is allowed; 0 if it already is.
    """

    engine_id: str
    message: str
    count: int
    retry_in_s: float


@dataclass(frozen=True, slots=True)
class ModelStatus:
    """Status of a model on all engines.

    Attributes:
        replicas_by_zone: Number of engines with the declared version, by zone.
    """

    replicas_by_zone: dict[str, int]
    engines: tuple[EngineStatus, ...]
    failure: FailureStatus | None


def describe_model(reconciler: Reconciler, model: str, now: float) -> ModelStatus:
    """Return the status of a model at loop time ``now`` in seconds."""
    spec = reconciler.declared.models_by_name.get(model)
    version = spec.version if spec is not None else ""
    engines = []
    replicas_by_zone: dict[str, int] = {}
    for engine_id, engine in sorted(reconciler.engines.by_id.items()):
        open_order = reconciler.orders_by_engine.get(engine_id)
        held = engine.contents.versions_by_model.get(model)
        is_ordered = open_order is not None and open_order.order.model == model
        is_waiting = _describe_wait(reconciler, model, engine) is not None
        is_relevant = held is not None or is_ordered or is_waiting
        if not engine.is_live(now) or not is_relevant:
            continue
        shown_order = open_order if is_ordered else None
        engines.append(_build_engine_status(reconciler, model, engine, shown_order))
        if held == version:
            zone = engine.reported.zone
            replicas_by_zone[zone] = replicas_by_zone.get(zone, 0) + 1
    failure = _build_failure_status(reconciler, model, version, now)
    return ModelStatus(replicas_by_zone, tuple(engines), failure)


def _describe_wait(reconciler: Reconciler, model: str, engine: Engine) -> str | None:
    engine_id = engine.reported.engine_id
    if engine_id in reconciler.orders_by_engine:
        return None
    if engine_id in reconciler.waiting_by_engine:
        wanted, reason = reconciler.waiting_by_engine[engine_id]
        if wanted.model != model:
            return None
        target = wanted.role or wanted.version
        return f"{wanted.action.value} {target}: {reason.value}"
    spec = reconciler.declared.models_by_name.get(model)
    held = engine.contents.versions_by_model.get(model)
    if spec is None or not spec.replicas_by_zone or held in (None, spec.version):
        return None
    if reconciler.get_retry_delay(model, spec.version) is not None:
        return f"{spec.version}: another attempt after a failed load"
    return f"{spec.version}: its turn"


def _build_engine_status(
    reconciler: Reconciler, model: str, engine: Engine, open_order: OpenOrder | None
) -> EngineStatus:
    return EngineStatus(
        engine_id=engine.reported.engine_id,
        zone=engine.reported.zone,
        version=engine.contents.versions_by_model.get(model),
        adapters=tuple(sorted(engine.contents.adapters)),
        role=engine.contents.role,
        order=_describe_order(open_order) if open_order is not None else None,
        waits_for=_describe_wait(reconciler, model, engine),
        fencing=resolve_fencing(reconciler.declared, engine.reported),
        announces_fencing=engine.reported.checks_fencing,
        declared_fencing=declared_fencing(reconciler.declared, engine.reported),
    )


def _describe_order(open_order: OpenOrder) -> str:
    order = open_order.order
    target = order.role or order.version
    return f"{order.action.value} {target} ({open_order.phase.value})"


def _build_failure_status(
    reconciler: Reconciler, model: str, version: str, now: float
) -> FailureStatus | None:
    delay = reconciler.get_retry_delay(model, version)
    if delay is None:
        return None
    failure, retry_at = delay
    return FailureStatus(
        failure.engine_id,
        failure.message,
        failure.count,
        max(0.0, round(retry_at - now, 1)),
    )
