import contextlib
import socket
import threading

import pytest
import urllib3

from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.network.http_server import HttpServer
from galenadrum._internal.utils.addresses import split_address

LIMITS = CallerLimits(
    workers=4, head_timeout_ms=400, body_timeout_ms=400, idle_timeout_ms=20_000
)

_STOP_TIMEOUT_S = 30.0


def echo_app(environ, start_response):
    length = int(environ.get("CONTENT_LENGTH") or 0)
    try:
        body = environ["wsgi.input"].read(length)
    except TimeoutError:
        body = b"too slow"
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture
def server():
    server = HttpServer("127.0.0.1:0", echo_app, LIMITS, "test")
    server.start()
    yield server
    server.stop()


def connect(server):
    return socket.create_connection(split_address(server.address), timeout=30)


def send_endless_head(server, stop):
    """Send an endless request head, one byte at a time, until ``stop`` is set."""
    with contextlib.suppress(OSError), connect(server) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nX: ")
        while not stop.wait(0.05):
            sock.sendall(b"a")


class TestHttpServer:
    def test_serves_other_callers_while_slow_heads_could_occupy_all_workers(
        self, server
    ):
        stop = threading.Event()
        threads = [
            threading.Thread(target=send_endless_head, args=(server, stop))
            for _ in range(LIMITS.workers)
        ]
        for thread in threads:
            thread.start()
        try:
            url = f"http://{server.address}/"
            response = urllib3.request("POST", url, body=b"x", timeout=30)
            assert response.data == b"x"
        finally:
            stop.set()
            for thread in threads:
                thread.join()

    def test_connections_without_a_request_occupy_no_worker(self, server):
        silent = [connect(server) for _ in range(3 * LIMITS.workers)]
        response = urllib3.request(
            "POST", f"http://{server.address}/", body=b"x", timeout=30
        )
        assert response.data == b"x"
        for sock in silent:
            sock.close()

    def test_incomplete_body_times_out(self, server):
        with connect(server) as sock:
            sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
            assert b"too slow" in sock.makefile("rb").read()

    def test_response_arrives_although_a_large_body_is_not_read(self):
        def refuse_app(environ, start_response):
            start_response("413 Content Too Large", [("Content-Length", "3")])
            return [b"big"]

        server = HttpServer("127.0.0.1:0", refuse_app, LIMITS, "test")
        server.start()
        try:
            with connect(server) as sock:
                head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
                sock.sendall(head + bytes(4_000_000))
                assert sock.makefile("rb").read().endswith(b"big")
        finally:
            server.stop()

    def test_connection_is_reused_for_a_second_request(self, server):
        with connect(server) as sock:
            reader = sock.makefile("rb")
            for _ in range(2):
                sock.sendall(
                    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
                )
                while reader.readline() != b"\r\n":
                    pass
                assert reader.read(1) == b"x"

    def test_stop_aborts_an_endless_response(self):
        def endless_app(environ, start_response):
            start_response("200 OK", [("Content-Type", "text/plain")])
            while True:
                yield b"part"

        server = HttpServer("127.0.0.1:0", endless_app, LIMITS, "endless")
        server.start()
        answer = urllib3.request(
            "GET", f"http://{server.address}/", preload_content=False
        )
        reader_thread = threading.Thread(target=_read_to_end, args=(answer,))
        reader_thread.start()
        stop_thread = threading.Thread(target=server.stop, daemon=True)
        stop_thread.start()
        stop_thread.join(_STOP_TIMEOUT_S)
        assert not stop_thread.is_alive()
        reader_thread.join(_STOP_TIMEOUT_S)
        assert not reader_thread.is_alive()


def _read_to_end(answer):
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        while answer.read(65_536):
            pass
