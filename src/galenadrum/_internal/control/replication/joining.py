"""Requests of a new member to join a running cluster, and their answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grpclib.client import Channel

from galenadrum._internal.control.replication.core import ReplicaCore
from galenadrum._internal.control.replication.membership import Member
from galenadrum._internal.control.replication.peer_streams import STREAM_ERRORS
from galenadrum._internal.exceptions import (
    MemberRefusedError,
    MembershipError,
    NotLeaderError,
)
from galenadrum._internal.protocol import replication_pb2 as pb
from galenadrum._internal.protocol.replication_grpc import ReplicationStub
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_JOIN_TIMEOUT_S = 1.0
_LEAVE_TIMEOUT_S = 0.5
_MIN_JOIN_DELAY_S = 0.1
# Shorter than `ReplicaOptions.newcomer_wait_s`, for which a leader waits for newcomers.
_MAX_JOIN_DELAY_S = 0.8


def handle_join_request(
    core: ReplicaCore, request: pb.JoinRequest, now: float
) -> pb.JoinResponse:
    """Answer a join request; the leader adds the member as a learner.

    A member that is not the leader returns the leader's address.
    """
    membership = core.membership
    existing = membership.get(request.member_id)
    if existing is not None and existing.disk_id == request.disk_id:
        return pb.JoinResponse(accepted=True)
    if existing is not None and existing.disk_id:
        message = (
            f"member {request.member_id} is known with another data folder; "
            "start it under a new member_id"
        )
        return pb.JoinResponse(refused=True, message=message)
    if request.member_id in membership.removed_ids:
        message = f"member {request.member_id} was removed; use a new member_id"
        return pb.JoinResponse(refused=True, message=message)
    if existing is not None:
        return pb.JoinResponse(accepted=True)
    return _add_learner(core, request, now)


def _add_learner(
    core: ReplicaCore, request: pb.JoinRequest, now: float
) -> pb.JoinResponse:
    replaces = request.replaces or _find_replaced_id(core, request)
    if replaces in core.membership.removed_ids:
        replaces = ""
    member = Member(
        request.member_id, request.address, request.disk_id, False, replaces
    )
    try:
        core.add_member(member, now)
    except NotLeaderError as error:
        return pb.JoinResponse(leader_address=error.leader_address or "")
    except MembershipError as error:
        return pb.JoinResponse(message=str(error))
    return pb.JoinResponse(accepted=True)


def _find_replaced_id(core: ReplicaCore, request: pb.JoinRequest) -> str:
    """Return the id of the member with the same address, or an empty string.

    A new member at the address of an existing one replaces it: the existing one
    lost its disk.
    """
    for member in core.membership.members:
        if member.address == request.address:
            return member.member_id
    return ""


async def join_cluster(
    addresses: tuple[str, ...], request: pb.JoinRequest, is_member: Callable[[], bool]
) -> None:
    """Send join requests, with backoff, until this member is in the cluster.

    All addresses are asked at the same time, so that a host that doesn't answer delays
    nothing, and the leader too once an answer names it.

    Args:
        addresses: Peer addresses of members of the running cluster.
        request: Request that identifies this member.
        is_member: Returns whether the membership includes this member.

    Raises:
        MemberRefusedError: When the cluster permanently refuses this member.
    """
    logger.info(
        "member %s asks to join the cluster through %s",
        request.member_id,
        ", ".join(addresses) or "no address",
    )
    tasks_by_address: dict[str, asyncio.Task[None]] = {}

    def ask(address: str) -> None:
        if address not in tasks_by_address:
            tasks_by_address[address] = asyncio.create_task(
                _ask_repeatedly(address, request, is_member, ask)
            )

    for address in addresses:
        ask(address)
    try:
        while pending := [t for t in tasks_by_address.values() if not t.done()]:
            done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
    finally:
        for task in tasks_by_address.values():
            task.cancel()


async def _ask_repeatedly(
    address: str,
    request: pb.JoinRequest,
    is_member: Callable[[], bool],
    ask_leader: Callable[[str], None],
) -> None:
    delay_s = _MIN_JOIN_DELAY_S
    last_outcome = ""
    while not is_member():
        response = await _send_join_request(address, request)
        if response.refused:
            raise MemberRefusedError(response.message)
        outcome = _describe_outcome(response)
        if outcome != last_outcome:
            last_outcome = outcome
            logger.info("join request to %s: %s", address, outcome)
        if response.leader_address:
            ask_leader(response.leader_address)
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, _MAX_JOIN_DELAY_S)


def _describe_outcome(response: pb.JoinResponse) -> str:
    if response.accepted:
        return "accepted"
    if response.message:
        return f"not added, retrying: {response.message}"
    return f"it doesn't lead, the leader is {response.leader_address or 'unknown'}"


async def _send_join_request(address: str, request: pb.JoinRequest) -> pb.JoinResponse:
    channel = Channel(*split_address(address))
    try:
        return await ReplicationStub(channel).Join(request, timeout=_JOIN_TIMEOUT_S)
    except STREAM_ERRORS as error:
        return pb.JoinResponse(message=f"no answer: {error!r}")
    finally:
        channel.close()


async def send_leave_request(
    address: str, request: pb.LeaveRequest
) -> pb.LeaveResponse | None:
    """Ask a leader to let a standby vote in the sender's place.

    Returns:
        The response; None if there was none.
    """
    channel = Channel(*split_address(address))
    try:
        return await ReplicationStub(channel).Leave(request, timeout=_LEAVE_TIMEOUT_S)
    except STREAM_ERRORS as error:
        logger.info("request to leave sent to %s failed: %r", address, error)
        return None
    finally:
        channel.close()
