"""Merging announcements of backend servers."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.directory.registry import FORGET_AFTER_S, Registry
from galenadrum._internal.models.announcements import Farewell, ServerState
from lib.routing_values import announcement

INTERVAL_S = 1.0


def registry():
    changed = []
    return Registry(INTERVAL_S, changed.append), changed


class TestOrder:
    def test_older_sequence_changes_nothing(self):
        known, _ = registry()
        known.announce(announcement(sequence=5, state=ServerState.DRAINING), 0.0)
        assert not known.announce(announcement(sequence=4), 0.1)
        assert not known.get("a-1").takes_work

    def test_new_incarnation_starts_its_sequence_anew(self):
        known, _ = registry()
        known.announce(announcement(sequence=50), 0.0)
        known.announce(announcement(incarnation_ms=2_000, sequence=1), 1.0)
        assert known.get("a-1").announcement.incarnation_ms == 2_000

    def test_late_announcement_of_a_former_incarnation_at_the_address(self):
        known, _ = registry()
        known.announce(announcement("old", address="10.0.0.1:80"), 0.0)
        newer = announcement("new", address="10.0.0.1:80", incarnation_ms=2_000)
        known.announce(newer, 1.0)
        late = announcement("old", address="10.0.0.1:80", sequence=9)
        assert not known.announce(late, 2.0)
        assert known.get("new").takes_work
        assert not known.get("old").takes_work

    def test_server_that_left_does_not_come_back(self):
        known, _ = registry()
        known.announce(announcement(sequence=5), 0.0)
        known.leave(Farewell("a-1", 1_000))
        assert not known.announce(announcement(sequence=6), 0.1)
        assert known.get("a-1").announcement.state is ServerState.GONE

    def test_farewell_of_a_former_incarnation_changes_nothing(self):
        known, _ = registry()
        known.announce(announcement(incarnation_ms=2_000), 0.0)
        assert not known.leave(Farewell("a-1", 1_000))
        assert known.get("a-1").takes_work

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
        """Each id at its own address: the newest of each is what is known."""
        shuffled = list(rows)
        random.Random(seed).shuffle(shuffled)
        views = []
        for order in (rows, shuffled):
            known, _ = registry()
            for server_id, incarnation, sequence, state in order:
                known.announce(
                    announcement(
                        server_id,
                        address=f"10.0.0.{ord(server_id)}:80",
                        incarnation_ms=incarnation,
                        sequence=sequence,
                        state=state,
                    ),
                    0.0,
                )
            views.append({e.server_id: e.announcement for e in known})
        assert views[0] == views[1]
        for server_id, held in views[0].items():
            newest = max(r[1:3] for r in rows if r[0] == server_id)
            assert held.order == newest


class TestSilence:
    def test_server_is_silent_after_missed_announcements(self):
        known, changed = registry()
        known.announce(announcement(), 0.0)
        known.expire(3.0)
        assert not known.get("a-1").is_silent
        known.expire(3.6)
        assert known.get("a-1").is_silent
        assert len(changed) == 2

    def test_renewal_by_another_host_keeps_it(self):
        known, _ = registry()
        known.announce(announcement(), 0.0)
        known.renew(["a-1"], 3.0, 0.5)
        known.expire(4.0)
        assert not known.get("a-1").is_silent

    def test_renewal_that_is_too_old_does_not_bring_it_back(self):
        known, _ = registry()
        known.announce(announcement(), 0.0)
        known.expire(4.0)
        known.renew(["a-1"], 10.0, 9.0)
        assert known.get("a-1").is_silent

    def test_announcement_ends_the_silence(self):
        known, _ = registry()
        known.announce(announcement(), 0.0)
        known.expire(4.0)
        known.announce(announcement(sequence=2), 5.0)
        assert not known.get("a-1").is_silent

    def test_unchanged_renewals_are_no_change(self):
        known, changed = registry()
        for sequence in range(1, 10):
            known.announce(announcement(sequence=sequence), sequence * 1.0)
        assert len(changed) == 1

    def test_silent_servers_are_forgotten_in_the_end(self):
        known, _ = registry()
        known.announce(announcement(), 0.0)
        known.expire(10.0)
        assert known.prune(FORGET_AFTER_S - 1) == ()
        assert known.prune(FORGET_AFTER_S + 1) == ("a-1",)
        assert list(itertools.islice(known, 1)) == []
