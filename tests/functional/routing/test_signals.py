"""Handling of signals by a daemon process."""

import os
import signal
import subprocess
import sys

PROGRAM = """
import asyncio, os, signal, sys
from galenadrum._internal.utils.stop_signals import stop_event

async def main():
    stop = stop_event()
    print("ready", flush=True)
    await stop.wait()
    print("stopped", flush=True)

asyncio.run(main())
"""


class TestReload:
    def test_sighup_does_not_end_the_process(self):
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        assert process.stdout.readline() == "ready\n"
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == "stopped\n"
        assert process.wait(10) == 0
