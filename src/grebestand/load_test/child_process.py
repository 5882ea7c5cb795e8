"""A child process of a scale run: `python -m grebestand.load_test.child_process ROLE`.

The parent writes lines of JSON to the standard input of the child: first the configuration of the role, then commands.
The child writes lines of JSON to its standard output: "ready" once, with the addresses that the child serves, "counts"
every second, "kept" when the records have been written to the requested file, and "did" after the commands "begin" and
"ask". The command "rest", which stops the load, and the command "end", which stops the child, have no response. The
child also exits when its standard input is closed.
"""

from __future__ import annotations

import os
import resource
import sys
import time
from typing import Any, Protocol

import gevent
import msgspec
from gevent.fileobject import FileObjectPosix

#: the method of a part that each command calls
COMMAND_METHODS = {"begin": "start", "ask": "poll_accepted_jobs"}
#: the interval between messages with the counters of the part
COUNTS_INTERVAL_S = 1.0


class Part(Protocol):
    """A part of the load test, such as the users, that runs in a child process."""

    def counts(self) -> dict[str, Any]:
        """Return the counters so far, by their names in the report."""


class Child:
    """The child's side of the protocol with the parent: executes commands, and sends responses and counters."""

    def __init__(self, role: str) -> None:
        """Prepare to run a part.

        Args:
            role: "state" (the key-value store), "meeting" (the gang rendezvous), "users" or "hollow" (workers).
        """
        self.role = role
        self.unhandled_errors = 0
        self._input = FileObjectPosix(0, "rb")
        self._hub = gevent.get_hub()
        self._print_error = self._hub.handle_error
        self._hub.handle_error = self._count_error

    def _count_error(self, context: object, kind: Any, error: Any, trace: Any) -> None:
        """Print and count an error that a greenlet did not handle."""
        if kind is not None and not issubclass(kind, self._hub.NOT_ERROR):
            self.unhandled_errors += 1
        self._print_error(context, kind, error, trace)

    def _send(self, **message: object) -> None:
        """Send a message to the parent."""
        # the write does not block for long: the parent reads continuously, and a message is small for a pipe's buffer
        data = msgspec.json.encode(message) + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def _receive(self) -> dict[str, Any]:
        """Return the next message of the parent; exit the process if the parent has closed the pipe."""
        line = self._input.readline()
        if not line:
            os._exit(1)
        message: dict[str, Any] = msgspec.json.decode(line)
        return message

    def run(self) -> None:
        """Run the part until the parent sends the command "end"."""
        part, addresses = self._build(self._receive())
        self._send(ready=addresses)
        gevent.spawn(self._send_counts, part)
        while True:
            message = self._receive()
            command = message["do"]
            if command == "end":
                return
            if command == "keep":
                with open(message["file"], "wb") as out:
                    out.write(msgspec.msgpack.encode(part.records()))
                self._send(kept=message["file"], faults=self.unhandled_errors)
            elif command == "rest":
                part.loading = False
            else:
                getattr(part, COMMAND_METHODS[command])()
                self._send(did=command)

    def _send_counts(self, part: Part) -> None:
        while True:
            self._send(counts={**part.counts(), "faults": self.unhandled_errors, "at_s": time.monotonic()})
            gevent.sleep(COUNTS_INTERVAL_S)

    def _rendezvous_disconnected(self) -> None:
        """Print that the connection to the gang rendezvous is closed."""
        if not self._hub.dead:
            print(f"{self.role}: the connection to the gang rendezvous was closed", file=sys.stderr)

    def _build(self, config: dict[str, Any]) -> tuple[Any, dict[str, str]]:
        """Create the part of this process's role.

        Each role imports only the modules that it needs.

        Args:
            config: The configuration of the role.

        Returns:
            The part, and the addresses that the part serves, by the name of the service.
        """
        if self.role == "state":
            from ..emulators.site import HttpStoreEmulator

            store = HttpStoreEmulator(time.monotonic, config["rps"], config["write_rps"])
            return _StorePart(store), {"state": store.address}
        if self.role == "meeting":
            from ..wire.cloud import MachineType
            from .gang_rendezvous import GangRendezvous

            rendezvous = GangRendezvous(msgspec.convert(config["types"], list[MachineType]))
            return rendezvous, {"cloud": rendezvous.cloud_address, "meeting": rendezvous.address}
        if self.role == "users":
            from .records import LoadPlan
            from .scale_users import LoadUsers

            return LoadUsers(msgspec.convert(config, LoadPlan), self._rendezvous_disconnected), {}
        from .hollow_process import HollowProcess
        from .records import HollowPlan

        return HollowProcess(msgspec.convert(config, HollowPlan), self._rendezvous_disconnected), {}


class _StorePart:
    """The key-value store emulator as a part of the load test."""

    def __init__(self, store: Any) -> None:
        self.store = store

    def counts(self) -> dict[str, float]:
        store = self.store
        return {
            "requests": store.requests,
            "refused": store.refused,
            "transactions": store.writes,
            "writes": store.model.writes,
            "bytes": store.bytes,
            "keys": len(store.model.data),
        }


def main() -> None:
    """Raise the limit of open files, and run the part whose role the command line names."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    Child(sys.argv[1]).run()
    sys.stderr.flush()
    os._exit(0)  # a regular exit could wait for greenlets that still run


if __name__ == "__main__":
    main()
