"""A backend server that notes its runs in a file and fails half its calls on demand.

Each run of a stage that may not be repeated is one line of the file, so that the
count outlives the server. After SIGUSR1 every second call fails.
"""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import click

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer

ONCE_STAGE = "charge"
_FAIL_EVERY = 2


class NotingServer(BackendServer):
    """Notes the input of each run that may not be repeated.

    Args:
        options: How the server behaves.
        runs_file: File that the inputs are appended to, one a line.
    """

    def __init__(self, options: BackendOptions, runs_file: str) -> None:
        super().__init__(options)
        self._runs = os.open(runs_file, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def fail_half(self) -> None:
        """Fail every second call from now on."""
        self._options = replace(self._options, fail_every=_FAIL_EVERY)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: Any,
        stage: str,
        payload: dict[str, Any],
        number: int,
    ) -> Iterable[bytes]:
        if stage == ONCE_STAGE:
            os.write(self._runs, f"{payload['input']}\n".encode())
        return super()._serve(environ, start_response, stage, payload, number)


@click.command()
@click.option("--server-id", required=True)
@click.option("--zone", required=True)
@click.option("--stage", "stages", multiple=True, required=True)
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--listen", required=True)
@click.option("--advertise", required=True)
@click.option("--service-ms", default=40.0)
@click.option("--runs-file", required=True)
def main(
    server_id: str,
    zone: str,
    stages: tuple[str, ...],
    entries: tuple[str, ...],
    runs_file: str,
    **options: Any,
) -> None:
    """Run one backend server until it is told to stop."""
    stop = threading.Event()
    streamed = frozenset({"generate"})
    server = NotingServer(
        BackendOptions(server_id, zone, stages, streamed, entries, **options),
        runs_file,
    )
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGUSR1, lambda *_: server.fail_half())
    server.start()
    stop.wait()
    server.stop()


if __name__ == "__main__":
    main()
