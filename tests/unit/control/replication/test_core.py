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
# After every election deadline that was set at START.
LATER = START + 10


def make_core(hard_state=OLD_TERM, entries=()):
    stored = StoredState("disk-a", hard_state, None, tuple(entries))
    options = ReplicaOptions(max_uncommitted_bytes=100, max_waiting_reads=1)
    return ReplicaCore("a", stored, MEMBERS, options, random.Random(1), START)


def message(sender, term, body):
    return m.Message(sender, f"disk-{sender}", "a", "disk-a", term, body)


def make_old_entries(count, term=1):
    return [Entry(i, term, EntryKind.COMMAND, b"old") for i in range(1, count + 1)]


def persist_actions(actions):
    return [a for a in actions if isinstance(a, m.Persist)]


def sent_bodies(actions):
    return [a.message.body for a in actions if isinstance(a, m.Send)]


def sync_last_persist(core, actions):
    """Report the last `Persist` action as synced and return the next actions."""
    core.record_synced(persist_actions(actions)[-1].sequence, LATER)
    return core.collect_actions(LATER)


def make_leader_core(entries=()):
    """Return the core of member a, which has won the election of term 2."""
    core = make_core(entries=entries)
    core.tick(LATER)
    core.collect_actions(LATER)
    core.receive(message("b", 1, m.PreVoteResponse(2, True)), LATER)
    sync_last_persist(core, core.collect_actions(LATER))
    core.receive(message("b", 2, m.VoteResponse(True)), LATER)
    sync_last_persist(core, core.collect_actions(LATER))
    assert core.is_leader
    return core


def acknowledge(core, sender, index):
    core.receive(message(sender, 2, m.AppendResponse(True, index, 1)), LATER)


class TestVotes:
    def test_vote_is_persisted_before_it_is_sent_and_granted_once_per_term(self):
        core = make_core()
        core.receive(message("b", 2, m.VoteRequest(0, 0)), LATER)
        actions = core.collect_actions(LATER)
        assert sent_bodies(actions) == []
        assert persist_actions(actions)[-1].hard_state == HardState(2, "b")
        assert sent_bodies(sync_last_persist(core, actions)) == [m.VoteResponse(True)]
        restarted = make_core(persist_actions(actions)[-1].hard_state)
        for candidate, granted in (("c", False), ("b", True)):
            restarted.receive(message(candidate, 2, m.VoteRequest(0, 0)), LATER)
            actions = restarted.collect_actions(LATER)
            answers = sent_bodies(actions) or sent_bodies(
                sync_last_persist(restarted, actions)
            )
            assert answers == [m.VoteResponse(granted)]

    def test_candidate_counts_its_own_vote_only_after_it_is_synced(self):
        core = make_core()
        core.tick(LATER)
        core.receive(message("b", 1, m.PreVoteResponse(2, True)), LATER)
        actions = core.collect_actions(LATER)
        core.receive(message("b", 2, m.VoteResponse(True)), LATER)
        assert not core.is_leader
        sync_last_persist(core, actions)
        assert core.is_leader


class TestCommitment:
    def test_requires_an_entry_of_the_current_term(self):
        core = make_leader_core(make_old_entries(3))
        acknowledge(core, "b", 3)
        assert core.commit_index == 0
        acknowledge(core, "b", 4)
        assert core.commit_index == 4

    def test_excludes_entries_that_the_leader_has_not_synced(self):
        core = make_leader_core()
        acknowledge(core, "b", 1)
        core.propose(b"new", LATER)
        actions = core.collect_actions(LATER)
        acknowledge(core, "b", 2)
        assert core.commit_index == 1
        sync_last_persist(core, actions)
        assert core.commit_index == 2

    def test_commands_and_reads_over_the_limits_are_refused(self):
        core = make_leader_core()
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
        return core.collect_actions(LATER)

    def test_acknowledges_entries_only_after_they_are_synced(self):
        core = make_core(HardState(2), make_old_entries(3))
        new = Entry(4, 2, EntryKind.COMMAND, b"new")
        actions = self.append(core, 3, [new], 0)
        assert sent_bodies(actions) == []
        assert sent_bodies(self.append(core, 3, [], 0)) == [
            m.AppendResponse(True, 3, 7)
        ]
        assert sent_bodies(sync_last_persist(core, actions)) == [
            m.AppendResponse(True, 4, 7)
        ]

    def test_commits_only_entries_verified_to_match_the_leader(self):
        core = make_core(entries=make_old_entries(3))
        self.append(core, 1, [], 3)
        assert core.commit_index == 1

    def test_voids_stored_entries_that_conflict_with_its_snapshot(self):
        snapshot = Snapshot(5, 2, MEMBERS, b"")
        stored = StoredState("disk-a", OLD_TERM, snapshot, tuple(make_old_entries(7)))
        rng = random.Random(1)
        core = ReplicaCore("a", stored, MEMBERS, ReplicaOptions(), rng, START)
        assert persist_actions(core.collect_actions(LATER))[0].reset
        assert core.status().last_index == 5


class TestMembershipChanges:
    def test_require_a_committed_entry_of_the_term_and_no_other_change(self):
        core = make_leader_core()
        with pytest.raises(MembershipError, match="under way"):
            core.add_member(Member("d", "d"), LATER)
        acknowledge(core, "b", 1)
        core.add_member(Member("d", "d"), LATER)
        with pytest.raises(MembershipError, match="under way"):
            core.add_member(Member("e", "e"), LATER)

    def test_removal_that_leaves_no_responsive_quorum_is_refused(self):
        core = make_leader_core()
        acknowledge(core, "b", 1)
        with pytest.raises(MembershipError, match="no quorum"):
            core.remove_member("b", LATER)
        core.remove_member("c", LATER)

    def test_adding_an_existing_member_id_is_refused(self):
        core = make_leader_core()
        acknowledge(core, "b", 1)
        with pytest.raises(MembershipError, match="new member_id"):
            core.add_member(Member("c", "c"), LATER)
