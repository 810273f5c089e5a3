"""Selects members of the log to remove because they are permanently lost.

A lost host is replaced by an empty one at another address, and no operator reports
which host is gone. A member that has not answered for longer than a restart takes is
therefore removed while enough voters remain; if it returns, it joins as a new member.
"""

from __future__ import annotations

from collections.abc import Mapping

from galenadrum._internal.control.replication.membership import Member

# Restarts and network partitions of single hosts usually end sooner.
REMOVE_AFTER_SILENCE_S = 10.0
# With fewer voters, losing one more would cost the quorum.
_MIN_VOTERS = 3


def select_member_to_remove(
    members: tuple[Member, ...], silences_by_id: Mapping[str, float]
) -> str | None:
    """Return the id of the member to remove now; None if there is none.

    Args:
        members: All members, voters and learners.
        silences_by_id: Seconds without an answer to the leader, by member id.
    """
    lost = [
        member
        for member in members
        if silences_by_id.get(member.member_id, 0.0) > REMOVE_AFTER_SILENCE_S
    ]
    learners = [member for member in lost if not member.voter]
    if learners:
        return learners[0].member_id
    voters = [member for member in members if member.voter]
    if not lost or len(voters) <= _MIN_VOTERS:
        return None
    return max(lost, key=lambda m: silences_by_id[m.member_id]).member_id
