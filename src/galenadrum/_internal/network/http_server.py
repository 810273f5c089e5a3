"""An HTTP server whose connections have limits on the whole head and body."""

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

# The key of the WSGI environment under which the caller's socket stands.
SOCKET_KEY = "galenadrum.socket"

_WRITE_TIMEOUT_S = 10.0
_QUEUE_TIMEOUT_S = 0.05
_MAX_HEAD_BYTES = 32 * 1024
_EXPIRATION_INTERVAL_S = 0.25
_SHUTDOWN_TIMEOUT_S = 2
_LINGER_S = 0.3
_MAX_LINGER_BYTES = 8 * 1024 * 1024

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _DeadlineReader(socket.SocketIO):
    """Raw reader that spreads one time limit over any number of reads.

    A time limit for each read is not enough: a sender of one byte a second
    would hold its worker thread for as long as it likes.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self._limited_socket = sock
        self.deadline: float | None = None

    def readinto(self, buffer: Any) -> int | None:
        if self.deadline is not None:
            left_s = self.deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("timed out")
            self._limited_socket.settimeout(left_s)
        return super().readinto(buffer)


class _LimitedStreamReader(makefile.StreamReader):
    """Stream reader of the server over a `_DeadlineReader`."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        self.deadline_reader = _DeadlineReader(sock)
        super(makefile.StreamReader, self).__init__(self.deadline_reader, bufsize)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> Any:
    if "r" in mode:
        return _LimitedStreamReader(sock, bufsize)
    return makefile.MakeFile(sock, mode, bufsize)


class _LimitedRequest(server.HTTPRequest):
    """Request that switches from the limit of the head to that of the body."""

    def parse_request(self) -> None:
        limits: CallerLimits = self.server.limits
        reader = self.conn.rfile.deadline_reader
        reader.deadline = time.monotonic() + limits.head_timeout_ms / 1_000
        super().parse_request()
        reader.deadline = time.monotonic() + limits.body_timeout_ms / 1_000
        self.conn.socket.settimeout(_WRITE_TIMEOUT_S)

    def send_headers(self) -> None:
        # The server would wait here for the rest of the body, and send nothing
        # when it does not come.
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
        """Close the connection, so that an answer sent before still arrives."""
        self.server.open_connections.discard(self)
        if self.has_unread_body:
            _discard_input(self.socket)
        super().close()

    def abort(self) -> None:
        """Make reads and writes fail, also those under way in a worker."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)


def _discard_input(sock: socket.socket) -> None:
    """Read what the peer still sends, for a bounded time and size.

    Closing a socket that holds unread bytes resets the connection, and the
    peer may then lose the answer.
    """
    until = time.monotonic() + _LINGER_S
    size = 0
    try:
        sock.shutdown(socket.SHUT_WR)
        while size < _MAX_LINGER_BYTES and (left_s := until - time.monotonic()) > 0:
            sock.settimeout(left_s)
            part = sock.recv(65_536)
            if not part:
                return
            size += len(part)
    except OSError:
        return


class _SocketGateway(wsgi.Gateway_10):
    """Gateway that lets the application see when its caller has left."""

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
        """Give a connection to a worker once it has something to read."""
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
        address: IP number and port; port 0 takes a free one.
        application: The WSGI application.
        limits: Limits on connections, and the number of workers.
        name: Name for threads and logs.
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
            accepted_queue_timeout=_QUEUE_TIMEOUT_S,
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
        """The IP number and port that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen, and serve from a thread of its own.

        Raises:
            OSError: The address can't be listened on.
        """
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and wait for the workers, for a bounded time.

        Connections that are still served after it are aborted. Without this a
        worker that writes would be waited for until its answer ends.
        """
        if self._thread.ident is None:
            return
        abortion = threading.Timer(_SHUTDOWN_TIMEOUT_S, self._abort_connections)
        abortion.start()
        self._server.stop()
        abortion.cancel()
        self._thread.join(_SHUTDOWN_TIMEOUT_S)

    def _abort_connections(self) -> None:
        connections = tuple(self._server.open_connections)
        logger.info("aborting %d connections", len(connections))
        for connection in connections:
            connection.abort()
