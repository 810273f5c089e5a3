import hashlib
import os
import subprocess
import sys
from pathlib import Path

import pytest

from galenadrum import __version__
from lib.processes import free_address, get_json, wait_until, write_settings

TOKEN = "operator-token"
REPOSITORY = Path(__file__).parents[2]

# Put in the way of the binary's interpreter: whatever would start a process
# ends the one that asked.
WATCHER = """
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
    (tmp_path / "sitecustomize.py").write_text(WATCHER)
    shiv_root = str(tmp_path / "unpacked")
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    return {**kept, "PYTHONPATH": str(tmp_path), "SHIV_ROOT": shiv_root}


def run(binary, environment, *arguments):
    # Without the environment's own packages: the file must hold all it needs.
    interpreter = [getattr(sys, "_base_executable", sys.executable)]
    command = [*interpreter, str(binary), *map(str, arguments)]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def start(binary, environment, *arguments):
    interpreter = getattr(sys, "_base_executable", sys.executable)
    command = [interpreter, str(binary), *map(str, arguments)]
    return subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)


def write_daemon_settings(folder):
    control = {
        "role": "control",
        "member_id": "c1",
        "zone": "nadi",
        "data_folder": "data",
        "operator_address": free_address(),
        "peer_address": free_address(),
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
        "caller_address": free_address(),
        "operator_address": free_address(),
        "peer_address": free_address(),
        "control_addresses": [control["peer_address"]],
    }
    write_settings(folder, "control", control)
    write_settings(folder, "entry", entry)
    return control, entry


class TestBinary:
    def test_runs_commands_in_the_process_that_was_started(self, binary, environment):
        result = run(binary, environment, "version")
        assert (result.returncode, result.stdout) == (0, f"{__version__}\n")
        result = run(binary, environment, "check", REPOSITORY / "examples" / "vatu")
        assert (result.returncode, result.stdout, result.stderr) == (0, "", "")

    def test_the_watcher_would_notice_a_child(self, environment):
        command = [sys.executable, "-c", "import os; os.system('true')"]
        result = subprocess.run(command, env=environment, capture_output=True)
        assert result.returncode == 99

    def test_runs_both_daemons_without_starting_a_process(
        self, binary, environment, tmp_path
    ):
        control, entry = write_daemon_settings(tmp_path)
        daemons = [
            start(binary, environment, "control", tmp_path / "control.json"),
            start(binary, environment, "entry", tmp_path / "entry.json"),
        ]
        try:
            environment["GALENADRUM_TOKEN"] = TOKEN
            environment["GALENADRUM_CONTROL"] = control["operator_address"]
            environment["GALENADRUM_STATE_FOLDER"] = str(tmp_path / "state")
            declarations = REPOSITORY / "examples" / "vatu" / "declarations"
            result = run(binary, environment, "apply", "-f", declarations)
            assert result.returncode == 0, result.stderr
            status = f"http://{entry['operator_address']}/v1/status"
            wait_until(lambda: get_json(status)[1]["revision"] == 1, "the revision")
        finally:
            for daemon in daemons:
                daemon.terminate()
            errors = [daemon.communicate()[1] for daemon in daemons]
        assert [daemon.returncode for daemon in daemons] == [0, 0], errors
