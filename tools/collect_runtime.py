"""Copies the package and the libraries that it needs at run time into one folder."""

from __future__ import annotations

import re
import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

PACKAGE = "hibiscustray"
REQUIREMENT = re.compile(r"[A-Za-z0-9._-]+")
SKIPPED = ("__pycache__", ".pyc")


def collect_runtime(source: Path, target: Path) -> None:
    """Fill the target with this checkout's package and the installed libraries."""
    shutil.rmtree(target, ignore_errors=True)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source / PACKAGE, target / PACKAGE, ignore=ignored)
    for library in find_libraries(PACKAGE).values():
        copy_library(library, target)


def find_libraries(package: str) -> dict[str, Distribution]:
    """Return the libraries that a package needs, and those that they need, without extras."""
    found: dict[str, Distribution] = {}
    waiting = [package]
    while waiting:
        for line in distribution(waiting.pop()).requires or ():
            name = REQUIREMENT.match(line).group().lower()
            if ";" in line and "extra ==" in line or name in found:
                continue
            if ";" in line and is_for_other_platform(line):
                continue
            found[name] = distribution(name)
            waiting.append(name)
    return found


def is_for_other_platform(line: str) -> bool:
    """Tell whether a requirement is only for Windows or an older Python."""
    marker = line.split(";", 1)[1]
    return "win32" in marker or "Windows" in marker or "python_version <" in marker


def copy_library(library: Distribution, target: Path) -> None:
    """Copy the files of an installed library, but no scripts."""
    for file in library.files or ():
        if ".." in file.parts or any(mark in str(file) for mark in SKIPPED):
            continue
        place = target / file
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(library.locate_file(file), place)


if __name__ == "__main__":
    collect_runtime(Path(sys.argv[1]), Path(sys.argv[2]))
