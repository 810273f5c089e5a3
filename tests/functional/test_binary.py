"""Tests of the single-file binary, which must run everything in one process."""

import hashlib
import os
import subprocess
import sys
from pathlib import Path

import pytest

from galenadrum import __version__
from lib.processes import get_json, reserve_address, wait_until, write_settings

TOKEN = "operator-token"
REPOSITORY = Path(__file__).parents[2]

# Imported at start-up as sitecustomize by the binary's interpreter. The audit hook ends
# a process that tries to start another one, with exit code 99.
AUDIT_HOOK_MODULE = """
import os, sys
def refuse(event, arguments):
    if event.split(".")[0] == "subprocess" or event in {
        "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system"
    }:
        os.write(2, f"started a process: {event} {arguments}".encode())
        os._exit(99)
sys.addaudithook(refuse)
"""


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    folder = tmp_path_factory.mktemp("binary")
    staged, path = folder / "staged", folder / "galenadrum"
    tool = REPOSITORY / "tools" / "stage_packages.py"
    subprocess.run([sys.executable, tool, staged], check=True)
    entry_point = "galenadrum._internal.cli.main:main"
    subprocess.run(
        [sys.executable, "-m", "shiv", "--site-packages", staged, "-e", entry_point]
        + ["-o", path],
        check=True,
    )
    return path


@pytest.fixture
def environment(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(AUDIT_HOOK_MODULE)
    shiv_root = str(tmp_path / "unpacked")
    inherited = {
        name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
    }
    return {**inherited, "PYTHONPATH": str(tmp_path), "SHIV_ROOT": shiv_root}


def run(binary, environment, *arguments):
    # The base interpreter has none of the environment's packages, so the file must
    # contain all its dependencies.
    interpreter = [getattr(sys, "_base_executable", sys.executable)]
    command = [*interpreter, str(binary), *map(str, arguments)]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def start_daemon(binary, environment, *arguments):
    interpreter = getattr(sys, "_base_executable", sys.executable)
    command = [interpreter, str(binary), *map(str, arguments)]
    return subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)


def write_daemon_settings(folder):
    control = {
        "role": "control",
        "member_id": "c1",
        "zone": "nadi",
        "data_folder": "data",
        "operator_address": reserve_address(),
        "peer_address": reserve_address(),
        "operators": [
            {"name": "vatu", "token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest()}
        ],
    }
    member = {"member_id": "c1", "peer_address": control["peer_address"]}
    control["members"] = [member]
    entry = {
        "role": "entry",
        "host_id": "nadi-1",
        "zone": "nadi",
        "caller_address": reserve_address(),
        "operator_address": reserve_address(),
        "peer_address": reserve_address(),
        "control_addresses": [control["peer_address"]],
    }
    write_settings(folder, "control", control)
    write_settings(folder, "entry", entry)
    return control, entry


class TestBinary:
    def test_runs_commands_without_starting_a_process(self, binary, environment):
        result = run(binary, environment, "version")
        assert (result.returncode, result.stdout) == (0, f"{__version__}\n")
        result = run(binary, environment, "check", REPOSITORY / "examples" / "vatu")
        assert (result.returncode, result.stdout, result.stderr) == (0, "", "")

    def test_audit_hook_ends_a_process_that_starts_another(self, environment):
        command = [sys.executable, "-c", "import os; os.system('true')"]
        result = subprocess.run(command, env=environment, capture_output=True)
        assert result.returncode == 99

    def test_runs_both_daemons_without_starting_a_process(
        self, binary, environment, tmp_path
    ):
        control, entry = write_daemon_settings(tmp_path)
        daemons = [
            start_daemon(binary, environment, "control", tmp_path / "control.json"),
            start_daemon(binary, environment, "entry", tmp_path / "entry.json"),
        ]
        try:
            environment["GALENADRUM_TOKEN"] = TOKEN
            environment["GALENADRUM_CONTROL"] = control["operator_address"]
            environment["GALENADRUM_STATE_FOLDER"] = str(tmp_path / "state")
            declarations = REPOSITORY / "examples" / "vatu" / "declarations"
            result = run(binary, environment, "apply", "-f", declarations)
            assert result.returncode == 0, result.stderr
            status = f"http://{entry['operator_address']}/v1/status"
            wait_until(
                lambda: get_json(status)[1]["revision"] == 1, "revision in force"
            )
        finally:
            for daemon in daemons:
                daemon.terminate()
            errors = [daemon.communicate()[1] for daemon in daemons]
        assert [daemon.returncode for daemon in daemons] == [0, 0], errors
