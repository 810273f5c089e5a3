"""Weights of the policy's decisions for each declared objective."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from galenadrum._internal.models.requests import Request
from galenadrum._internal.models.resources import Objective


@dataclass(frozen=True, slots=True)
class Weights:
    """Weights of the terms of a decision.

    Attributes:
        prefill: Factor on the prefill time of a prompt.
        load: Factor on the time lost to sharing a loaded server.
        admission_margin: Factor on the expected completion time before it is
            compared with the deadline.
        max_home_zone_wait_s: Extra queue delay accepted in a prefix's home zone.
        size_exponent: Exponent on a request's cost relative to the mean in the
            factor on the queue ahead of it at admission; 0 admits all sizes
            alike.
        full_size_effect_wait_s: Wait in seconds at which ``size_exponent`` applies
            in full; it applies partly below, because short queues drain without
            it.
    """

    prefill: float
    load: float
    admission_margin: float
    max_home_zone_wait_s: float
    size_exponent: float
    full_size_effect_wait_s: float


_WEIGHTS_BY_OBJECTIVE = {
    Objective.ATTAINMENT: Weights(
        prefill=1.0,
        load=0.5,
        admission_margin=0.8,
        max_home_zone_wait_s=0.1,
        size_exponent=3.0,
        full_size_effect_wait_s=3.0,
    ),
    Objective.COST: Weights(
        prefill=2.0,
        load=0.5,
        admission_margin=1.1,
        max_home_zone_wait_s=0.3,
        size_exponent=3.0,
        full_size_effect_wait_s=1.0,
    ),
}


def get_objective_weights(objective: Objective) -> Weights:
    """Return the weights of an objective."""
    return _WEIGHTS_BY_OBJECTIVE[objective]


@dataclass(frozen=True, slots=True)
class Objectives:
    """Declared objectives; attainment applies where none is declared.

    Attributes:
        by_pipeline: Objective of the operator who owns each pipeline.
        by_stage: Objective of the operator who owns each stage, for calls
            forwarded by another zone, which do not name their pipeline.
    """

    by_pipeline: Mapping[str, Objective] = field(default_factory=dict)
    by_stage: Mapping[str, Objective] = field(default_factory=dict)

    def get_request_weights(self, request: Request) -> Weights:
        """Return the weights that apply to a request."""
        if request.forwarded:
            objective = self.by_stage.get(request.stages[0])
        else:
            objective = self.by_pipeline.get(request.pipeline)
        return get_objective_weights(objective or Objective.ATTAINMENT)
