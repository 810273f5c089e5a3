"""Blocking calls of the orders protocol that engines serve.

docs/design/orders.md describes the protocol.
"""

from __future__ import annotations

import json
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from galenadrum._internal.control.orders.messages import (
    EngineContents,
    Order,
    OrderProgress,
)
from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.network.deadline_socket import DeadlineSocket
from galenadrum._internal.network.write_guard import guarded_write
from galenadrum._internal.utils.addresses import split_address

ORDERS_PATH = "/v1/orders"
MODELS_PATH = "/v1/models"
FENCING_HEADER = "Galenadrum-Fencing"
_ANSWER_MAX_BYTES = 256 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_TAKEN_STATUSES = frozenset((200, 202))
_REFUSED_STATUSES = frozenset((409, 429, 503))
_INVALID_STATUSES = frozenset((400, 404, 422))


class OrderNotSentError(GalenadrumError):
    """Raised when an order certainly was not sent."""


class EngineUnreachableError(GalenadrumError):
    """Raised when an engine gave no answer that can be understood."""


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """How an engine answered an order.

    Attributes:
        refusal: Why it doesn't take the order now; empty when it does.
        failure: Why it never can carry it out; empty when it may.
    """

    refusal: str = ""
    failure: str = ""


def send_order(
    address: str, order: Order, remaining_s: Callable[[], float]
) -> OrderAnswer:
    """Send an order on a connection of its own.

    Args:
        address: IP number and port of the engine.
        order: What it is to do.
        remaining_s: Returns the seconds for which the order may be sent, 0 for
            not at all; called before connecting and once more just before the
            first byte.

    Raises:
        OrderNotSentError: Nothing was sent.
        EngineUnreachableError: The engine may have taken the order.
    """
    body = json.dumps(_order_document(order)).encode()
    connection = _connect(address, remaining_s)
    is_done = False
    headers = {
        "Content-Type": "application/json",
        FENCING_HEADER: str(order.fencing),
    }
    try:
        with guarded_write():
            timeout_s = _positive(remaining_s())
            _bound(connection, timeout_s)
            _write(connection, "POST", ORDERS_PATH, body, headers)
        answer = _read(connection)
        is_done = True
    finally:
        _close(connection, is_done)
    return _order_answer(*answer)


def query_engine(address: str, fencing: int, timeout_s: float) -> EngineContents:
    """Ask an engine what it holds; it learns the fencing number with it.

    Raises:
        EngineUnreachableError: It gave no answer that can be understood.
    """
    until = time.monotonic() + timeout_s
    try:
        connection = _connect(address, lambda: timeout_s)
    except OrderNotSentError as error:
        raise EngineUnreachableError(str(error)) from error
    try:
        headers = {FENCING_HEADER: str(fencing)}
        connection.sock = DeadlineSocket(connection.sock, until)
        connection.sock.settimeout(timeout_s)
        _write(connection, "GET", MODELS_PATH, None, headers)
        status, document = _read(connection)
    finally:
        connection.close()
    if status != 200:
        raise EngineUnreachableError(f"{address} answered with status {status}")
    return _contents_of(address, document)


def _connect(
    address: str, remaining_s: Callable[[], float]
) -> urllib3.connection.HTTPConnection:
    host, port = split_address(address)
    timeout_s = _positive(remaining_s()) / 2
    connection = urllib3.connection.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        raise OrderNotSentError(f"no connection to {address}: {error}") from error
    return connection


def _positive(remaining_s: float) -> float:
    if remaining_s <= 0:
        raise OrderNotSentError("the lease doesn't allow it")
    return remaining_s


def _bound(connection: urllib3.connection.HTTPConnection, timeout_s: float) -> None:
    """Bound the whole exchange, and have the kernel drop what is not acknowledged.

    Without the latter, what was written to a network that is cut off is delivered
    long after, even if this process stands still.
    """
    sock = DeadlineSocket(connection.sock, time.monotonic() + timeout_s)
    connection.sock = sock
    sock.settimeout(timeout_s)
    timeout_ms = max(1, round(timeout_s * 1_000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _close(connection: urllib3.connection.HTTPConnection, is_done: bool) -> None:
    """Close; drop what was not delivered yet when the exchange failed."""
    if not is_done and connection.sock is not None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    connection.close()


def _write(
    connection: urllib3.connection.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> None:
    try:
        connection.request(
            method, path, body=body, headers=headers, preload_content=False
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise EngineUnreachableError(f"{connection.host}: {error}") from error


def _read(connection: urllib3.connection.HTTPConnection) -> tuple[int, Any]:
    try:
        response = connection.getresponse()
        data = response.read(_ANSWER_MAX_BYTES)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise EngineUnreachableError(f"{connection.host}: {error}") from error
    except Exception as error:
        # http.client has a tree of errors of its own for bad responses.
        raise EngineUnreachableError(f"{connection.host}: {error!r}") from error
    try:
        return response.status, json.loads(data or b"null")
    except ValueError as error:
        raise EngineUnreachableError(f"{connection.host}: not JSON") from error


def _order_document(order: Order) -> dict[str, Any]:
    return {
        "order_id": order.order_id,
        "fencing": order.fencing,
        "action": order.action.value,
        "model": order.model,
        "version": order.version,
        "previous_version": order.previous_version,
        "adapters": list(order.adapters),
        "role": order.role,
    }


def _order_answer(status: int, document: Any) -> OrderAnswer:
    if status in _TAKEN_STATUSES:
        return OrderAnswer()
    message = document.get("message", "") if isinstance(document, dict) else ""
    described = f"status {status} {str(message)[:200]}".strip()
    if status in _REFUSED_STATUSES:
        return OrderAnswer(refusal=described)
    if status in _INVALID_STATUSES:
        return OrderAnswer(failure=described)
    raise EngineUnreachableError(f"the engine answered with {described}")


def _contents_of(address: str, document: Any) -> EngineContents:
    try:
        models = document["models"]
        order = document.get("order") or {}
        progress = order.get("state")
        return EngineContents(
            versions_by_model={
                str(row["model"]): str(row["version"]) for row in models
            },
            adapters=frozenset(str(name) for name in document.get("adapters", ())),
            role=str(document.get("role", "both")),
            order_id=str(order.get("order_id", "")),
            progress=OrderProgress(progress) if progress else None,
            message=str(order.get("message", ""))[:500],
        )
    except (TypeError, KeyError, AttributeError, ValueError) as error:
        raise EngineUnreachableError(f"{address} answered with {error!r}") from error
