import contextlib
import socket
import threading
import time

import pytest

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from galenadrum._internal.models.requests import Dispatch, Outcome, Request, StageCall
from galenadrum._internal.network.connection_pool import BlockingConnectionPool
from galenadrum._internal.network.stage_client import StageClient
from galenadrum._internal.network.stage_replies import AttemptLimits

LONG_TIMEOUT_S = 30.0


@contextlib.contextmanager
def backend(**options):
    server = BackendServer(
        BackendOptions(
            "backend-1",
            "zone",
            ("generate",),
            frozenset({"generate"}) if options.pop("streams", False) else frozenset(),
            (),
            service_ms=0,
            **options,
        )
    )
    server.start()
    try:
        yield server
    finally:
        server.stop()


@contextlib.contextmanager
def scripted_server(reply, repeated=b""):
    """Run a server that sends fixed bytes on each connection and closes it.

    Args:
        reply: Bytes to send.
        repeated: Bytes to send after them until the client closes the connection.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.recv(65_536)
                    connection.sendall(reply)
                    while repeated:
                        connection.sendall(repeated)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


def call(
    address,
    client=None,
    on_delta=None,
    first_byte_s=LONG_TIMEOUT_S,
    caller=None,
    timeout_s=LONG_TIMEOUT_S,
):
    request = Request("r1", "o", "p", ("generate",), LONG_TIMEOUT_S, 0.0)
    dispatch = Dispatch(
        StageCall(request, "generate", 0, 1), "backend-1", address, first_byte_s
    )
    limits = AttemptLimits(time.monotonic() + timeout_s, first_byte_s, False, caller)
    client = client or StageClient(BlockingConnectionPool())
    return client.call(dispatch, {"input": "a b c d e"}, None, limits, on_delta)


def encode_reply(request_id="r1", attempt="1", body=b'{"output": 1}', length=None):
    head = (
        f"HTTP/1.1 200 OK\r\nGalenadrum-Request-Id: {request_id}\r\n"
        f"Galenadrum-Stage: generate\r\nGalenadrum-Attempt: {attempt}\r\n"
        f"Content-Length: {length or len(body)}\r\n\r\n"
    )
    return head.encode() + body


def encode_stream(*events):
    """Return an unframed event stream."""
    reply = encode_reply(body=b"".join(events))
    return reply.replace(
        b"Content-Length", b"Content-Type: text/event-stream\r\nX-Length"
    )


class TestStageClient:
    def test_returns_the_output_of_the_stage(self):
        with backend() as server:
            reply = call(server.address)
        assert reply.result.outcome is Outcome.COMPLETED
        assert reply.output == "generate(a b c d e)"

    def test_collects_a_streamed_reply_and_passes_on_its_parts(self):
        deltas = []
        with backend(streams=True) as server:
            reply = call(server.address, on_delta=deltas.append)
        assert reply.output == "".join(deltas) == "generate(a b c d e)"
        assert len(deltas) > 1

    def test_truncated_stream_has_unknown_outcome(self):
        with backend(streams=True, truncate_every=1) as server:
            reply = call(server.address)
        assert reply.result.outcome is Outcome.UNKNOWN
        assert reply.output is None

    def test_refusal_of_the_server_has_outcome_not_run(self):
        with backend(refuse_every=1) as server:
            assert call(server.address).result.outcome is Outcome.NOT_RUN

    def test_failed_connect_has_outcome_not_run(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            assert call(address).result.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize(
        "wire",
        [
            encode_reply(request_id="r2"),
            encode_reply(attempt="2"),
            encode_reply(length=50),
            encode_reply(body=b'{"output": '),
            encode_reply(body=b'{"output": ').replace(b"Content-Length", b"X-Length"),
            encode_stream(b'event: other\ndata: {"x": 1}\n\n'),
            b"",
            b"not HTTP\r\n\r\n",
            encode_reply().replace(b" 200 OK", b" 000 OK"),
            encode_reply().replace(b" 200 OK", b" 600 OK\r\nGalenadrum-Run: not_run"),
        ],
        ids=[
            "other request",
            "other attempt",
            "cut short",
            "no JSON",
            "unframed and cut short",
            "event without a delta",
            "closed",
            "no HTTP",
            "status 000",
            "status 600 that says not run",
        ],
    )
    def test_invalid_reply_or_one_to_another_call_has_unknown_outcome(self, wire):
        with scripted_server(wire) as address:
            reply = call(address)
        assert reply.result.outcome is Outcome.UNKNOWN
        assert reply.output is None

    def test_missing_first_byte_has_unknown_outcome(self):
        client = StageClient(BlockingConnectionPool())
        with backend() as server:
            assert call(server.address, client).result.outcome is Outcome.COMPLETED
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            reply = call(address, client, first_byte_s=0.05)
            assert reply.result.outcome is Outcome.UNKNOWN

    def test_idle_caller_socket_does_not_cancel_the_attempt(self):
        caller_socket, remote_end = socket.socketpair()
        caller_socket.settimeout(0.01)
        with caller_socket, remote_end, backend(streams=True) as server:
            reply = call(server.address, caller=caller_socket)
        assert reply.result.outcome is Outcome.COMPLETED

    def test_attempt_is_cancelled_when_the_caller_disconnects(self):
        caller_socket, remote_end = socket.socketpair()
        remote_end.close()
        with socket.create_server(("127.0.0.1", 0)) as silent, caller_socket:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            reply = call(address, caller=caller_socket)
        assert reply.result.outcome is Outcome.CANCELLED


STREAM_HEAD = (
    encode_reply()
    .replace(
        b"Content-Length: 13\r\n",
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    )
    .removesuffix(b'{"output": 1}')
)


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class TestRepliesWithoutEnd:
    @pytest.mark.parametrize(
        ("beginning", "repeated", "timeout_s"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000, 2.0),
            (STREAM_HEAD + b"0\r\n", b"X-Line: value\r\n" * 1_000, 2.0),
            (
                STREAM_HEAD,
                encode_chunk(b'data: {"delta": "%s"}\n\n' % (b"x" * 1_000_000)),
                LONG_TIMEOUT_S,
            ),
        ],
        ids=["interim responses", "trailers", "events"],
    )
    def test_reply_without_end_is_read_without_bound(
        self, beginning, repeated, timeout_s
    ):
        # Only the reads of a body had the attempt's deadline, and none had a bound.
        with scripted_server(beginning, repeated) as address:
            started = time.monotonic()
            reply = call(address, timeout_s=timeout_s)
            assert time.monotonic() - started < 10.0
        assert reply.result.outcome in (Outcome.UNKNOWN, Outcome.CANCELLED)
