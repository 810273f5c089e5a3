"""Which backend servers are offered to routing, by the models they have loaded."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from galenadrum._internal.models.resources import ModelSpec, StageSpec
from galenadrum._internal.models.servers import Announcement, ServerState

Declarations = Callable[[], tuple[Mapping[str, StageSpec], Mapping[str, ModelSpec]]]


class LoadedModels:
    """Leaves out of each announcement the stages that the server can't serve now.

    A server that announces no model counts as a plain service and is left as it
    is. One that announced a model since it came is an engine, also while it
    holds none.

    Args:
        declarations: Returns the declared stages and models by name.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._declarations = declarations
        self._engine_ids: frozenset[str] = frozenset()

    def offered(self, servers: Iterable[Announcement]) -> list[Announcement]:
        """Return the servers with the stages that they may be sent.

        Args:
            servers: All live servers of the zone.
        """
        present = list(servers)
        self._engine_ids = frozenset(
            server.server_id
            for server in present
            if server.model_versions or server.server_id in self._engine_ids
        )
        stages, models = self._declarations()
        engines = [s for s in present if s.server_id in self._engine_ids]
        superseded = {
            model
            for model, spec in models.items()
            if _is_replaced(spec, model, engines)
        }
        return [
            _offer(server, stages, models, superseded)
            if server.server_id in self._engine_ids
            else server
            for server in present
        ]


def _is_replaced(spec: ModelSpec, model: str, engines: Sequence[Announcement]) -> bool:
    """Return whether the zone has as many engines of the version as it wants.

    Until then other versions serve too: one that replaces them has less room. A
    model whose engines are left as they are has no such number.
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


def _offer(
    engine: Announcement,
    stages: Mapping[str, StageSpec],
    models: Mapping[str, ModelSpec],
    superseded: set[str],
) -> Announcement:
    version_by_model = dict(engine.model_versions)

    def may_serve(stage: str) -> bool:
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
        return spec.model not in superseded or version == models[spec.model].version

    offered = tuple(filter(may_serve, engine.stages))
    return engine if offered == engine.stages else replace(engine, stages=offered)
