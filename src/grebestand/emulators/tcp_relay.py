"""A TCP relay that can hold, delay or reset what passes between two addresses, without reading it."""

from __future__ import annotations

import random
from enum import Enum, auto

import gevent
from gevent import socket
from gevent.server import StreamServer

#: how often held connections look whether the relay is open again, in seconds
HELD_POLL_S = 0.05
CONNECT_TIMEOUT_S = 2.0
#: the second direction of a connection ends within this after the first, in seconds
CLOSE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
READ_BYTES = 65536


class RelayMode(Enum):
    """What a relay does to what passes."""

    OPEN = auto()
    #: new connections and bytes wait, and are delivered when the relay is open again
    HELD = auto()
    #: connections are reset, and new ones refused
    BROKEN = auto()


class TcpRelay:
    """A TCP proxy on a loopback port in front of a target address, whose behaviour is switched by `set`."""

    def __init__(self, target: str, rng: random.Random) -> None:
        """Listen in front of an address; delays are drawn from `rng`."""
        self.target = target
        self.rng = rng
        self._mode = RelayMode.OPEN
        #: the longest delay of a delivery, in seconds
        self.max_delay_s = 0.0
        #: connections and bytes that have passed
        self.connection_count = self.byte_count = 0
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def set_mode(self, mode: RelayMode) -> None:
        """Switch the mode; `BROKEN` closes the connections that are open."""
        self._mode = mode
        if mode is RelayMode.BROKEN:
            for sock in list(self._open):
                sock.close()
            self._open.clear()

    def _serve(self, near: socket.socket, _: object) -> None:
        if self._mode is RelayMode.BROKEN:
            near.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            self._wait_while_held()
            far = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        self.connection_count += 1
        self._open |= {near, far}
        back = gevent.spawn(self._pump, far, near)
        self._pump(near, far)
        back.join(timeout=CLOSE_TIMEOUT_S)
        self._open -= {near, far}

    def _wait_while_held(self) -> None:
        while self._mode is RelayMode.HELD:
            gevent.sleep(HELD_POLL_S)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            source.settimeout(IDLE_TIMEOUT_S)
            while data := source.recv(READ_BYTES):
                if self.max_delay_s:
                    gevent.sleep(self.max_delay_s * self.rng.random())
                self._wait_while_held()
                self.byte_count += len(data)
                sink.sendall(data)
        except OSError:
            pass  # one end is gone, or the relay was switched to `BROKEN`
        finally:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    sock.close()
