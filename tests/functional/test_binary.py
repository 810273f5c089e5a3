import os
import subprocess
import sys
from pathlib import Path

import pytest

from galenadrum import __version__

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
