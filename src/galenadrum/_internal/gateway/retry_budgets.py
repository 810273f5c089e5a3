"""Retry budgets by service, shared among all entry hosts.

Load pattern: a pool fails most requests while all entry hosts retry them. The bound
on retries holds for all hosts together, so each host uses only its part.
"""

from __future__ import annotations

from collections.abc import Callable

from galenadrum._internal.gateway.attempts import Attempts
from galenadrum._internal.routing.retry_budget import RetryBudget

# Share of the common bound that is used, since the known number of hosts may be out of
# date.
_USED_BOUND_SHARE = 0.6


class RetryBudgets:
    """This host's part of the retry budget of each service.

    Args:
        ratio: Retries allowed per request, over all hosts.
        slack: Retries allowed beyond the ratio in a window, by all hosts together.
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
        """Credit the service's budget for one request."""
        self._budget(service).deposit()

    def withdraw(self, service: str) -> bool:
        """Withdraw one retry if the budget allows it; return whether it did."""
        return self._budget(service).withdraw(1.0, True)

    def withdraw_for_hung(self, service: str, attempts: Attempts) -> bool:
        """Withdraw the retry of a request that hangs; return whether it did.

        It pays for the request's next `withdraw_for`.
        """
        if not attempts.has_withdrawn_retry:
            attempts.has_withdrawn_retry = self.withdraw(service)
        return attempts.has_withdrawn_retry

    def withdraw_for(self, service: str, attempts: Attempts) -> bool:
        """Withdraw a retry of a request; return whether it may be sent again."""
        if attempts.has_withdrawn_retry:
            attempts.has_withdrawn_retry = False
            return True
        return self.withdraw(service)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            # The budget starts full, with this host's part of the slack: the host has
            # made no retries for the service yet.
            balance = max(
                1.0, self._slack * _USED_BOUND_SHARE / max(1, self._host_count())
            )
            budget = RetryBudget(self._ratio * _USED_BOUND_SHARE, balance, balance)
            self._budgets_by_service[service] = budget
        return budget
