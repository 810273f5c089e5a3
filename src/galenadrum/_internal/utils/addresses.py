"""Addresses of the form ``IP:PORT``."""

from __future__ import annotations

import ipaddress

_MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``address``.

    IPv6 numbers are written in brackets, such as ``[::1]:8080``.

    Raises:
        ValueError: The address is not an IP number and a port.
    """
    host, separator, port_text = address.rpartition(":")
    if not separator or not port_text.isdecimal():
        raise ValueError(f"{address!r} is not an IP number and a port")
    port = int(port_text)
    if port > _MAX_PORT:
        raise ValueError(f"port {port} is above {_MAX_PORT}")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return host, port
