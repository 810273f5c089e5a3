"""Parsing and formatting of ``IP:PORT`` addresses."""

from __future__ import annotations

import ipaddress

_MAX_PORT = 65_535

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``address``.

    IPv6 numbers are written in brackets, such as ``[::1]:8080``.

    Raises:
        ValueError: The address is not an IP number and a port.
    """
    ip, port = parse_address(address)
    return str(ip), port


def parse_address(address: str) -> tuple[IpAddress, int]:
    """Return the IP number and the port of ``address``, parsed.

    Host names are rejected: a daemon must not depend on a name server.

    Raises:
        ValueError: The address is not valid; the message names the invalid part
            and the expected form.
    """
    host, separator, port_text = address.rpartition(":")
    if not separator:
        raise ValueError(f'"{address}" has no port; write IP:PORT, as 10.0.0.7:9000')
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        message = f'"{host}" is not an IP number; names are not looked up'
        raise ValueError(message) from None
    if ip.version == 6 and not host.startswith("["):
        raise ValueError(f"write an IPv6 address in brackets: [{ip}]:{port_text}")
    if not (port_text.isascii() and port_text.isdecimal()):
        raise ValueError(f'"{port_text}" is not a port number')
    if int(port_text) > _MAX_PORT:
        raise ValueError(f"port {port_text} is above {_MAX_PORT}")
    return ip, int(port_text)


def format_address(ip: IpAddress, port: int) -> str:
    """Return the canonical form of an address."""
    return f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"
