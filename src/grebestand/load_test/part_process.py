"""The parent's side of the processes of a scale run (`child_process`): starts, commands, watches and ends them."""

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

#: a process is up within this, in seconds
STARTUP_TIMEOUT_S = 20.0
#: a process has executed a command within this, in seconds: users poll all accepted jobs at the end
COMMAND_TIMEOUT_S = 90.0
#: a process ends by itself within this, in seconds, before it is killed
SHUTDOWN_TIMEOUT_S = 3.0


class PartProcess:
    """The parent's side of a child process that plays one part of the run."""

    def __init__(self, name: str, role: str, config: object, root: Path) -> None:
        """Start the process and send it its configuration.

        Args:
            name: the name of the process, and of its log.
            role: what it plays, one of the roles of `child_process`.
            config: the configuration of that role, sent as JSON.
            root: the directory of the log.
        """
        self.name = name
        self.log = root / f"{name}.log"
        #: the last counters that it has sent
        self.counts: dict[str, Any] = {}
        self._ready: AsyncResult = AsyncResult()
        self._response: AsyncResult = AsyncResult()
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}
        command = [sys.executable, "-m", "grebestand.load_test.child_process", role]
        with open(self.log, "ab") as out:
            # a group of its own: an interrupt at the terminal is for the parent, which then ends it
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
        """Wait until the process is up, and return the addresses that it serves.

        Raises:
            ProcessEndedError: it has ended.
            ProcessTimeoutError: it was not up in time.
        """
        try:
            addresses: dict[str, str] = self._ready.get(timeout=STARTUP_TIMEOUT_S)
        except gevent.Timeout:
            raise ProcessTimeoutError(self.name, "come up", self.last_log_line()) from None
        return addresses

    def send(self, **message: object) -> None:
        """Send a message without waiting for a response.

        Raises:
            ProcessEndedError: the process has ended.
        """
        self._write(message)

    def execute(self, **message: object) -> dict[str, Any]:
        """Send a command, and wait for its response.

        Raises:
            ProcessEndedError: the process has ended.
            ProcessTimeoutError: it did not respond in time.
        """
        self._response = AsyncResult()
        self._write(message)
        try:
            response: dict[str, Any] = self._response.get(timeout=COMMAND_TIMEOUT_S)
        except gevent.Timeout:
            raise ProcessTimeoutError(self.name, str(message["do"]), self.last_log_line()) from None
        return response

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def last_log_line(self) -> str:
        """Return the last line of its log."""
        text = self.log.read_text("utf-8", "replace").strip() if self.log.exists() else ""
        return text.splitlines()[-1] if text else "nothing in its log"

    def stop(self) -> None:
        """End the process, by force if it does not end by itself in time."""
        if self.alive:
            self._process.terminate()
            try:
                self._process.wait(timeout=SHUTDOWN_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
