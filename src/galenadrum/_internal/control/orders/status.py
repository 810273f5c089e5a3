"""What the leader knows of a model on the engines, for operators."""

from __future__ import annotations

from dataclasses import dataclass

from galenadrum._internal.control.orders.engines import Engine
from galenadrum._internal.control.orders.fencing import declared_fencing, fencing_of
from galenadrum._internal.control.orders.reconciler import OpenOrder, Reconciler
from galenadrum._internal.models.resources import Fencing


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What one engine holds of a model, and what it is ordered to do.

    Attributes:
        version: What it has loaded, or None.
        order: The order under way, such as ``switch to 2 (sending)``.
        waits_for: What keeps the engine from its next order, if it needs one.
        fencing: Whether it counts as one that refuses old fencing numbers.
        announces_fencing: Whether it announces that it does; None when it says
            nothing of it.
        declared_fencing: What operators declare of it, if anything.
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
    """The last failure to load the declared version.

    Attributes:
        retry_in_s: Seconds until it may be tried again; 0 for now.
    """

    engine_id: str
    message: str
    count: int
    retry_in_s: float


@dataclass(frozen=True, slots=True)
class ModelStatus:
    """A model as the engines run it.

    Attributes:
        replicas_by_zone: Engines that hold the declared version, by zone.
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
        opened = reconciler.orders_by_engine.get(engine_id)
        held = engine.contents.versions_by_model.get(model)
        is_ordered = opened is not None and opened.order.model == model
        is_waiting = _waits_for(reconciler, model, engine) is not None
        is_concerned = held is not None or is_ordered or is_waiting
        if not engine.is_live(now) or not is_concerned:
            continue
        shown = opened if is_ordered else None
        engines.append(_engine_status(reconciler, model, engine, shown))
        if held == version:
            zone = engine.reported.zone
            replicas_by_zone[zone] = replicas_by_zone.get(zone, 0) + 1
    failure = _failure_status(reconciler, model, version, now)
    return ModelStatus(replicas_by_zone, tuple(engines), failure)


def _waits_for(reconciler: Reconciler, model: str, engine: Engine) -> str | None:
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
    if reconciler.delay(model, spec.version) is not None:
        return f"{spec.version}: another attempt after a failed load"
    return f"{spec.version}: its turn"


def _engine_status(
    reconciler: Reconciler, model: str, engine: Engine, opened: OpenOrder | None
) -> EngineStatus:
    return EngineStatus(
        engine_id=engine.reported.engine_id,
        zone=engine.reported.zone,
        version=engine.contents.versions_by_model.get(model),
        adapters=tuple(sorted(engine.contents.adapters)),
        role=engine.contents.role,
        order=_describe_order(opened) if opened is not None else None,
        waits_for=_waits_for(reconciler, model, engine),
        fencing=fencing_of(reconciler.declared, engine.reported),
        announces_fencing=engine.reported.checks_fencing,
        declared_fencing=declared_fencing(reconciler.declared, engine.reported),
    )


def _describe_order(opened: OpenOrder) -> str:
    order = opened.order
    target = order.role or order.version
    return f"{order.action.value} {target} ({opened.phase.value})"


def _failure_status(
    reconciler: Reconciler, model: str, version: str, now: float
) -> FailureStatus | None:
    delay = reconciler.delay(model, version)
    if delay is None:
        return None
    failure, retry_at = delay
    return FailureStatus(
        failure.engine_id,
        failure.message,
        failure.count,
        max(0.0, round(retry_at - now, 1)),
    )
