"""What the machines of a scale run share: the cloud that lists them, jobs' descriptions, results, and gangs that meet.

Hollow processes and users are on lines of JSON arrays over loopback. From them: "machine" (name, address, type, zone),
"put" (job's description), "want" (job, index, attempt), "done" (task), "wait" (job, attempt, index, tasks, seconds) and
"gone" (job, attempt, index). To them: "job", "known", "run", "over", "gone" and "lose".
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ..emulators.cloud import CloudEmulator
from ..emulators.site import HOST, serve
from ..wire.cloud import ListedMachine, MachineType
from ..wire.jobs import JobSpec

Message = list[Any]


class MessageLine:
    """One end: messages leave in the order in which they were said, several in a packet."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._said: list[bytes] = []
        self._wake = Event()
        gevent.spawn(self._send)

    def say(self, *message: object) -> None:
        """Queue a message for the other end."""
        self._said.append(msgspec.json.encode(message))
        self._wake.set()

    def _send(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            said, self._said = self._said, []
            try:
                self._socket.sendall(b"\n".join(said) + b"\n")
            except OSError:
                return  # the reading side of this end sees it as well

    def listen(self, hear: Callable[[Message], None]) -> None:
        """Until the other end closes."""
        data = b""
        while True:
            try:
                more = self._socket.recv(65536)
            except OSError:
                return
            if not more:
                return
            *lines, data = (data + more).split(b"\n")
            for line in lines:
                hear(msgspec.json.decode(line))


def dial(address: str, hear: Callable[[Message], None], ended: Callable[[], None]) -> MessageLine:
    """Connect to the rendezvous at an address; `hear` gets its messages, `ended` is called when it is gone."""
    host, _, port = address.rpartition(":")
    line = MessageLine(socket.create_connection((host, int(port)), timeout=10.0))
    line._socket.settimeout(None)

    def run() -> None:
        line.listen(hear)
        ended()

    gevent.spawn(run)
    return line


@dataclass
class Gang:
    """One attempt of a gang: who waits, on which line, and whether it has started or is over."""

    waiting: dict[int, MessageLine] = field(default_factory=dict)
    started: bool = False
    over: bool = False


class GangRendezvous:
    """Where the members of gangs wait for each other across worker processes, and the cloud that lists their
    machines.
    """

    def __init__(self, types: list[MachineType]) -> None:
        self.cloud = CloudEmulator()
        self.cloud.types, self.cloud.capacity = types, 0
        self.cloud.removed = self._removed
        self.cloud_requests = self.messages = 0
        self.specs: dict[str, JobSpec] = {}
        self.results: set[tuple[str, int]] = set()
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.lines: list[MessageLine] = []
        self._cloud = serve(self._ask_cloud)
        self.cloud_address = f"{HOST}:{self._cloud.server_port}"
        self._server = StreamServer((HOST, 0), self._take)
        self._server.start()
        self.address = f"{HOST}:{self._server.server_port}"

    def _ask_cloud(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self.cloud_requests += 1
        return self.cloud.request(method, path, body, 0.0)

    def _removed(self, names: list[str]) -> None:
        self.cloud.listed = [e for e in self.cloud.listed if e["ref"] not in names]
        for line in self.lines:
            line.say("lose", names)

    def _take(self, sock: socket.socket, _: object) -> None:
        line = MessageLine(sock)
        self.lines.append(line)
        line.listen(lambda message: self._hear(line, message))
        self.lines.remove(line)

    def _hear(self, line: MessageLine, message: Message) -> None:
        self.messages += 1
        what, *rest = message
        if what == "machine":
            name, addr, kind, zone = rest
            entry = msgspec.to_builtins(ListedMachine(name, kind, zone, False, "running", 60.0, addr))
            insort(self.cloud.listed, entry, key=lambda e: str(e["ref"]))
        elif what == "put":
            spec = msgspec.convert(rest[0], JobSpec)
            self.specs[spec.id] = spec
            line.say("known", spec.id)
        elif what == "want":
            job, index, attempt = rest
            line.say("job", job, index, attempt, self.specs.get(job), (job, index) in self.results)
        elif what == "done":
            self.results.add((rest[0], rest[1]))
        elif what == "wait":
            self._wait(line, *rest)
        elif what == "gone":
            self._gone(*rest)
        else:
            raise ValueError(f"unknown message {what!r}")

    def _wait(self, line: MessageLine, job: str, attempt: int, index: int, tasks: int, seconds: float) -> None:
        gang = self.gangs.setdefault((job, attempt), Gang())
        gang.waiting[index] = line
        if len(gang.waiting) == tasks and not gang.started:
            gang.started = True
            self._tell(gang, "run", job, attempt)
            gevent.spawn_later(seconds, self._over, job, attempt, gang)

    def _over(self, job: str, attempt: int, gang: Gang) -> None:
        """It has run for its time: if no task is missing, all are done."""
        if not gang.over:
            gang.over = True
            self.results |= {(job, i) for i in gang.waiting}
            self._tell(gang, "over", job, attempt)

    def _gone(self, job: str, attempt: int, index: int) -> None:
        gang = self.gangs.get((job, attempt))
        if gang is None or gang.over:
            return
        if not gang.started:
            gang.waiting.pop(index, None)
        else:
            gang.over = True
            self._tell(gang, "gone", job, attempt)

    @staticmethod
    def _tell(gang: Gang, what: str, job: str, attempt: int) -> None:
        for line in {id(x): x for x in gang.waiting.values()}.values():
            line.say(what, job, attempt)

    def counts(self) -> dict[str, float]:
        """Requests of the cloud, messages, and machines deleted so far."""
        return {"cloud_requests": self.cloud_requests, "messages": self.messages, "deleted": len(self.cloud.deleted)}
