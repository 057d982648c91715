"""CPU time and memory of running processes, read from the kernel's counters.

Source: proc(5), files ``stat`` (fields 14 and 15) and ``status`` (VmRSS).
"""

from __future__ import annotations

import os
from pathlib import Path

from hibiscustray.exceptions import ProcessMissing

RSS_FIELD = "VmRSS"
USER_TICKS_INDEX = 11
SYSTEM_TICKS_INDEX = 12
"""Positions in ``stat``, counted from the field after the command name in parentheses."""
KIB_PER_MIB = 1024


def read_rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB; raise `ProcessMissing`."""
    lines = _read_proc_file(pid, "status").splitlines()
    line = next(line for line in lines if line.startswith(RSS_FIELD))
    return round(int(line.split()[1]) / KIB_PER_MIB, 1)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used so far, in seconds; raise `ProcessMissing`."""
    fields = _read_proc_file(pid, "stat").rsplit(")", 1)[1].split()
    ticks = int(fields[USER_TICKS_INDEX]) + int(fields[SYSTEM_TICKS_INDEX])
    return ticks / os.sysconf("SC_CLK_TCK")


def _read_proc_file(pid: int, name: str) -> str:
    try:
        return Path(f"/proc/{pid}/{name}").read_text()
    except OSError as error:
        raise ProcessMissing(f"process {pid} does not exist") from error
