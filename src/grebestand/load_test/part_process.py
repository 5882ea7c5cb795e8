"""The parent's end of the processes of a scale run (`child`): started, told what to do, watched and ended."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.event import AsyncResult

#: a part comes up, does what it was told, or ends within so many seconds
UP_S, DO_S, END_S = 20.0, 90.0, 3.0


class PartProcess:
    """The parent's side of a child process that plays one part of the run."""

    def __init__(self, name: str, role: str, config: object, root: Path) -> None:
        self.name = name
        self.log = root / f"{name}.log"
        #: the last that it has counted
        self.counts: dict[str, Any] = {}
        self._ready: AsyncResult = AsyncResult()
        self._answer: AsyncResult = AsyncResult()
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
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
        except (OSError, ValueError) as e:
            raise RuntimeError(f"{self.name} has ended: {self.last_words()}") from e

    def _read(self) -> None:
        for line in self._process.stdout:
            message = msgspec.json.decode(line)
            if "counts" in message:
                self.counts = message["counts"]
            elif "ready" in message:
                self._ready.set(message["ready"])
            else:
                self._answer.set(message)
        error = RuntimeError(f"{self.name} has ended: {self.last_words()}")
        self._ready.set_exception(error)
        self._answer.set_exception(error)

    def ready(self) -> dict[str, str]:
        """The addresses at which it is there."""
        try:
            found: dict[str, str] = self._ready.get(timeout=UP_S)
        except gevent.Timeout:
            raise RuntimeError(f"{self.name} did not come up: {self.last_words()}") from None
        return found

    def tell(self, **message: object) -> None:
        """Send a message to the child."""
        self._write(message)

    def do(self, **message: object) -> dict[str, Any]:
        """Has it do something, and waits until it says that it has."""
        self._answer = AsyncResult()
        self._write(message)
        try:
            found: dict[str, Any] = self._answer.get(timeout=DO_S)
        except gevent.Timeout:
            raise RuntimeError(f"{self.name} did not {message['do']}: {self.last_words()}") from None
        return found

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def last_words(self) -> str:
        """The last line of its log."""
        text = self.log.read_text("utf-8", "replace").strip() if self.log.exists() else ""
        return text.splitlines()[-1] if text else "nothing in its log"

    def stop(self) -> None:
        """End the process, by force if it does not end by itself in time."""
        if self.alive:
            self._process.terminate()
            try:
                self._process.wait(timeout=END_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
