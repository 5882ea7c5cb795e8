"""One part of a scale run as a process of its own: `python -m grebestand.load_test.child_process ROLE`.

The parent writes lines of JSON to its standard input: first what to be, then what to do. It answers on its standard
output: once "ready", each second its "counts", and "kept" when its history is in the file that it was given. When its
standard input ends, it ends.
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


class Part(Protocol):
    """A part of the run that a child process plays."""

    def counts(self) -> dict[str, Any]:
        """Counters so far, sent to the parent every second."""


class Child:
    """The child's side of a part process: reads messages from standard input, writes counts to standard output."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.faults = 0
        self._input = FileObjectPosix(0, "rb")
        self._hub = gevent.get_hub()
        self._print_error = self._hub.handle_error
        self._hub.handle_error = self._fault

    def _fault(self, context: object, kind: Any, error: Any, trace: Any) -> None:
        """A greenlet that failed is told of on standard error, and counted."""
        if kind is not None and not issubclass(kind, self._hub.NOT_ERROR):
            self.faults += 1
        self._print_error(context, kind, error, trace)

    def tell(self, **what: object) -> None:
        """Send a message to the parent."""
        # the parent reads all the time; a line is far below what a pipe holds
        data = msgspec.json.encode(what) + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def hear(self) -> dict[str, Any]:
        """The next message of the parent; ends the process if the parent is gone."""
        line = self._input.readline()
        if not line:
            os._exit(1)  # whoever started it is gone
        found: dict[str, Any] = msgspec.json.decode(line)
        return found

    def run(self) -> None:
        """Play the part until the parent says that it ends."""
        part, ready = self._make(self.hear())
        self.tell(ready=ready)
        gevent.spawn(self._count, part)
        while True:
            message = self.hear()
            do = message["do"]
            if do == "end":
                return
            if do == "keep":
                with open(message["file"], "wb") as out:
                    out.write(msgspec.msgpack.encode(part.kept_rows()))
                self.tell(kept=message["file"], faults=self.faults)
            elif do == "rest":
                part.loading = False
            else:
                getattr(part, {"begin": "begin", "ask": "ask_all"}[do])()
                self.tell(did=do)

    def _count(self, part: Part) -> None:
        while True:
            self.tell(counts={**part.counts(), "faults": self.faults, "at_s": time.monotonic()})
            gevent.sleep(1.0)

    def _line_ended(self) -> None:
        """What the machines share is gone."""
        if not self._hub.dead:
            print(f"{self.role}: the line to what machines share has ended", file=sys.stderr)

    def _make(self, config: dict[str, Any]) -> tuple[Any, dict[str, str]]:
        if self.role == "state":
            from ..emulators.site import HttpStoreEmulator

            store = HttpStoreEmulator(time.monotonic, config["rps"], config["write_rps"])
            return _StateCounts(store), {"state": store.address}
        if self.role == "meeting":
            from ..wire.cloud import MachineType
            from .gang_rendezvous import GangRendezvous

            meeting = GangRendezvous(msgspec.convert(config["types"], list[MachineType]))
            return meeting, {"cloud": meeting.cloud_address, "meeting": meeting.address}
        if self.role == "users":
            from .records import LoadPlan
            from .scale_users import LoadUsers

            return LoadUsers(msgspec.convert(config, LoadPlan), self._line_ended), {}
        from .hollow_process import HollowProcess
        from .records import HollowPlan

        return HollowProcess(msgspec.convert(config, HollowPlan), self._line_ended), {}


class _StateCounts:
    def __init__(self, store: Any) -> None:
        self.store = store

    def counts(self) -> dict[str, float]:
        s = self.store
        return {
            "requests": s.requests, "refused": s.refused, "transactions": s.writes, "writes": s.model.writes,
            "bytes": s.bytes, "keys": len(s.model.data),
        }  # fmt: skip


def main() -> None:
    """Raise the limit of open files and play the role that the command line names."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    Child(sys.argv[1]).run()
    sys.stderr.flush()
    os._exit(0)  # greenlets that wait for others are not waited for


if __name__ == "__main__":
    main()
