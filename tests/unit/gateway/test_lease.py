"""How long a host serves callers with keys without news."""

from galenadrum._internal.gateway.lease import ConfigurationLease


class TestLease:
    def test_nothing_confirmed_is_not_valid(self):
        lease = ConfigurationLease(5.0)
        lease.hold(1)
        assert not lease.is_valid(0.0)

    def test_valid_until_before_the_bound(self):
        lease = ConfigurationLease(5.0)
        lease.hold(3)
        lease.confirm(3, 10.0)
        assert lease.is_valid(14.4)
        assert not lease.is_valid(14.6)

    def test_confirmation_of_a_version_not_held_does_not_count(self):
        lease = ConfigurationLease(5.0)
        lease.hold(3)
        lease.confirm(4, 10.0)
        assert not lease.is_valid(10.1)

    def test_it_counts_once_the_version_is_held(self):
        lease = ConfigurationLease(5.0)
        lease.hold(3)
        lease.confirm(4, 10.0)
        lease.hold(4)
        assert lease.is_valid(10.1)

    def test_older_confirmation_does_not_shorten(self):
        lease = ConfigurationLease(5.0)
        lease.hold(3)
        lease.confirm(3, 10.0)
        lease.confirm(3, 8.0)
        assert lease.is_valid(14.0)

    def test_no_bound_is_always_valid(self):
        assert ConfigurationLease(None).is_valid(1e9)
