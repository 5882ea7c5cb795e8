"""A stretch of network between two addresses that can be held, slowed or reset; it reads nothing of what passes."""

from __future__ import annotations

import random
from enum import Enum, auto

import gevent
from gevent import socket
from gevent.server import StreamServer


class RelayMode(Enum):
    """What the stretch does to what passes."""

    OPEN = auto()
    #: new connections and bytes wait, and are delivered when it is open again
    HELD = auto()
    #: connections are reset, and new ones refused
    BROKEN = auto()


class TcpRelay:
    """A TCP proxy on a loopback port in front of a target address, whose behaviour is switched by `set`."""

    def __init__(self, target: str, rng: random.Random) -> None:
        self.target = target
        self.rng = rng
        self.line = RelayMode.OPEN
        #: added to each delivery, at most, in seconds
        self.late_s = 0.0
        #: connections and bytes that have passed
        self.connections = self.bytes = 0
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._take)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def set(self, line: RelayMode) -> None:
        """Switch the mode; `BROKEN` closes the connections that are open."""
        self.line = line
        if line is RelayMode.BROKEN:
            for sock in list(self._open):
                sock.close()
            self._open.clear()

    def _take(self, near: socket.socket, _: object) -> None:
        if self.line is RelayMode.BROKEN:
            near.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            self._wait()
            far = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            near.close()
            return
        self.connections += 1
        self._open |= {near, far}
        back = gevent.spawn(self._pump, far, near)
        self._pump(near, far)
        back.join(timeout=5.0)
        self._open -= {near, far}

    def _wait(self) -> None:
        while self.line is RelayMode.HELD:
            gevent.sleep(0.05)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            source.settimeout(120.0)
            while data := source.recv(65536):
                if self.late_s:
                    gevent.sleep(self.late_s * self.rng.random())
                self._wait()
                self.bytes += len(data)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    sock.close()
