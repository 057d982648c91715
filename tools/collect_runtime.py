"""Copies the package and its runtime dependencies into one folder."""

from __future__ import annotations

import re
import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

PACKAGE = "hibiscustray"
REQUIREMENT = re.compile(r"[A-Za-z0-9._-]+")
SKIPPED_PATTERNS = ("__pycache__", ".pyc")


def collect_runtime(source: Path, target: Path) -> None:
    """Replace the target folder by this checkout's package and its installed dependencies."""
    shutil.rmtree(target, ignore_errors=True)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source / PACKAGE, target / PACKAGE, ignore=ignored)
    for dependency in find_dependencies(PACKAGE).values():
        copy_distribution(dependency, target)


def find_dependencies(package: str) -> dict[str, Distribution]:
    """Return the direct and transitive dependencies of a package, without extras."""
    found: dict[str, Distribution] = {}
    pending = [package]
    while pending:
        for line in distribution(pending.pop()).requires or ():
            name = REQUIREMENT.match(line).group().lower()
            if ";" in line and "extra ==" in line or name in found:
                continue
            if ";" in line and is_for_other_platform(line):
                continue
            found[name] = distribution(name)
            pending.append(name)
    return found


def is_for_other_platform(line: str) -> bool:
    """Return whether a requirement applies only to Windows or to an older Python."""
    marker = line.split(";", 1)[1]
    return "win32" in marker or "Windows" in marker or "python_version <" in marker


def copy_distribution(dependency: Distribution, target: Path) -> None:
    """Copy the files of an installed distribution, without its scripts and bytecode."""
    for file in dependency.files or ():
        if ".." in file.parts or any(pattern in str(file) for pattern in SKIPPED_PATTERNS):
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(dependency.locate_file(file), destination)


if __name__ == "__main__":
    collect_runtime(Path(sys.argv[1]), Path(sys.argv[2]))
