"""Merging announcements of backend servers."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.directory.evacuated_zones import EvacuatedZones
from galenadrum._internal.directory.registry import REMOVE_AFTER_S, Registry
from galenadrum._internal.models.announcements import (
    MAX_SEQUENCE,
    Departure,
    LeavingServer,
    ServerState,
)
from lib.routing_values import announcement

INTERVAL_S = 1.0


def create_registry():
    changed = []
    registry = Registry(INTERVAL_S, changed.append)
    registry.set_services(["encode", "generate", "stock"])
    return registry, changed


class TestOrder:
    def test_older_sequence_changes_nothing(self):
        registry, _ = create_registry()
        registry.apply_announcement(
            announcement(sequence=5, state=ServerState.DRAINING), 0.0
        )
        assert not registry.apply_announcement(announcement(sequence=4), 0.1)
        assert not registry.get("a-1").accepts_requests

    def test_departure_that_another_host_learns_later_is_outdated(self):
        # An entry host knows the announcement as ready from a control host that has
        # lost its disk, and gets it as draining once that host has the departure.
        registry, _ = create_registry()
        registry.apply_announcement(announcement(sequence=5), 0.0)
        draining = announcement(sequence=5, state=ServerState.DRAINING)
        assert registry.apply_announcement(draining, 0.1)
        assert not registry.get("a-1").accepts_requests
        assert not registry.apply_announcement(announcement(sequence=5), 0.2)
        assert not registry.get("a-1").accepts_requests

    def test_new_incarnation_may_restart_its_sequence(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(sequence=50), 0.0)
        registry.apply_announcement(announcement(incarnation_ms=2_000, sequence=1), 1.0)
        assert registry.get("a-1").announcement.incarnation_ms == 2_000

    def test_late_announcement_of_an_earlier_server_at_the_address_is_ignored(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement("old", address="10.0.0.1:80"), 0.0)
        newer = announcement("new", address="10.0.0.1:80", incarnation_ms=2_000)
        registry.apply_announcement(newer, 1.0)
        late = announcement("old", address="10.0.0.1:80", sequence=9)
        assert not registry.apply_announcement(late, 2.0)
        assert registry.get("new").accepts_requests
        assert not registry.get("old").accepts_requests

    def test_late_announcement_does_not_restore_a_server_that_left(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(sequence=5), 0.0)
        departure = Departure("a-1", 1_000, MAX_SEQUENCE, ServerState.GONE)
        assert registry.record_departure(departure, 0.0)
        assert not registry.apply_announcement(announcement(sequence=6), 0.1)
        assert registry.get("a-1").announcement.state is ServerState.GONE

    def test_farewell_of_an_earlier_incarnation_changes_nothing(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(incarnation_ms=2_000), 0.0)
        departure = Departure("a-1", 1_000, MAX_SEQUENCE, ServerState.GONE)
        assert not registry.record_departure(departure, 1.0)
        assert registry.get("a-1").accepts_requests

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "b"]),
                st.integers(1, 3),
                st.integers(1, 4),
                st.sampled_from([ServerState.READY, ServerState.DRAINING]),
            ),
            max_size=12,
            unique_by=lambda row: row[:3],
        ),
        st.integers(0, 1_000),
    )
    def test_order_of_arrival_does_not_matter(self, rows, seed):
        """With an address for each id, the newest announcement of an id is kept."""
        shuffled = list(rows)
        random.Random(seed).shuffle(shuffled)
        views = []
        for order in (rows, shuffled):
            registry, _ = create_registry()
            for server_id, incarnation, sequence, state in order:
                registry.apply_announcement(
                    announcement(
                        server_id,
                        address=f"10.0.0.{ord(server_id)}:80",
                        incarnation_ms=incarnation,
                        sequence=sequence,
                        state=state,
                    ),
                    0.0,
                )
            views.append({e.server_id: e.announcement for e in registry})
        assert views[0] == views[1]
        for server_id, held in views[0].items():
            newest = max(r[1:3] for r in rows if r[0] == server_id)
            assert held.order == newest


class TestSilence:
    def test_server_is_silent_after_missed_announcements(self):
        registry, changed = create_registry()
        registry.apply_announcement(announcement(), 0.0)
        registry.expire(3.0)
        assert not registry.get("a-1").is_silent
        registry.expire(3.6)
        assert registry.get("a-1").is_silent
        assert len(changed) == 2

    def test_renewal_by_another_host_keeps_a_server_from_silence(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(), 0.0)
        registry.renew(["a-1"], 3.0, 0.5)
        registry.expire(4.0)
        assert not registry.get("a-1").is_silent

    def test_renewal_that_is_too_old_does_not_end_the_silence(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(), 0.0)
        registry.expire(4.0)
        registry.renew(["a-1"], 10.0, 9.0)
        assert registry.get("a-1").is_silent

    def test_announcement_ends_the_silence(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(), 0.0)
        registry.expire(4.0)
        registry.apply_announcement(announcement(sequence=2), 5.0)
        assert not registry.get("a-1").is_silent

    def test_unchanged_announcements_are_not_reported_as_changes(self):
        registry, changed = create_registry()
        for sequence in range(1, 10):
            registry.apply_announcement(announcement(sequence=sequence), sequence * 1.0)
        assert len(changed) == 1

    def test_silent_servers_are_removed_after_a_delay(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(), 0.0)
        registry.expire(10.0)
        assert registry.prune(REMOVE_AFTER_S - 1) == ()
        assert registry.prune(REMOVE_AFTER_S + 1) == ("a-1",)
        assert list(itertools.islice(registry, 1)) == []


class TestLeavingServer:
    def create_leaving(self):
        registry, changed = create_registry()
        registry.apply_announcement(announcement(sequence=5), 0.0)
        assert registry.mark_leaving(LeavingServer("a-1", 1_000), 0.0)
        return registry, changed

    def test_it_accepts_no_requests_whatever_it_announces(self):
        registry, changed = self.create_leaving()
        assert changed[-1].announcement.state is ServerState.DRAINING
        registry.apply_announcement(announcement(sequence=6), 0.1)
        assert not registry.get("a-1").accepts_requests

    def test_mark_is_new_once(self):
        registry, _ = self.create_leaving()
        assert not registry.mark_leaving(LeavingServer("a-1", 1_000), 0.0)

    def test_next_incarnation_accepts_requests(self):
        registry, _ = self.create_leaving()
        registry.apply_announcement(announcement(incarnation_ms=2_000), 1.0)
        assert registry.get("a-1").accepts_requests
        assert registry.list_leaving() == []

    def test_stale_mark_bars_no_other_incarnation(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(incarnation_ms=2_000), 0.0)
        assert not registry.mark_leaving(LeavingServer("a-1", 1_000), 0.0)
        assert registry.get("a-1").accepts_requests

    def test_mark_of_an_unknown_server_is_kept(self):
        # A control host that has just started knows no server when it is told.
        registry, _ = create_registry()
        assert registry.mark_leaving(LeavingServer("a-1", 1_000), 0.0)
        registry.apply_announcement(announcement(sequence=9), 0.1)
        assert not registry.get("a-1").accepts_requests
        assert registry.list_leaving() == [LeavingServer("a-1", 1_000)]

    def test_address_taken_by_another_server_is_not_barred(self):
        registry, _ = create_registry()
        old = announcement("old", address="10.0.0.1:80")
        registry.apply_announcement(old, 0.0)
        registry.mark_leaving(LeavingServer("old", old.incarnation_ms), 0.0)
        new = announcement("new", address="10.0.0.1:80", incarnation_ms=2_000)
        registry.apply_announcement(new, 1.0)
        assert registry.get("new").accepts_requests

    def test_marks_end_with_their_servers(self):
        registry, _ = self.create_leaving()
        departure = Departure("a-1", 1_000, MAX_SEQUENCE, ServerState.GONE)
        assert registry.record_departure(departure, 0.0)
        registry.prune(REMOVE_AFTER_S + 1.0)
        assert registry.list_leaving() == []


class TestDepartures:
    """A departure is kept apart from what else is known of its server."""

    def create_departed(self, state, sequence=5, is_known=False):
        registry, _ = create_registry()
        if is_known:
            registry.apply_announcement(announcement(sequence=sequence - 1), 0.0)
        departure = Departure("a-1", 1_000, sequence, state)
        assert registry.record_departure(departure, 0.0)
        return registry

    @pytest.mark.parametrize("is_known", [False, True])
    @pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
    def test_late_announcement_restores_the_server(self, state, is_known):
        registry = self.create_departed(state, is_known=is_known)
        registry.apply_announcement(announcement(sequence=5), 3.0)
        entry = registry.get("a-1")
        assert entry is None or not entry.accepts_requests

    def test_earlier_incarnation_is_restored(self):
        registry = self.create_departed(ServerState.DRAINING)
        assert not registry.apply_announcement(announcement(incarnation_ms=900), 1.0)

    @pytest.mark.parametrize("is_known", [False, True])
    def test_server_is_ready_again_after_a_later_announcement(self, is_known):
        registry = self.create_departed(ServerState.DRAINING, is_known=is_known)
        assert registry.apply_announcement(announcement(sequence=6), 1.0)
        assert registry.get("a-1").accepts_requests

    def test_nothing_restores_an_incarnation_that_is_gone(self):
        registry = self.create_departed(ServerState.GONE)
        assert not registry.apply_announcement(announcement(sequence=60), 1.0)

    @pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
    def test_next_incarnation_accepts_requests(self, state):
        registry = self.create_departed(state)
        assert registry.apply_announcement(announcement(incarnation_ms=2_000), 1.0)
        assert registry.get("a-1").accepts_requests
        assert registry.list_departures() == []

    def test_gone_counts_more_than_draining(self):
        registry = self.create_departed(ServerState.GONE)
        draining = Departure("a-1", 1_000, 9, ServerState.DRAINING)
        assert not registry.record_departure(draining, 1.0)

    def test_departure_ends_when_no_announcement_is_in_transit(self):
        registry = self.create_departed(ServerState.GONE)
        registry.prune(REMOVE_AFTER_S - 1.0)
        assert registry.list_departures()
        registry.prune(REMOVE_AFTER_S + 1.0)
        assert registry.list_departures() == []


class TestEvacuatedZones:
    def test_servers_accept_nothing_whenever_they_announce_themselves(self):
        registry, changed = create_registry()
        registry.apply_announcement(announcement("known", zone="b"), 0.0)
        registry.set_evacuated_zones(["b"], 1.0)
        registry.apply_announcement(announcement("known", zone="b", sequence=9), 2.0)
        registry.apply_announcement(
            announcement("new", zone="b", address="10.0.0.9:80"), 2.0
        )
        assert not registry.get("known").accepts_requests
        assert not registry.get("new").accepts_requests
        assert [entry.is_evacuated for entry in changed] == [False, True, True]

    def test_departed_server_is_not_restored_as_its_zone_is_taken_back(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(zone="b"), 0.0)
        registry.set_evacuated_zones(["b"], 1.0)
        departure = Departure("a-1", 1_000, MAX_SEQUENCE, ServerState.GONE)
        assert registry.record_departure(departure, 0.0)
        registry.set_evacuated_zones([], 2.0)
        assert not registry.get("a-1").accepts_requests

    def test_other_zones_are_not_published_again(self):
        registry, changed = create_registry()
        registry.apply_announcement(announcement(zone="a"), 0.0)
        changed.clear()
        registry.set_evacuated_zones(["b"], 1.0)
        registry.set_evacuated_zones(["b"], 2.0)
        registry.set_evacuated_zones([], 3.0)
        assert changed == []

    def test_servers_taken_back_count_as_cold_whatever_they_announce(self):
        registry = Registry(INTERVAL_S, lambda entry: None, {"stock": 3.0}.get)
        registry.set_services(["stock"])
        registry.apply_announcement(announcement(zone="b", service="stock"), 0.0)
        registry.set_evacuated_zones(["b"], 1.0)
        registry.set_evacuated_zones([], 10.0)
        assert registry.get("a-1").warm_up_ends_at == 13.0
        later = announcement(zone="b", service="stock", sequence=9)
        registry.apply_announcement(later, 11.0)
        assert registry.get("a-1").warm_up_ends_at == 13.0


class TestOrderOfEvacuations:
    def test_host_whose_log_lags_does_not_take_a_zone_back(self):
        registry, _ = create_registry()
        registry.apply_announcement(announcement(zone="b"), 0.0)
        evacuated = EvacuatedZones(registry)
        assert evacuated.merge(7, ["b"], 1.0)
        assert not evacuated.merge(5, [], 2.0)
        assert not evacuated.merge(7, [], 2.0)
        assert not registry.get("a-1").accepts_requests
        assert evacuated.merge(8, [], 3.0)
        assert registry.get("a-1").accepts_requests
