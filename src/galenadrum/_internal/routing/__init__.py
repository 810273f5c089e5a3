"""The policy: admission, scoring, retry budgets, ejection and fairness."""
