"""Choice of the next change of members, and joint quorums."""

import pytest

from galenadrum._internal.control.replication.codec import (
    membership_from_bytes,
    membership_to_bytes,
)
from galenadrum._internal.control.replication.membership import (
    Member,
    Membership,
    change_voters,
    complete_change,
    next_change,
)


def group(voters, learners=(), **replaced_id_by_id):
    members = [
        Member(
            name,
            f"{name}:1",
            f"disk-{name}",
            voter=name in voters,
            replaces=replaced_id_by_id.get(name, ""),
        )
        for name in (*voters, *learners)
    ]
    return Membership(tuple(members))


def disks(*names):
    return {name: f"disk-{name}" for name in names}


class TestJointQuorum:
    def test_majorities_before_and_after_the_change_are_needed(self):
        joint = change_voters(group("abc", "d"), disks("d"), {"c"})
        assert joint.is_quorum("ab")
        assert not joint.is_quorum("ac")
        assert not joint.is_quorum("bd") and not joint.is_quorum("ad")
        assert joint.quorum_value({"a": 9, "b": 4, "c": 9, "d": 9}) == 9
        assert joint.quorum_value({"a": 9, "b": 4, "d": 9}) == 4
        assert complete_change(joint).is_quorum("bd")

    def test_open_change_survives_storage(self):
        joint = change_voters(group("abc", "d"), disks("d"), {"c"})
        assert membership_from_bytes(membership_to_bytes(joint)) == joint

    def test_single_promotion_opens_no_change(self):
        assert not change_voters(group("ab", "c"), disks("c")).is_joint


class TestNextChange:
    def change(self, membership, caught_up, lost=()):
        changed = next_change(membership, disks(*caught_up), set(lost))
        return changed and "".join(sorted(changed.incoming_voter_ids()))

    def test_lost_voter_is_demoted_for_a_standby_and_kept(self):
        changed = next_change(group("abc", "d"), disks("d"), {"c"})
        assert changed.outgoing_voter_ids == ("a", "b", "c")
        assert changed.incoming_voter_ids() == set("abd")
        assert not changed.get("c").voter

    def test_newcomer_stands_by_while_an_odd_number_of_voters_answers(self):
        assert self.change(group("abc", "d"), "d") is None
        assert self.change(group("abc", "de"), "de") == "abcde"
        assert self.change(group("ab", "c"), "c") == "abc"

    def test_standby_that_lacks_entries_or_is_lost_is_not_promoted(self):
        assert self.change(group("abc", "d"), "", lost="c") is None
        assert self.change(group("abc", "d"), "d", lost="cd") is None

    def test_member_with_a_new_disk_takes_the_place_of_its_former_self(self):
        membership = group("abc", "n", n="c")
        assert self.change(membership, "n") == "abn"
        assert self.change(membership, "") is None

    @pytest.mark.parametrize(
        "membership", [group("abd", "cn", n="c"), group("abdn", "c", n="c")]
    )
    def test_replaced_learner_is_removed(self, membership):
        assert next_change(membership, {}, ()).get("c") is None

    def test_replaced_voter_of_an_older_build_is_removed(self):
        assert self.change(group("abcn", n="c"), "") == "abn"

    def test_open_change_is_completed_first(self):
        joint = change_voters(group("abc", "d"), disks("d"), {"c"})
        assert next_change(joint, disks("c"), {"a"}) == complete_change(joint)
