"""Attempts sent from an entry host to a backend server or another entry host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from benchmarks.policy.clock import Clock
from benchmarks.policy.network import Network
from benchmarks.policy.servers import Server, ServerCall
from benchmarks.policy.workload import Arrival
from galenadrum._internal.models.requests import AttemptResult, Outcome, StageCall

_CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt whose result the entry host awaits.

    Attributes:
        server_id: Backend server that runs the call; for a forwarded call,
            ``zone/NAME@ADDRESS`` with the receiving zone and the sending host.
        started: Time at which the attempt was sent, in seconds.
        on_end: Called once, at the sender, with the result.
        cancel: Sends a cancellation to the receiver.
        answered: True when the first byte of the reply has arrived.
    """

    call: StageCall
    server_id: str
    started: float
    on_end: Callable[[Attempt, AttemptResult], None]
    cancel: Callable[[], None] | None = None
    answered: bool = False
    ended: bool = False


class AttemptSender:
    """Sends attempts from hosts of one zone and delivers their results."""

    def __init__(self, zone: str, clock: Clock, network: Network) -> None:
        self._zone = zone
        self._clock = clock
        self._network = network

    def send_to_server(
        self, attempt: Attempt, server: Server, arrival: Arrival, timeout_s: float
    ) -> None:
        """Send an attempt to a backend server."""
        request = attempt.call.request
        stage = attempt.call.stage
        reply_zones = (server.zone, self._zone)
        server_call = ServerCall(
            key=attempt.call.key,
            priority=request.priority,
            input_tokens=request.input_tokens,
            output_tokens=arrival.output_tokens,
            prefix_hashes=request.prefix_hashes,
            work_s=arrival.work_by_stage.get(stage, 0.0),
            on_first_byte=lambda: self._network.send(
                *reply_zones, self._record_first_byte, attempt
            ),
            on_end=lambda r: self._network.send(
                *reply_zones, self.end_attempt, attempt, r
            ),
        )
        attempt.cancel = lambda: self._network.send(
            self._zone, server.zone, server.cancel_call, server_call
        )
        self.send(attempt, server.zone, timeout_s, server.accept_call, server_call)

    def send(
        self,
        attempt: Attempt,
        zone: str,
        timeout_s: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        """Send an attempt; end it as not run if the connection times out."""
        if not self._network.send(self._zone, zone, action, *args):
            result = AttemptResult(Outcome.NOT_RUN, 0.0)
            self._clock.after(_CONNECT_TIMEOUT_S, self.end_attempt, attempt, result)
            return
        self._clock.after(timeout_s, self._check_first_byte_timeout, attempt)

    def message(self, zone: str, action: Callable[..., None], *args: object) -> None:
        """Send a message without waiting for a reply."""
        self._network.send(self._zone, zone, action, *args)

    def send_result(
        self, zone: str, attempt: Attempt, result: AttemptResult, sender: str
    ) -> None:
        """Send a result from zone ``sender`` to the attempt's own ``zone``."""
        self._network.send(sender, zone, self.end_attempt, attempt, result)

    def end_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt with a result; later results are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        service_s = self._clock.now - attempt.started
        attempt.on_end(attempt, replace(result, service_s=service_s))

    def cancel_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt at the receiver and end it at the sender."""
        if attempt.ended:
            return
        if attempt.cancel is not None:
            attempt.cancel()
        self.end_attempt(attempt, AttemptResult(outcome, 0.0))

    def _record_first_byte(self, attempt: Attempt) -> None:
        attempt.answered = True

    def _check_first_byte_timeout(self, attempt: Attempt) -> None:
        if not attempt.answered:
            self.cancel_attempt(attempt, Outcome.UNKNOWN)
