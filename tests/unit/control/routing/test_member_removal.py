"""Which member of the log counts as lost for good."""

from galenadrum._internal.control.replication.membership import Member
from galenadrum._internal.control.routing.member_removal import (
    LOST_AFTER_S,
    member_to_remove,
)

LOST = LOST_AFTER_S + 1


def members(voters, learners=()):
    return tuple(
        [Member(name, f"{name}:1", "d") for name in voters]
        + [Member(name, f"{name}:1", "d", voter=False) for name in learners]
    )


class TestRemoval:
    def test_nobody_is_lost(self):
        assert member_to_remove(members("abcd"), {"b": 1.0, "c": 0.0}) is None

    def test_lost_member_goes_once_another_has_come(self):
        assert member_to_remove(members("abcd"), {"b": LOST}) == "b"

    def test_three_members_are_kept(self):
        assert member_to_remove(members("abc"), {"b": LOST}) is None

    def test_the_longest_lost_goes_first(self):
        silences = {"b": LOST, "c": LOST + 5}
        assert member_to_remove(members("abcde"), silences) == "c"

    def test_lost_learner_always_goes(self):
        assert member_to_remove(members("abc", "n"), {"n": LOST}) == "n"
