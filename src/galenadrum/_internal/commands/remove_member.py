"""The command ``remove-member``."""

from __future__ import annotations

import click

from galenadrum._internal.cli import output
from galenadrum._internal.cli.options import ControlOptions, control_options
from galenadrum._internal.cli.output_option import output_option


@click.command("remove-member")
@click.argument("member_id")
@control_options
@output_option
def command(member_id: str, control: ControlOptions, form: str) -> None:
    """Take a control host out of the cluster for good.

    The quorum is then counted without it. The member id can't be used again;
    replace a host that lost its disk instead, see docs/operators.md. The
    removal is refused if the control hosts that answer would not form a quorum
    without the member.

    \b
    Example:
      galenadrum remove-member control-ba
    """
    control.connect().remove_member(member_id)
    if form == "json":
        output.write_json({"removed": member_id})
    else:
        output.write_text(f"{member_id} removed")
