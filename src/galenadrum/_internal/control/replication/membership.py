"""Membership of the replicated log and the valid changes to it.

Voters are changed by joint consensus (Ongaro, "Consensus: Bridging Theory and
Practice", 2014, section 4.3): while a change of several voters is open, a quorum of the
voters before and one of the voters after it are needed.

Every data folder has a random disk id. The membership records the disk id of each
voter, so a member that lost its data folder can't be mistaken for the one that
cast votes and acknowledged entries before.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Set
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
        replaces: Id of the member that this one takes the place of, or empty.
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
        outgoing_voter_ids: Voters before the change of voters that is open; empty if
            none is open.
    """

    members: tuple[Member, ...] = ()
    removed_ids: tuple[str, ...] = ()
    cluster_id: str = ""
    outgoing_voter_ids: tuple[str, ...] = ()

    def get(self, member_id: str) -> Member | None:
        """Return the member with an id, or None if there is none."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    @property
    def is_joint(self) -> bool:
        """Whether a change of voters is open."""
        return bool(self.outgoing_voter_ids)

    def incoming_voter_ids(self) -> frozenset[str]:
        """Return the ids of the voters after the open change, if there is one."""
        return frozenset(m.member_id for m in self.members if m.voter)

    def voter_ids(self) -> frozenset[str]:
        """Return the ids of all voters, before and after an open change."""
        return self.incoming_voter_ids() | frozenset(self.outgoing_voter_ids)

    def is_voter(self, member_id: str) -> bool:
        """Return whether a member is a voter, before or after an open change."""
        return member_id in self.voter_ids()

    def is_founding(self) -> bool:
        """Return whether the disk id of any voter is not recorded yet."""
        return any(m.voter and not m.disk_id for m in self.members)

    def _voter_groups(self) -> Iterator[tuple[Set[str], int]]:
        """Yield each group of voters that must agree, and the size of its quorum.

        Until all disk ids are recorded, a voter that lost its data folder can't be
        distinguished from one that never had one, so every voter is required.
        """
        for group in (self.incoming_voter_ids(), frozenset(self.outgoing_voter_ids)):
            if group:
                yield group, len(group) if self.is_founding() else len(group) // 2 + 1

    def is_quorum(self, member_ids: Collection[str]) -> bool:
        """Return whether the given members form a quorum."""
        ids = set(member_ids)
        return bool(self.members) and all(
            len(group & ids) >= size for group, size in self._voter_groups()
        )

    def quorum_value(self, value_by_id: Mapping[str, int]) -> int:
        """Return the largest value that a quorum of voters has reached.

        A voter without a value counts as 0.
        """
        return min(
            sorted((value_by_id.get(v, 0) for v in group), reverse=True)[size - 1]
            for group, size in self._voter_groups()
        )

    def describe(self) -> str:
        """Return the ids of the voters and learners as text for a log line."""
        voters = ",".join(sorted(self.incoming_voter_ids())) or "none"
        learners = ",".join(m.member_id for m in self.members if not m.voter)
        text = f"voters {voters}; learners {learners or 'none'}"
        if self.is_joint:
            text += (
                f"; voters until the change ends {','.join(self.outgoing_voter_ids)}"
            )
        return text

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


def change_voters(
    membership: Membership,
    promoted_disk_ids_by_id: Mapping[str, str],
    demoted_ids: Collection[str] = (),
) -> Membership:
    """Return the membership with learners promoted and voters demoted in one step.

    The change stays open until `complete_change` if more than one voter differs.
    Otherwise each quorum before the change shares a member with each one after it.
    """
    members = tuple(
        replace(m, voter=True, disk_id=promoted_disk_ids_by_id[m.member_id])
        if m.member_id in promoted_disk_ids_by_id
        else replace(m, voter=m.voter and m.member_id not in demoted_ids)
        for m in membership.members
    )
    outgoing = sorted(membership.incoming_voter_ids())
    is_single = len(promoted_disk_ids_by_id) + len(demoted_ids) == 1
    return replace(
        membership,
        members=members,
        outgoing_voter_ids=() if is_single else tuple(outgoing),
    )


def complete_change(membership: Membership) -> Membership:
    """Return the membership without the voters before the open change."""
    return replace(membership, outgoing_voter_ids=())


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
    membership: Membership,
    caught_up_disk_ids_by_id: Mapping[str, str],
    lost_ids: Collection[str],
) -> Membership | None:
    """Return the membership after the next pending change.

    A learner takes the place of the voter that it replaces, or of a lost one, in one
    step: a voter more would raise the quorum while the lost one still counts. A voter
    that was lost is demoted, not removed, so that it may return. Further learners are
    promoted only up to an odd number of voters; an even one tolerates no more losses.
    The learner that is left over stands by.

    Args:
        membership: The latest membership, which must be committed.
        caught_up_disk_ids_by_id: Disk ids of the learners that answer and have synced
            all committed entries.
        lost_ids: Ids of members that don't answer or are leaving.

    Returns:
        The changed membership, or None if no change is pending.
    """
    if membership.is_joint:
        return complete_change(membership)
    voter_ids = membership.incoming_voter_ids()
    for member in membership.members:
        if not membership.get(member.replaces):
            continue
        if member.voter or member.replaces not in voter_ids:
            return remove_member(membership, member.replaces)
    standbys = {
        member.member_id: caught_up_disk_ids_by_id[member.member_id]
        for member in membership.members
        if not member.voter
        and caught_up_disk_ids_by_id.get(member.member_id)
        and member.member_id not in lost_ids
    }
    for member_id, disk_id in standbys.items():
        replaced_id = membership.get(member_id).replaces
        if replaced_id in voter_ids:
            return change_voters(membership, {member_id: disk_id}, {replaced_id})
    lost_voter_ids = sorted(voter_ids.intersection(lost_ids))
    if lost_voter_ids and standbys:
        member_id = min(standbys)
        promoted = {member_id: standbys[member_id]}
        return change_voters(membership, promoted, lost_voter_ids[:1])
    missing = 1 if len(voter_ids) % 2 == 0 else 2
    if not lost_voter_ids and len(standbys) >= missing:
        promoted = dict(sorted(standbys.items())[:missing])
        return change_voters(membership, promoted)
    return None
