"""The command ``demo``."""

from __future__ import annotations

from pathlib import Path

import click

from galenadrum._internal.demo.runner import EXAMPLES_FOLDER, run_demo


@click.command("demo")
@click.option(
    "--examples",
    "examples_folder",
    type=click.Path(path_type=Path, file_okay=False),
    default=EXAMPLES_FOLDER,
    help="Folder of the two examples; by default that of the source tree.",
)
def command(examples_folder: Path) -> int | None:
    """Run the whole path on this machine, then exit.

    Starts a control host, an entry host and small fake backend servers on free
    loopback ports, declares both examples, sends requests over HTTP, and
    prints a JSON object with the counts and latencies as its last line.
    """
    if not examples_folder.is_dir():
        raise click.UsageError(
            f"{examples_folder} is not a folder; give the examples with --examples"
        )
    return run_demo(examples_folder)
