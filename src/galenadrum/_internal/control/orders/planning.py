"""Which orders would bring the engines closer to what is declared."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from galenadrum._internal.control.orders.engines import Engine
from galenadrum._internal.control.orders.messages import (
    ROLE_BOTH,
    ROLE_DECODE,
    ROLE_PREFILL,
    Declared,
    Failure,
    Order,
    OrderAction,
)
from galenadrum._internal.models.resources import ModelSpec

# Orders during which an engine doesn't serve the model.
DISRUPTIVE_ACTIONS = frozenset(
    (OrderAction.SWITCH, OrderAction.UNLOAD, OrderAction.CHANGE_ROLE)
)


@dataclass(frozen=True, slots=True)
class Wanted:
    """An order that would help.

    Attributes:
        rank: Orders with a lower one go first.
    """

    rank: tuple[float, ...]
    engine_id: str
    action: OrderAction
    model: str
    version: str = ""
    previous_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""

    @property
    def takes_weights(self) -> bool:
        """Whether it loads from the weight store."""
        return self.action in (OrderAction.LOAD, OrderAction.SWITCH)


@dataclass(frozen=True, slots=True)
class Situation:
    """What planning looks at.

    Attributes:
        engines_by_id: Live engines only.
        candidates_by_model: Those that hold a model or serve a stage of it.
        orders_by_engine: Orders that are under way.
        failures_by_model: Failures of the declared version that still delay its
            next load.
        failed_models: Models whose declared version has failed and has not been
            loaded since.
    """

    declared: Declared
    engines_by_id: Mapping[str, Engine]
    candidates_by_model: Mapping[str, Sequence[Engine]]
    orders_by_engine: Mapping[str, Order]
    failures_by_model: Mapping[str, Failure]
    failed_models: frozenset[str] = frozenset()


def plan(situation: Situation) -> list[Wanted]:
    """Return orders that may be given now, the most helpful first.

    Whether each leaves the models that it touches another replica is for the
    caller to check, order by order; see `touched_models`.
    """
    wanted = []
    for model, spec in sorted(situation.declared.models_by_name.items()):
        if spec.replicas_by_zone:
            wanted.extend(_ModelPlan(situation, model, spec).wanted())
    wanted.sort(key=lambda item: (item.rank, item.model, item.engine_id))
    return wanted


def serving_ids(situation: Situation, model: str) -> set[str]:
    """Return the engines that serve a model and go on doing so."""
    orders = situation.orders_by_engine
    return {
        engine.reported.engine_id
        for engine in situation.candidates_by_model.get(model, ())
        if model in engine.contents.versions_by_model
        and not _is_disturbed(orders.get(engine.reported.engine_id), model)
        and not engine.is_running_order()
    }


def find_candidates(
    declared: Declared, engines: Iterable[Engine]
) -> dict[str, list[Engine]]:
    """Return the engines that hold a model or serve a stage of it, by model."""
    found: dict[str, list[Engine]] = {}
    for engine in engines:
        models = set(engine.contents.versions_by_model)
        for stage in engine.reported.stages:
            if stage in declared.model_by_stage:
                models.add(declared.model_by_stage[stage])
        for model in models:
            found.setdefault(model, []).append(engine)
    return found


def touched_models(situation: Situation, wanted: Wanted) -> tuple[str, ...]:
    """Return the models that must have another replica while the order runs.

    A load on an engine that holds other models counts as touching them: the
    engine may need their room. Adapters are loaded beside a model that goes on
    serving. A model that isn't declared, or that no zone is to hold, may lose its
    last replica, and so may one whose version changes in place.
    """
    engine = situation.engines_by_id[wanted.engine_id]
    return tuple(
        model
        for model, version in engine.contents.versions_by_model.items()
        if not _loads_adapters_only(wanted, model, version)
        and not _switches_in_place(situation.declared, wanted, model)
        and _is_protected(situation.declared, model)
    )


def _loads_adapters_only(wanted: Wanted, model: str, version: str) -> bool:
    return (
        wanted.action is OrderAction.LOAD
        and wanted.model == model
        and wanted.version == version
    )


def _switches_in_place(declared: Declared, wanted: Wanted, model: str) -> bool:
    spec = declared.models_by_name.get(model)
    return (
        wanted.action is OrderAction.SWITCH
        and wanted.model == model
        and spec is not None
        and spec.switch_in_place
    )


def _is_protected(declared: Declared, model: str) -> bool:
    """Return whether the model is declared, and not to be unloaded everywhere."""
    spec = declared.models_by_name.get(model)
    if spec is None:
        return False
    return not spec.replicas_by_zone or any(spec.replicas_by_zone.values())


def _is_disturbed(order: Order | None, model: str) -> bool:
    if order is None:
        return False
    return order.model != model or order.action in DISRUPTIVE_ACTIONS


class _ModelPlan:
    """Plans one model over all zones."""

    def __init__(self, situation: Situation, model: str, spec: ModelSpec) -> None:
        self._situation = situation
        self._model = model
        self._spec = spec
        self._failure = situation.failures_by_model.get(model)
        self._engines_by_zone: dict[str, list[Engine]] = {}
        for engine in situation.candidates_by_model.get(model, ()):
            zone = engine.reported.zone
            self._engines_by_zone.setdefault(zone, []).append(engine)
        self._orders = [
            order
            for order in situation.orders_by_engine.values()
            if order.model == model
        ]
        self._serving = serving_ids(situation, model)

    def wanted(self) -> list[Wanted]:
        """Return the orders that would help, over all zones."""
        found = []
        for zone in sorted(self._engines_by_zone):
            found.extend(self._plan_zone(zone))
        if self._is_unproved():
            found = self._only_one_load(found)
        return found

    def _is_unproved(self) -> bool:
        """Return whether the version is to be tried on one engine first.

        It is while no engine has shown it and it replaces another one or has
        failed before.
        """
        versions = {
            engine.contents.versions_by_model.get(self._model)
            for engines in self._engines_by_zone.values()
            for engine in engines
            if engine.answered_at is not None
        } - {None}
        has_failed = self._model in self._situation.failed_models
        is_shown = self._spec.version in versions
        return not is_shown and (bool(versions) or has_failed)

    def _only_one_load(self, found: list[Wanted]) -> list[Wanted]:
        others = [w for w in found if w.version != self._spec.version]
        loads = [w for w in found if w.version == self._spec.version]
        loading = any(order.version == self._spec.version for order in self._orders)
        if loading or not loads:
            return others
        return [*others, min(loads, key=lambda w: (w.rank, w.engine_id))]

    def _plan_zone(self, zone: str) -> list[Wanted]:
        engines = self._engines_by_zone[zone]
        desired = self._spec.replicas_by_zone.get(zone, 0)
        idle = [
            engine
            for engine in engines
            if engine.reported.engine_id not in self._situation.orders_by_engine
            and not engine.is_running_order()
        ]
        zone_ids = {engine.reported.engine_id for engine in engines}
        orders = [order for order in self._orders if order.engine_id in zone_ids]
        new = [e for e in engines if self._version(e) == self._spec.version]
        old = [e for e in idle if self._version(e) not in (None, self._spec.version)]
        spare = [e for e in idle if self._version(e) is None]
        coming = self._count_coming(orders, new)
        serving = len(self._serving & zone_ids)
        rank = (serving / desired if desired else 1.0,)
        short = desired - len(new) - coming
        held = sum(self._version(e) is not None for e in engines) + sum(
            order.action in (OrderAction.LOAD, OrderAction.SWITCH)
            and self._version(self._situation.engines_by_id[order.engine_id]) is None
            for order in orders
        )
        quiet = not any(order.action in DISRUPTIVE_ACTIONS for order in orders)
        found = self._plan_adapters(new, idle, rank)
        if short > 0:
            found += self._plan_growth(
                short, desired - held, spare, old if quiet else [], serving, rank
            )
        elif quiet and self._failure is None:
            found += self._plan_reduction(desired, new, old, idle)
        if quiet and not found and not old:
            found += self._plan_roles([e for e in new if e in idle], new, desired)
        return found

    def _version(self, engine: Engine) -> str | None:
        return engine.contents.versions_by_model.get(self._model)

    def _count_coming(self, orders: Sequence[Order], new: Sequence[Engine]) -> int:
        holding = {engine.reported.engine_id for engine in new}
        return sum(
            order.action in (OrderAction.LOAD, OrderAction.SWITCH)
            and order.version == self._spec.version
            and order.engine_id not in holding
            for order in orders
        )

    def _plan_adapters(
        self, new: Sequence[Engine], idle: Sequence[Engine], rank: tuple[float, ...]
    ) -> list[Wanted]:
        if self._failure is not None:
            return []
        return [
            self._load(engine, self._spec.version, (*rank, 2.0))
            for engine in new
            if engine in idle
            and not set(self._spec.adapters) <= engine.contents.adapters
        ]

    def _plan_growth(
        self,
        short: int,
        empty: int,
        spare: list[Engine],
        old: list[Engine],
        serving: int,
        rank: tuple[float, ...],
    ) -> list[Wanted]:
        """Load on spare engines while replicas lack; else switch an old one."""
        if self._failure is not None:
            return self._plan_rollback(empty, spare, rank)
        spare = sorted(spare, key=self._spare_order)
        lacking = min(short, max(0, empty))
        if lacking == 0 and old and serving <= 1:
            # The old replica is better taken once another one serves.
            lacking = 1
        if lacking > 0 and spare:
            chosen = spare[:lacking]
            return [self._load(e, self._spec.version, (*rank, 0.0)) for e in chosen]
        if old:
            engine = min(old, key=_load_order)
            return [self._switch(engine, (*rank, 1.0))]
        return []

    def _plan_rollback(
        self, lacking: int, spare: list[Engine], rank: tuple[float, ...]
    ) -> list[Wanted]:
        """Put back the version that a failed switch has taken away."""
        previous = self._failure.previous_version
        spare = [e for e in spare if e.reported.engine_id == self._failure.engine_id]
        if not previous or lacking <= 0:
            return []
        return [self._load(e, previous, (*rank, 0.0)) for e in spare]

    def _plan_reduction(
        self,
        desired: int,
        new: list[Engine],
        old: list[Engine],
        idle: list[Engine],
    ) -> list[Wanted]:
        """Unload one replica too many, an old version first."""
        if len(new) < desired:
            return []
        surplus = old or [e for e in new if e in idle and len(new) > desired]
        if not surplus:
            return []
        engine = min(surplus, key=_load_order)
        return [self._wanted(engine, OrderAction.UNLOAD, (2.0, 0.0))]

    def _plan_roles(
        self, idle: list[Engine], new: list[Engine], desired: int
    ) -> list[Wanted]:
        """Change the role of one engine whose role is held too often."""
        if not self._spec.prefill_replicas and not self._spec.decode_replicas:
            return []
        target = _role_targets(self._spec, desired)
        counts = dict.fromkeys(target, 0)
        for engine in new:
            counts[engine.contents.role] = counts.get(engine.contents.role, 0) + 1
        lacking = [role for role in target if counts[role] < target[role]]
        surplus = [
            engine
            for engine in sorted(idle, key=_load_order)
            if counts[engine.contents.role] > target.get(engine.contents.role, 0)
        ]
        if not lacking or not surplus:
            return []
        wanted = self._wanted(
            surplus[0], OrderAction.CHANGE_ROLE, (3.0, 0.0), role=lacking[0]
        )
        return [wanted]

    def _spare_order(self, engine: Engine) -> tuple[bool, bool, int, int, str]:
        failed = any(
            failure.engine_id == engine.reported.engine_id
            for failure in (self._failure,)
            if failure is not None
        )
        held = len(engine.contents.versions_by_model)
        is_silent = engine.answered_at is None
        return is_silent, failed, held, engine.reported.load, engine.reported.engine_id

    def _load(self, engine: Engine, version: str, rank: tuple[float, ...]) -> Wanted:
        return Wanted(
            rank,
            engine.reported.engine_id,
            OrderAction.LOAD,
            self._model,
            version,
            adapters=self._spec.adapters,
        )

    def _switch(self, engine: Engine, rank: tuple[float, ...]) -> Wanted:
        return Wanted(
            rank,
            engine.reported.engine_id,
            OrderAction.SWITCH,
            self._model,
            self._spec.version,
            previous_version=self._version(engine) or "",
            adapters=self._spec.adapters,
        )

    def _wanted(
        self,
        engine: Engine,
        action: OrderAction,
        rank: tuple[float, ...],
        role: str = "",
    ) -> Wanted:
        return Wanted(
            rank,
            engine.reported.engine_id,
            action,
            self._model,
            self._version(engine) or "",
            role=role,
        )


def _role_targets(spec: ModelSpec, desired: int) -> dict[str, int]:
    prefill = min(spec.prefill_replicas, desired)
    decode = min(spec.decode_replicas, desired - prefill)
    return {
        ROLE_PREFILL: prefill,
        ROLE_DECODE: decode,
        ROLE_BOTH: desired - prefill - decode,
    }


def _load_order(engine: Engine) -> tuple[bool, int, str]:
    """Order by load; engines that don't answer come last."""
    is_silent = engine.answered_at is None
    return is_silent, engine.reported.load, engine.reported.engine_id
