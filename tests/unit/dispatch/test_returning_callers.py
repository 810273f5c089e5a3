"""Callers that come back after a refusal, at hosts that each see few requests."""

from dataclasses import replace

from galenadrum._internal.dispatch.returning_callers import ReturningCallers
from galenadrum._internal.gateway.link_codec import (
    RemotePlacementRequest,
    encode_request,
)
from galenadrum._internal.models.routing import RouteStage
from lib.dispatch_simulation import DispatchSimulation
from lib.routing_values import entry, request, services

DEADLINE_S = 6.0
STAGES = (RouteStage("encode", (), 1_000.0),)


def send(number, now, came_before_s=0.0):
    """Return the request of a caller as a host sends it that knows no deadlines."""
    return request(
        f"r{number}",
        (2,),
        now,
        STAGES,
        objective_at=now + 1.0,
        give_up_at=now + DEADLINE_S - came_before_s,
        deadline_s=DEADLINE_S - came_before_s,
    )


class TestRecognition:
    def test_shorter_deadline_is_one_of_a_returning_caller(self):
        callers = ReturningCallers()
        for number in range(3):
            assert not callers.recognise(send(number, 0.0)).is_returning
        returning = callers.recognise(send(9, 2.0, came_before_s=1.5))
        assert returning.is_returning
        assert returning.objective_at == 3.0 - 1.5

    def test_host_that_knows_is_believed(self):
        callers = ReturningCallers()
        known = replace(send(1, 0.0), is_returning=True, objective_at=0.2)
        assert callers.recognise(known) == known

    def test_resumed_request_is_neither_counted_nor_changed(self):
        callers = ReturningCallers()
        resumed = replace(send(1, 0.0, came_before_s=2.0), is_resumed=True)
        for _ in range(5):
            assert callers.recognise(resumed) == resumed
        assert not callers.recognise(send(2, 0.0)).is_returning

    def test_request_without_a_deadline_stays_as_it_is(self):
        plain = request()
        assert ReturningCallers().recognise(plain) is plain

    def test_deadline_is_sent_to_the_dispatcher(self):
        sent = send(1, 5.0, came_before_s=1.25)
        message = encode_request(sent, "", 7, 5.0)
        received = RemotePlacementRequest(message.place).resolve(sent.route, 5.0)
        assert received.deadline_s == 4.75


class TestBurstOverManyHosts:
    """Forty requests at once where ten can be in time; the refused come back once."""

    def count_refused_again(self, recognise):
        entries = [
            entry("g-0", "generate", "a", concurrency=64),
            *(entry(f"e-{zone}", "encode", zone) for zone in "abc"),
        ]
        simulation = DispatchSimulation(services(), entries)
        for number in range(40):
            simulation.submit_at(0.0, recognise(send(number, 0.0)))
        for number in range(40):
            # The burst goes on while they return.
            simulation.submit_at(0.6, recognise(send(100 + number, 0.6)))

        def come_back():
            refused = [r for r, (at, _) in simulation.refused_at.items() if at == 0.0]
            for number in range(len(refused)):
                back = recognise(send(200 + number, 0.7, came_before_s=0.7))
                simulation.submit_at(simulation.now, back)

        simulation.schedule_at(0.7, come_back)
        simulation.run(9.0)
        return sum(r.startswith("r2") and len(r) > 3 for r in simulation.refused_at)

    def test_returning_callers_are_served_late_in_place_of_being_refused_again(self):
        taken_for_new = self.count_refused_again(lambda r: r)
        recognised = self.count_refused_again(ReturningCallers().recognise)
        assert taken_for_new >= 15
        assert recognised <= 0.5 * taken_for_new
