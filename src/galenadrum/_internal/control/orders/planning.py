"""Plans the orders that bring the engines closer to the declarations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from galenadrum._internal.control.orders.engine_table import Engine
from galenadrum._internal.control.orders.events import (
    ROLE_BOTH,
    ROLE_DECODE,
    ROLE_PREFILL,
    LoadFailureSummary,
    ModelDeclarations,
    Order,
    OrderAction,
)
from galenadrum._internal.models.resources import ModelSpec

# Actions during which the engine doesn't serve the model.
DISRUPTIVE_ACTIONS = frozenset(
    (OrderAction.SWITCH, OrderAction.UNLOAD, OrderAction.CHANGE_ROLE)
)


@dataclass(frozen=True, slots=True)
class WantedOrder:
    """An order that would bring an engine closer to the declarations.

    Attributes:
        rank: Sort key; orders with a lower rank come first.
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
    def loads_weights(self) -> bool:
        """True if the order loads weights from the weight store."""
        return self.action in (OrderAction.LOAD, OrderAction.SWITCH)


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Input of the planning.

    Attributes:
        engines_by_id: Live engines only.
        candidates_by_model: Live engines that hold the model or serve a stage of it.
        orders_by_engine: Open orders.
        failures_by_model: Failures of the declared version whose retry delay has
            not passed yet.
        failed_models: Models whose declared version failed to load and has not
            been loaded since.
    """

    declared: ModelDeclarations
    engines_by_id: Mapping[str, Engine]
    candidates_by_model: Mapping[str, Sequence[Engine]]
    orders_by_engine: Mapping[str, Order]
    failures_by_model: Mapping[str, LoadFailureSummary]
    failed_models: frozenset[str] = frozenset()


def plan_orders(context: PlanningContext) -> list[WantedOrder]:
    """Plan the next orders of all models, in order of their rank.

    Before it sends an order, the caller must check that each model of
    `find_affected_models` keeps another replica.
    """
    wanted = []
    for model, spec in sorted(context.declared.models_by_name.items()):
        if spec.replicas_by_zone:
            wanted.extend(_ModelPlanner(context, model, spec).wanted())
    wanted.sort(key=lambda item: (item.rank, item.model, item.engine_id))
    return wanted


def find_serving_ids(context: PlanningContext, model: str) -> set[str]:
    """Return the ids of engines that serve a model and that no order interrupts."""
    orders = context.orders_by_engine
    return {
        engine.reported.engine_id
        for engine in context.candidates_by_model.get(model, ())
        if model in engine.contents.versions_by_model
        and not _is_interrupted(orders.get(engine.reported.engine_id), model)
        and not engine.is_running_order()
    }


def find_candidates(
    declared: ModelDeclarations, engines: Iterable[Engine]
) -> dict[str, list[Engine]]:
    """Return the engines that hold a model or serve a stage of it, by model."""
    candidates: dict[str, list[Engine]] = {}
    for engine in engines:
        models = set(engine.contents.versions_by_model)
        for stage in engine.reported.stages:
            if stage in declared.model_by_stage:
                models.add(declared.model_by_stage[stage])
        for model in models:
            candidates.setdefault(model, []).append(engine)
    return candidates


def find_affected_models(
    context: PlanningContext, wanted: WantedOrder
) -> tuple[str, ...]:
    """Return the models that need another replica while the order runs.

    A load affects the other models on the engine, which may evict them to free
    memory. Loading adapters of a model doesn't affect it: it continues to serve.
    A model may lose its last replica if it isn't declared, if it is declared with
    zero replicas in all zones, or if its version is switched in place.
    """
    engine = context.engines_by_id[wanted.engine_id]
    return tuple(
        model
        for model, version in engine.contents.versions_by_model.items()
        if not _loads_adapters_only(wanted, model, version)
        and not _switches_in_place(context.declared, wanted, model)
        and _is_protected(context.declared, model)
    )


def _loads_adapters_only(wanted: WantedOrder, model: str, version: str) -> bool:
    return (
        wanted.action is OrderAction.LOAD
        and wanted.model == model
        and wanted.version == version
    )


def _switches_in_place(
    declared: ModelDeclarations, wanted: WantedOrder, model: str
) -> bool:
    spec = declared.models_by_name.get(model)
    return (
        wanted.action is OrderAction.SWITCH
        and wanted.model == model
        and spec is not None
        and spec.switch_in_place
    )


def _is_protected(declared: ModelDeclarations, model: str) -> bool:
    """Return whether the model is declared and not with zero replicas in all zones."""
    spec = declared.models_by_name.get(model)
    if spec is None:
        return False
    return not spec.replicas_by_zone or any(spec.replicas_by_zone.values())


def _is_interrupted(order: Order | None, model: str) -> bool:
    if order is None:
        return False
    return order.model != model or order.action in DISRUPTIVE_ACTIONS


class _ModelPlanner:
    """Plans the orders of one model in all zones."""

    def __init__(self, context: PlanningContext, model: str, spec: ModelSpec) -> None:
        self._context = context
        self._model = model
        self._spec = spec
        self._failure = context.failures_by_model.get(model)
        self._engines_by_zone: dict[str, list[Engine]] = {}
        for engine in context.candidates_by_model.get(model, ()):
            zone = engine.reported.zone
            self._engines_by_zone.setdefault(zone, []).append(engine)
        self._orders = [
            order for order in context.orders_by_engine.values() if order.model == model
        ]
        self._serving_ids = find_serving_ids(context, model)

    def wanted(self) -> list[WantedOrder]:
        """Return the planned orders of all zones."""
        planned = []
        for zone in sorted(self._engines_by_zone):
            planned.extend(self._plan_zone(zone))
        if self._needs_trial():
            planned = self._limit_to_one_load(planned)
        return planned

    def _needs_trial(self) -> bool:
        """Return whether the declared version is to be loaded on one engine first.

        True while no engine has confirmed that it holds the version, and the
        version replaces another one or has failed to load before.
        """
        versions = {
            engine.contents.versions_by_model.get(self._model)
            for engines in self._engines_by_zone.values()
            for engine in engines
            if engine.confirmed_at is not None
        } - {None}
        has_failed = self._model in self._context.failed_models
        is_loaded = self._spec.version in versions
        return not is_loaded and (bool(versions) or has_failed)

    def _limit_to_one_load(self, planned: list[WantedOrder]) -> list[WantedOrder]:
        others = [w for w in planned if w.version != self._spec.version]
        loads = [w for w in planned if w.version == self._spec.version]
        loading = any(order.version == self._spec.version for order in self._orders)
        if loading or not loads:
            return others
        return [*others, min(loads, key=lambda w: (w.rank, w.engine_id))]

    def _plan_zone(self, zone: str) -> list[WantedOrder]:
        engines = self._engines_by_zone[zone]
        desired = self._spec.replicas_by_zone.get(zone, 0)
        idle_engines = [
            engine
            for engine in engines
            if engine.reported.engine_id not in self._context.orders_by_engine
            and not engine.is_running_order()
        ]
        zone_engine_ids = {engine.reported.engine_id for engine in engines}
        orders = [order for order in self._orders if order.engine_id in zone_engine_ids]
        current_engines = [
            e for e in engines if self._get_version(e) == self._spec.version
        ]
        outdated_engines = [
            e
            for e in idle_engines
            if self._get_version(e) not in (None, self._spec.version)
        ]
        spare_engines = [e for e in idle_engines if self._get_version(e) is None]
        loading_count = self._count_loading(orders, current_engines)
        serving = len(self._serving_ids & zone_engine_ids)
        rank = (serving / desired if desired else 1.0,)
        missing_replicas = desired - len(current_engines) - loading_count
        held = sum(self._get_version(e) is not None for e in engines) + sum(
            order.action in (OrderAction.LOAD, OrderAction.SWITCH)
            and self._get_version(self._context.engines_by_id[order.engine_id]) is None
            for order in orders
        )
        is_undisrupted = not any(order.action in DISRUPTIVE_ACTIONS for order in orders)
        planned = self._plan_adapters(current_engines, idle_engines, rank)
        if missing_replicas > 0:
            planned += self._plan_scale_up(
                missing_replicas,
                desired - held,
                spare_engines,
                outdated_engines if is_undisrupted else [],
                serving,
                rank,
            )
        elif is_undisrupted and self._failure is None:
            planned += self._plan_scale_down(
                desired, current_engines, outdated_engines, idle_engines
            )
        if is_undisrupted and not planned and not outdated_engines:
            planned += self._plan_roles(
                [e for e in current_engines if e in idle_engines],
                current_engines,
                desired,
            )
        return planned

    def _get_version(self, engine: Engine) -> str | None:
        return engine.contents.versions_by_model.get(self._model)

    def _count_loading(
        self, orders: Sequence[Order], current_engines: Sequence[Engine]
    ) -> int:
        current_ids = {engine.reported.engine_id for engine in current_engines}
        return sum(
            order.action in (OrderAction.LOAD, OrderAction.SWITCH)
            and order.version == self._spec.version
            and order.engine_id not in current_ids
            for order in orders
        )

    def _plan_adapters(
        self,
        current_engines: Sequence[Engine],
        idle_engines: Sequence[Engine],
        rank: tuple[float, ...],
    ) -> list[WantedOrder]:
        if self._failure is not None:
            return []
        return [
            self._build_load(engine, self._spec.version, (*rank, 2.0))
            for engine in current_engines
            if engine in idle_engines
            and not set(self._spec.adapters) <= engine.contents.adapters
        ]

    def _plan_scale_up(
        self,
        missing_replicas: int,
        unfilled_replicas: int,
        spare_engines: list[Engine],
        outdated_engines: list[Engine],
        serving: int,
        rank: tuple[float, ...],
    ) -> list[WantedOrder]:
        """Load missing replicas on spare engines, else switch an outdated one."""
        if self._failure is not None:
            return self._plan_rollback(unfilled_replicas, spare_engines, rank)
        spare_engines = sorted(spare_engines, key=self._spare_sort_key)
        load_count = min(missing_replicas, max(0, unfilled_replicas))
        if load_count == 0 and outdated_engines and serving <= 1:
            # If there is a spare engine, load another replica on it before the
            # last one that serves is switched.
            load_count = 1
        if load_count > 0 and spare_engines:
            chosen_engines = spare_engines[:load_count]
            return [
                self._build_load(e, self._spec.version, (*rank, 0.0))
                for e in chosen_engines
            ]
        if outdated_engines:
            engine = min(outdated_engines, key=_load_sort_key)
            return [self._build_switch(engine, (*rank, 1.0))]
        return []

    def _plan_rollback(
        self,
        unfilled_replicas: int,
        spare_engines: list[Engine],
        rank: tuple[float, ...],
    ) -> list[WantedOrder]:
        """Reload the previous version on the engine whose switch failed."""
        previous = self._failure.previous_version
        spare_engines = [
            e for e in spare_engines if e.reported.engine_id == self._failure.engine_id
        ]
        if not previous or unfilled_replicas <= 0:
            return []
        return [self._build_load(e, previous, (*rank, 0.0)) for e in spare_engines]

    def _plan_scale_down(
        self,
        desired: int,
        current_engines: list[Engine],
        outdated_engines: list[Engine],
        idle_engines: list[Engine],
    ) -> list[WantedOrder]:
        """Unload one surplus replica, preferably of an outdated version."""
        if len(current_engines) < desired:
            return []
        surplus = outdated_engines or [
            e
            for e in current_engines
            if e in idle_engines and len(current_engines) > desired
        ]
        if not surplus:
            return []
        engine = min(surplus, key=_load_sort_key)
        return [self._build_order(engine, OrderAction.UNLOAD, (2.0, 0.0))]

    def _plan_roles(
        self, idle_engines: list[Engine], current_engines: list[Engine], desired: int
    ) -> list[WantedOrder]:
        """Change one engine from a role with surplus to one that lacks replicas."""
        if not self._spec.prefill_replicas and not self._spec.decode_replicas:
            return []
        target = _compute_role_targets(self._spec, desired)
        counts = dict.fromkeys(target, 0)
        for engine in current_engines:
            counts[engine.contents.role] = counts.get(engine.contents.role, 0) + 1
        lacking_roles = [role for role in target if counts[role] < target[role]]
        surplus = [
            engine
            for engine in sorted(idle_engines, key=_load_sort_key)
            if counts[engine.contents.role] > target.get(engine.contents.role, 0)
        ]
        if not lacking_roles or not surplus:
            return []
        wanted = self._build_order(
            surplus[0], OrderAction.CHANGE_ROLE, (3.0, 0.0), role=lacking_roles[0]
        )
        return [wanted]

    def _spare_sort_key(self, engine: Engine) -> tuple[bool, bool, int, int, str]:
        failed = any(
            failure.engine_id == engine.reported.engine_id
            for failure in (self._failure,)
            if failure is not None
        )
        held = len(engine.contents.versions_by_model)
        is_silent = engine.confirmed_at is None
        return is_silent, failed, held, engine.reported.load, engine.reported.engine_id

    def _build_load(
        self, engine: Engine, version: str, rank: tuple[float, ...]
    ) -> WantedOrder:
        return WantedOrder(
            rank,
            engine.reported.engine_id,
            OrderAction.LOAD,
            self._model,
            version,
            adapters=self._spec.adapters,
        )

    def _build_switch(self, engine: Engine, rank: tuple[float, ...]) -> WantedOrder:
        return WantedOrder(
            rank,
            engine.reported.engine_id,
            OrderAction.SWITCH,
            self._model,
            self._spec.version,
            previous_version=self._get_version(engine) or "",
            adapters=self._spec.adapters,
        )

    def _build_order(
        self,
        engine: Engine,
        action: OrderAction,
        rank: tuple[float, ...],
        role: str = "",
    ) -> WantedOrder:
        return WantedOrder(
            rank,
            engine.reported.engine_id,
            action,
            self._model,
            self._get_version(engine) or "",
            role=role,
        )


def _compute_role_targets(spec: ModelSpec, desired: int) -> dict[str, int]:
    prefill = min(spec.prefill_replicas, desired)
    decode = min(spec.decode_replicas, desired - prefill)
    return {
        ROLE_PREFILL: prefill,
        ROLE_DECODE: decode,
        ROLE_BOTH: desired - prefill - decode,
    }


def _load_sort_key(engine: Engine) -> tuple[bool, int, str]:
    """Return a sort key by load that puts engines without a valid answer last."""
    is_silent = engine.confirmed_at is None
    return is_silent, engine.reported.load, engine.reported.engine_id
