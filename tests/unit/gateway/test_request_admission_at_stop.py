"""Which requests an entry host that is about to stop still takes."""

from galenadrum._internal.gateway.planned_stop import PlannedStop


class TestPlannedStop:
    def create_stopping(self, duration_s=1.0):
        stop = PlannedStop()
        stop.record_duration("plan", duration_s)
        stop.begin(late_from=12.6, stops_at=17.3)
        return stop

    def test_nothing_is_too_late_before_a_stop(self):
        assert not PlannedStop().is_too_late("plan", 1e9)

    def test_callers_that_are_still_sent_here_are_refused(self):
        assert not self.create_stopping(60.0).is_too_late("plan", 12.5)

    def test_request_that_would_end_in_time_is_refused(self):
        assert not self.create_stopping().is_too_late("plan", 15.7)

    def test_request_that_would_not_end_in_time_is_taken(self):
        assert self.create_stopping().is_too_late("plan", 15.8)

    def test_routes_share_their_durations(self):
        stop = self.create_stopping()
        assert not stop.is_too_late("stock", 16.9)
        assert stop.is_too_late("stock", 17.1)

    def test_one_long_request_counts_for_ever(self):
        stop = self.create_stopping(4.0)
        assert stop.is_too_late("plan", 12.7)
        for _ in range(100):
            stop.record_duration("plan", 0.5)
        assert not stop.is_too_late("plan", 12.7)
