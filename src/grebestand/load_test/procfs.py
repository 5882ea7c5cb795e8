"""What the kernel says of a process: processor time, resident memory, sockets. Linux's `/proc`."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


@dataclass(frozen=True)
class Usage:
    """Processor seconds since the process began, and resident megabytes."""

    cpu_s: float
    memory_mb: float


def usage(pid: int) -> Usage | None:
    """None: the process is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()
    return Usage((int(fields[11]) + int(fields[12])) / _TICKS, int(fields[21]) * _PAGE_MB)


def sockets(pid: int) -> int:
    """Open sockets; 0 if the process is gone."""
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
