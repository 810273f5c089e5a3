"""The command ``digest``."""

from __future__ import annotations

import hashlib
import sys

import click

from galenadrum._internal.cli import output


@click.command("digest")
def command() -> None:
    """Print the SHA-256 digest of a caller's key or an operator's token.

    The secret is read from standard input, so that it doesn't appear in
    process lists; line breaks at its end are ignored. Put the digest into
    key_sha256 of an organisation, or token_sha256 of an operator.

    \b
    Example:
      printf %s "$KEY" | galenadrum digest
    """
    secret = sys.stdin.buffer.read().rstrip(b"\r\n")
    if not secret:
        raise click.UsageError("standard input is empty; expected a key or a token")
    output.write_text(hashlib.sha256(secret).hexdigest())
