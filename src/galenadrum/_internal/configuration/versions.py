"""Versions of the routing configuration, and how messages say that there is none.

An operator may send any version from 0 to 2**63 - 1. In messages between hosts, the
field is absent if the sender holds no configuration, as 0 is a version like any other.
"""

from __future__ import annotations

from typing import Protocol

MAX_VERSION = 2**63 - 1
# Version of a host that holds no configuration: lower than all that may be sent.
NO_VERSION = -1


class VersionedMessage(Protocol):
    """A message between hosts with an optional field ``version``."""

    version: int

    def HasField(self, field_name: str) -> bool:  # noqa: N802
        """Return whether an optional field is present."""


def encode_version(version: int) -> int | None:
    """Return the value of the optional field ``version`` of a message."""
    return None if version == NO_VERSION else version


def decode_version(message: VersionedMessage) -> int:
    """Return the version that a message names; `NO_VERSION` if it names none."""
    return message.version if message.HasField("version") else NO_VERSION
