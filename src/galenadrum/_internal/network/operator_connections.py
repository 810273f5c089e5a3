"""Connections of the operators' client, whose responses end in time.

urllib3 bounds each read. A control host that sends interim responses or trailers
without end passes every such bound, so here all reads of a response share one.
"""

from __future__ import annotations

import time
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from galenadrum._internal.network.deadline_socket import DeadlineSocket


class _RenewingSocket(DeadlineSocket):
    """Socket whose deadline is renewed by each read once the head has arrived.

    Attributes:
        silence_s: Longest time for one read, in seconds; 0 while the deadline holds for
            all reads.
    """

    silence_s = 0.0

    def recv_into(self, *arguments: Any) -> int:
        if self.silence_s:
            self.deadline = time.monotonic() + self.silence_s
        return super().recv_into(*arguments)


class _CallConnection(HTTPConnection):
    """Connection on which a whole response arrives within the read timeout."""

    def connect(self) -> None:
        super().connect()
        self.sock = _RenewingSocket(self.sock, time.monotonic())

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        self.sock.silence_s = 0.0
        self.sock.deadline = time.monotonic() + float(self.timeout)
        return super().getresponse()


class _WatchConnection(_CallConnection):
    """Connection on which the head, and then each part, arrives within the timeout."""

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        response = super().getresponse()
        self.sock.silence_s = float(self.timeout)
        return response


class _CallPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _CallConnection


class _WatchPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _WatchConnection


def create_call_pool() -> urllib3.PoolManager:
    """Return the connections for calls."""
    return _create_pool(_CallPool)


def create_watch_pool() -> urllib3.PoolManager:
    """Return the connections for watches, whose responses don't end."""
    return _create_pool(_WatchPool)


def _create_pool(pool_class: type[urllib3.HTTPConnectionPool]) -> urllib3.PoolManager:
    # The client handles retries and redirects itself, since urllib3 doesn't know which
    # calls may be repeated and at which control host.
    manager = urllib3.PoolManager(retries=False)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": pool_class,
    }
    return manager
