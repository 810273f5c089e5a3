"""Rules that join several members of a settings file.

A rule looks at the parsed JSON, not at checked settings, so that it also
finds what it can in a file with other faults.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from galenadrum._internal.models.findings import Finding
from galenadrum._internal.models.settings import ControlSettings
from galenadrum._internal.settings.reader import Document, DocumentPath, format_path
from galenadrum._internal.utils.addresses import format_address, parse_address

MAX_CONTROL_MEMBERS = 7
_MIN_HEARTBEATS_IN_ELECTION_TIMEOUT = 3
_LISTENING_ADDRESSES = ("caller_address", "operator_address", "peer_address")

Rule = Callable[[Document], Iterator[Finding]]


def check_listening_addresses(document: Document) -> Iterator[Finding]:
    """Find addresses that one daemon would have to listen on twice."""
    paths = [(name,) for name in _LISTENING_ADDRESSES]
    yield from _find_repeats(document, paths, _address_at)


def check_peer_address(document: Document) -> Iterator[Finding]:
    """Find a peer address that other hosts could not connect to."""
    address = _address_at(document, ("peer_address",))
    if address is None:
        return
    ip, _ = parse_address(address)
    if ip.is_unspecified:
        message = f"{ip} is no address that other hosts can connect to"
        yield document.find_at_value(("peer_address",), message)


def check_entry_peers(document: Document) -> Iterator[Finding]:
    """Find addresses that stand twice among an entry host's peers."""
    paths = [("peer_address",)]
    for name in ("zone_peer_addresses", "other_zone_addresses"):
        paths += _item_paths(document, name)
    yield from _find_repeats(document, paths, _address_at)


def check_entry_controls(document: Document) -> Iterator[Finding]:
    """Find an entry host that knows no control host."""
    if document.value.get("control_addresses") == []:
        message = "name at least one control host"
        yield document.find_at_value(("control_addresses",), message)


def check_members(document: Document) -> Iterator[Finding]:
    """Find members that stand twice, or too many of them."""
    paths = _item_paths(document, "members")
    if len(paths) > MAX_CONTROL_MEMBERS:
        message = f"expected at most {MAX_CONTROL_MEMBERS} members, found {len(paths)}"
        yield document.find_at_value(("members",), message)
    ids = [(*path, "member_id") for path in paths]
    yield from _find_repeats(document, ids, _text_at)
    addresses = [(*path, "peer_address") for path in paths]
    yield from _find_repeats(document, addresses, _address_at)


def check_own_membership(document: Document) -> Iterator[Finding]:
    """Find a member that is neither listed nor told whom to join."""
    joins = bool(document.value.get("join_addresses"))
    members = document.value.get("members")
    if not isinstance(members, list):
        return
    if joins and members:
        message = "leave members empty, or leave out join_addresses"
        yield document.find_at_value(("members",), message)
    elif not joins:
        yield from _check_listed(document)


def check_replaced_member(document: Document) -> Iterator[Finding]:
    """Find a replacement that joins nothing, or keeps the lost member's id."""
    replaces = document.value.get("replaces")
    if not isinstance(replaces, str):
        return
    if not document.value.get("join_addresses"):
        message = "set join_addresses, so that it joins the running cluster"
        yield document.find_at_value(("replaces",), message)
    if replaces == document.value.get("member_id"):
        message = "a host whose disk was lost comes back under a new member_id"
        yield document.find_at_value(("replaces",), message)


def check_operators(document: Document) -> Iterator[Finding]:
    """Find operators that can't be told apart, or none at all."""
    paths = _item_paths(document, "operators")
    if document.value.get("operators") == []:
        message = "name at least one operator, or nobody can declare anything"
        yield document.find_at_value(("operators",), message)
    names = [(*path, "name") for path in paths]
    yield from _find_repeats(document, names, _text_at)
    tokens = [(*path, "token_sha256") for path in paths]
    yield from _find_repeats(document, tokens, _text_at)


def check_election_timeout(document: Document) -> Iterator[Finding]:
    """Find an election timeout that lost heartbeats would soon exceed."""
    heartbeat_ms = document.value.get("heartbeat_ms", _default("heartbeat_ms"))
    timeout_ms = document.value.get(
        "election_timeout_ms", _default("election_timeout_ms")
    )
    if not (_is_number(heartbeat_ms) and _is_number(timeout_ms)):
        return
    least_ms = _MIN_HEARTBEATS_IN_ELECTION_TIMEOUT * heartbeat_ms
    if timeout_ms < least_ms:
        present = "election_timeout_ms" in document.value
        name = "election_timeout_ms" if present else "heartbeat_ms"
        message = (
            f"an election timeout of {timeout_ms} ms is shorter than"
            f" {_MIN_HEARTBEATS_IN_ELECTION_TIMEOUT} heartbeats of {heartbeat_ms} ms"
        )
        yield document.find_at_value((name,), message)


ENTRY_RULES: tuple[Rule, ...] = (
    check_listening_addresses,
    check_peer_address,
    check_entry_peers,
    check_entry_controls,
)
CONTROL_RULES: tuple[Rule, ...] = (
    check_listening_addresses,
    check_peer_address,
    check_members,
    check_own_membership,
    check_replaced_member,
    check_operators,
    check_election_timeout,
)


def _check_listed(document: Document) -> Iterator[Finding]:
    own_id = _text_at(document, ("member_id",))
    if own_id is None:
        return
    for path in _item_paths(document, "members"):
        if _text_at(document, (*path, "member_id")) != own_id:
            continue
        listed = _address_at(document, (*path, "peer_address"))
        own = _address_at(document, ("peer_address",))
        if listed and own and listed != own:
            message = f"differs from this member's own peer_address {own}"
            yield document.find_at_value((*path, "peer_address"), message)
        return
    message = (
        f'"{own_id}" is not among members; list it, or set join_addresses to join'
        " a running cluster"
    )
    yield document.find_at_value(("member_id",), message)


def _find_repeats(
    document: Document,
    paths: list[DocumentPath],
    read: Callable[[Document, DocumentPath], str | None],
) -> Iterator[Finding]:
    first_path_by_value: dict[str, DocumentPath] = {}
    for path in paths:
        value = read(document, path)
        if value is None:
            continue
        first = first_path_by_value.setdefault(value, path)
        if first != path:
            message = f'"{value}" is already used by {format_path(first)}'
            yield document.find_at_value(path, message)


def _item_paths(document: Document, name: str) -> list[DocumentPath]:
    items = document.value.get(name)
    if not isinstance(items, list):
        return []
    return [(name, index) for index in range(len(items))]


def _value_at(document: Document, path: DocumentPath) -> Any:
    value = document.value
    for part in path:
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int):
            value = value[part]
        else:
            return None
    return value


def _text_at(document: Document, path: DocumentPath) -> str | None:
    value = _value_at(document, path)
    return value if isinstance(value, str) else None


def _address_at(document: Document, path: DocumentPath) -> str | None:
    """Return the address at ``path`` in its canonical form, if it is one."""
    try:
        return format_address(*parse_address(_text_at(document, path) or ""))
    except ValueError:
        return None


def _default(name: str) -> int:
    return ControlSettings.__dataclass_fields__[name].default


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
