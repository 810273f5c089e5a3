"""What the declared objective changes: weights of one and the same code."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from galenadrum._internal.models.requests import Request
from galenadrum._internal.models.resources import Objective


@dataclass(frozen=True, slots=True)
class Weights:
    """How the parts of a decision are weighed.

    Attributes:
        prefill: Factor on the time that computing a prompt takes.
        load: Factor on the time lost to sharing a loaded server.
        admission_margin: Expected time is multiplied by this before it is
            compared with the deadline.
        home_wait_s: Extra queue delay accepted in a prefix's home zone.
        size_exponent: How strongly a request that costs more than the mean
            counts the queue before it as longer, and one that costs less as
            shorter; 0 admits all sizes alike.
        full_pressure_s: Wait in seconds from which on sizes count fully; below
            it queues are taken as passing by themselves.
    """

    prefill: float
    load: float
    admission_margin: float
    home_wait_s: float
    size_exponent: float
    full_pressure_s: float


_WEIGHTS_BY_OBJECTIVE = {
    Objective.ATTAINMENT: Weights(
        prefill=1.0,
        load=0.5,
        admission_margin=0.8,
        home_wait_s=0.1,
        size_exponent=3.0,
        full_pressure_s=3.0,
    ),
    Objective.COST: Weights(
        prefill=2.0,
        load=0.5,
        admission_margin=1.1,
        home_wait_s=0.3,
        size_exponent=3.0,
        full_pressure_s=1.0,
    ),
}


def weights_for(objective: Objective) -> Weights:
    """Return the weights of a declared objective."""
    return _WEIGHTS_BY_OBJECTIVE[objective]


@dataclass(frozen=True, slots=True)
class Objectives:
    """Whose objective counts for a request; attainment where none is declared.

    Attributes:
        by_pipeline: Objective of the operator who owns each pipeline.
        by_stage: Objective of the operator who owns each stage, for calls that
            another zone handed over without naming their pipeline.
    """

    by_pipeline: Mapping[str, Objective] = field(default_factory=dict)
    by_stage: Mapping[str, Objective] = field(default_factory=dict)

    def weights_of(self, request: Request) -> Weights:
        """Return the weights by which a request is decided on."""
        if request.forwarded:
            objective = self.by_stage.get(request.stages[0])
        else:
            objective = self.by_pipeline.get(request.pipeline)
        return weights_for(objective or Objective.ATTAINMENT)
