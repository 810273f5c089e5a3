"""How a control host that doesn't lead names the one that does."""

from __future__ import annotations

from grpclib.const import Status
from grpclib.exceptions import GRPCError

_PREFIX = "not the leader; leader="


def redirect_error(leader_address: str | None) -> GRPCError:
    """Return the error that sends a client to the leader, if it is known."""
    return GRPCError(Status.FAILED_PRECONDITION, _PREFIX + (leader_address or ""))


def is_redirect(error: GRPCError) -> bool:
    """Say whether the call certainly did nothing because of its receiver."""
    message = error.message or ""
    return error.status is Status.FAILED_PRECONDITION and message.startswith(_PREFIX)


def leader_address_of(error: GRPCError) -> str | None:
    """Return the leader's peer address from a redirect, if it is known."""
    if not is_redirect(error):
        return None
    return (error.message or "").removeprefix(_PREFIX) or None
