"""The rendezvous of a scale run: state that the processes of hollow workers share, and the cloud emulator.

The shared state is the descriptions of jobs, the tasks that are done, and the gangs whose members wait for each other.
Processes of hollow workers and users connect over loopback. Each message is a line with a JSON array.

Messages to the rendezvous:
    machine: a worker has started (name, address, machine type, zone).
    put: a user submits a job (description).
    want: a worker requests the description of a task's job (job, index, attempt).
    done: a task that is no member of a gang is done (job, index).
    wait: a member of a gang waits for the others (job, attempt, index, number of tasks, run time in seconds).
    gone: a member of a gang has ended early (job, attempt, index).

Messages from the rendezvous:
    known: the description of a submitted job is stored (job).
    job: the response to "want" (job, index, attempt, description or null, whether the task is done).
    run: all members of a gang are waiting, so that they begin to run (job, attempt).
    over: a gang has run for its run time (job, attempt).
    gone: a member of a running gang has ended early (job, attempt).
    lose: machines were deleted (names).
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
from ..emulators.site import HOST, start_http_server
from ..wire.cloud import ListedMachine, MachineType
from ..wire.jobs import JobSpec

#: the name of a message, followed by its arguments
Message = list[Any]
#: the most bytes that one read from a socket returns
READ_BYTES = 65536
#: timeout of the connection to the rendezvous
CONNECT_TIMEOUT_S = 10.0


class MessageChannel:
    """One end of a connection that transfers messages in order, and sends several queued messages at once."""

    def __init__(self, sock: socket.socket) -> None:
        """Start to send queued messages over a connected socket."""
        self._socket = sock
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._queue: list[bytes] = []
        self._wake = Event()
        gevent.spawn(self._send)

    def send(self, *message: object) -> None:
        """Queue a message, given as its name and arguments; return without waiting until the message is sent."""
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
                return  # `receive` detects the closed connection and ends as well

    def receive(self, handle: Callable[[Message], None]) -> None:
        """Receive messages and pass them to a handler until the other end closes the connection."""
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


def connect(address: str, handle: Callable[[Message], None], on_disconnect: Callable[[], None]) -> MessageChannel:
    """Connect to the rendezvous.

    Args:
        address: The address of the rendezvous, as host:port.
        handle: Handles each message that the rendezvous sends.
        on_disconnect: Called when the rendezvous has closed the connection.

    Raises:
        OSError: The rendezvous does not accept the connection.
    """
    host, _, port = address.rpartition(":")
    channel = MessageChannel(socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S))
    channel._socket.settimeout(None)

    def run() -> None:
        channel.receive(handle)
        on_disconnect()

    gevent.spawn(run)
    return channel


@dataclass
class Gang:
    """One attempt of a gang.

    Attributes:
        members: The channel to the process of each member that waits or runs, by the index of the member.
        started: Whether all members were waiting, so that the gang has begun to run.
        ended: Whether the gang has completed, or has lost a member while it was running.
    """

    members: dict[int, MessageChannel] = field(default_factory=dict)
    started: bool = False
    ended: bool = False


class GangRendezvous:
    """Lets members of gangs in different processes wait for each other, and serves the cloud emulator."""

    def __init__(self, types: list[MachineType]) -> None:
        """Start to serve the cloud emulator, which offers these machine types, and connections of processes."""
        self.cloud = CloudEmulator()
        self.cloud.machine_types, self.cloud.free_capacity = types, 0
        self.cloud.on_deleted = self._machines_deleted
        self.cloud_requests = self.messages = 0
        self.specs: dict[str, JobSpec] = {}
        self.done_tasks: set[tuple[str, int]] = set()
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.channels: list[MessageChannel] = []
        self._cloud_server = start_http_server(self._answer_cloud_request)
        self.cloud_address = f"{HOST}:{self._cloud_server.server_port}"
        self._server = StreamServer((HOST, 0), self._serve_channel)
        self._server.start()
        self.address = f"{HOST}:{self._server.server_port}"

    def _answer_cloud_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self.cloud_requests += 1
        return self.cloud.request(method, path, body, 0.0)

    def _machines_deleted(self, names: list[str]) -> None:
        """Remove deleted machines from the cloud's list, and notify all processes."""
        self.cloud.listed_machines = [entry for entry in self.cloud.listed_machines if entry["ref"] not in names]
        for channel in self.channels:
            channel.send("lose", names)

    def _serve_channel(self, sock: socket.socket, _: object) -> None:
        channel = MessageChannel(sock)
        self.channels.append(channel)
        channel.receive(lambda message: self._handle(channel, message))
        self.channels.remove(channel)

    def _handle(self, channel: MessageChannel, message: Message) -> None:
        self.messages += 1
        name, *rest = message
        if name == "machine":
            machine, addr, machine_type, zone = rest
            entry = msgspec.to_builtins(ListedMachine(machine, machine_type, zone, False, "running", 60.0, addr))
            insort(self.cloud.listed_machines, entry, key=lambda listed: str(listed["ref"]))
        elif name == "put":
            spec = msgspec.convert(rest[0], JobSpec)
            self.specs[spec.id] = spec
            channel.send("known", spec.id)
        elif name == "want":
            job, index, attempt = rest
            channel.send("job", job, index, attempt, self.specs.get(job), (job, index) in self.done_tasks)
        elif name == "done":
            self.done_tasks.add((rest[0], rest[1]))
        elif name == "wait":
            self._join(channel, *rest)
        elif name == "gone":
            self._leave(*rest)
        else:
            raise ValueError(f"unknown message to the gang rendezvous: {name!r}")

    def _join(self, channel: MessageChannel, job: str, attempt: int, index: int, tasks: int, run_s: float) -> None:
        """Add a waiting member to a gang, and start the gang if all of its members are waiting."""
        gang = self.gangs.setdefault((job, attempt), Gang())
        gang.members[index] = channel
        if len(gang.members) == tasks and not gang.started:
            gang.started = True
            self._send_to_members(gang, "run", job, attempt)
            gevent.spawn_later(run_s, self._complete, job, attempt, gang)

    def _complete(self, job: str, attempt: int, gang: Gang) -> None:
        """Complete a gang that has run for its run time: all of its tasks are done, unless the gang lost a member."""
        if not gang.ended:
            gang.ended = True
            self.done_tasks |= {(job, index) for index in gang.members}
            self._send_to_members(gang, "over", job, attempt)

    def _leave(self, job: str, attempt: int, index: int) -> None:
        """Remove a member that has ended early.

        The other members are notified if the gang is running. A gang that has not started continues to wait until all
        of its members are waiting.
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
    def _send_to_members(gang: Gang, name: str, job: str, attempt: int) -> None:
        """Send a message about a gang to the processes of its members."""
        # a process with several members of the gang receives the message once
        for channel in {id(channel): channel for channel in gang.members.values()}.values():
            channel.send(name, job, attempt)

    def counts(self) -> dict[str, float]:
        """Return the counters so far: requests to the cloud emulator, messages received, and deleted machines."""
        return {
            "cloud_requests": self.cloud_requests,
            "messages": self.messages,
            "deleted": len(self.cloud.deleted_machines),
        }
