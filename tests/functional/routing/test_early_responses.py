"""Servers that respond while the request is still being sent, and break off."""

import asyncio

import pytest

from galenadrum._internal.network.sockets import set_reset_on_close
from lib.cut_off_hosts import cut_off, wait_for_relays
from lib.platform_engine import FakePlatformEngine
from lib.processes import reserve_address
from lib.routing_deployment import run_deployment
from lib.stream_caller import PROMPT_HEADERS

REQUESTS = 6
LONG_BODY = bytes(3 * 1024 * 1024)
PART = b"id: 1\ndata: piece 1\n\n"
STREAM = {"method": b"POST", "headers": PROMPT_HEADERS, "body": LONG_BODY}
PLAIN = {"method": b"POST", "body": LONG_BODY}


class EarlyServer(FakePlatformEngine):
    """Responds to the head of a request with a part of an unframed response.

    Attributes:
        ending: How its connection ends: ``reset``, ``close``, or ``half_close``, which
            ends the response only; the reset follows later.
        delay_s: Time from the part to the end of the connection, in seconds.
        answered: Number of requests that it answered.
    """

    ending = "reset"
    delay_s = 0.01
    answered = 0

    async def start(self):
        host, port = self.address.split(":")
        self._listener = await asyncio.start_server(self._respond_early, host, port)

    def stop(self):
        self._listener.close()

    async def _respond_early(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        # Keeps the rest of the body in the sockets.
        writer.transport.pause_reading()
        self.answered += 1
        request_id = next(
            line.split(b":")[1].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-attempt-id:")
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n\r\n"
            % (request_id, request_id)
            + PART
        )
        if self.ending == "half_close":
            writer.write_eof()
        await asyncio.sleep(self.delay_s)
        set_reset_on_close(writer.get_extra_info("socket"), self.ending != "close")
        writer.transport.abort()


async def send_requests(deployment, path, **more):
    """Return status and body of each response; status 0 if it broke off."""

    async def send():
        try:
            _, status, _, body = await deployment.send_request(path, **more)
        except Exception:
            return 0, b""
        return status, body

    return await asyncio.gather(*(send() for _ in range(REQUESTS)))


def run_early_server(tmp_path, service, path, is_relayed, ending, delay_s, **request):
    """Return the responses that callers get from one early server."""
    answers = []

    async def steps(deployment):
        server = EarlyServer("early", service, reserve_address(), "a")
        server.ending, server.delay_s = ending, delay_s
        deployment.engines["early"] = server
        await server.start()
        deployment._tasks.append(
            asyncio.ensure_future(deployment._announce_repeatedly(server))
        )
        await deployment.wait_ready()
        if is_relayed:
            await wait_for_relays(deployment)
            cut_off(deployment.entry_daemon_by_zone["a"])
        answers.extend(await send_requests(deployment, path, **request))
        assert server.answered > 0

    run_deployment(tmp_path, steps)
    return answers


@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.3])
@pytest.mark.parametrize("ending", ["reset", "close", "half_close"])
@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
class TestResponseBeforeRequest:
    """A part of a response is taken for the whole, as nothing marks its end."""

    @pytest.mark.parametrize("path", ["/stock/x", "/confirm/x"])
    def test_part_of_a_plain_response_is_complete(
        self, path, is_relayed, ending, delay_s, tmp_path
    ):
        answers = run_early_server(
            tmp_path, "plain", path, is_relayed, ending, delay_s, **PLAIN
        )
        assert {status for status, _ in answers} <= {502, 503, 504}

    def test_part_of_a_stream_is_complete(self, is_relayed, ending, delay_s, tmp_path):
        answers = run_early_server(
            tmp_path, "llm", "/plan/x", is_relayed, ending, delay_s, **STREAM
        )
        assert 200 not in {status for status, _ in answers}
