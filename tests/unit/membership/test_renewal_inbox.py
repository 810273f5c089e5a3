import json
from dataclasses import replace

import pytest

from galenadrum._internal.membership.announcement_codec import dump_announcement
from galenadrum._internal.membership.renewal_inbox import RenewalInbox
from galenadrum._internal.models.servers import Announcement, LoadReport

_IP = "10.1.0.1"
_SERVER = Announcement("s", 1, 1, f"{_IP}:90", "nadi", ("encode",), 4, ttl_s=6.0)


class _Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def inbox(clock):
    inbox = RenewalInbox(clock)
    inbox.hold_announcement(
        dump_announcement(_SERVER), _IP, ref=7, ttl_s=6.0, renew_after_s=2.0
    )
    return inbox


def _body(**changes):
    return dump_announcement(replace(_SERVER, **{"sequence": 2, **changes}))


class TestRenewalInbox:
    def test_accepts_changes_of_sequence_and_load_only(self, inbox, clock):
        assert inbox.accept_renewal(_body(load=LoadReport(3, 1)), _IP) == 2.0
        assert (
            inbox.accept_renewal(_body(sequence=3, load=LoadReport(4, 0)), _IP) == 2.0
        )
        clock.now += 0.2
        [renewal] = inbox.drain_renewals().values()
        assert (renewal.ref, renewal.sequence, renewal.load.running) == (7, 3, 4)
        assert renewal.age_s == pytest.approx(0.2)
        assert inbox.drain_renewals() == {}

    @pytest.mark.parametrize(
        "changes",
        [
            {"sequence": 1},
            {"sequence": 1_000},
            {"incarnation": 2},
            {"state": "leaving"},
            {"capacity": 5},
            {"capacity": True},
            {"checks_fencing": 0},
            {"load": LoadReport(2**60, 0)},
            {"load": LoadReport("3", 0)},
        ],
    )
    def test_leaves_other_changes_to_the_registry(self, inbox, changes):
        assert inbox.accept_renewal(_body(**changes), _IP) is None
        assert inbox.drain_renewals() == {}

    def test_leaves_cache_events_and_malformed_bodies_to_the_registry(self, inbox):
        document = json.loads(_body())
        event = {"sequence": 1, "stored": ["b"], "evicted": []}
        for events in ([event], None):
            body = json.dumps({**document, "cache_events": events}).encode()
            assert inbox.accept_renewal(body, _IP) is None
        assert inbox.accept_renewal(b"[" * 100_000, _IP) is None
        assert inbox.accept_renewal(b"{}", _IP) is None

    def test_leaves_a_lease_past_its_half_to_the_registry(self, inbox, clock):
        clock.now += 3.1
        assert inbox.accept_renewal(_body(), _IP) is None

    def test_leaves_other_ips_and_discarded_servers_to_the_registry(self, inbox):
        assert inbox.accept_renewal(_body(), "10.1.0.2") is None
        inbox.discard_announcement("s")
        assert inbox.accept_renewal(_body(), _IP) is None

    def test_does_not_hold_announcements_with_short_leases(self, clock):
        inbox = RenewalInbox(clock)
        inbox.hold_announcement(
            dump_announcement(_SERVER), _IP, 7, ttl_s=2.0, renew_after_s=0.6
        )
        assert inbox.accept_renewal(_body(), _IP) is None

    def test_discards_servers_that_the_registry_does_not_know(self, clock):
        inbox = RenewalInbox(clock)
        for number in range(20):
            body = _body(server_id=f"s{number}", sequence=1)
            inbox.hold_announcement(body, _IP, number, ttl_s=6.0, renew_after_s=2.0)
        inbox.discard_unknown_servers({"s1"}, 1)
        assert inbox.accept_renewal(_body(server_id="s2"), _IP) is None
        assert inbox.accept_renewal(_body(server_id="s1"), _IP) == 2.0
