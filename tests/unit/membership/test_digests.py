import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.membership.digest_peers import DigestPeers
from galenadrum._internal.membership.digests import (
    DIGEST_TTL_S,
    DigestTable,
    PeerDigest,
    StageLoad,
)

_LOAD = StageLoad("encode", 8, 0.25, 16, 0.1, 0.02)
_DIGEST = PeerDigest("ba", "10.0.0.1:70", 1, 0.5, (_LOAD,))


class TestDigestTable:
    def test_newest_digest_is_kept_until_it_expires(self):
        table = DigestTable("nadi")
        assert table.merge(_DIGEST, 100.0)
        assert not table.merge(_DIGEST, 101.0)
        older = replace(_DIGEST, serial=2, age_s=20.0, stages=())
        assert not table.merge(older, 101.0)
        (digest,) = table.digests_by_stage(101.0)["encode"]
        assert (digest.zone, digest.free_capacity, digest.received_at) == (
            "ba",
            8,
            99.5,
        )
        assert table.peer_digest("ba", 102.0).age_s == 2.5
        assert table.digests_by_stage(99.5 + DIGEST_TTL_S) == {}

    def test_interval_grows_with_size_of_digests(self):
        table = DigestTable("nadi")
        assert table.exchange_interval_s() == 1.0
        loads = tuple(replace(_LOAD, stage=f"stage-{i}") for i in range(40))
        for i in range(11):
            digest = replace(_DIGEST, zone=f"z{i}", age_s=0.0, stages=loads)
            assert table.merge(digest, 100.0)
        # 440 loads of 8 bytes each and 310 bytes of stage names that all zones share.
        assert table.exchange_interval_s() == 3_830 / 400
        for i in range(11):
            zone_loads = tuple(
                replace(load, stage=f"{load.stage}-of-z{i}") for load in loads
            )
            digest = replace(
                _DIGEST, zone=f"z{i}", serial=2, age_s=0.0, stages=zone_loads
            )
            assert table.merge(digest, 101.0)
        assert table.exchange_interval_s() == 15.0
        assert not table.merge(replace(_DIGEST, zone="nadi"), 100.0)

    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.floats(0, 60)),
            max_size=30,
        )
    )
    def test_youngest_digest_is_kept_for_any_arrival_order(self, arrivals):
        table = DigestTable("nadi")
        youngest = {}
        for serial, (zone, age_s) in enumerate(arrivals):
            load = replace(_LOAD, free_capacity=serial)
            digest = PeerDigest(zone, "a:1", serial, age_s, (load,))
            table.merge(digest, 100.0)
            if age_s < DIGEST_TTL_S:
                youngest[zone] = min(youngest.get(zone, age_s), age_s)
        held = {zone: table.peer_digest(zone, 100.0).age_s for zone in table.zones()}
        assert held.keys() == youngest.keys()
        # Ages that differ by less than the transit time count as equal.
        assert all(abs(held[zone] - youngest[zone]) <= 0.05 for zone in held)


class TestDigestPeers:
    def test_zones_are_recorded_and_failed_hosts_are_avoided(self):
        zone_by_address = {
            f"10.{z}.0.{i}:70": f"z{z}" for z in range(11) for i in range(28)
        }
        peers = DigestPeers(zone_by_address, random.Random(3))
        for round_number in range(120):
            now = 5.0 * round_number
            chosen = peers.select_addresses(now)
            assert len(chosen) <= 11 + 4
            for address in chosen:
                if address.endswith("1:70"):
                    peers.failed(address, now)
                else:
                    peers.succeeded(address, zone_by_address[address])
        zones = {zone_by_address[a] for a in peers.select_addresses(600.0)}
        assert zones == set(zone_by_address.values())
