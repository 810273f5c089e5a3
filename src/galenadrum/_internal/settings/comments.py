"""Removal of comments from JSON with comments."""

from __future__ import annotations

import re

# Strings are matched first, so that comment marks inside them are ignored.
# Unclosed strings and block comments are matched to their end, so that they
# can be reported at their start.
_TOKEN = re.compile(
    r"""
    (?P<string>"(?:[^"\\\n]|\\.)*"?)
    | (?P<line>//[^\n]*)
    | (?P<block>/\*(?:[^*]|\*(?!/))*\*/)
    | (?P<open_block>/\*.*)
    """,
    re.VERBOSE | re.DOTALL,
)
_NON_LINE_BREAK = re.compile(r"[^\n]")


class UnclosedCommentError(ValueError):
    """Raised when a block comment isn't closed.

    Attributes:
        position: Index of the first character of the comment.
    """

    def __init__(self, position: int) -> None:
        super().__init__("the comment is not closed; end it with */")
        self.position = position


def blank_comments(text: str) -> str:
    """Replace comments by spaces, so that all other text keeps its position.

    Args:
        text: JSON with ``//`` and ``/* */`` comments.

    Returns:
        JSON of the same length and with the same line breaks.

    Raises:
        UnclosedCommentError: A block comment isn't closed.
    """
    return _TOKEN.sub(_blank_token, text)


def _blank_token(match: re.Match[str]) -> str:
    if match.lastgroup == "string":
        return match.group()
    if match.lastgroup == "open_block":
        raise UnclosedCommentError(match.start())
    return _NON_LINE_BREAK.sub(" ", match.group())
