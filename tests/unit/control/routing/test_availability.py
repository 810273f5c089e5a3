"""Since when a control host has worked without a break."""

from galenadrum._internal.control.routing.availability import Availability


def observe(availability, times, confirmed=None):
    return [
        availability.observe(t, t if confirmed is None else confirmed) for t in times
    ]


class TestBreaks:
    def test_steady_host_counts_from_its_start(self):
        availability = Availability(10.0)
        assert not any(observe(availability, [10.5, 11.0, 11.5, 12.0]))
        assert availability.since == 10.0

    def test_suspension_starts_anew(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0])
        assert observe(availability, [15.0]) == [True]
        assert availability.since == 15.0

    def test_cut_off_host_is_available_once_it_is_confirmed_again(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0])
        found = observe(availability, [11.5, 12.0, 12.5, 13.0, 13.5], confirmed=11.0)
        assert found.count(True) == 1
        observe(availability, [14.0])
        assert availability.since == 13.5

    def test_host_that_was_never_confirmed_is_not_available(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0], confirmed=float("-inf"))
        assert availability.since == 11.0
