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
_MIN_COST = 0.1
MAX_ATTEMPTS = 4


class RetryBudget:
    """The retry balance of one stage.

    Args:
        deposit: Share of a retry that each first attempt brings.
    """

    def __init__(
        self,
        deposit: float = _DEPOSIT,
        max_balance: float = _MAX_BALANCE,
        first_balance: float = _FIRST_BALANCE,
    ) -> None:
        self._deposit = deposit
        self._max_balance = max_balance
        self._balance = first_balance

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def deposit(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._max_balance, self._balance + self._deposit)

    def withdraw(self, share: float, did_run: bool) -> bool:
        """Take one retry out if there is one; return whether there was.

        What a failed call cost is what may amplify an overload: one that failed
        early, or certainly did not run, costs less here.

        Args:
            share: Time that the failed call took over that of a usual call.
            did_run: Whether it may have run.
        """
        cost = min(1.0, max(_MIN_COST, share)) if did_run else _COST_NOT_RUN
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
