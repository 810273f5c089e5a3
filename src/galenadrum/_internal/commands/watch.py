"""The command ``watch``."""

from __future__ import annotations

import json

import click

from galenadrum._internal.cli import output
from galenadrum._internal.cli.options import ControlOptions, control_options
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.cli.resources import resource_to_json
from galenadrum._internal.models.operator_api import ResourceEvent


@click.command("watch")
@click.option(
    "--from",
    "from_revision",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Revision that is known already; 0 begins with all resources.",
)
@click.option(
    "--count",
    type=click.IntRange(min=1),
    default=None,
    help="End after this many events instead of never.",
)
@control_options
@output_option
def command(
    from_revision: int, count: int | None, control: ControlOptions, form: str
) -> None:
    """Follow changes as they are accepted, until interrupted.

    A silent connection is closed and reopened from the last revision shown, so
    that no change is missed. A watcher that is too far behind gets all
    resources again, marked as a snapshot.

    \b
    Examples:
      galenadrum watch
      galenadrum watch --from 1204 -o json
    """
    events = control.connect().watch(from_revision, _report_reconnect)
    for number, event in enumerate(events, start=1):
        if form == "json":
            output.write_json(_to_json(event))
        else:
            _write_event(event)
        if number == count:
            return


def _report_reconnect(reason: str) -> None:
    output.write_to_stderr(f"reconnecting: {reason}")


def _write_event(event: ResourceEvent) -> None:
    if event.snapshot:
        output.write_text(
            f"{event.revision} snapshot of {len(event.changed)} resources"
        )
    for resource in event.changed:
        spec = json.dumps(resource.spec)
        output.write_text(f"{resource.revision} put {resource.key} {spec}")
    for key in event.deleted:
        output.write_text(f"{event.revision} deleted {key}")


def _to_json(event: ResourceEvent) -> dict[str, object]:
    return {
        "from_revision": event.from_revision,
        "revision": event.revision,
        "snapshot": event.snapshot,
        "changed": [resource_to_json(resource) for resource in event.changed],
        "deleted": [{"kind": key.kind, "name": key.name} for key in event.deleted],
    }
