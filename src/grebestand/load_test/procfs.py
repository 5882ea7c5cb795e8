"""The resources that a process uses, as Linux's `/proc` has them: processor time, resident memory, sockets."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
#: fields of `/proc/PID/stat` behind the process's name: ticks in user and in kernel mode, and resident pages
_USER_TICKS, _KERNEL_TICKS, _RESIDENT_PAGES = 11, 12, 21


@dataclass(frozen=True)
class Usage:
    """Processor seconds since the process began, and resident megabytes."""

    cpu_s: float
    memory_mb: float


def read_usage(pid: int) -> Usage | None:
    """Return what a process uses, or None if it is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()  # the name may have spaces and parentheses
    ticks = int(fields[_USER_TICKS]) + int(fields[_KERNEL_TICKS])
    return Usage(cpu_s=ticks / _TICKS_PER_S, memory_mb=int(fields[_RESIDENT_PAGES]) * _PAGE_MB)


def count_sockets(pid: int) -> int:
    """Return the number of open sockets, 0 if the process is gone."""
    count = 0
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            try:
                count += os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
            except OSError:
                continue  # closed meanwhile
    except OSError:
        return 0
    return count
