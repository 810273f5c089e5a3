"""Responses without end to the client of the operators' API."""

import contextlib
import socket
import threading

import pytest

from galenadrum._internal.exceptions import ControlUnreachableError
from galenadrum._internal.network.operator_client import ClientTimeouts, OperatorClient

TIMEOUT_S = 1.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextlib.contextmanager
def endless_control_host(beginning, repeated):
    """Run a server that sends bytes until the test ends or the client closes."""
    listener = socket.create_server(("127.0.0.1", 0))
    ended = threading.Event()

    def serve():
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(beginning)
                while not ended.wait(0.001):
                    connection.sendall(repeated)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        ended.set()
        listener.close()
        thread.join()


class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("beginning", "repeated"),
        [
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (CHUNKED_HEAD + b"0\r\n", b"X-Line: value\r\n" * 100),
        ],
        ids=["interim responses", "trailers"],
    )
    def test_response_without_end_holds_the_client(self, beginning, repeated):
        # Each read has a timeout of its own; the whole response has none.
        timeouts = ClientTimeouts(read_s=TIMEOUT_S, call_s=TIMEOUT_S)
        with endless_control_host(beginning, repeated) as address:
            client = OperatorClient([address], timeouts=timeouts)
            call = threading.Thread(target=client.read_statuses, daemon=True)
            call.start()
            call.join(5.0)
            assert not call.is_alive()

    def test_watch_waits_for_a_head_without_end(self):
        timeouts = ClientTimeouts(
            watch_silence_s=TIMEOUT_S, watch_unreachable_s=TIMEOUT_S
        )
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 100
        with endless_control_host(b"", interim) as address:
            client = OperatorClient([address], timeouts=timeouts)
            errors = []

            def watch():
                try:
                    list(client.watch(0))
                except ControlUnreachableError as error:
                    errors.append(error)

            call = threading.Thread(target=watch, daemon=True)
            call.start()
            call.join(10.0)
            assert errors
