"""Catalogue of the declared stages."""

from __future__ import annotations

from collections.abc import Mapping

from galenadrum._internal.models.requests import Request
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.routing.service_times import CallSize, ServiceTimes

_DEFAULT_STAGE = StageSpec()


class StageCatalog:
    """Stage specifications by name."""

    def __init__(self) -> None:
        self._specs_by_name: dict[str, StageSpec] = {}

    def update(
        self, stages_by_name: Mapping[str, StageSpec], times: ServiceTimes
    ) -> None:
        """Replace the specifications and set their declared service times."""
        self._specs_by_name = dict(stages_by_name)
        for name, spec in self._specs_by_name.items():
            times.set_declared_time(name, spec.expected_service_ms / 1000.0)

    def spec(self, stage: str) -> StageSpec:
        """Return the specification of a stage, or defaults if it is not declared."""
        return self._specs_by_name.get(stage, _DEFAULT_STAGE)

    def uses_model(self, stage: str) -> bool:
        """Return whether the stage is served by engines, which cache prefixes."""
        return self.spec(stage).model is not None

    def estimate_call_size(self, request: Request, stage: str) -> CallSize:
        """Return the size of a call to a stage, assuming no prefix reuse."""
        output_tokens = request.output_tokens if self.uses_model(stage) else 0
        return CallSize(request.input_tokens, output_tokens)
