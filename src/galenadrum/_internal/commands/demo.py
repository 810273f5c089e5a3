"""The command ``demo``."""

from __future__ import annotations

import click

from galenadrum._internal.demo.runner import run_demo


@click.command("demo")
def command() -> int | None:
    """Run the whole path on this machine and end by itself.

    Starts a control host, an entry host and small fake backend servers on free
    loopback ports, declares both examples, sends requests over HTTP, and
    prints as its last line one JSON object with the counts and latencies.
    """
    return run_demo()
