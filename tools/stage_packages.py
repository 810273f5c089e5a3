"""Copies galenadrum and its run-time requirements into one folder.

The packages are taken from the environment that runs this program, so that the
binary contains the tested versions and its build downloads nothing.

Usage: python tools/stage_packages.py FOLDER
"""

from __future__ import annotations

import shutil
import sys
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement

_PROJECT = "galenadrum"
_SOURCE_FOLDER = Path(__file__).parents[1] / "src"
# Requirements of hdrhistogram that only its build uses.
_BUILD_TIME_PROJECTS = frozenset({"pbr", "setuptools"})
_SKIPPED_SUFFIXES = frozenset({".pyc", ".pyo"})


def stage(target: Path) -> None:
    """Replace ``target`` with copies of the package and its requirements."""
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(_SOURCE_FOLDER / _PROJECT, target / _PROJECT, ignore=ignored)
    for name in sorted(list_requirements(_PROJECT)):
        copy_distribution(metadata.distribution(name), target)


def list_requirements(project: str) -> set[str]:
    """Return the names of a project's direct and transitive requirements."""
    found: set[str] = set()
    pending = [project]
    while pending:
        for text in metadata.requires(pending.pop()) or []:
            requirement = Requirement(text)
            marker = requirement.marker
            if marker is not None and not marker.evaluate({"extra": ""}):
                continue
            if requirement.name not in found | _BUILD_TIME_PROJECTS:
                found.add(requirement.name)
                pending.append(requirement.name)
    return found


def copy_distribution(distribution: metadata.Distribution, target: Path) -> None:
    """Copy the importable files and the metadata of a distribution."""
    for file in distribution.files or []:
        # Scripts and manual pages lie outside the package folder.
        if ".." in file.parts or file.suffix in _SKIPPED_SUFFIXES:
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(distribution.locate_file(file), destination)


if __name__ == "__main__":
    stage(Path(sys.argv[1]))
