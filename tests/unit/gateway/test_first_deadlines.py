"""Telling callers that come back from those that ask first."""

from galenadrum._internal.gateway.first_deadlines import FirstDeadlines


class TestElapsed:
    def test_usual_deadline_is_a_first_request(self):
        deadlines = FirstDeadlines()
        assert [deadlines.elapsed_s("r", 6.0) for _ in range(5)] == [0.0] * 5

    def test_shorter_deadline_tells_the_time_since(self):
        deadlines = FirstDeadlines()
        for _ in range(5):
            deadlines.elapsed_s("r", 6.0)
        assert deadlines.elapsed_s("r", 4.5) == 1.5

    def test_a_few_patient_callers_make_nobody_return(self):
        deadlines = FirstDeadlines()
        for number in range(50):
            deadlines.elapsed_s("r", 30.0 if number % 25 == 0 else 6.0)
        assert deadlines.elapsed_s("r", 6.0) == 0.0

    def test_routes_are_apart(self):
        deadlines = FirstDeadlines()
        for _ in range(5):
            deadlines.elapsed_s("long", 20.0)
        assert deadlines.elapsed_s("short", 6.0) == 0.0

    def test_new_usual_time_is_learned(self):
        deadlines = FirstDeadlines()
        for _ in range(300):
            deadlines.elapsed_s("r", 6.0)
        for _ in range(600):
            deadlines.elapsed_s("r", 4.0)
        assert deadlines.elapsed_s("r", 4.0) == 0.0
