"""Submits orders to evacuate availability zones from any control host."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from galenadrum._internal.configuration.state import (
    encode_evacuation_command,
    was_accepted,
)
from galenadrum._internal.control.replication.driver import ReplicatedLog
from galenadrum._internal.control.routing.configurations import (
    ACCEPTED,
    BUSY,
    NOT_LEADER,
    UNKNOWN,
    UNSUPPORTED,
    call_leader,
)
from galenadrum._internal.exceptions import (
    LogBusyError,
    NotLeaderError,
    OutcomeUnknownError,
)
from galenadrum._internal.protocol import gateway_pb2 as pb

logger = logging.getLogger(__name__)

# An operator's client sends the order again after one second. Nothing of the former
# call may reach the log after that: it could follow a later order of the operator.
SUBMIT_TIMEOUT_S = 0.85
_RETRY_INTERVAL_S = 0.05

_FINAL_OUTCOMES = (ACCEPTED, UNSUPPORTED)


class EvacuationOrders:
    """Submits evacuation orders to the leader of the log.

    Args:
        log: Returns the log member of this host; None while it isn't running.
        is_supported: Returns whether all linked control hosts keep evacuations.
    """

    def __init__(
        self,
        log: Callable[[], ReplicatedLog | None],
        is_supported: Callable[[], bool],
    ) -> None:
        self._log = log
        self._is_supported = is_supported
        self._loop = asyncio.get_running_loop()

    async def submit(
        self, zone: str, is_active: bool, is_wanted: Callable[[], bool]
    ) -> str:
        """Submit an order to the leader; return an outcome constant.

        While there is no leader, the order is tried again within the time after which
        an operator's client sends it once more.

        Args:
            zone: The zone.
            is_active: False to withdraw the evacuation.
            is_wanted: Returns whether the operator's client still waits.
        """
        give_up_at = self._loop.time() + SUBMIT_TIMEOUT_S
        outcome = UNKNOWN
        while is_wanted() and (left_s := give_up_at - self._loop.time()) > 0:
            outcome = await self._try_once(zone, is_active, left_s)
            if outcome in _FINAL_OUTCOMES:
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return outcome

    async def _try_once(self, zone: str, is_active: bool, timeout_s: float) -> str:
        response = await self.submit_if_leader(zone, is_active, timeout_s)
        if response.outcome != NOT_LEADER or not response.leader_address:
            return response.outcome
        request = pb.SubmitEvacuationRequest(zone=zone, is_active=is_active)
        response = await call_leader(
            response.leader_address, "SubmitEvacuation", request, timeout_s
        )
        return response.outcome if response is not None else UNKNOWN

    async def submit_if_leader(
        self, zone: str, is_active: bool, timeout_s: float = SUBMIT_TIMEOUT_S
    ) -> pb.SubmitResponse:
        """Submit an order to the log if this host is the leader."""
        log = self._log()
        if log is None:
            return pb.SubmitResponse(outcome=NOT_LEADER)
        if not self._is_supported():
            return pb.SubmitResponse(outcome=UNSUPPORTED)
        command = encode_evacuation_command(zone, is_active, int(time.time() * 1_000))
        try:
            result = await log.propose(command, timeout_s)
        except NotLeaderError as error:
            address = error.leader_address or ""
            return pb.SubmitResponse(outcome=NOT_LEADER, leader_address=address)
        except LogBusyError as error:
            logger.warning("an order for zone %s was rejected: %s", zone, error)
            return pb.SubmitResponse(outcome=BUSY)
        except OutcomeUnknownError as error:
            logger.warning(
                "outcome of an order for zone %s is unknown: %s", zone, error
            )
            return pb.SubmitResponse(outcome=UNKNOWN)
        return pb.SubmitResponse(outcome=ACCEPTED if was_accepted(result) else UNKNOWN)
