"""How a new member asks to be added to a running cluster."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grpclib.client import Channel

from galenadrum._internal.control.replication.core import ReplicaCore
from galenadrum._internal.control.replication.membership import Member
from galenadrum._internal.control.replication.peers import STREAM_ERRORS
from galenadrum._internal.exceptions import (
    MemberRefusedError,
    MembershipError,
    NotLeaderError,
)
from galenadrum._internal.protocol import replication_pb2 as pb
from galenadrum._internal.protocol.replication_grpc import ReplicationStub
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

_JOIN_TIMEOUT_S = 2.0
_MIN_JOIN_DELAY_S = 0.2
_MAX_JOIN_DELAY_S = 5.0


def answer_join(
    core: ReplicaCore, request: pb.JoinRequest, now: float
) -> pb.JoinResponse:
    """Add the member if this is the leader, or say where the leader is."""
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
    """Return the member whose address the new one has: its disk was lost."""
    for member in core.membership.members:
        if member.address == request.address:
            return member.member_id
    return ""


async def join(
    addresses: tuple[str, ...], request: pb.JoinRequest, is_member: Callable[[], bool]
) -> None:
    """Ask until this member is part of the cluster.

    Args:
        addresses: Peer addresses of members of the running cluster.
        request: What this member says of itself.
        is_member: Whether this member has seen itself in the membership.

    Raises:
        MemberRefusedError: When the cluster will never accept it.
    """
    delay_s = _MIN_JOIN_DELAY_S
    while not is_member():
        candidates = list(addresses)
        for address in candidates:
            response = await _send_join_request(address, request)
            if response.refused:
                raise MemberRefusedError(response.message)
            if response.message:
                logger.info("%s did not add this member: %s", address, response.message)
            leader_address = response.leader_address
            if leader_address and leader_address not in candidates:
                candidates.append(leader_address)
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, _MAX_JOIN_DELAY_S)


async def _send_join_request(address: str, request: pb.JoinRequest) -> pb.JoinResponse:
    host, port = split_address(address)
    channel = Channel(host, port)
    try:
        return await ReplicationStub(channel).Join(request, timeout=_JOIN_TIMEOUT_S)
    except STREAM_ERRORS as error:
        logger.debug("%s did not answer: %r", address, error)
        return pb.JoinResponse()
    finally:
        channel.close()
