"""Options and parameter types shared by several commands."""

from __future__ import annotations

import functools
import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click

from galenadrum._internal.changes.pending import CHANGE_ID_PATTERN, PendingChanges
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.models.resources import Kind, ResourceKey
from galenadrum._internal.network.operator_client import ClientTimeouts, OperatorClient

_DEFAULT_TIMEOUT_S = 30.0
_CHANGE_ID_BYTES = 16
# There is no option for the token itself: process lists show arguments.
_TOKEN_VARIABLE = "GALENADRUM_TOKEN"

_CONTROL_OPTION = click.option(
    "--control",
    envvar="GALENADRUM_CONTROL",
    required=True,
    metavar="ADDRESS[,ADDRESS...]",
    help="Operator addresses of control hosts, such as"
    " http://10.0.0.1:9100,http://10.0.0.2:9100.",
)
_TOKEN_FILE_OPTION = click.option(
    "--token-file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    envvar="GALENADRUM_TOKEN_FILE",
    default=None,
    help="File that holds the operator's token; else GALENADRUM_TOKEN holds it.",
)
_TIMEOUT_OPTION = click.option(
    "--timeout-s",
    type=click.FloatRange(min=0, min_open=True, max=3_600),
    default=_DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Longest time for the whole call, in seconds.",
)


def _parse_change_id(_: click.Context, __: click.Parameter, value: str | None) -> str:
    if value is None:
        return secrets.token_hex(_CHANGE_ID_BYTES)
    if not CHANGE_ID_PATTERN.fullmatch(value):
        raise click.BadParameter("expected 1 to 128 letters, digits, '.', '_' or '-'")
    return value


_DRY_RUN_OPTION = click.option(
    "--dry-run", is_flag=True, help="Only ask whether it would be accepted."
)
_CHANGE_ID_OPTION = click.option(
    "--change-id",
    default=None,
    callback=_parse_change_id,
    help="Idempotency key; give the same one to resend a change whose answer was"
    " lost. Made up when left out.",
)
_STATE_FOLDER_OPTION = click.option(
    "--state-folder",
    type=click.Path(file_okay=False, path_type=Path),
    envvar="GALENADRUM_STATE_FOLDER",
    default=Path("~/.local/state/galenadrum"),
    show_default=True,
    help="Where changes are kept until their outcome is known.",
)

Function = TypeVar("Function", bound=Callable[..., Any])


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """Addresses, token and timeout for calls to the control hosts.

    Attributes:
        addresses: Operator addresses of control hosts.
        token: Token of the operator, or None if none was given.
        timeout_s: Total timeout of one call over all control hosts, in seconds.
    """

    addresses: tuple[str, ...]
    token: str | None
    timeout_s: float

    def connect(self) -> OperatorClient:
        """Return a client, which connects on its first call."""
        timeouts = ClientTimeouts(call_s=self.timeout_s)
        return OperatorClient(self.addresses, self.token, timeouts)


def control_options(function: Function) -> Function:
    """Add the options for calls to the control hosts.

    The command gets one parameter, ``control``, a ``ControlOptions``.
    """

    @_CONTROL_OPTION
    @_TOKEN_FILE_OPTION
    @_TIMEOUT_OPTION
    @functools.wraps(function)
    def wrapper(
        *args: Any,
        control: str,
        token_file: Path | None,
        timeout_s: float,
        **kwargs: Any,
    ) -> Any:
        addresses = tuple(part.strip() for part in control.split(",") if part.strip())
        if not addresses:
            raise click.UsageError(
                "--control holds no address; expected ADDRESS[,ADDRESS...]"
            )
        options = ControlOptions(addresses, _read_token(token_file), timeout_s)
        return function(*args, control=options, **kwargs)

    return wrapper


def files_option(function: Function) -> Function:
    """Add ``-f``, which the command gets as ``paths``: files and folders."""
    return click.option(
        "-f",
        "--file",
        "paths",
        type=click.Path(exists=True, path_type=Path),
        multiple=True,
        required=True,
        help="Declaration file, or folder of them; may be repeated.",
    )(function)


@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options for sending a change set and printing its outcome.

    Attributes:
        change_id: Idempotency key of the change set.
        state_folder: Folder that holds the change set until its outcome is known.
        dry_run: True to have the change set checked but not applied.
        form: Output format, ``text`` or ``json``.
    """

    change_id: str
    state_folder: Path
    dry_run: bool
    form: str


def change_options(function: Function) -> Function:
    """Add the options of commands that change resources.

    The command gets one parameter, ``options``, a ``ChangeOptions``.
    """

    @_DRY_RUN_OPTION
    @_CHANGE_ID_OPTION
    @_STATE_FOLDER_OPTION
    @output_option
    @functools.wraps(function)
    def wrapper(
        *args: Any,
        change_id: str,
        state_folder: Path,
        dry_run: bool,
        form: str,
        **kwargs: Any,
    ) -> Any:
        options = ChangeOptions(change_id, state_folder, dry_run, form)
        return function(*args, options=options, **kwargs)

    return wrapper


def open_pending_changes(state_folder: Path) -> PendingChanges:
    """Return the store of pending change sets in a state folder."""
    return PendingChanges(state_folder.expanduser() / "pending-changes")


class ResourceKeyType(click.ParamType):
    """The parameter type of a resource key, written as ``KIND/NAME``."""

    name = "KIND/NAME"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> ResourceKey:
        """Parse ``KIND/NAME``; the error for another text lists the valid kinds."""
        if isinstance(value, ResourceKey):
            return value
        kind, slash, name = value.partition("/")
        if not slash or not name or kind not in tuple(Kind):
            kinds = ", ".join(Kind)
            self.fail(f"{value!r} is not KIND/NAME with a kind of {kinds}", param, ctx)
        return ResourceKey(Kind(kind), name)


def _read_token(token_file: Path | None) -> str | None:
    if token_file is None:
        token = os.environ.get(_TOKEN_VARIABLE, "")
    else:
        token = token_file.read_text(encoding="utf-8")
    return token.strip() or None
