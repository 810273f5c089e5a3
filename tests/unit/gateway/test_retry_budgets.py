"""Retry budgets shared among entry hosts."""

import pytest

from galenadrum._internal.gateway.retry_budgets import RetryBudgets

RATIO = 0.2
SLACK = 56.0
WINDOW_REQUESTS = 400


class TestBound:
    """All requests fail and every host tries to retry each of them."""

    @pytest.mark.parametrize("hosts", [1, 8, 60])
    def test_retries_of_all_hosts_stay_within_the_bound(self, hosts):
        retries = 0
        for _ in range(hosts):
            budgets = RetryBudgets(RATIO, SLACK, lambda: hosts)
            for _ in range(WINDOW_REQUESTS // hosts):
                budgets.deposit("s")
                retries += budgets.withdraw("s")
        assert retries <= RATIO * WINDOW_REQUESTS + max(SLACK, hosts)

    def test_services_have_separate_budgets(self):
        budgets = RetryBudgets(RATIO, 1.0, lambda: 8)
        assert budgets.withdraw("a")
        assert not budgets.withdraw("a")
        assert budgets.withdraw("b")
