"""The root command and its entry points."""

from __future__ import annotations

import importlib
import logging
import sys

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.commands import COMMANDS_BY_NAME
from galenadrum._internal.exceptions import GalenadrumError

logger = logging.getLogger(__name__)


class _LazyGroup(click.Group):
    """A group that imports the module of a command only when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS_BY_NAME)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        info = COMMANDS_BY_NAME.get(cmd_name)
        if info is None:
            return None
        return importlib.import_module(info.module).command

    def format_commands(
        self, ctx: click.Context, formatter: click.HelpFormatter
    ) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(
                [(name, info.summary) for name, info in COMMANDS_BY_NAME.items()]
            )


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Serve multi-stage model pipelines.

    Operators declare pipelines, stages, organisations, models and a policy in
    files, and apply them to the control hosts; entry hosts serve callers
    accordingly.

    \b
    A first session:
      galenadrum demo
      galenadrum check examples/vatu
      galenadrum apply -f examples/vatu/declarations
      galenadrum status

    \b
    Exit codes:
      0  success
      1  findings, or differences found by diff
      2  wrong command line
      3  no control host answered as the leader; nothing was changed
      4  conflict: a resource changed after it was read
      5  refused: token, owner or form
      6  unknown whether the change was accepted; resend its change id
      7  a file, data folder or address of this host can't be used
     70  a fault in the program
    """


def run(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    try:
        result = cli.main(arguments, prog_name="galenadrum", standalone_mode=False)
    except GalenadrumError as error:
        return output.report_error(error)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except (click.Abort, KeyboardInterrupt):
        return status_codes.INTERRUPTED
    except BrokenPipeError:
        output.discard_stdout()
        return status_codes.SUCCESS
    except OSError as error:
        output.write_to_stderr(f"error: {error}")
        return status_codes.HOST
    except Exception:
        logger.exception("unexpected internal error in galenadrum")
        return status_codes.INTERNAL
    return result if isinstance(result, int) else status_codes.SUCCESS


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run())
