"""Requests whose dispatcher is lost, renewed or silent: each gets its final answer."""

import asyncio

import pytest

from galenadrum._internal.gateway.link_codec import encode_request
from galenadrum._internal.protocol.gateway_pb2 import LinkHello, LinkMessage
from lib.cut_off_hosts import cut_off, wait_for_relays
from lib.routing_deployment import configuration, run_deployment
from lib.routing_values import request
from lib.stream_caller import PROMPT_HEADERS

ENGINES = [("g-1", "llm", "a"), ("g-2", "llm", "b")]
REQUESTS = 12
REJECT_AFTER_S = 0.7
TIMEOUT_S = 2.5
FINAL_ANSWER_S = 0.5


def short_timeouts(version=2):
    document = configuration(version)
    for route in document["Routes"]:
        route["TimeoutMs"] = int(TIMEOUT_S * 1_000)
    return document


async def send_stream(deployment, zone):
    """Return the status and the time in seconds of a request's response."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    _, status, _, _ = await deployment.send_request(
        "/note/x",
        zone,
        method=b"POST",
        headers=PROMPT_HEADERS,
        body=b"{}",
        deadline_ms=20_000,
    )
    return status, loop.time() - began_at


def current_dispatcher(deployment):
    """Return the zone of the control host that places the requests."""
    link = deployment.entry_daemon_by_zone["a"].placements._chosen_link
    return link.peer.zone


async def run_requests(deployment, disrupt):
    """Send requests that are turned away after a disruption; return their answers."""
    await deployment.replace_configuration(short_timeouts())
    await deployment.wait_ready(2)
    await send_stream(deployment, "a")
    engine = deployment.engines["g-1"]
    engine.reject_after_s = REJECT_AFTER_S
    engine.to_reject = REQUESTS
    zones = [
        zone for zone in deployment.zones if zone != current_dispatcher(deployment)
    ]
    sent = [
        asyncio.ensure_future(send_stream(deployment, zones[number % len(zones)]))
        for number in range(REQUESTS)
    ]
    await asyncio.sleep(REJECT_AFTER_S / 2)
    await disrupt(current_dispatcher(deployment))
    return await asyncio.gather(*sent)


class TestPlacedRequests:
    """A placed request whose engine turned it away reported to a lost dispatcher."""

    def test_dispatcher_stops_while_requests_are_placed(self, tmp_path):
        async def steps(deployment):
            async def stop(zone):
                await deployment.control_daemon_by_zone[zone].stop()

            answers = await run_requests(deployment, stop)
            assert [s for s, _ in answers].count(200) >= REQUESTS - 2, answers
            assert max(t for _, t in answers) < TIMEOUT_S + FINAL_ANSWER_S

        run_deployment(tmp_path, steps, ENGINES)

    def test_link_is_renewed_while_requests_are_placed(self, tmp_path):
        async def steps(deployment):
            async def reset(zone):
                for link in list(deployment.control_daemon_by_zone[zone].links._links):
                    link.close()

            answers = await run_requests(deployment, reset)
            assert [s for s, _ in answers].count(200) >= REQUESTS - 2, answers
            assert max(t for _, t in answers) < TIMEOUT_S + FINAL_ANSWER_S

        run_deployment(tmp_path, steps, ENGINES)


class TestSilentWaits:
    """Waits for another process that had no limit of their own."""

    def test_dispatcher_never_answers(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(short_timeouts())
            await deployment.wait_ready(2)
            for daemon in deployment.control_daemon_by_zone.values():
                daemon.links._dispatch.submit = lambda *_: None
            answers = await asyncio.gather(
                *(send_stream(deployment, zone) for zone in deployment.zones)
            )
            # Nothing was sent to an engine, so the answer says that nothing has run.
            assert [status for status, _ in answers] == [503] * 3
            assert max(t for _, t in answers) < TIMEOUT_S + FINAL_ANSWER_S

        run_deployment(tmp_path, steps, ENGINES)

    def test_caller_never_reads_its_stream(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(short_timeouts())
            await deployment.wait_ready(2)
            for engine in deployment.engines.values():
                engine.events = 400
            server = deployment.entry_daemon_by_zone["a"]._caller_server
            sent = asyncio.ensure_future(send_stream(deployment, "a"))
            await deployment.wait_until(lambda: server.busy_count)
            (connection,) = server.connections
            # As if the buffer of its socket stayed full.
            connection.pause_writing()
            await asyncio.sleep(TIMEOUT_S + FINAL_ANSWER_S)
            assert not server.busy_count
            sent.cancel()
            await asyncio.gather(sent, return_exceptions=True)

        run_deployment(tmp_path, steps, ENGINES)

    def test_sender_of_a_relayed_request_is_gone_without_a_reset(self, tmp_path):
        async def steps(deployment):
            await wait_for_relays(deployment)
            engines = deployment.engines.values()
            for engine in engines:
                engine.faults.add("hang")
            sender = deployment.entry_daemon_by_zone["a"]
            cut_off(sender)
            sent = asyncio.ensure_future(
                deployment.send_request(
                    "/note/x", method=b"POST", headers=PROMPT_HEADERS, deadline_ms=1_500
                )
            )
            await deployment.wait_until(
                lambda: any(e.run_count_by_request_id for e in engines)
            )
            # Its host neither reads nor closes the connection to the relay any more.
            sender.paths._relay_pool.put = lambda connection: None
            for host in self.list_relays(deployment):
                for connection in host.connections:
                    exchange = connection._current_exchange
                    if exchange is not None:
                        exchange.on_caller_disconnected = lambda: None
            await asyncio.sleep(1.5 + FINAL_ANSWER_S)
            assert any(e.cancelled for e in engines)
            sent.cancel()
            await asyncio.gather(sent, return_exceptions=True)

        run_deployment(tmp_path, steps, ENGINES)

    def list_relays(self, deployment):
        daemons = deployment.entry_daemon_by_zone.values()
        return [daemon._relay_server for daemon in daemons]


class InboundLink:
    """Link of an entry host that records what a control host sends."""

    def __init__(self):
        self.peer = LinkHello()
        self.sent = []
        self.is_closed = False

    def send(self, message):
        self.sent.append(message)

    def close(self):
        self.is_closed = True

    def has_answer(self):
        return any(m.WhichOneof("body") in ("placement", "refusal") for m in self.sent)


class TestRequestSubmittedTwice:
    """The end of a former, silent link dropped what was submitted again since."""

    @pytest.mark.parametrize("host_id", ["entry-x", "entry-y"])
    def test_former_link_ends_after_the_request_was_submitted_again(
        self, host_id, tmp_path
    ):
        async def steps(deployment):
            await deployment.add_engine("e-1", "enc", "a", work_s=0.3)
            await deployment.wait_ready()
            daemon = deployment.control_daemon_by_zone["a"]
            route = daemon._route_table.find_route_by_name("plan")
            now = asyncio.get_running_loop().time()
            placement = request(
                pieces=(2, 1), now=now, route=route, service="llm", stages=()
            )
            message = encode_request(placement, "", 1, now)
            former, latter = InboundLink(), InboundLink()
            for link, sender in ((former, "entry-x"), (latter, host_id)):
                hello = LinkHello(host_id=sender, zone="a")
                daemon.links._handle_message(link, LinkMessage(hello=hello))
                daemon.links._handle_message(link, message)
                await asyncio.sleep(0.05)
            assert former.is_closed is (host_id == "entry-x")
            daemon.links._remove_link(former)
            await asyncio.sleep(1.5)
            assert latter.has_answer()
            assert not former.has_answer()
            daemon.links._remove_link(latter)
            assert not daemon.dispatch.request_count

        run_deployment(tmp_path, steps, ENGINES)
