"""Validity of the lease under which a host serves callers with keys."""

from galenadrum._internal.gateway.lease import ConfigurationLease


class TestLease:
    def test_invalid_without_confirmation(self):
        lease = ConfigurationLease(5.0)
        lease.record_applied_version(1)
        assert not lease.is_valid(0.0)

    def test_expires_before_the_bound(self):
        lease = ConfigurationLease(5.0)
        lease.record_applied_version(3)
        lease.record_confirmation(3, 10.0)
        assert lease.is_valid(14.4)
        assert not lease.is_valid(14.6)

    def test_confirmation_of_unapplied_version_does_not_count(self):
        lease = ConfigurationLease(5.0)
        lease.record_applied_version(3)
        lease.record_confirmation(4, 10.0)
        assert not lease.is_valid(10.1)

    def test_confirmation_counts_once_version_is_applied(self):
        lease = ConfigurationLease(5.0)
        lease.record_applied_version(3)
        lease.record_confirmation(4, 10.0)
        lease.record_applied_version(4)
        assert lease.is_valid(10.1)

    def test_older_confirmation_does_not_shorten_lease(self):
        lease = ConfigurationLease(5.0)
        lease.record_applied_version(3)
        lease.record_confirmation(3, 10.0)
        lease.record_confirmation(3, 8.0)
        assert lease.is_valid(14.0)

    def test_always_valid_without_bound(self):
        assert ConfigurationLease(None).is_valid(1e9)
