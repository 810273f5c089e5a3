import random

import pytest

from galenadrum._internal.control.replication import messages as m
from galenadrum._internal.control.replication.core import ReplicaCore
from galenadrum._internal.control.replication.entries import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    StoredState,
)
from galenadrum._internal.control.replication.membership import Member, Membership
from galenadrum._internal.control.replication.state import ReplicaOptions
from galenadrum._internal.exceptions import LogBusyError, MembershipError

MEMBERS = Membership(tuple(Member(i, i, f"disk-{i}") for i in "abc"))
OLD_TERM = HardState(1)
START = 100.0
# Long enough for every election deadline after START to have passed.
LATER = START + 10


def core_of(hard_state=OLD_TERM, entries=()):
    stored = StoredState("disk-a", hard_state, None, tuple(entries))
    options = ReplicaOptions(max_uncommitted_bytes=100, max_waiting_reads=1)
    return ReplicaCore("a", stored, MEMBERS, options, random.Random(1), START)


def message(sender, term, body):
    return m.Message(sender, f"disk-{sender}", "a", "disk-a", term, body)


def old_entries(count, term=1):
    return [Entry(i, term, EntryKind.COMMAND, b"old") for i in range(1, count + 1)]


def persists(actions):
    return [a for a in actions if isinstance(a, m.Persist)]


def bodies(actions):
    return [a.message.body for a in actions if isinstance(a, m.Send)]


def sync(core, actions):
    """Confirm what was to be stored, and return what follows."""
    core.persisted(persists(actions)[-1].sequence, LATER)
    return core.collect(LATER)


def led_by_a(entries=()):
    """Return a core that won the election of term 2."""
    core = core_of(entries=entries)
    core.tick(LATER)
    core.collect(LATER)
    core.receive(message("b", 1, m.PreVoteResponse(2, True)), LATER)
    sync(core, core.collect(LATER))
    core.receive(message("b", 2, m.VoteResponse(True)), LATER)
    sync(core, core.collect(LATER))
    assert core.is_leader
    return core


def acknowledge(core, sender, index):
    core.receive(message(sender, 2, m.AppendResponse(True, index, 1)), LATER)


class TestVotes:
    def test_are_stored_before_they_are_given_and_given_once(self):
        core = core_of()
        core.receive(message("b", 2, m.VoteRequest(0, 0)), LATER)
        actions = core.collect(LATER)
        assert bodies(actions) == []
        assert persists(actions)[-1].hard_state == HardState(2, "b")
        assert bodies(sync(core, actions)) == [m.VoteResponse(True)]
        restarted = core_of(persists(actions)[-1].hard_state)
        for candidate, granted in (("c", False), ("b", True)):
            restarted.receive(message(candidate, 2, m.VoteRequest(0, 0)), LATER)
            actions = restarted.collect(LATER)
            answers = bodies(actions) or bodies(sync(restarted, actions))
            assert answers == [m.VoteResponse(granted)]

    def test_candidate_counts_its_own_vote_only_when_it_is_stored(self):
        core = core_of()
        core.tick(LATER)
        core.receive(message("b", 1, m.PreVoteResponse(2, True)), LATER)
        actions = core.collect(LATER)
        core.receive(message("b", 2, m.VoteResponse(True)), LATER)
        assert not core.is_leader
        sync(core, actions)
        assert core.is_leader


class TestCommitment:
    def test_needs_an_entry_of_the_own_term(self):
        core = led_by_a(old_entries(3))
        acknowledge(core, "b", 3)
        assert core.commit_index == 0
        acknowledge(core, "b", 4)
        assert core.commit_index == 4

    def test_does_not_count_what_the_leader_has_not_synced(self):
        core = led_by_a()
        acknowledge(core, "b", 1)
        core.propose(b"new", LATER)
        actions = core.collect(LATER)
        acknowledge(core, "b", 2)
        assert core.commit_index == 1
        sync(core, actions)
        assert core.commit_index == 2

    def test_too_much_that_waits_is_refused(self):
        core = led_by_a()
        core.propose(b"x" * 100, LATER)
        with pytest.raises(LogBusyError, match="100 bytes wait"):
            core.propose(b"x", LATER)
        core.request_read(1, LATER)
        with pytest.raises(LogBusyError, match="1 reads"):
            core.request_read(2, LATER)


class TestFollower:
    def append(self, core, previous, entries, commit_index):
        request = m.AppendRequest(previous, 1, tuple(entries), commit_index, 7)
        core.receive(message("b", 2, request), LATER)
        return core.collect(LATER)

    def test_acknowledges_entries_once_they_are_synced(self):
        core = core_of(HardState(2), old_entries(3))
        new = Entry(4, 2, EntryKind.COMMAND, b"new")
        actions = self.append(core, 3, [new], 0)
        assert bodies(actions) == []
        assert bodies(self.append(core, 3, [], 0)) == [m.AppendResponse(True, 3, 7)]
        assert bodies(sync(core, actions)) == [m.AppendResponse(True, 4, 7)]

    def test_commits_no_more_than_agrees_with_the_leader(self):
        core = core_of(entries=old_entries(3))
        self.append(core, 1, [], 3)
        assert core.commit_index == 1

    def test_marks_entries_that_its_snapshot_replaced_as_void(self):
        snapshot = Snapshot(5, 2, MEMBERS, b"")
        stored = StoredState("disk-a", OLD_TERM, snapshot, tuple(old_entries(7)))
        rng = random.Random(1)
        core = ReplicaCore("a", stored, MEMBERS, ReplicaOptions(), rng, START)
        assert persists(core.collect(LATER))[0].reset
        assert core.status().last_index == 5


class TestMembershipChanges:
    def test_go_one_at_a_time_after_an_entry_of_the_own_term(self):
        core = led_by_a()
        with pytest.raises(MembershipError, match="under way"):
            core.add_member(Member("d", "d"), LATER)
        acknowledge(core, "b", 1)
        core.add_member(Member("d", "d"), LATER)
        with pytest.raises(MembershipError, match="under way"):
            core.add_member(Member("e", "e"), LATER)

    def test_keep_a_quorum_that_answers(self):
        core = led_by_a()
        acknowledge(core, "b", 1)
        with pytest.raises(MembershipError, match="no quorum"):
            core.remove_member("b", LATER)
        core.remove_member("c", LATER)

    def test_do_not_use_an_id_twice(self):
        core = led_by_a()
        acknowledge(core, "b", 1)
        with pytest.raises(MembershipError, match="new member_id"):
            core.add_member(Member("c", "c"), LATER)
