"""Backend server that records its runs in a file and fails half its calls on demand.

Each run of a non-repeatable stage appends one line to the file, so that the count
survives the server process. After SIGUSR1 every second call fails.
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

NON_REPEATABLE_STAGE = "charge"
_FAIL_EVERY = 2


class RunRecordingServer(BackendServer):
    """Backend server that records the input of each run of a non-repeatable stage.

    Args:
        options: Options of the backend server.
        runs_file: Path of the file to which inputs are appended, one per line.
    """

    def __init__(self, options: BackendOptions, runs_file: str) -> None:
        super().__init__(options)
        self._runs_fd = os.open(runs_file, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def fail_every_second_call(self) -> None:
        """Make every second call fail from now on."""
        self._options = replace(self._options, fail_every=_FAIL_EVERY)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: Any,
        stage: str,
        payload: dict[str, Any],
        number: int,
    ) -> Iterable[bytes]:
        if stage == NON_REPEATABLE_STAGE:
            os.write(self._runs_fd, f"{payload['input']}\n".encode())
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
    """Run one backend server until SIGTERM."""
    stop = threading.Event()
    streamed = frozenset({"generate"})
    server = RunRecordingServer(
        BackendOptions(server_id, zone, stages, streamed, entries, **options),
        runs_file,
    )
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGUSR1, lambda *_: server.fail_every_second_call())
    server.start()
    stop.wait()
    server.stop()


if __name__ == "__main__":
    main()
