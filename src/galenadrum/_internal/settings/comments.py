"""Removal of comments from JSON with comments."""

from __future__ import annotations

import re

# A string comes first, so that comment marks inside it are left alone. A
# string or block comment that is never closed is matched to its end, so that
# it can be reported where it began.
_TOKEN = re.compile(
    r"""
    (?P<string>"(?:[^"\\\n]|\\.)*"?)
    | (?P<line>//[^\n]*)
    | (?P<block>/\*(?:[^*]|\*(?!/))*\*/)
    | (?P<open_block>/\*.*)
    """,
    re.VERBOSE | re.DOTALL,
)
_NOT_A_LINE_BREAK = re.compile(r"[^\n]")


class UnclosedCommentError(ValueError):
    """Raised when a block comment has no end.

    Attributes:
        position: Index of its first character.
    """

    def __init__(self, position: int) -> None:
        super().__init__("the comment is not closed; end it with */")
        self.position = position


def blank_comments(text: str) -> str:
    """Replace each comment by blanks, so that all else keeps its position.

    Args:
        text: JSON with ``//`` and ``/* */`` comments.

    Returns:
        JSON of the same length, with the same line breaks.

    Raises:
        UnclosedCommentError: A block comment has no end.
    """
    return _TOKEN.sub(_blank_token, text)


def _blank_token(match: re.Match[str]) -> str:
    if match.lastgroup == "string":
        return match.group()
    if match.lastgroup == "open_block":
        raise UnclosedCommentError(match.start())
    return _NOT_A_LINE_BREAK.sub(" ", match.group())
