"""Runs the demo from the binary and shows that it is one process that writes only to memory.

Watches the process while it runs: its children, its open files, and the bytes that it caused to
be written to storage (pages of a memory file system do not count there).
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
LIMIT_S = 90.0
KIB_PER_MIB = 1024
MEMORY_PREFIXES = ("/dev/", "/proc/", "/memfd:", "socket:", "pipe:", "anon_inode:")


@dataclass
class Seen:
    """What was seen of the process."""

    children: set[str] = field(default_factory=set)
    files: set[str] = field(default_factory=set)
    storage_b: int = 0
    resident_kib: int = 0
    samples: int = 0


def check_binary(binary: Path, memory: Path) -> int:
    """Print what was seen; return 1 if any promise was broken.

    `memory` is a folder on a memory file system, for the temporary files of the demo.
    """
    start_s = [measure_start(binary) for _ in range(3)]
    print("start times in seconds, the first with unpacking: " + ", ".join(map(str, start_s)))
    with tempfile.TemporaryDirectory(dir=memory) as scratch, tempfile.TemporaryDirectory() as home:
        environment = make_environment() | {"TMPDIR": scratch, "HOME": home}
        demo = subprocess.Popen(
            [binary, "demo", "--json", "--seed", "7"],
            cwd=home,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        seen = watch(demo)
        report = demo.stdout.read().decode().strip()
        left = [str(path) for path in Path(home).rglob("*")]
    print(f"demo: exit {demo.returncode} {report}")
    print(f"samples {seen.samples}, largest resident memory {seen.resident_kib // KIB_PER_MIB} MiB")
    print(f"child processes: {sorted(seen.children) or 'none'}")
    print(f"files open for writing outside memory: {sorted(seen.files) or 'none'}")
    print(f"bytes written to storage: {seen.storage_b}; left in the home folder: {left or 'none'}")
    is_good = demo.returncode == 0 and seen.samples > 0
    return 0 if is_good and not (seen.children or seen.files or seen.storage_b or left) else 1


def make_environment() -> dict[str, str]:
    """Return an environment whose first python3.11 is an interpreter and no launcher of one."""
    interpreters = Path(sys.base_prefix) / "bin"
    return os.environ | {"PATH": f"{interpreters}:{os.environ['PATH']}"}


def measure_start(binary: Path) -> float:
    """Return the seconds that the version command takes."""
    started = time.monotonic()
    subprocess.run([binary, "--version"], check=True, env=make_environment(), capture_output=True)
    return round(time.monotonic() - started, 2)


def watch(process: subprocess.Popen) -> Seen:
    """Sample a process until it ends or the time is over."""
    seen = Seen()
    deadline = time.monotonic() + LIMIT_S
    while process.poll() is None:
        if time.monotonic() > deadline:
            process.kill()
        try:
            take_sample(Path(f"/proc/{process.pid}"), seen)
        except (FileNotFoundError, ProcessLookupError, PermissionError):
            continue
        time.sleep(SAMPLE_INTERVAL_S)
    return seen


def take_sample(process: Path, seen: Seen) -> None:
    """Add one look at a process's children, files, memory and writes."""
    for task in (process / "task").iterdir():
        seen.children.update(read_children(task))
    seen.files.update(find_written_files(process))
    status = dict(line.split(":", 1) for line in (process / "status").read_text().splitlines())
    seen.resident_kib = max(seen.resident_kib, int(status.get("VmHWM", "0 kB").split()[0]))
    counters = dict(line.split(": ") for line in (process / "io").read_text().splitlines())
    seen.storage_b = max(seen.storage_b, int(counters["write_bytes"]))
    seen.samples += 1


def read_children(task: Path) -> list[str]:
    """Return the children of one thread; a thread may end meanwhile."""
    try:
        return (task / "children").read_text().split()
    except (FileNotFoundError, ProcessLookupError):
        return []


def find_written_files(process: Path) -> list[str]:
    """Return the files that a process holds open for writing outside memory."""
    found = []
    for descriptor in (process / "fd").iterdir():
        try:
            target = os.readlink(descriptor)
            info = (process / "fdinfo" / descriptor.name).read_text().splitlines()
        except (FileNotFoundError, ProcessLookupError):
            continue
        flags = int(next(line.split()[1] for line in info if line.startswith("flags")), 8)
        if flags & (os.O_WRONLY | os.O_RDWR) and not target.startswith(MEMORY_PREFIXES):
            found.append(target)
    return found


if __name__ == "__main__":
    sys.exit(check_binary(Path(sys.argv[1]).resolve(), Path(sys.argv[2])))
