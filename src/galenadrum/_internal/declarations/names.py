"""Syntax of resource and availability zone names."""

from __future__ import annotations

import re

NAME_MAX_CHARACTERS = 63
_NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")

NAME_RULE = (
    f"expected 1 to {NAME_MAX_CHARACTERS} lower-case letters, digits, '.', '_' or '-',"
    " with a letter or digit at both ends"
)


def is_valid_name(value: object) -> bool:
    """Return whether ``value`` is a valid resource or availability zone name."""
    if not isinstance(value, str) or len(value) > NAME_MAX_CHARACTERS:
        return False
    return _NAME_PATTERN.fullmatch(value) is not None
