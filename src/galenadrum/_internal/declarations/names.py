"""The form of resource names."""

from __future__ import annotations

import re

NAME_MAX_CHARACTERS = 63
_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")

NAME_RULE = (
    f"expected 1 to {NAME_MAX_CHARACTERS} lower-case letters, digits, '.', '_' or '-',"
    " with a letter or digit at both ends"
)


def is_valid_name(value: object) -> bool:
    """Say whether ``value`` may name a resource or an availability zone."""
    if not isinstance(value, str) or len(value) > NAME_MAX_CHARACTERS:
        return False
    return _NAME.fullmatch(value) is not None
