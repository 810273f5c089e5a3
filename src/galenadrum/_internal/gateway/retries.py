"""Retry budgets by service, shared among all entry hosts.

Load pattern: a pool that fails most requests, before hosts that all try again.
The bound holds for all of them together, so that each takes its part of it.
"""

from __future__ import annotations

from collections.abc import Callable

from galenadrum._internal.routing.retry_budget import RetryBudget

# Part of the shared bound that is used: hosts come and go unseen.
_USED_SHARE = 0.6


class RetryBudgets:
    """The host's part of each service's budget.

    Args:
        ratio: Retries for each request that may be made anywhere.
        slack: Retries beyond, by all hosts together in a window.
        host_count: Returns the number of entry hosts.
    """

    def __init__(
        self, ratio: float, slack: float, host_count: Callable[[], int]
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._host_count = host_count
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def deposit(self, service: str) -> None:
        """Count a request of a service."""
        self._budget(service).deposit()

    def withdraw(self, service: str) -> bool:
        """Take one retry out if there is one; return whether there was."""
        return self._budget(service).withdraw(1.0, True)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            # Full at once: the balance is a part of the slack, which no window
            # of the bound has used yet.
            balance = max(1.0, self._slack * _USED_SHARE / max(1, self._host_count()))
            budget = RetryBudget(self._ratio * _USED_SHARE, balance, balance)
            self._budgets_by_service[service] = budget
        return budget
