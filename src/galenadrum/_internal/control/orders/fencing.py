"""Decides whether an engine counts as refusing orders of earlier terms."""

from __future__ import annotations

from galenadrum._internal.control.orders.events import (
    ModelDeclarations,
    ReportedEngine,
)
from galenadrum._internal.models.resources import Fencing


def resolve_fencing(declared: ModelDeclarations, engine: ReportedEngine) -> Fencing:
    """Return the fencing that applies to an engine.

    IGNORED if the engine announces it or an operator declares it, and by default;
    CHECKED if one of the two says so and the other doesn't contradict. If IGNORED
    is wrong, orders only wait longer after a change of leader; if CHECKED is
    wrong, the engine may execute orders of two terms.
    """
    if engine.checks_fencing is False:
        return Fencing.IGNORED
    announced = Fencing.CHECKED if engine.checks_fencing else Fencing.IGNORED
    return declared_fencing(declared, engine) or announced


def declared_fencing(
    declared: ModelDeclarations, engine: ReportedEngine
) -> Fencing | None:
    """Return the fencing declared for an engine or its stages, None if there is none.

    IGNORED overrides CHECKED.
    """
    declarations = {declared.fencing_by_engine.get(engine.engine_id)}
    declarations |= {declared.fencing_by_stage.get(stage) for stage in engine.stages}
    if Fencing.IGNORED in declarations:
        return Fencing.IGNORED
    return Fencing.CHECKED if Fencing.CHECKED in declarations else None
