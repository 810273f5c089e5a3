"""Whether an engine is taken for one that refuses old fencing numbers."""

from __future__ import annotations

from galenadrum._internal.control.orders.messages import Declared, ReportedEngine
from galenadrum._internal.models.resources import Fencing


def fencing_of(declared: Declared, engine: ReportedEngine) -> Fencing:
    """Return what counts: the more careful of announcement and declaration.

    An engine of which neither says anything ignores fencing. A wrong ``ignored``
    costs a wait after a change of the leader, a wrong ``checked`` orders of two
    terms.
    """
    if engine.checks_fencing is False:
        return Fencing.IGNORED
    usual = Fencing.CHECKED if engine.checks_fencing else Fencing.IGNORED
    return declared_fencing(declared, engine) or usual


def declared_fencing(declared: Declared, engine: ReportedEngine) -> Fencing | None:
    """Return what operators declare of an engine, by its name and its stages.

    Where they say both, the engine ignores fencing.
    """
    words = {declared.fencing_by_engine.get(engine.engine_id)}
    words |= {declared.fencing_by_stage.get(stage) for stage in engine.stages}
    if Fencing.IGNORED in words:
        return Fencing.IGNORED
    return Fencing.CHECKED if Fencing.CHECKED in words else None
