"""Installs the dependencies listed in ``pyproject.toml`` into ``target/deps``."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"


def main() -> None:
    """Install the dependencies and exit with pip's status code."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    command += ["--target", str(TARGET), *project["dependencies"]]
    sys.exit(subprocess.run(command, check=False).returncode)


if __name__ == "__main__":
    main()
