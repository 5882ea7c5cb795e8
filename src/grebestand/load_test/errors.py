"""Errors that end a scale run before it has a verdict.

The command line reports any `RuntimeError` of a rehearsal as one line, hence the second base class.
"""

from __future__ import annotations

from ..errors import GrebestandError


class ScaleRunError(GrebestandError, RuntimeError):
    """Base of the errors that end a scale run."""


class ProcessEndedError(ScaleRunError):
    """A child process of the run has ended by itself.

    Attributes:
        name: the name of the process.
        last_log_line: the last line of its log.
    """

    def __init__(self, name: str, last_log_line: str) -> None:
        self.name = name
        self.last_log_line = last_log_line
        super().__init__(f"{name} has ended: {last_log_line}")


class ProcessTimeoutError(ScaleRunError):
    """A child process did not do in time what it was asked to do.

    Attributes:
        name: the name of the process.
        action: what it was asked to do.
        last_log_line: the last line of its log.
    """

    def __init__(self, name: str, action: str, last_log_line: str) -> None:
        self.name = name
        self.action = action
        self.last_log_line = last_log_line
        super().__init__(f"{name} did not {action}: {last_log_line}")


class ControllersUnavailableError(ScaleRunError):
    """The controllers do not serve the load.

    Attributes:
        reason: what was expected of them.
        last_log_lines: the last line of each controller's log.
    """

    def __init__(self, reason: str, last_log_lines: str) -> None:
        self.reason = reason
        self.last_log_lines = last_log_lines
        super().__init__(f"{reason}: {last_log_lines}")


class MemoryLimitExceededError(ScaleRunError):
    """The processes of the run take more memory than they may.

    Attributes:
        memory_mb: resident megabytes of all processes.
        limit_mb: how many they may take.
    """

    def __init__(self, memory_mb: float, limit_mb: float) -> None:
        self.memory_mb = memory_mb
        self.limit_mb = limit_mb
        super().__init__(f"its processes take {memory_mb:.0f} MB, more than {limit_mb:.0f}")
