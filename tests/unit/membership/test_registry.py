from dataclasses import replace

import pytest

from galenadrum._internal.membership.announcement_results import Change, RejectReason
from galenadrum._internal.membership.entries import (
    PeerEntry,
    PeerRenewal,
    content_ref,
)
from galenadrum._internal.membership.registry import ServerRegistry
from galenadrum._internal.models.servers import (
    Announcement,
    CacheEvent,
    LoadReport,
    ServerState,
)

BASE = Announcement(
    server_id="encoder-1",
    incarnation=5,
    sequence=10,
    address="127.0.0.1:9000",
    zone="nadi",
    stages=("encode",),
    capacity=4,
    ttl_s=9.0,
)


def _registry_with_server(now=100.0):
    registry = ServerRegistry("nadi")
    assert registry.apply_announcement(BASE, now, "127.0.0.1").change is Change.CONTENT
    return registry


def _announce_rejected(registry, announcement, now=101.0, peer_ip="127.0.0.1"):
    before = registry.servers(now)
    verdict = registry.apply_announcement(announcement, now, peer_ip)
    assert registry.servers(now) == before
    assert len(verdict.rejection.message) < 1_000
    return verdict.rejection.reason


class TestRejections:
    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"zone": "ba"}, RejectReason.WRONG_ZONE),
            ({"zone": "\ud800\n" * 200}, RejectReason.WRONG_ZONE),
            ({"server_id": "\ud800"}, RejectReason.BAD_FIELD),
            ({"address": "1" * 99_999}, RejectReason.BAD_ADDRESS),
            ({"address": "localhost:1"}, RejectReason.BAD_ADDRESS),
            ({"address": "127.0.0.1"}, RejectReason.BAD_ADDRESS),
            ({"address": "127.0.0.1:0"}, RejectReason.BAD_ADDRESS),
            ({"address": "0.0.0.0:80"}, RejectReason.BAD_ADDRESS),
            ({"address": "10.0.0.9:9000"}, RejectReason.PEER_MISMATCH),
            ({"capacity": 0}, RejectReason.BAD_FIELD),
            ({"ttl_s": 0.5}, RejectReason.BAD_FIELD),
            ({"ttl_s": 3_600.0}, RejectReason.BAD_FIELD),
            ({"ttl_s": float("nan")}, RejectReason.BAD_FIELD),
            ({"stages": ()}, RejectReason.BAD_FIELD),
            ({"stages": ("a", "a")}, RejectReason.BAD_FIELD),
            ({"server_id": "x" * 500}, RejectReason.BAD_FIELD),
            ({"load": LoadReport(-1, 0)}, RejectReason.BAD_FIELD),
            ({"incarnation": 4, "sequence": 99}, RejectReason.OLD_INCARNATION),
            ({}, RejectReason.REPLAYED),
            ({"sequence": 9}, RejectReason.REPLAYED),
            ({"sequence": 10**6}, RejectReason.SEQUENCE_JUMP),
            ({"incarnation": 10**12}, RejectReason.INCARNATION_JUMP),
            ({"incarnation": 6, "address": "127.0.0.1:9"}, RejectReason.ID_BOUND),
            ({"sequence": 11, "address": "127.0.0.1:9"}, RejectReason.ID_BOUND),
            ({"server_id": "other"}, RejectReason.ADDRESS_TAKEN),
        ],
    )
    def test_returns_reason_and_leaves_servers_unchanged(self, changes, reason):
        assert (
            _announce_rejected(_registry_with_server(), replace(BASE, **changes))
            is reason
        )

    def test_incarnation_that_left_is_not_reinstated(self):
        registry = _registry_with_server()
        leaving = replace(BASE, sequence=11, state=ServerState.LEAVING)
        assert registry.apply_announcement(leaving, 101.0).change is Change.CONTENT
        assert registry.servers_by_stage("encode", 101.0) == ()
        later = replace(BASE, sequence=12)
        assert _announce_rejected(registry, later, 102.0) is RejectReason.LEFT
        assert _announce_rejected(registry, later, 500.0) is RejectReason.LEFT
        assert not registry.merge([PeerEntry(later, 0.0)], 500.0)[0].accepted
        restarted = replace(BASE, incarnation=6, sequence=1)
        assert registry.apply_announcement(restarted, 500.0).accepted
        assert registry.servers_by_stage("encode", 500.0) == (restarted,)


class TestLeases:
    def test_lease_expires_without_renewal_and_peers_cannot_extend_it(self):
        registry = _registry_with_server(now=100.0)
        renewed = replace(BASE, sequence=11)
        assert registry.apply_announcement(renewed, 108.0).change is Change.LEASE
        assert registry.servers(116.9) == (renewed,)
        assert registry.servers(117.0) == ()
        assert registry.expire(117.0) == ("encoder-1",)
        assert not registry.merge([PeerEntry(renewed, 0.1)], 117.5)[0].accepted
        assert registry.apply_announcement(replace(BASE, sequence=12), 118.0).accepted

    def test_lease_of_peer_entry_counts_from_age_given_by_peer(self):
        registry = ServerRegistry("nadi")
        registry.merge([PeerEntry(BASE, 4.0)], 200.0)
        assert registry.servers(204.9) == (BASE,)
        assert registry.servers(205.0) == ()
        old = replace(BASE, server_id="old", address="127.0.0.1:1")
        verdict = registry.merge([PeerEntry(old, 9.0)], 200.0)[0]
        assert verdict.rejection.reason is RejectReason.EXPIRED

    def test_renewal_extends_only_entry_with_its_ref(self):
        registry = _registry_with_server()
        ref = content_ref(BASE)
        assert registry.merge_renewal(PeerRenewal(ref + 1, 11, 0.0), 105.0) is None
        load = LoadReport(3, 1, 0.5)
        verdict = registry.merge_renewal(PeerRenewal(ref, 11, 1.0, load), 105.0)
        assert verdict.change is Change.LEASE
        assert registry.servers(112.5)[0].load == LoadReport(3, 1, 0.5 + 8.5)
        assert registry.servers(113.0) == ()

    def test_entry_count_is_bounded(self):
        registry = ServerRegistry("nadi")
        for i in range(3_000):
            address = f"10.0.{i // 250}.{i % 250 + 1}:80"
            other = replace(BASE, server_id=f"s{i}", address=address, ttl_s=1.0)
            registry.apply_announcement(other, 10.0)
        assert len(registry.servers(10.0)) == 2_000


class TestReports:
    def test_each_load_report_and_cache_event_is_drained_once(self):
        registry = _registry_with_server()
        first, second = CacheEvent(1, ("a",)), CacheEvent(2, ("b",))
        registry.drain_reports(100.0)
        registry.apply_announcement(
            replace(BASE, sequence=11, cache_events=(first,)), 101.0
        )
        registry.apply_announcement(
            replace(BASE, sequence=12, cache_events=(first, second)), 102.0
        )
        (report,) = registry.drain_reports(103.0)
        assert (report.sequence, report.cache_events) == (12, (first, second))
        registry.apply_announcement(
            replace(BASE, sequence=13, cache_events=(second,)), 104.0
        )
        assert registry.drain_reports(104.0)[0].cache_events == ()
        assert registry.drain_reports(105.0) == ()
