"""Membership of the replicated log and the valid changes to it.

Every data folder has a random disk id. The membership records the disk id of each
voter, so a member that lost its data folder can't be mistaken for the one that
cast votes and acknowledged entries before.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from galenadrum._internal.exceptions import MembershipError

_MAX_REMOVED_IDS = 4_096
_MAX_MEMBERS = 16


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the log.

    Attributes:
        address: IP address and port at which the other members connect.
        disk_id: Random id of its data folder; empty until it is recorded.
        voter: True for a voter, False for a learner, which only receives entries.
        replaces: Id of the member to remove once this one is a voter, or empty.
    """

    member_id: str
    address: str
    disk_id: str = ""
    voter: bool = True
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class Membership:
    """Members of the cluster at one index of the log.

    Attributes:
        removed_ids: Ids of removed members; they can't be reused.
        cluster_id: Random id that the first leader generated.
    """

    members: tuple[Member, ...] = ()
    removed_ids: tuple[str, ...] = ()
    cluster_id: str = ""

    def get(self, member_id: str) -> Member | None:
        """Return the member with an id, or None if there is none."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def voter_ids(self) -> frozenset[str]:
        """Return the ids of all voters."""
        return frozenset(m.member_id for m in self.members if m.voter)

    def is_voter(self, member_id: str) -> bool:
        """Return whether a member exists and is a voter."""
        member = self.get(member_id)
        return member is not None and member.voter

    def is_founding(self) -> bool:
        """Return whether the disk id of any voter is not recorded yet."""
        return any(m.voter and not m.disk_id for m in self.members)

    def quorum_size(self) -> int:
        """Return the number of voters that form a quorum.

        Until all disk ids are recorded, a voter that lost its data folder can't be
        distinguished from one that never had one, so every voter is required.
        """
        voters = len(self.voter_ids())
        return voters if self.is_founding() else voters // 2 + 1

    def is_quorum(self, member_ids: Collection[str]) -> bool:
        """Return whether the given members form a quorum."""
        voters = self.voter_ids()
        return bool(voters) and len(voters & set(member_ids)) >= self.quorum_size()

    def describe(self) -> str:
        """Return the ids of the voters and learners as text for a log line."""
        voters = ",".join(sorted(self.voter_ids())) or "none"
        learners = ",".join(m.member_id for m in self.members if not m.voter)
        return f"voters {voters}; learners {learners or 'none'}"

    def accepts_disk(self, member_id: str, disk_id: str) -> bool:
        """Return whether a disk id is valid for a member.

        Any disk id is valid if the member is unknown or has none recorded.
        """
        member = self.get(member_id)
        return member is None or member.disk_id in ("", disk_id)


def record_founding_disks(
    membership: Membership, disk_ids_by_member_id: Mapping[str, str], cluster_id: str
) -> Membership:
    """Return the founding membership with the disk ids and the cluster id set."""
    members = tuple(
        replace(member, disk_id=disk_ids_by_member_id[member.member_id])
        for member in membership.members
    )
    return replace(membership, members=members, cluster_id=cluster_id)


def add_learner(membership: Membership, member: Member) -> Membership:
    """Return the membership with a learner added.

    Raises:
        MembershipError: When the id was used before, the member to replace doesn't
            exist or there are too many members.
    """
    if member.member_id in membership.removed_ids:
        raise MembershipError(
            f"member {member.member_id} was removed; start it with an empty data "
            "folder under a new member_id"
        )
    if membership.get(member.member_id) is not None:
        raise MembershipError(
            f"member {member.member_id} exists already; a host that lost its disk "
            "needs a new member_id"
        )
    if len(membership.members) >= _MAX_MEMBERS:
        raise MembershipError(f"there are {_MAX_MEMBERS} members already")
    if member.replaces and membership.get(member.replaces) is None:
        raise MembershipError(f"there is no member {member.replaces} to replace")
    learner = replace(member, voter=False)
    return replace(membership, members=(*membership.members, learner))


def promote_learner(membership: Membership, member_id: str, disk_id: str) -> Membership:
    """Return the membership with a learner promoted to voter."""
    members = tuple(
        replace(m, voter=True, disk_id=disk_id) if m.member_id == member_id else m
        for m in membership.members
    )
    return replace(membership, members=members)


def remove_member(membership: Membership, member_id: str) -> Membership:
    """Return the membership with a member removed.

    Raises:
        MembershipError: When the member doesn't exist or is the last voter.
    """
    if membership.get(member_id) is None:
        raise MembershipError(f"there is no member {member_id}")
    if membership.voter_ids() == {member_id}:
        raise MembershipError(f"member {member_id} is the last voter")
    members = tuple(m for m in membership.members if m.member_id != member_id)
    removed = (*membership.removed_ids, member_id)[-_MAX_REMOVED_IDS:]
    return replace(membership, members=members, removed_ids=removed)


def next_change(
    membership: Membership, caught_up_disk_ids_by_id: Mapping[str, str]
) -> Membership | None:
    """Return the membership after the next pending single-member change.

    A learner is promoted before the member that it replaces is removed, so that a
    disk loss in between leaves a quorum while both are alive.

    Args:
        membership: The latest membership, which must be committed.
        caught_up_disk_ids_by_id: Disk ids of the members that have synced all
            committed entries.

    Returns:
        The changed membership, or None if no change is pending.
    """
    for member in membership.members:
        if member.voter and member.replaces and membership.get(member.replaces):
            return remove_member(membership, member.replaces)
    for member in membership.members:
        disk_id = caught_up_disk_ids_by_id.get(member.member_id)
        if not member.voter and disk_id:
            return promote_learner(membership, member.member_id, disk_id)
    return None
