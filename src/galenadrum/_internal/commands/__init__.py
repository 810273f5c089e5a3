"""The commands of the command line, one module each.

Modules are imported when their command runs, so that ``--help`` and small
commands start without the daemons' libraries.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommandInfo:
    """The module and summary of a command.

    Attributes:
        module: Name of a module with a click command named ``command``.
        summary: One line of text for the list of commands.
    """

    module: str
    summary: str


_PACKAGE = "galenadrum._internal.commands"

COMMANDS_BY_NAME: dict[str, CommandInfo] = {
    "entry": CommandInfo(f"{_PACKAGE}.entry", "Run an entry host."),
    "control": CommandInfo(f"{_PACKAGE}.control", "Run a control host."),
    "check": CommandInfo(
        f"{_PACKAGE}.check", "Check settings and declarations; print every finding."
    ),
    "apply": CommandInfo(
        f"{_PACKAGE}.apply", "Put declarations in place, all together or not at all."
    ),
    "diff": CommandInfo(
        f"{_PACKAGE}.diff", "Show what apply would change; change nothing."
    ),
    "get": CommandInfo(
        f"{_PACKAGE}.get", "Show resources and where they are in force."
    ),
    "watch": CommandInfo(f"{_PACKAGE}.watch", "Follow changes as they are accepted."),
    "delete": CommandInfo(f"{_PACKAGE}.delete", "Delete resources."),
    "status": CommandInfo(
        f"{_PACKAGE}.status", "Show control hosts and the revisions in force."
    ),
    "remove-member": CommandInfo(
        f"{_PACKAGE}.remove_member", "Take a control host out of the cluster for good."
    ),
    "export": CommandInfo(
        f"{_PACKAGE}.export", "Write one owner's declarations as a file."
    ),
    "import": CommandInfo(
        f"{_PACKAGE}.import_", "Create exported declarations elsewhere."
    ),
    "digest": CommandInfo(f"{_PACKAGE}.digest", "Print the digest of a key or token."),
    "trace": CommandInfo(f"{_PACKAGE}.trace", "Show recorded traces as trees."),
    "explain": CommandInfo(
        f"{_PACKAGE}.explain", "Show where a request would go now, and why."
    ),
    "report": CommandInfo(
        f"{_PACKAGE}.report", "Report a period's requests from the logs of hosts."
    ),
    "demo": CommandInfo(f"{_PACKAGE}.demo", "Run the whole path on this machine."),
    "version": CommandInfo(f"{_PACKAGE}.version", "Print the version."),
}
