"""Bounds retries so that they can't amplify an overload.

Each first attempt deposits a share of a retry, each retry withdraws one. The
balance is bounded, so that a quiet hour buys no storm. While the pool of the
stage has idle capacity and no queue, a retry takes nothing from other calls
and is allowed beyond the balance.
"""

from __future__ import annotations

_DEPOSIT = 0.1
_MAX_BALANCE = 10.0
_FIRST_BALANCE = 3.0
_COST_NOT_RUN = 0.25
MAX_ATTEMPTS = 4


class RetryBudget:
    """The retry balance of one stage."""

    def __init__(self) -> None:
        self._balance = _FIRST_BALANCE

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def deposit(self) -> None:
        """Count a first attempt."""
        self._balance = min(_MAX_BALANCE, self._balance + _DEPOSIT)

    def withdraw(self, did_run: bool) -> bool:
        """Take one retry out if there is one; return whether there was.

        A call that certainly did not run cost no work and so costs less here.
        """
        cost = 1.0 if did_run else _COST_NOT_RUN
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
