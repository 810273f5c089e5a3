"""The ``--output`` option."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

Function = TypeVar("Function", bound=Callable[..., Any])


def output_option(function: Function) -> Function:
    """Add ``-o``, which the command gets as ``form``: ``text`` or ``json``."""
    return click.option(
        "-o",
        "--output",
        "form",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Form of the result; json is for machines.",
    )(function)
