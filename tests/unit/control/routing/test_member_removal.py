"""Selection of permanently lost members for removal."""

from galenadrum._internal.control.replication.membership import Member
from galenadrum._internal.control.routing.member_removal import (
    REMOVE_AFTER_SILENCE_S,
    select_member_to_remove,
)

LOST_SILENCE_S = REMOVE_AFTER_SILENCE_S + 1


def members(voters, learners=()):
    return tuple(
        [Member(name, f"{name}:1", "d") for name in voters]
        + [Member(name, f"{name}:1", "d", voter=False) for name in learners]
    )


class TestRemoval:
    def test_no_member_is_removed_while_all_answer(self):
        assert select_member_to_remove(members("abcd"), {"b": 1.0, "c": 0.0}) is None

    def test_lost_voter_is_removed_if_enough_voters_remain(self):
        assert select_member_to_remove(members("abcd"), {"b": LOST_SILENCE_S}) == "b"

    def test_three_voters_are_kept(self):
        assert select_member_to_remove(members("abc"), {"b": LOST_SILENCE_S}) is None

    def test_longest_silent_voter_is_removed_first(self):
        silences = {"b": LOST_SILENCE_S, "c": LOST_SILENCE_S + 5}
        assert select_member_to_remove(members("abcde"), silences) == "c"

    def test_lost_learner_is_always_removed(self):
        assert (
            select_member_to_remove(members("abc", "n"), {"n": LOST_SILENCE_S}) == "n"
        )
