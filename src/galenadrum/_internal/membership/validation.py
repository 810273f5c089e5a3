"""Stateless validation of announcements."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterator

from galenadrum._internal.membership.announcement_results import Rejection, RejectReason
from galenadrum._internal.models.servers import Announcement, LoadReport
from galenadrum._internal.utils.addresses import split_address

MIN_TTL_S = 1.0
MAX_TTL_S = 60.0
MAX_CAPACITY = 100_000
MAX_COUNTER = 2**53
MAX_NAME_CHARACTERS = 128
MAX_NAMES = 64
MAX_CACHE_EVENTS = 256
MAX_CACHE_HASHES = 256


def host_ip(address: str) -> str:
    """Return the IP address part of a backend server's address.

    Raises:
        ValueError: The address isn't a unicast IP address with a usable port.
    """
    if len(address) > MAX_NAME_CHARACTERS:
        raise ValueError("the address is too long")
    ip, port = split_address(address)
    ip_address = ipaddress.ip_address(ip)
    if ip_address.is_unspecified or ip_address.is_multicast:
        raise ValueError(f"{address!r} is not the address of one host")
    if port == 0:
        raise ValueError(f"{address!r} has no usable port")
    return str(ip_address)


def check_announcement(
    announcement: Announcement, zone: str, peer_ip: str | None
) -> Rejection | None:
    """Validate an announcement without any state of the zone.

    Args:
        announcement: The announcement as it was parsed.
        zone: The zone of this entry host.
        peer_ip: IP address of the connection's peer, or None when another entry
            host forwarded the announcement.

    Returns:
        The rejection, or None when the announcement is valid.
    """
    if announcement.zone != zone:
        message = f"this host serves zone {zone}, not {announcement.zone[:64]!r}"
        return Rejection(RejectReason.WRONG_ZONE, message)
    try:
        announced_ip = host_ip(announcement.address)
    except ValueError as error:
        return Rejection(RejectReason.BAD_ADDRESS, str(error))
    if peer_ip is not None and announced_ip != peer_ip:
        message = f"announced {announced_ip}, but the connection is from {peer_ip}"
        return Rejection(RejectReason.PEER_MISMATCH, message)
    for message in _iter_field_problems(announcement):
        return Rejection(RejectReason.BAD_FIELD, message)
    return None


def _iter_field_problems(announcement: Announcement) -> Iterator[str]:
    if not _is_valid_name(announcement.server_id):
        yield f"server_id must have 1 to {MAX_NAME_CHARACTERS} printable characters"
    for name in ("incarnation", "sequence"):
        if not 0 <= getattr(announcement, name) <= MAX_COUNTER:
            yield f"{name} must be from 0 to {MAX_COUNTER}"
    if not 1 <= announcement.capacity <= MAX_CAPACITY:
        yield f"capacity must be from 1 to {MAX_CAPACITY}"
    if not MIN_TTL_S <= announcement.ttl_s <= MAX_TTL_S:
        yield f"ttl_s must be from {MIN_TTL_S:g} to {MAX_TTL_S:g} seconds"
    if not announcement.stages:
        yield "stages must name at least one stage"
    yield from _iter_name_problems(announcement)
    yield from _iter_report_problems(announcement)


def _iter_name_problems(announcement: Announcement) -> Iterator[str]:
    versions = tuple(part for pair in announcement.model_versions for part in pair)
    for field, names, limit in (
        ("stages", announcement.stages, MAX_NAMES),
        ("adapters", announcement.adapters, MAX_NAMES),
        ("model_versions", versions, 2 * MAX_NAMES),
        ("role", (announcement.role,), 1),
    ):
        if len(names) > limit:
            yield f"{field} has too many members"
        if not all(_is_valid_name(name) for name in names):
            yield f"{field}: names need 1 to {MAX_NAME_CHARACTERS} printable characters"
    if len(set(announcement.stages)) != len(announcement.stages):
        yield "stages names a stage twice"


def iter_load_problems(load: LoadReport | None) -> Iterator[str]:
    """Yield a message for each invalid field of a load report."""
    if load is None:
        return
    if not (0 <= load.running <= MAX_COUNTER and 0 <= load.queued <= MAX_COUNTER):
        yield "load.running and load.queued must be 0 or more"
    if not (math.isfinite(load.age_s) and load.age_s >= 0):
        yield "load.age_s must be 0 or more seconds"


def _iter_report_problems(announcement: Announcement) -> Iterator[str]:
    yield from iter_load_problems(announcement.load)
    if len(announcement.cache_events) > MAX_CACHE_EVENTS:
        yield f"cache_events has more than {MAX_CACHE_EVENTS} members"
    for event in announcement.cache_events:
        hashes = (*event.stored, *event.evicted)
        if not 0 <= event.sequence <= MAX_COUNTER:
            yield f"cache_events: sequence must be from 0 to {MAX_COUNTER}"
        if len(hashes) > MAX_CACHE_HASHES:
            yield f"cache_events: more than {MAX_CACHE_HASHES} hashes in one event"
        if not all(_is_valid_name(block_hash) for block_hash in hashes):
            yield "cache_events: a hash is empty or too long"


def _is_valid_name(text: str) -> bool:
    return 1 <= len(text) <= MAX_NAME_CHARACTERS and text.isprintable()
