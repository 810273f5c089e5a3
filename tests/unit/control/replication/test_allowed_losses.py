"""Seeded runs of the explorer of allowed losses."""

import pytest

from galenadrum._internal.control.replication import leader
from galenadrum._internal.control.replication.core import ReplicaCore
from galenadrum._internal.control.replication.membership import change_voters
from lib.allowed_losses import explore
from lib.log_simulation import Violation


class TestAllowedLosses:
    # Seed 30: a newcomer whose membership was never committed asked no more to join.
    # Seed 1059: a newcomer was removed as silent before it could answer.
    @pytest.mark.parametrize("seed", [*range(32), 1059])
    def test_sequence_of_allowed_losses_leaves_no_leader(self, seed):
        assert explore(seed).losses


class TestExplorerFinds:
    """Each test undoes one rule; some seed must then fail."""

    def assert_found(self, seeds):
        with pytest.raises(Violation):
            for seed in seeds:
                explore(seed)

    def test_lost_voter_that_is_kept_beside_its_successor(self, monkeypatch):
        def promote_beside(membership, caught_up, lost_ids):
            for member in membership.members:
                if not member.voter and caught_up.get(member.member_id):
                    promoted = {member.member_id: caught_up[member.member_id]}
                    return change_voters(membership, promoted)
            return None

        monkeypatch.setattr(leader.membership, "next_change", promote_beside)
        self.assert_found(range(4))

    def test_newcomer_that_trusts_an_uncommitted_membership(self, monkeypatch):
        monkeypatch.setattr(
            ReplicaCore,
            "has_joined",
            lambda self: self.membership.get(self._state.member_id) is not None,
        )
        self.assert_found([30])
