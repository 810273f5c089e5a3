"""Blocking client of the orders protocol that engines serve.

docs/design/orders.md describes the protocol.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import urllib3

from galenadrum._internal.control.orders.events import (
    EngineContents,
    Order,
    OrderProgress,
)
from galenadrum._internal.exceptions import GalenadrumError
from galenadrum._internal.network.deadline_socket import DeadlineSocket
from galenadrum._internal.network.sockets import set_reset_on_close
from galenadrum._internal.network.write_guard import guarded_write
from galenadrum._internal.utils.addresses import split_address

ORDERS_PATH = "/v1/orders"
MODELS_PATH = "/v1/models"
FENCING_HEADER = "Galenadrum-Fencing"
_MAX_RESPONSE_BYTES = 256 * 1024
_ACCEPTED_STATUSES = frozenset((200, 202))
_REFUSED_STATUSES = frozenset((409, 429, 503))
_INVALID_STATUSES = frozenset((400, 404, 422))


class OrderNotSentError(GalenadrumError):
    """Raised when no part of an order was sent."""


class EngineUnreachableError(GalenadrumError):
    """Raised when an engine sends no valid response."""


@dataclass(frozen=True, slots=True)
class OrderResponse:
    """Response of an engine to an order.

    Both attributes are empty if the engine accepted the order.

    Attributes:
        refusal: Reason for a temporary refusal, else empty.
        failure: Reason why the engine can never execute the order, else empty.
    """

    refusal: str = ""
    failure: str = ""


def send_order(
    address: str, order: Order, remaining_s: Callable[[], float]
) -> OrderResponse:
    """Send an order to an engine on a new connection.

    Args:
        address: IP address and port of the engine.
        order: Order to send.
        remaining_s: Returns the seconds for which the order may still be sent, 0
            if it must not be; called before connecting and again just before the
            first byte is sent.

    Raises:
        OrderNotSentError: Nothing was sent.
        EngineUnreachableError: The engine may have accepted the order.
    """
    body = json.dumps(_encode_order(order)).encode()
    connection = _connect(address, remaining_s)
    is_complete = False
    headers = {
        "Content-Type": "application/json",
        FENCING_HEADER: str(order.fencing),
    }
    try:
        with guarded_write():
            timeout_s = _check_remaining(remaining_s())
            _set_deadline(connection, timeout_s)
            _send_request(connection, "POST", ORDERS_PATH, body, headers)
        answer = _read_response(connection)
        is_complete = True
    finally:
        _close_connection(connection, is_complete)
    return _decode_order_answer(*answer)


def query_engine(address: str, fencing: int, timeout_s: float) -> EngineContents:
    """Read the models, adapters and current order of an engine.

    The request carries the fencing number, which the engine records.

    Raises:
        EngineUnreachableError: The engine sent no valid response.
    """
    deadline = time.monotonic() + timeout_s
    try:
        connection = _connect(address, lambda: timeout_s)
    except OrderNotSentError as error:
        raise EngineUnreachableError(str(error)) from error
    try:
        headers = {FENCING_HEADER: str(fencing)}
        connection.sock = DeadlineSocket(connection.sock, deadline)
        connection.sock.settimeout(timeout_s)
        _send_request(connection, "GET", MODELS_PATH, None, headers)
        status, document = _read_response(connection)
    finally:
        connection.close()
    if status != 200:
        raise EngineUnreachableError(
            f"engine {address} responded with status {status}, expected 200"
        )
    return _decode_contents(address, document)


def _connect(
    address: str, remaining_s: Callable[[], float]
) -> urllib3.connection.HTTPConnection:
    host, port = split_address(address)
    timeout_s = _check_remaining(remaining_s()) / 2
    connection = urllib3.connection.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        raise OrderNotSentError(
            f"failed to connect to engine {address}: {error}"
        ) from error
    return connection


def _check_remaining(remaining_s: float) -> float:
    if remaining_s <= 0:
        raise OrderNotSentError("no time left in the lease to send the order")
    return remaining_s


def _set_deadline(
    connection: urllib3.connection.HTTPConnection, timeout_s: float
) -> None:
    """Set one deadline for the exchange and the same TCP user timeout.

    The user timeout makes the kernel drop unacknowledged data. Without it, data
    written during a network partition would be delivered long afterwards, even
    while this process is suspended.
    """
    sock = DeadlineSocket(connection.sock, time.monotonic() + timeout_s)
    connection.sock = sock
    sock.settimeout(timeout_s)
    timeout_ms = max(1, round(timeout_s * 1_000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _close_connection(
    connection: urllib3.connection.HTTPConnection, is_complete: bool
) -> None:
    """Close a connection; after a failed exchange, discard undelivered data."""
    if not is_complete and connection.sock is not None:
        set_reset_on_close(connection.sock, True)
    connection.close()


def _send_request(
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
        raise EngineUnreachableError(f"engine {connection.host}: {error}") from error


def _read_response(connection: urllib3.connection.HTTPConnection) -> tuple[int, Any]:
    try:
        response = connection.getresponse()
        data = response.read(_MAX_RESPONSE_BYTES)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise EngineUnreachableError(f"engine {connection.host}: {error}") from error
    except Exception as error:
        # http.client reports bad responses with a separate exception hierarchy.
        raise EngineUnreachableError(f"engine {connection.host}: {error!r}") from error
    try:
        return response.status, json.loads(data or b"null")
    except ValueError as error:
        raise EngineUnreachableError(
            f"engine {connection.host}: the response is not JSON"
        ) from error


def _encode_order(order: Order) -> dict[str, Any]:
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


def _decode_order_answer(status: int, document: Any) -> OrderResponse:
    if status in _ACCEPTED_STATUSES:
        return OrderResponse()
    message = document.get("message", "") if isinstance(document, dict) else ""
    description = f"status {status} {str(message)[:200]}".strip()
    if status in _REFUSED_STATUSES:
        return OrderResponse(refusal=description)
    if status in _INVALID_STATUSES:
        return OrderResponse(failure=description)
    raise EngineUnreachableError(f"unexpected response of the engine: {description}")


def _decode_contents(address: str, document: Any) -> EngineContents:
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
        raise EngineUnreachableError(
            f"invalid response of engine {address}: {error!r}"
        ) from error
