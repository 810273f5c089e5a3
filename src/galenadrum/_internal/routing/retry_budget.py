"""Retry budget that keeps retries from amplifying an overload.

Each first attempt deposits a fraction of a retry, and each retry withdraws up to
one. The balance is bounded, so that quiet periods don't accumulate enough for a
retry storm. While a stage has idle capacity and no queue, the policy allows
retries beyond the balance, because they delay no other calls.
"""

from __future__ import annotations

_DEPOSIT_PER_FIRST_ATTEMPT = 0.1
_MAX_BALANCE = 10.0
_INITIAL_BALANCE = 3.0
_NOT_RUN_RETRY_COST = 0.25
_MIN_RETRY_COST = 0.1
MAX_ATTEMPTS = 4


class RetryBudget:
    """Retry balance of one stage.

    Args:
        deposit: Fraction of a retry added by each first attempt.
        max_balance: Maximum number of accumulated retries.
        initial_balance: Number of retries available at the start.
    """

    def __init__(
        self,
        deposit: float = _DEPOSIT_PER_FIRST_ATTEMPT,
        max_balance: float = _MAX_BALANCE,
        initial_balance: float = _INITIAL_BALANCE,
    ) -> None:
        self._deposit = deposit
        self._max_balance = max_balance
        self._balance = initial_balance

    @property
    def balance(self) -> float:
        """Number of retries currently available."""
        return self._balance

    def deposit(self) -> None:
        """Add the deposit of one first attempt."""
        self._balance = min(self._max_balance, self._balance + self._deposit)

    def withdraw(self, share: float, may_have_run: bool) -> bool:
        """Withdraw one retry if the balance covers it; return whether it did.

        The cost depends on the work of the failed call, since that work is what
        amplifies an overload: a call that failed early, or certainly did not run,
        costs less than a whole retry.

        Args:
            share: Duration of the failed call divided by the mean service time.
            may_have_run: False if the failed call certainly did not run.
        """
        cost = (
            min(1.0, max(_MIN_RETRY_COST, share))
            if may_have_run
            else _NOT_RUN_RETRY_COST
        )
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
