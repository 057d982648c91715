"""Runs the demo from the binary and checks that it is one process that writes only to memory.

Samples the child processes, the open files and the bytes written to storage while the process
runs. Writes to a file system in memory do not count as written to storage.
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
TIMEOUT_S = 90.0
KIB_PER_MIB = 1024
MEMORY_PREFIXES = ("/dev/", "/proc/", "/memfd:", "socket:", "pipe:", "anon_inode:")


@dataclass
class ProcessUsage:
    """Child processes, files, storage writes and largest memory over all samples of a process."""

    children: set[str] = field(default_factory=set)
    files: set[str] = field(default_factory=set)
    storage_b: int = 0
    resident_kib: int = 0
    samples: int = 0


def check_binary(binary: Path, memory: Path) -> int:
    """Print the measurements; return 1 if the demo failed or broke one of the requirements.

    `memory` is a folder on a file system in memory, for the temporary files of the demo.
    """
    start_times_s = [measure_start(binary) for _ in range(3)]
    print(
        "start times in seconds (the first includes unpacking): "
        + ", ".join(map(str, start_times_s))
    )
    with tempfile.TemporaryDirectory(dir=memory) as scratch, tempfile.TemporaryDirectory() as home:
        environment = make_environment() | {"TMPDIR": scratch, "HOME": home}
        demo = subprocess.Popen(
            [binary, "demo", "--json", "--seed", "7"],
            cwd=home,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        usage = monitor_process(demo)
        report = demo.stdout.read().decode().strip()
        leftovers = [str(path) for path in Path(home).rglob("*")]
    print(f"demo: exit {demo.returncode} {report}")
    print(
        f"samples {usage.samples}, largest resident memory {usage.resident_kib // KIB_PER_MIB} MiB"
    )
    print(f"child processes: {sorted(usage.children) or 'none'}")
    print(f"files open for writing outside memory: {sorted(usage.files) or 'none'}")
    print(
        f"bytes written to storage: {usage.storage_b}; "
        f"files left in the home folder: {leftovers or 'none'}"
    )
    has_run = demo.returncode == 0 and usage.samples > 0
    return (
        0 if has_run and not (usage.children or usage.files or usage.storage_b or leftovers) else 1
    )


def make_environment() -> dict[str, str]:
    """Return an environment whose first ``python3.11`` is an interpreter, not a launcher script."""
    interpreter_folder = Path(sys.base_prefix) / "bin"
    return os.environ | {"PATH": f"{interpreter_folder}:{os.environ['PATH']}"}


def measure_start(binary: Path) -> float:
    """Return the duration of the version command in seconds."""
    started = time.monotonic()
    subprocess.run([binary, "--version"], check=True, env=make_environment(), capture_output=True)
    return round(time.monotonic() - started, 2)


def monitor_process(process: subprocess.Popen) -> ProcessUsage:
    """Sample a process until it ends; kill it after the timeout."""
    usage = ProcessUsage()
    deadline = time.monotonic() + TIMEOUT_S
    while process.poll() is None:
        if time.monotonic() > deadline:
            process.kill()
        try:
            take_sample(Path(f"/proc/{process.pid}"), usage)
        except (FileNotFoundError, ProcessLookupError, PermissionError):
            continue
        time.sleep(SAMPLE_INTERVAL_S)
    return usage


def take_sample(process: Path, usage: ProcessUsage) -> None:
    """Add one sample of a process's children, files, memory and writes."""
    for task in (process / "task").iterdir():
        usage.children.update(read_children(task))
    usage.files.update(find_written_files(process))
    status = dict(line.split(":", 1) for line in (process / "status").read_text().splitlines())
    usage.resident_kib = max(usage.resident_kib, int(status.get("VmHWM", "0 kB").split()[0]))
    counters = dict(line.split(": ") for line in (process / "io").read_text().splitlines())
    usage.storage_b = max(usage.storage_b, int(counters["write_bytes"]))
    usage.samples += 1


def read_children(task: Path) -> list[str]:
    """Return the child processes of one thread, or none if the thread has ended meanwhile."""
    try:
        return (task / "children").read_text().split()
    except (FileNotFoundError, ProcessLookupError):
        return []


def find_written_files(process: Path) -> list[str]:
    """Return the files outside memory that a process has open for writing."""
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
