"""Rules across several members of a settings file.

A rule reads the parsed JSON rather than validated settings, so that it also
reports findings for files with other errors.
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
_LISTENING_ADDRESS_FIELDS = ("caller_address", "operator_address", "peer_address")

Rule = Callable[[Document], Iterator[Finding]]


def check_listening_addresses(document: Document) -> Iterator[Finding]:
    """Find duplicates among the addresses on which a daemon listens."""
    paths = [(name,) for name in _LISTENING_ADDRESS_FIELDS]
    yield from _find_duplicates(document, paths, _get_address)


def check_peer_address(document: Document) -> Iterator[Finding]:
    """Find an unspecified peer address, such as 0.0.0.0.

    Other hosts connect to the peer address, so it can't be a wildcard.
    """
    address = _get_address(document, ("peer_address",))
    if address is None:
        return
    ip, _ = parse_address(address)
    if ip.is_unspecified:
        message = f"{ip} is not an address that other hosts can connect to"
        yield document.build_finding_at_value(("peer_address",), message)


def check_entry_peers(document: Document) -> Iterator[Finding]:
    """Find duplicates among an entry host's own and its peers' addresses."""
    paths = [("peer_address",)]
    for name in ("zone_peer_addresses", "other_zone_addresses"):
        paths += _list_item_paths(document, name)
    yield from _find_duplicates(document, paths, _get_address)


def check_entry_control_addresses(document: Document) -> Iterator[Finding]:
    """Find an empty list of control hosts."""
    if document.value.get("control_addresses") == []:
        message = "name at least one control host"
        yield document.build_finding_at_value(("control_addresses",), message)


def check_members(document: Document) -> Iterator[Finding]:
    """Find duplicate members, and lists with too many members."""
    paths = _list_item_paths(document, "members")
    if len(paths) > MAX_CONTROL_MEMBERS:
        message = f"expected at most {MAX_CONTROL_MEMBERS} members, found {len(paths)}"
        yield document.build_finding_at_value(("members",), message)
    ids = [(*path, "member_id") for path in paths]
    yield from _find_duplicates(document, ids, _get_text)
    addresses = [(*path, "peer_address") for path in paths]
    yield from _find_duplicates(document, addresses, _get_address)


def check_own_membership(document: Document) -> Iterator[Finding]:
    """Find a member that is neither listed nor set to join a running cluster.

    ``members`` and ``join_addresses`` are mutually exclusive.
    """
    is_joining = bool(document.value.get("join_addresses"))
    members = document.value.get("members")
    if not isinstance(members, list):
        return
    if is_joining and members:
        message = "leave members empty, or leave out join_addresses"
        yield document.build_finding_at_value(("members",), message)
    elif not is_joining:
        yield from _check_own_entry(document)


def check_replaced_member(document: Document) -> Iterator[Finding]:
    """Find a replacement without a cluster to join, or with the old member id."""
    replaces = document.value.get("replaces")
    if not isinstance(replaces, str):
        return
    if not document.value.get("join_addresses"):
        message = "set join_addresses, so that it joins the running cluster"
        yield document.build_finding_at_value(("replaces",), message)
    if replaces == document.value.get("member_id"):
        message = "a host whose disk was lost comes back under a new member_id"
        yield document.build_finding_at_value(("replaces",), message)


def check_operators(document: Document) -> Iterator[Finding]:
    """Find duplicate operator names or tokens, and an empty list of operators."""
    paths = _list_item_paths(document, "operators")
    if document.value.get("operators") == []:
        message = "name at least one operator, or nobody can declare anything"
        yield document.build_finding_at_value(("operators",), message)
    names = [(*path, "name") for path in paths]
    yield from _find_duplicates(document, names, _get_text)
    tokens = [(*path, "token_sha256") for path in paths]
    yield from _find_duplicates(document, tokens, _get_text)


def check_election_timeout(document: Document) -> Iterator[Finding]:
    """Find an election timeout that a few lost heartbeats would exceed."""
    heartbeat_ms = document.value.get("heartbeat_ms", _get_default("heartbeat_ms"))
    timeout_ms = document.value.get(
        "election_timeout_ms", _get_default("election_timeout_ms")
    )
    if not (_is_integer(heartbeat_ms) and _is_integer(timeout_ms)):
        return
    minimum_ms = _MIN_HEARTBEATS_IN_ELECTION_TIMEOUT * heartbeat_ms
    if timeout_ms < minimum_ms:
        is_explicit = "election_timeout_ms" in document.value
        name = "election_timeout_ms" if is_explicit else "heartbeat_ms"
        message = (
            f"an election timeout of {timeout_ms} ms is shorter than"
            f" {_MIN_HEARTBEATS_IN_ELECTION_TIMEOUT} heartbeats of {heartbeat_ms} ms"
        )
        yield document.build_finding_at_value((name,), message)


ENTRY_RULES: tuple[Rule, ...] = (
    check_listening_addresses,
    check_peer_address,
    check_entry_peers,
    check_entry_control_addresses,
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


def _check_own_entry(document: Document) -> Iterator[Finding]:
    own_id = _get_text(document, ("member_id",))
    if own_id is None:
        return
    for path in _list_item_paths(document, "members"):
        if _get_text(document, (*path, "member_id")) != own_id:
            continue
        listed = _get_address(document, (*path, "peer_address"))
        own = _get_address(document, ("peer_address",))
        if listed and own and listed != own:
            message = f"differs from this member's own peer_address {own}"
            yield document.build_finding_at_value((*path, "peer_address"), message)
        return
    message = (
        f'"{own_id}" is not among members; list it, or set join_addresses to join'
        " a running cluster"
    )
    yield document.build_finding_at_value(("member_id",), message)


def _find_duplicates(
    document: Document,
    paths: list[DocumentPath],
    read_value: Callable[[Document, DocumentPath], str | None],
) -> Iterator[Finding]:
    first_path_by_value: dict[str, DocumentPath] = {}
    for path in paths:
        value = read_value(document, path)
        if value is None:
            continue
        first_path = first_path_by_value.setdefault(value, path)
        if first_path != path:
            message = f'"{value}" is already used by {format_path(first_path)}'
            yield document.build_finding_at_value(path, message)


def _list_item_paths(document: Document, name: str) -> list[DocumentPath]:
    items = document.value.get(name)
    if not isinstance(items, list):
        return []
    return [(name, index) for index in range(len(items))]


def _get_value(document: Document, path: DocumentPath) -> Any:
    value = document.value
    for part in path:
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int):
            value = value[part]
        else:
            return None
    return value


def _get_text(document: Document, path: DocumentPath) -> str | None:
    value = _get_value(document, path)
    return value if isinstance(value, str) else None


def _get_address(document: Document, path: DocumentPath) -> str | None:
    """Return the address at ``path`` in canonical form, or None if invalid."""
    try:
        return format_address(*parse_address(_get_text(document, path) or ""))
    except ValueError:
        return None


def _get_default(name: str) -> int:
    return ControlSettings.__dataclass_fields__[name].default


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
