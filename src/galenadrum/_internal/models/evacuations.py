"""Evacuations of availability zones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The latest order of an operator for an availability zone.

    Attributes:
        is_active: True if nothing may be sent to the servers of the zone; False if
            that was withdrawn.
        order: Index of the log entry that changed it.
        changed_at_ms: Unix time in milliseconds at which the leader accepted the
            change, by its clock.
    """

    zone: str
    is_active: bool
    order: int
    changed_at_ms: int
