"""Selection of the stages that backend servers can serve with their loaded models."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from galenadrum._internal.models.resources import ModelSpec, StageSpec
from galenadrum._internal.models.servers import Announcement, ServerState

Declarations = Callable[[], tuple[Mapping[str, StageSpec], Mapping[str, ModelSpec]]]


class ServableStageFilter:
    """Removes from announcements the stages that a server can't serve now.

    A server that has announced a model since it joined is an engine, even while
    it holds no model. Other servers are plain services, and their announcements
    stay unchanged.

    Args:
        declarations: Returns the declared stages and models by name.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._declarations = declarations
        self._engine_ids: frozenset[str] = frozenset()

    def select_servable_stages(
        self, servers: Iterable[Announcement]
    ) -> list[Announcement]:
        """Return the servers with only the stages that may be dispatched to them.

        Args:
            servers: All live servers of the zone.
        """
        live_servers = list(servers)
        self._engine_ids = frozenset(
            server.server_id
            for server in live_servers
            if server.model_versions or server.server_id in self._engine_ids
        )
        stages, models = self._declarations()
        engines = [s for s in live_servers if s.server_id in self._engine_ids]
        fully_replicated_models = {
            model
            for model, spec in models.items()
            if _has_declared_replicas(spec, model, engines)
        }
        return [
            _select_stages(server, stages, models, fully_replicated_models)
            if server.server_id in self._engine_ids
            else server
            for server in live_servers
        ]


def _has_declared_replicas(
    spec: ModelSpec, model: str, engines: Sequence[Announcement]
) -> bool:
    """Return whether the zone has the declared replicas of the model's version.

    Until then other versions serve too, because the engines of the declared
    version alone have less capacity. For a model without declared replicas,
    whose engines control leaves unchanged, other versions always serve.
    """
    if not spec.replicas_by_zone:
        return False
    current = [
        engine
        for engine in engines
        if engine.state is ServerState.SERVING
        and (model, spec.version) in engine.model_versions
    ]
    if not current:
        return False
    return len(current) >= spec.replicas_by_zone.get(current[0].zone, 0)


def _select_stages(
    engine: Announcement,
    stages: Mapping[str, StageSpec],
    models: Mapping[str, ModelSpec],
    fully_replicated_models: set[str],
) -> Announcement:
    version_by_model = dict(engine.model_versions)

    def can_serve(stage: str) -> bool:
        spec = stages.get(stage)
        if spec is None:
            return True
        if spec.adapter is not None and spec.adapter not in engine.adapters:
            return False
        if spec.model is None:
            return True
        version = version_by_model.get(spec.model)
        if version is None:
            return False
        return (
            spec.model not in fully_replicated_models
            or version == models[spec.model].version
        )

    offered = tuple(filter(can_serve, engine.stages))
    return engine if offered == engine.stages else replace(engine, stages=offered)
