"""A TCP relay in front of an address that can hold, delay or reset connections, without parsing the data."""

from __future__ import annotations

import random
from enum import Enum, auto

import gevent
from gevent import socket
from gevent.server import StreamServer

#: how often held connections check whether the relay is open again, in seconds
HELD_POLL_S = 0.05
CONNECT_TIMEOUT_S = 2.0
#: how long the relay waits for the second direction of a connection after the first has ended, in seconds
CLOSE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
READ_BYTES = 65536


class RelayMode(Enum):
    """How a relay treats connections and data."""

    OPEN = auto()
    #: new connections and data wait, and are forwarded when the relay is open again
    HELD = auto()
    #: open connections are closed, and new ones are closed at once
    BROKEN = auto()


class TcpRelay:
    """A TCP proxy on a port of loopback in front of a target address; `set_mode` switches its behaviour.

    Attributes:
        target: The address that connections are forwarded to.
        rng: Draws delays.
        max_delay_s: The longest delay of a chunk of data, in seconds.
        connection_count: The number of connections that were forwarded.
        byte_count: The number of bytes that were forwarded, in both directions.
        address: The relay's address.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        """Start to listen.

        Args:
            target: The address that connections are forwarded to.
            rng: Draws delays.
        """
        self.target = target
        self.rng = rng
        self._mode = RelayMode.OPEN
        self.max_delay_s = 0.0
        self.connection_count = self.byte_count = 0
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def set_mode(self, mode: RelayMode) -> None:
        """Switch the mode; `BROKEN` closes all open connections."""
        self._mode = mode
        if mode is RelayMode.BROKEN:
            for sock in list(self._open):
                sock.close()
            self._open.clear()

    def _serve(self, client: socket.socket, _: object) -> None:
        if self._mode is RelayMode.BROKEN:
            client.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            self._wait_while_held()
            server = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        self.connection_count += 1
        self._open |= {client, server}
        responses = gevent.spawn(self._forward, server, client)
        self._forward(client, server)
        responses.join(timeout=CLOSE_TIMEOUT_S)
        self._open -= {client, server}

    def _wait_while_held(self) -> None:
        while self._mode is RelayMode.HELD:
            gevent.sleep(HELD_POLL_S)

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            source.settimeout(IDLE_TIMEOUT_S)
            while data := source.recv(READ_BYTES):
                if self.max_delay_s:
                    gevent.sleep(self.max_delay_s * self.rng.random())
                self._wait_while_held()
                self.byte_count += len(data)
                sink.sendall(data)
        except OSError:
            pass  # One end has closed the connection, or the relay was switched to `BROKEN`.
        finally:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    sock.close()
