"""Errors that end a scale run before it has a verdict.

The command line prints any `RuntimeError` of a test run as one line without a traceback; therefore these errors also
derive from `RuntimeError`.
"""

from __future__ import annotations

from ..errors import GrebestandError


class ScaleRunError(GrebestandError, RuntimeError):
    """Base class of the errors that abort a scale run."""


class ProcessEndedError(ScaleRunError):
    """A child process of the run has exited before the run stopped it.

    Attributes:
        name: The name of the process.
        last_log_line: The last line of the process's log.
    """

    def __init__(self, name: str, last_log_line: str) -> None:
        self.name = name
        self.last_log_line = last_log_line
        super().__init__(f"process {name} exited during the run; last log line: {last_log_line}")


class ProcessTimeoutError(ScaleRunError):
    """A child process did not execute a command, or did not start, within its timeout.

    Attributes:
        name: The name of the process.
        action: The command, or "start".
        timeout_s: The timeout, in seconds.
        last_log_line: The last line of the process's log.
    """

    def __init__(self, name: str, action: str, timeout_s: float, last_log_line: str) -> None:
        self.name = name
        self.action = action
        self.timeout_s = timeout_s
        self.last_log_line = last_log_line
        super().__init__(
            f"process {name} did not complete {action!r} within {timeout_s:.0f} s; last log line: {last_log_line}"
        )


class ControllersUnavailableError(ScaleRunError):
    """The controllers are not ready to serve the load.

    Attributes:
        reason: What was expected of the controllers, and what was found.
        last_log_lines: The last line of each controller's log.
    """

    def __init__(self, reason: str, last_log_lines: str) -> None:
        self.reason = reason
        self.last_log_lines = last_log_lines
        super().__init__(f"{reason}; last log lines: {last_log_lines}")


class MemoryLimitExceededError(ScaleRunError):
    """The processes of the run use more memory than the limit of the run.

    Attributes:
        memory_mb: The resident memory of all processes together, in megabytes.
        limit_mb: The limit, in megabytes.
    """

    def __init__(self, memory_mb: float, limit_mb: float) -> None:
        self.memory_mb = memory_mb
        self.limit_mb = limit_mb
        super().__init__(
            f"processes of the run use {memory_mb:.0f} MB of memory, more than the limit {limit_mb:.0f} MB"
        )
