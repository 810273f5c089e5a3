"""One attempt on the wire, from an entry host to a server or another host."""

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
    """A call that an entry host sent and waits for.

    Attributes:
        on_end: Called once, at the sender, with the result.
        cancel: Stops the call at the receiver.
    """

    call: StageCall
    server_id: str
    started: float
    on_end: Callable[[Attempt, AttemptResult], None]
    cancel: Callable[[], None] | None = None
    answered: bool = False
    ended: bool = False


class Wire:
    """Sends attempts from one zone and brings their results back."""

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
        back = (server.zone, self._zone)
        server_call = ServerCall(
            key=attempt.call.key,
            priority=request.priority,
            input_tokens=request.input_tokens,
            output_tokens=arrival.output_tokens,
            prefix_hashes=request.prefix_hashes,
            work=arrival.work_by_stage.get(stage, 0.0),
            on_first_byte=lambda: self._network.send(*back, self._answer, attempt),
            on_end=lambda r: self._network.send(*back, self.end, attempt, r),
        )
        attempt.cancel = lambda: self._network.send(
            self._zone, server.zone, server.cancel, server_call
        )
        self.send(attempt, server.zone, timeout_s, server.accept, server_call)

    def send(
        self,
        attempt: Attempt,
        zone: str,
        timeout_s: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        """Send an attempt, or fail it when no connection can be made."""
        if not self._network.send(self._zone, zone, action, *args):
            result = AttemptResult(Outcome.NOT_RUN, 0.0)
            self._clock.after(_CONNECT_TIMEOUT_S, self.end, attempt, result)
            return
        self._clock.after(timeout_s, self._check_first_byte, attempt)

    def message(self, zone: str, action: Callable[..., None], *args: object) -> None:
        """Send a message that nothing waits for."""
        self._network.send(self._zone, zone, action, *args)

    def reply(
        self, zone: str, attempt: Attempt, result: AttemptResult, sender: str
    ) -> None:
        """Bring a result back from ``sender`` to the zone of the attempt."""
        self._network.send(sender, zone, self.end, attempt, result)

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt; the first end counts."""
        if attempt.ended:
            return
        attempt.ended = True
        service_s = self._clock.now - attempt.started
        attempt.on_end(attempt, replace(result, service_s=service_s))

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt at the receiver and end it here."""
        if attempt.ended:
            return
        if attempt.cancel is not None:
            attempt.cancel()
        self.end(attempt, AttemptResult(outcome, 0.0))

    def _answer(self, attempt: Attempt) -> None:
        attempt.answered = True

    def _check_first_byte(self, attempt: Attempt) -> None:
        if not attempt.answered:
            self.abandon(attempt, Outcome.UNKNOWN)
