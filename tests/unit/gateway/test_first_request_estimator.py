"""Estimating how long ago callers first sent a request."""

from galenadrum._internal.gateway.first_request_estimator import FirstRequestEstimator


class TestElapsedTime:
    def test_usual_deadline_means_first_request(self):
        estimator = FirstRequestEstimator()
        assert [estimator.estimate_elapsed_s("r", 6.0) for _ in range(5)] == [0.0] * 5

    def test_shorter_deadline_gives_elapsed_time(self):
        estimator = FirstRequestEstimator()
        for _ in range(5):
            estimator.estimate_elapsed_s("r", 6.0)
        assert estimator.estimate_elapsed_s("r", 4.5) == 1.5

    def test_rare_longer_deadlines_are_not_the_usual_one(self):
        estimator = FirstRequestEstimator()
        for number in range(50):
            estimator.estimate_elapsed_s("r", 30.0 if number % 25 == 0 else 6.0)
        assert estimator.estimate_elapsed_s("r", 6.0) == 0.0

    def test_routes_are_counted_separately(self):
        estimator = FirstRequestEstimator()
        for _ in range(5):
            estimator.estimate_elapsed_s("long", 20.0)
        assert estimator.estimate_elapsed_s("short", 6.0) == 0.0

    def test_new_usual_deadline_replaces_the_old_one(self):
        estimator = FirstRequestEstimator()
        for _ in range(300):
            estimator.estimate_elapsed_s("r", 6.0)
        for _ in range(600):
            estimator.estimate_elapsed_s("r", 4.0)
        assert estimator.estimate_elapsed_s("r", 4.0) == 0.0
