"""Reads the resources that a process uses from Linux's `/proc`: CPU time, resident memory and sockets."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
#: indices of fields of `/proc/PID/stat` after the process's name: ticks in user mode and kernel mode, resident pages
_USER_TICKS, _KERNEL_TICKS, _RESIDENT_PAGES = 11, 12, 21


@dataclass(frozen=True)
class Usage:
    """The resources that a process uses.

    Attributes:
        cpu_s: The CPU time since the start of the process, in seconds.
        memory_mb: The resident memory, in megabytes.
    """

    cpu_s: float
    memory_mb: float


def read_usage(pid: int) -> Usage | None:
    """Return the CPU time and memory of a process, or None if the process does not exist."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()  # the process's name may contain spaces and parentheses
    ticks = int(fields[_USER_TICKS]) + int(fields[_KERNEL_TICKS])
    return Usage(cpu_s=ticks / _TICKS_PER_S, memory_mb=int(fields[_RESIDENT_PAGES]) * _PAGE_MB)


def count_sockets(pid: int) -> int:
    """Return the number of open sockets of a process, 0 if the process does not exist."""
    count = 0
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            try:
                count += os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
            except OSError:
                continue  # the file was closed after the directory was listed
    except OSError:
        return 0
    return count
