"""Members of the log and the changes that may be made to them.

Every data folder has a random disk id. The membership records it for each
voter, so a member that lost its folder can't pass for the one that voted and
acknowledged before.
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
        address: IP number and port for the other members.
        disk_id: Name of its data folder; empty while it is not recorded.
        voter: False while it only receives entries.
        replaces: Member to remove when this one votes, or empty.
    """

    member_id: str
    address: str
    disk_id: str = ""
    voter: bool = True
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class Membership:
    """All members at one point of the log.

    Attributes:
        removed_ids: Former members; their ids are not used again.
        cluster_id: Random name that the first leader gave the cluster.
    """

    members: tuple[Member, ...] = ()
    removed_ids: tuple[str, ...] = ()
    cluster_id: str = ""

    def get(self, member_id: str) -> Member | None:
        """Return the member of that id, if there is one."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def voter_ids(self) -> frozenset[str]:
        """Return the ids of all voters."""
        return frozenset(m.member_id for m in self.members if m.voter)

    def is_voter(self, member_id: str) -> bool:
        """Return whether that member votes and counts."""
        member = self.get(member_id)
        return member is not None and member.voter

    def is_founding(self) -> bool:
        """Return whether the disk of some voter is not recorded yet."""
        return any(m.voter and not m.disk_id for m in self.members)

    def quorum_size(self) -> int:
        """Return how many voters decide.

        As long as disks are not recorded, a voter that lost its folder can't
        be told from one that never had any: all of them are needed.
        """
        voters = len(self.voter_ids())
        return voters if self.is_founding() else voters // 2 + 1

    def is_quorum(self, member_ids: Collection[str]) -> bool:
        """Return whether these members decide together."""
        voters = self.voter_ids()
        return bool(voters) and len(voters & set(member_ids)) >= self.quorum_size()

    def accepts_disk(self, member_id: str, disk_id: str) -> bool:
        """Return whether that disk may speak for that member."""
        member = self.get(member_id)
        return member is None or member.disk_id in ("", disk_id)


def record_founding_disks(
    membership: Membership, disk_ids_by_member_id: Mapping[str, str], cluster_id: str
) -> Membership:
    """Return the founding membership with all disks recorded."""
    members = tuple(
        replace(member, disk_id=disk_ids_by_member_id[member.member_id])
        for member in membership.members
    )
    return replace(membership, members=members, cluster_id=cluster_id)


def add_learner(membership: Membership, member: Member) -> Membership:
    """Return the membership with a member that doesn't vote yet.

    Raises:
        MembershipError: When the id was used before or too many members exist.
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
    """Return the membership in which a learner has become a voter."""
    members = tuple(
        replace(m, voter=True, disk_id=disk_id) if m.member_id == member_id else m
        for m in membership.members
    )
    return replace(membership, members=members)


def remove_member(membership: Membership, member_id: str) -> Membership:
    """Return the membership without a member.

    Raises:
        MembershipError: When there is no such member or it is the last voter.
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
    """Return the next single change on the way to what was asked for.

    A learner is promoted before the member that it replaces goes, so that the
    loss of a disk in between leaves a quorum while both are alive.

    Args:
        membership: The latest membership, committed.
        caught_up_disk_ids_by_id: Disks of the learners that hold, synced,
            all that is committed.
    """
    for member in membership.members:
        if member.voter and member.replaces and membership.get(member.replaces):
            return remove_member(membership, member.replaces)
    for member in membership.members:
        disk_id = caught_up_disk_ids_by_id.get(member.member_id)
        if not member.voter and disk_id:
            return promote_learner(membership, member.member_id, disk_id)
    return None
