"""WSGI server with time limits on the whole head and the whole body of a request."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import makefile, server, wsgi

from galenadrum._internal.models.settings import CallerLimits
from galenadrum._internal.utils.addresses import split_address

logger = logging.getLogger(__name__)

# Key of the caller's socket in the WSGI environment.
SOCKET_KEY = "galenadrum.socket"

_WRITE_TIMEOUT_S = 10.0
_ACCEPTED_QUEUE_TIMEOUT_S = 0.05
_MAX_HEAD_BYTES = 32 * 1024
_EXPIRATION_INTERVAL_S = 0.25
_SHUTDOWN_TIMEOUT_S = 2
_DRAIN_TIMEOUT_S = 0.3
_MAX_DRAINED_BYTES = 8 * 1024 * 1024

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _DeadlineReader(socket.SocketIO):
    """Raw reader whose reads share one deadline.

    A timeout for each read is not enough: a caller that sends one byte a second
    would occupy a worker thread without limit.

    Attributes:
        deadline: Monotonic time in seconds after which reads fail; None for no
            deadline.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self._limited_socket = sock
        self.deadline: float | None = None

    def readinto(self, buffer: Any) -> int | None:
        if self.deadline is not None:
            remaining_s = self.deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("timed out")
            self._limited_socket.settimeout(remaining_s)
        return super().readinto(buffer)


class _DeadlineStreamReader(makefile.StreamReader):
    """Stream reader of cheroot on top of a `_DeadlineReader`."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        self.deadline_reader = _DeadlineReader(sock)
        super(makefile.StreamReader, self).__init__(self.deadline_reader, bufsize)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> Any:
    if "r" in mode:
        return _DeadlineStreamReader(sock, bufsize)
    return makefile.MakeFile(sock, mode, bufsize)


class _LimitedRequest(server.HTTPRequest):
    """Request with separate deadlines for its head and its body."""

    def parse_request(self) -> None:
        limits: CallerLimits = self.server.limits
        reader = self.conn.rfile.deadline_reader
        reader.deadline = time.monotonic() + limits.head_timeout_ms / 1_000
        super().parse_request()
        reader.deadline = time.monotonic() + limits.body_timeout_ms / 1_000
        self.conn.socket.settimeout(_WRITE_TIMEOUT_S)

    def send_headers(self) -> None:
        # cheroot would wait here for the rest of the body, and send no response if
        # it doesn't arrive.
        if getattr(self.rfile, "remaining", 0) > 0:
            self.close_connection = True
            self.conn.has_unread_body = True
        super().send_headers()


class _LimitedConnection(server.HTTPConnection):
    RequestHandlerClass = _LimitedRequest

    def __init__(self, owner: Any, sock: socket.socket, _make: object = None) -> None:
        super().__init__(owner, sock, _make_file)
        owner.open_connections.add(self)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.has_unread_body = False

    def close(self) -> None:
        """Close the connection after discarding unread input.

        Unread input would reset the connection, and the caller could lose the
        response.
        """
        self.server.open_connections.discard(self)
        if self.has_unread_body:
            _drain_input(self.socket)
        super().close()

    def abort(self) -> None:
        """Make reads and writes fail, including those in progress in a worker."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)


def _drain_input(sock: socket.socket) -> None:
    """Read and discard input until the peer closes, up to a time and size limit.

    Closing a socket with unread bytes resets the connection, and the peer may then
    lose the response.
    """
    deadline_at = time.monotonic() + _DRAIN_TIMEOUT_S
    size = 0
    try:
        sock.shutdown(socket.SHUT_WR)
        while (
            size < _MAX_DRAINED_BYTES
            and (remaining_s := deadline_at - time.monotonic()) > 0
        ):
            sock.settimeout(remaining_s)
            part = sock.recv(65_536)
            if not part:
                return
            size += len(part)
    except OSError:
        return


class _SocketGateway(wsgi.Gateway_10):
    """Gateway that passes the caller's socket to the application.

    The application uses it to detect that the caller disconnected.
    """

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class _LimitedServer(wsgi.Server):
    ConnectionClass = _LimitedConnection

    def __init__(self, limits: CallerLimits, **options: Any) -> None:
        super().__init__(**options)
        self.limits = limits
        self.open_connections: set[_LimitedConnection] = set()
        self.gateway = _SocketGateway

    def process_conn(self, conn: Any) -> None:
        """Wait for the first bytes of a new connection before a worker gets it."""
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            super().process_conn(conn)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        logger.log(level, "HTTP server: %s", msg, exc_info=traceback)


class HttpServer:
    """Serves a WSGI application from worker threads.

    Args:
        address: IP address and port to listen on; port 0 chooses a free port.
        application: WSGI application.
        limits: Time limits of requests and connections, and the number of workers.
        name: Name of the server, for its threads and its ``Server`` header.
    """

    def __init__(
        self, address: str, application: WsgiApp, limits: CallerLimits, name: str
    ) -> None:
        self._server = _LimitedServer(
            limits,
            bind_addr=split_address(address),
            wsgi_app=application,
            numthreads=limits.workers,
            max=limits.workers,
            server_name=name,
            timeout=limits.idle_timeout_ms / 1_000,
            request_queue_size=1_024,
            accepted_queue_size=2 * limits.workers,
            accepted_queue_timeout=_ACCEPTED_QUEUE_TIMEOUT_S,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_header_size = _MAX_HEAD_BYTES
        self._server.max_request_body_size = 0
        self._server.expiration_interval = _EXPIRATION_INTERVAL_S
        self._server.keep_alive_conn_limit = 4 * limits.workers
        self._thread = threading.Thread(
            target=self._server.serve, name=f"{name}-http", daemon=True
        )

    @property
    def address(self) -> str:
        """IP address and port that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start listening, and serve from a new thread.

        Raises:
            OSError: The server can't listen on the address.
        """
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and wait for the workers, up to a time limit.

        Connections that are still open after the limit are aborted. Otherwise a
        worker that is sending a response would delay the stop until its end.
        """
        if self._thread.ident is None:
            return
        abort_timer = threading.Timer(_SHUTDOWN_TIMEOUT_S, self._abort_connections)
        abort_timer.start()
        self._server.stop()
        abort_timer.cancel()
        self._thread.join(_SHUTDOWN_TIMEOUT_S)

    def _abort_connections(self) -> None:
        connections = tuple(self._server.open_connections)
        logger.info(
            "aborting %d connections that are still open at the stop", len(connections)
        )
        for connection in connections:
            connection.abort()
