"""One part of a scale run as a process of its own: `python -m grebestand.load_test.child_process ROLE`.

The parent writes lines of JSON to its standard input: first its configuration, then commands. It responds on its
standard output: once "ready", each second its "counts", "kept" when its records are in the file that it was given, and
"did" after any other command. It ends when its standard input ends.
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

#: the methods of parts that commands call
COMMAND_METHODS = {"begin": "start", "ask": "poll_accepted_jobs"}
#: counters are sent to the parent this often, in seconds
COUNTS_INTERVAL_S = 1.0


class Part(Protocol):
    """A part of the run that a child process plays."""

    def counts(self) -> dict[str, Any]:
        """Return the counters so far, which are sent to the parent."""


class Child:
    """The child's side of a part process: reads messages from standard input, writes counts to standard output."""

    def __init__(self, role: str) -> None:
        """Prepare to play a role: "state", "meeting", "users" or "hollow"."""
        self.role = role
        self.unhandled_errors = 0
        self._input = FileObjectPosix(0, "rb")
        self._hub = gevent.get_hub()
        self._print_error = self._hub.handle_error
        self._hub.handle_error = self._count_fault

    def _count_fault(self, context: object, kind: Any, error: Any, trace: Any) -> None:
        """Print the error of a greenlet that failed, and count it."""
        if kind is not None and not issubclass(kind, self._hub.NOT_ERROR):
            self.unhandled_errors += 1
        self._print_error(context, kind, error, trace)

    def _send(self, **message: object) -> None:
        """Send a message to the parent."""
        # the parent reads all the time; a line is far below what a pipe holds
        data = msgspec.json.encode(message) + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def _receive(self) -> dict[str, Any]:
        """Return the next message of the parent; end the process if the parent is gone."""
        line = self._input.readline()
        if not line:
            os._exit(1)
        message: dict[str, Any] = msgspec.json.decode(line)
        return message

    def run(self) -> None:
        """Play the part until the parent ends it."""
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

    def _line_ended(self) -> None:
        """Print that the gang rendezvous is gone."""
        if not self._hub.dead:
            print(f"{self.role}: the line to what machines share has ended", file=sys.stderr)

    def _build(self, config: dict[str, Any]) -> tuple[Any, dict[str, str]]:
        """Build the part and return it with the addresses that it serves; each role imports only what it needs."""
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

            return LoadUsers(msgspec.convert(config, LoadPlan), self._line_ended), {}
        from .hollow_process import HollowProcess
        from .records import HollowPlan

        return HollowProcess(msgspec.convert(config, HollowPlan), self._line_ended), {}


class _StorePart:
    """The key-value store as a part."""

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
    """Raise the limit of open files and play the role that the command line names."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    Child(sys.argv[1]).run()
    sys.stderr.flush()
    os._exit(0)  # greenlets that wait for others are not waited for


if __name__ == "__main__":
    main()
