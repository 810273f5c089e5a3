"""What the declared objective changes: weights of one and the same code."""

from __future__ import annotations

from dataclasses import dataclass

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
    """

    prefill: float
    load: float
    admission_margin: float
    home_wait_s: float


_WEIGHTS_BY_OBJECTIVE = {
    Objective.ATTAINMENT: Weights(
        prefill=1.0, load=0.5, admission_margin=1.05, home_wait_s=0.1
    ),
    Objective.COST: Weights(
        prefill=2.0, load=0.5, admission_margin=1.1, home_wait_s=0.3
    ),
}


def weights_for(objective: Objective) -> Weights:
    """Return the weights of a declared objective."""
    return _WEIGHTS_BY_OBJECTIVE[objective]
