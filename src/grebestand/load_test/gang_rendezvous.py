"""What the workers of a scale run share: their cloud, descriptions of jobs, results, and gangs that wait to be whole.

Processes of hollow workers and users connect over loopback and exchange lines of JSON arrays. They send "machine"
(name, address, type, zone), "put" (a job's description), "want" (job, index, attempt), "done" (job, index), "wait"
(job, attempt, index, tasks, run time in seconds) and "gone" (job, attempt, index). They get "job", "known", "run",
"over", "gone" and "lose".
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

#: a name followed by its arguments
Message = list[Any]
#: one read takes at most this, in bytes
READ_BYTES = 65536
CONNECT_TIMEOUT_S = 10.0


class MessageChannel:
    """One end of a connection: messages leave in the order in which they were queued, several in a packet."""

    def __init__(self, sock: socket.socket) -> None:
        """Begin to send over a connected socket."""
        self._socket = sock
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._queue: list[bytes] = []
        self._wake = Event()
        gevent.spawn(self._send)

    def send(self, *message: object) -> None:
        """Queue a message for the other end."""
        self._queue.append(msgspec.json.encode(message))
        self._wake.set()

    def _send(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            queued, self._queue = self._queue, []
            try:
                self._socket.sendall(b"\n".join(queued) + b"\n")
            except OSError:
                return  # `listen` ends as well

    def receive(self, handle: Callable[[Message], None]) -> None:
        """Handle messages until the other end closes the connection."""
        partial_line = b""
        while True:
            try:
                more = self._socket.recv(READ_BYTES)
            except OSError:
                return
            if not more:
                return
            *lines, partial_line = (partial_line + more).split(b"\n")
            for line in lines:
                handle(msgspec.json.decode(line))


def connect(address: str, handle: Callable[[Message], None], ended: Callable[[], None]) -> MessageChannel:
    """Connect to the rendezvous.

    Args:
        address: its address.
        handle: gets its messages.
        ended: called when it is gone.
    """
    host, _, port = address.rpartition(":")
    line = MessageChannel(socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S))
    line._socket.settimeout(None)

    def run() -> None:
        line.receive(handle)
        ended()

    gevent.spawn(run)
    return line


@dataclass
class Gang:
    """One attempt of a gang.

    Attributes:
        waiting: the members that wait or run, by their index, with the line of their process.
        started: whether all members were there.
        over: whether it has ended, whole or not.
    """

    members: dict[int, MessageChannel] = field(default_factory=dict)
    started: bool = False
    ended: bool = False


class GangRendezvous:
    """Where members of gangs wait for each other across processes, and the cloud that lists their machines."""

    def __init__(self, types: list[MachineType]) -> None:
        """Serve the cloud and the lines of processes; the cloud has these machine types."""
        self.cloud = CloudEmulator()
        self.cloud.types, self.cloud.capacity = types, 0
        self.cloud.removed = self._machines_deleted
        self.cloud_requests = self.messages = 0
        self.specs: dict[str, JobSpec] = {}
        self.done_tasks: set[tuple[str, int]] = set()
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.channels: list[MessageChannel] = []
        self._cloud_server = serve(self._answer_cloud_request)
        self.cloud_address = f"{HOST}:{self._cloud_server.server_port}"
        self._server = StreamServer((HOST, 0), self._serve_line)
        self._server.start()
        self.address = f"{HOST}:{self._server.server_port}"

    def _answer_cloud_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self.cloud_requests += 1
        return self.cloud.request(method, path, body, 0.0)

    def _machines_deleted(self, names: list[str]) -> None:
        self.cloud.listed = [entry for entry in self.cloud.listed if entry["ref"] not in names]
        for line in self.channels:
            line.send("lose", names)

    def _serve_line(self, sock: socket.socket, _: object) -> None:
        line = MessageChannel(sock)
        self.channels.append(line)
        line.receive(lambda message: self._handle(line, message))
        self.channels.remove(line)

    def _handle(self, line: MessageChannel, message: Message) -> None:
        self.messages += 1
        what, *rest = message
        if what == "machine":
            name, addr, kind, zone = rest
            entry = msgspec.to_builtins(ListedMachine(name, kind, zone, False, "running", 60.0, addr))
            insort(self.cloud.listed, entry, key=lambda e: str(e["ref"]))
        elif what == "put":
            spec = msgspec.convert(rest[0], JobSpec)
            self.specs[spec.id] = spec
            line.send("known", spec.id)
        elif what == "want":
            job, index, attempt = rest
            line.send("job", job, index, attempt, self.specs.get(job), (job, index) in self.done_tasks)
        elif what == "done":
            self.done_tasks.add((rest[0], rest[1]))
        elif what == "wait":
            self._join(line, *rest)
        elif what == "gone":
            self._leave(*rest)
        else:
            raise ValueError(f"unknown message {what!r}")

    def _join(self, line: MessageChannel, job: str, attempt: int, index: int, tasks: int, run_s: float) -> None:
        gang = self.gangs.setdefault((job, attempt), Gang())
        gang.members[index] = line
        if len(gang.members) == tasks and not gang.started:
            gang.started = True
            self._send_to_members(gang, "run", job, attempt)
            gevent.spawn_later(run_s, self._complete, job, attempt, gang)

    def _complete(self, job: str, attempt: int, gang: Gang) -> None:
        """End a gang that has run for its time: all of its tasks are done, unless one was lost before."""
        if not gang.ended:
            gang.ended = True
            self.done_tasks |= {(job, index) for index in gang.members}
            self._send_to_members(gang, "over", job, attempt)

    def _leave(self, job: str, attempt: int, index: int) -> None:
        """Note that a member is gone: the others of a gang that has started get a message.

        A gang that has not started goes on waiting until all members are there.
        """
        gang = self.gangs.get((job, attempt))
        if gang is None or gang.ended:
            return
        if not gang.started:
            gang.members.pop(index, None)
        else:
            gang.ended = True
            self._send_to_members(gang, "gone", job, attempt)

    @staticmethod
    def _send_to_members(gang: Gang, what: str, job: str, attempt: int) -> None:
        # several members may be in one process, which gets the message once
        for line in {id(line): line for line in gang.members.values()}.values():
            line.send(what, job, attempt)

    def counts(self) -> dict[str, float]:
        """Return the counters so far: requests to the cloud, messages, and deleted machines."""
        return {"cloud_requests": self.cloud_requests, "messages": self.messages, "deleted": len(self.cloud.deleted)}
