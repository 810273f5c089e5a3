"""Daemons and backend servers as separate processes on loopback ports."""

import contextlib
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import urllib3

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 60.0
PORTS = range(20_000, 32_000)


def _free_ports():
    """Yield each port once, none that outgoing connections are given."""
    size = PORTS.stop - PORTS.start
    start = os.getpid() * 97 % size
    while True:
        for offset in range(size):
            port = PORTS.start + (start + offset) % size
            if _is_free(port) and _claim(port):
                yield port


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _claim(port):
    """Return whether no other run was given the port; held until this one ends."""
    folder = Path(tempfile.gettempdir()) / "galenadrum-test-ports"
    folder.mkdir(exist_ok=True)
    claim = (folder / str(port)).open("w")
    try:
        fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        claim.close()
        return False
    _claims.append(claim)
    return True


_claims = []
_ports = _free_ports()


def free_address():
    """Return a loopback address that nothing listens on now."""
    return f"127.0.0.1:{next(_ports)}"


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Poll ``condition`` until it is true; the limit only ends a broken run."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
            if condition():
                return
        time.sleep(0.02)
    raise AssertionError(f"{what} did not come about in {timeout_s} s")


def get_json(url):
    response = urllib3.request("GET", url, retries=False, timeout=5)
    return response.status, response.json()


class Process:
    """A process of the system that a test started.

    Args:
        source: Folder that its packages are imported from.
    """

    def __init__(self, name, arguments, folder, source=ROOT / "src"):
        self.name = name
        self.log_path = folder / f"{name}.log"
        environment = os.environ | {"PYTHONPATH": str(source)}
        self._log = self.log_path.open("ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env=environment,
        )

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen.poll() is None:
            # A stopped process must go on to be killed in an orderly manner.
            self.popen.kill()
        self.popen.wait()
        self.close()

    def stop(self):
        """Ask the process to stop and return its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        code = self.popen.wait(START_TIMEOUT_S)
        self.close()
        return code

    def close(self):
        self.popen.stdout.close()
        self._log.close()

    def assert_running(self):
        """Fail at once, with the log, for a process that has ended by itself."""
        code = self.popen.poll()
        assert code is None, f"{self.name} ended with {code}:\n{self.read_log()}"

    def read_log(self):
        return self.log_path.read_text()


def write_settings(folder, name, settings):
    path = folder / f"{name}.json"
    path.write_text(json.dumps(settings, indent=2))
    return path
