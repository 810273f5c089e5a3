"""Spacing of the requests to servers that name a limit."""

import pytest

from galenadrum._internal.routing.request_pacer import RequestPacer

WINDOW_S = 4.0


class PacedServer:
    """A server with a limit, and a host that sends as often as it may."""

    def __init__(self, rate_per_s):
        self.rate_per_s = rate_per_s
        self.pacer = RequestPacer(lambda server_id: self.rate_per_s)
        self.now = 100.0
        self.sent_at = []

    def send_for(self, duration_s):
        end_at = self.now + duration_s
        while self.now < end_at:
            if self.pacer.wait_s("s", self.now) == 0:
                self.pacer.record_request("s", self.now)
                self.sent_at.append(self.now)
            self.now += 0.01

    def most_in_window(self):
        return max(
            sum(at <= other < at + WINDOW_S for other in self.sent_at)
            for at in self.sent_at
        )


class TestSchedule:
    @pytest.mark.parametrize("rate_per_s", [0.3, 1.4, 5.0, 20.0])
    def test_requests_are_spaced_evenly(self, rate_per_s):
        server = PacedServer(rate_per_s)
        server.send_for(60.0)
        assert server.most_in_window() <= WINDOW_S * rate_per_s + 1
        assert len(server.sent_at) >= 0.9 * 60.0 * rate_per_s

    def test_idle_time_allows_no_burst(self):
        server = PacedServer(2.0)
        server.send_for(1.0)
        server.now += 30.0
        server.sent_at.clear()
        server.send_for(1.0)
        assert len(server.sent_at) <= 3

    def test_server_without_a_limit_is_not_delayed(self):
        server = PacedServer(None)
        server.send_for(1.0)
        assert len(server.sent_at) == pytest.approx(100, abs=1)

    @pytest.mark.parametrize(("before", "after"), [(2.0, 8.0), (8.0, 2.0)])
    def test_changed_limit_applies_to_the_time_already_waited(self, before, after):
        server = PacedServer(before)
        server.send_for(10.0)
        server.rate_per_s = after
        server.sent_at.clear()
        server.send_for(10.0)
        assert 10.0 * after * 0.9 <= len(server.sent_at) <= 10.0 * after + 1

    def test_server_that_accepts_nothing_is_asked_now_and_then(self):
        server = PacedServer(0.0)
        server.send_for(60.0)
        assert 4 <= len(server.sent_at) <= 6

    def test_share_of_a_host_that_is_cut_off_is_smaller(self):
        pacer = RequestPacer(lambda server_id: 7.0, lambda: 1 / 7)
        assert pacer.find_rate("s") == pytest.approx(1.0)


class TestReservation:
    def test_later_times_are_reserved_in_order(self):
        pacer = RequestPacer(lambda server_id: 1.0)
        waits = [pacer.reserve_request("s", 10.0, 0.0) for _ in range(3)]
        assert waits == [(True, 1.0), (True, 2.0), (True, 3.0)]

    def test_time_after_the_longest_wait_is_not_reserved(self):
        pacer = RequestPacer(lambda server_id: 1.0)
        assert pacer.reserve_request("s", 0.5, 0.0) == (False, 1.0)
        assert pacer.reserve_request("s", 1.0, 0.0) == (True, 1.0)
