"""gRPC errors that redirect a client to the leading control host."""

from __future__ import annotations

from grpclib.const import Status
from grpclib.exceptions import GRPCError

_MESSAGE_PREFIX = "not the leader; leader="


def build_redirect_error(leader_address: str | None) -> GRPCError:
    """Create the error of a control host that is not the leader.

    Args:
        leader_address: Peer address of the leader; None if it is unknown.
    """
    return GRPCError(
        Status.FAILED_PRECONDITION, _MESSAGE_PREFIX + (leader_address or "")
    )


def is_redirect(error: GRPCError) -> bool:
    """Return whether a call failed because its receiver is not the leader.

    Such a call had no effect.
    """
    message = error.message or ""
    return error.status is Status.FAILED_PRECONDITION and message.startswith(
        _MESSAGE_PREFIX
    )


def get_leader_address(error: GRPCError) -> str | None:
    """Return the leader's peer address from a redirect error, if it has one."""
    if not is_redirect(error):
        return None
    return (error.message or "").removeprefix(_MESSAGE_PREFIX) or None
