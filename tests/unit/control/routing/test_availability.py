"""Time since which a control host has been available without interruption."""

from galenadrum._internal.control.routing.availability import Availability


def observe(availability, times, confirmed_at=None):
    return [
        availability.observe(t, t if confirmed_at is None else confirmed_at)
        for t in times
    ]


class TestAvailability:
    def test_uninterrupted_host_is_available_since_start(self):
        availability = Availability(10.0)
        assert not any(observe(availability, [10.5, 11.0, 11.5, 12.0]))
        assert availability.since == 10.0

    def test_suspension_restarts_availability(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0])
        assert observe(availability, [15.0]) == [True]
        assert availability.since == 15.0

    def test_partitioned_host_is_available_after_next_confirmation(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0])
        interruptions = observe(
            availability, [11.5, 12.0, 12.5, 13.0, 13.5], confirmed_at=11.0
        )
        assert interruptions.count(True) == 1
        observe(availability, [14.0])
        assert availability.since == 13.5

    def test_unconfirmed_host_is_not_available(self):
        availability = Availability(10.0)
        observe(availability, [10.5, 11.0], confirmed_at=float("-inf"))
        assert availability.since == 11.0
