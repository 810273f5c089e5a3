"""Which member of the log is lost for good.

Hosts are replaced by empty ones at other addresses, and nobody says which ones
are gone. A member that answers nothing for longer than any restart takes is
removed while enough others are left; should it come back, it joins anew.
"""

from __future__ import annotations

from collections.abc import Mapping

from galenadrum._internal.control.replication.membership import Member

# Restarts and cuts of single hosts usually end sooner.
LOST_AFTER_S = 10.0
# With fewer voters the loss of one would stop the others.
_MIN_VOTERS = 3


def member_to_remove(
    members: tuple[Member, ...], silences_by_id: Mapping[str, float]
) -> str | None:
    """Return the id of a member that should be removed now.

    Args:
        members: All members, voters or not.
        silences_by_id: Seconds without an answer, as the leader counts them.
    """
    lost = [
        member
        for member in members
        if silences_by_id.get(member.member_id, 0.0) > LOST_AFTER_S
    ]
    learners = [member for member in lost if not member.voter]
    if learners:
        return learners[0].member_id
    voters = [member for member in members if member.voter]
    if not lost or len(voters) <= _MIN_VOTERS:
        return None
    return max(lost, key=lambda m: silences_by_id[m.member_id]).member_id
