"""The command ``get``."""

from __future__ import annotations

import json
from typing import Any

import click

from galenadrum._internal.cli import output, status_codes
from galenadrum._internal.cli.options import ControlOptions, control_options
from galenadrum._internal.cli.output_option import output_option
from galenadrum._internal.cli.resources import describe_in_force, resource_to_json
from galenadrum._internal.models.operator_api import ResourceState
from galenadrum._internal.models.resources import Kind

_HEADERS = ("KIND", "NAME", "OWNER", "REVISION", "GENERATION", "IN FORCE")


@click.command("get")
@click.argument("kind", required=False, type=click.Choice([str(k) for k in Kind]))
@click.argument("name", required=False)
@click.option("--owner", help="Only the resources of this operator.")
@control_options
@output_option
def command(
    kind: str | None,
    name: str | None,
    owner: str | None,
    control: ControlOptions,
    form: str,
) -> int:
    """Show resources and where they are in force.

    The last column counts the entry hosts that serve the revision of the
    resource or a later one, and names hosts that have not confirmed it.

    \b
    Examples:
      galenadrum get
      galenadrum get pipeline
      galenadrum get pipeline restock-plan -o json
    """
    found = control.connect().list_resources(kind, name, owner)
    if form == "json":
        resources = [resource_to_json(resource) for resource in found.resources]
        output.write_json({"revision": found.revision, "resources": resources})
    elif name is not None:
        for resource in found.resources:
            _write_resource(resource)
    else:
        output.write_table(
            _HEADERS, [_to_row(resource) for resource in found.resources]
        )
    missing = name is not None and not found.resources
    if missing:
        output.write_to_stderr(f"error: there is no {kind}/{name}")
    return status_codes.FINDINGS if missing else status_codes.SUCCESS


def _to_row(resource: ResourceState) -> tuple[Any, ...]:
    return (
        resource.key.kind,
        resource.key.name,
        resource.owner,
        resource.revision,
        resource.generation,
        describe_in_force(resource.status),
    )


def _write_resource(resource: ResourceState) -> None:
    output.write_text(json.dumps(resource_to_json(resource), indent=2))
