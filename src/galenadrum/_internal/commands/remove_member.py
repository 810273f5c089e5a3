"""The command ``remove-member``."""

from __future__ import annotations

import click

from galenadrum._internal.cli import output
from galenadrum._internal.cli.forms import output_option
from galenadrum._internal.cli.options import ControlOptions, control_options


@click.command("remove-member")
@click.argument("member_id")
@control_options
@output_option
def command(member_id: str, control: ControlOptions, form: str) -> None:
    """Take a control host out of the cluster for good.

    The others then need one vote less. The member's id can't be used again; a
    host whose disk was lost is better replaced, see docs/operators.md. Refused
    when the control hosts that answer would be no quorum without it.

    \b
    Example:
      galenadrum remove-member control-ba
    """
    control.connect().remove_member(member_id)
    if form == "json":
        output.write_json({"removed": member_id})
    else:
        output.write_text(f"{member_id} removed")
