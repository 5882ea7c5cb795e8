"""The parent's side of the child processes of a scale run: starts, commands, monitors and stops them.

`child_process` is the child's side.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.event import AsyncResult

from .errors import ProcessEndedError, ProcessTimeoutError

STARTUP_TIMEOUT_S = 20.0
#: timeout of a command; the longest command lets the users poll all accepted jobs at the end of the run
COMMAND_TIMEOUT_S = 90.0
#: a process that has not exited this long after SIGTERM is killed
SHUTDOWN_TIMEOUT_S = 3.0


class PartProcess:
    """The parent's side of a child process that runs one part of the load test, such as the users."""

    def __init__(self, name: str, role: str, config: object, directory: Path) -> None:
        """Start the process and send its configuration.

        Args:
            name: The name of the process; its log is named after it.
            role: The role of the process, one of the roles of `child_process`.
            config: The configuration of the role, sent as JSON.
            directory: The directory of the log.
        """
        self.name = name
        self.log = directory / f"{name}.log"
        #: the counters that the process has sent last
        self.counts: dict[str, Any] = {}
        self._ready: AsyncResult = AsyncResult()
        self._response: AsyncResult = AsyncResult()
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}
        command = [sys.executable, "-m", "grebestand.load_test.child_process", role]
        with open(self.log, "ab") as out:
            # in a session of its own, the child gets no SIGINT from the terminal; the parent stops the child instead
            self._process = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, env=environment,
                start_new_session=True,
            )  # fmt: skip
        self.pid = self._process.pid
        self._write(config)
        self._reader = gevent.spawn(self._read)

    def _write(self, message: object) -> None:
        try:
            self._process.stdin.write(msgspec.json.encode(message) + b"\n")
            self._process.stdin.flush()
        except (OSError, ValueError) as error:
            raise ProcessEndedError(self.name, self.last_log_line()) from error

    def _read(self) -> None:
        for line in self._process.stdout:
            message = msgspec.json.decode(line)
            if "counts" in message:
                self.counts = message["counts"]
            elif "ready" in message:
                self._ready.set(message["ready"])
            else:
                self._response.set(message)
        error = ProcessEndedError(self.name, self.last_log_line())
        self._ready.set_exception(error)
        self._response.set_exception(error)

    def wait_until_ready(self) -> dict[str, str]:
        """Wait until the process is ready.

        Returns:
            The addresses that the process serves, by the name of the service.

        Raises:
            ProcessEndedError: The process has exited.
            ProcessTimeoutError: The process was not ready within `STARTUP_TIMEOUT_S`.
        """
        try:
            addresses: dict[str, str] = self._ready.get(timeout=STARTUP_TIMEOUT_S)
        except gevent.Timeout:
            raise ProcessTimeoutError(self.name, "start", STARTUP_TIMEOUT_S, self.last_log_line()) from None
        return addresses

    def send(self, **message: object) -> None:
        """Send a message without waiting for a response.

        Raises:
            ProcessEndedError: The process has exited.
        """
        self._write(message)

    def execute(self, **message: object) -> dict[str, Any]:
        """Send a command and wait for the response.

        Args:
            message: The command under the key "do", and its arguments.

        Returns:
            The response.

        Raises:
            ProcessEndedError: The process has exited.
            ProcessTimeoutError: The process did not respond within `COMMAND_TIMEOUT_S`.
        """
        self._response = AsyncResult()
        self._write(message)
        try:
            response: dict[str, Any] = self._response.get(timeout=COMMAND_TIMEOUT_S)
        except gevent.Timeout:
            raise ProcessTimeoutError(self.name, str(message["do"]), COMMAND_TIMEOUT_S, self.last_log_line()) from None
        return response

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def last_log_line(self) -> str:
        """Return the last line of the process's log, or a note that the log is empty."""
        text = self.log.read_text("utf-8", "replace").strip() if self.log.exists() else ""
        return text.splitlines()[-1] if text else "(log is empty)"

    def stop(self) -> None:
        """Terminate the process, and kill it if it has not exited within `SHUTDOWN_TIMEOUT_S`."""
        if self.alive:
            self._process.terminate()
            try:
                self._process.wait(timeout=SHUTDOWN_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
