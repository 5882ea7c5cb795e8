"""The way to another cluster: finds the controller that leads there, over mutual TLS, within one limit of time."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import msgspec

from ..clients.http import HttpTransport, Transport, UnreachableError
from ..log_events import LogEvent
from .keyring import Keyring
from .messages import NOT_LEADING, InvalidMessageError, Message, Reply, UncertainReply, decode_reply

log = logging.getLogger(__name__)

PATH = "/federation/1"
#: for one question to one controller, and for finding the one that leads, in seconds
ONE_S, ALL_S = 1.5, 3.0
#: makes the connection to one controller's address, or None if none of its cluster's certificates is believed
Connect = Callable[[str, int], Transport | None]


def over_tls(peer: str, ring: Keyring) -> Connect:
    """Connections to a cluster; keys that have changed since are used from the next one on."""

    def connect(host: str, port: int) -> Transport | None:
        context = ring.client(peer)
        return None if context is None else HttpTransport(host, port, 4, connect_s=1.0, tls=context)

    return connect


class TlsLink:
    """To one cluster. Who leads there is remembered; a controller that does not lead often knows who does."""

    def __init__(
        self,
        controllers: dict[str, tuple[str, int]],
        connect: Connect,
        edition: Callable[[], int],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.controllers = controllers
        self.connect = connect
        self.edition = edition
        self.clock = clock
        self.rng = rng
        self._leader: str | None = None
        self._open: dict[str, tuple[int, Transport]] = {}

    def tell(self, message: Message) -> Reply | None:
        """The answer of the cluster's leader; None if there was none that can be relied on.

        Asking a second controller repeats nothing that could count twice: every message may be repeated.
        """
        body = msgspec.msgpack.encode(message)
        end = self.clock() + ALL_S
        waiting = [n for n in self.controllers if n != self._leader]
        self.rng.shuffle(waiting)
        if self._leader in self.controllers:
            waiting.insert(0, self._leader)
        last: Reply | None = None
        while waiting and (left := end - self.clock()) > 0.05:
            name = waiting.pop(0)
            answer = self._ask(name, body, min(ONE_S, left))
            if answer is None:
                continue
            if not isinstance(answer, UncertainReply):
                self._leader = name
                return answer
            last = answer
            if answer.leader is None and answer.why != NOT_LEADING:
                self._leader = name
                return answer  # the leader itself is unsure: nobody knows better
            if answer.leader in waiting:
                waiting.remove(answer.leader)
                waiting.insert(0, answer.leader)
        self._leader = None
        return last

    def _ask(self, name: str, body: bytes, timeout: float) -> Reply | None:
        transport = self._transport(name)
        if transport is None:
            return None
        try:
            status, answer = transport.request("POST", PATH, body, timeout)
            if status != 200:
                log.info(
                    LogEvent(
                        "link_request_refused",
                        controller=name,
                        status=status,
                        body=answer[:120].decode("utf-8", "replace"),
                    )
                )
                return None
            return decode_reply(answer)
        except UnreachableError as e:
            log.debug(LogEvent("link_request_unanswered", controller=name, error=e))
            return None
        except InvalidMessageError as e:
            log.warning(LogEvent("link_reply_invalid", controller=name, error=e))
            return None

    def _transport(self, name: str) -> Transport | None:
        edition = self.edition()
        known = self._open.get(name)
        if known is not None and known[0] == edition:
            return known[1]
        if known is not None:
            self.close(known[1])
        made = self.connect(*self.controllers[name])
        if made is not None:
            self._open[name] = (edition, made)
        return made

    @staticmethod
    def close(transport: Transport) -> None:
        """Close a transport that this link opened."""
        if isinstance(transport, HttpTransport):
            transport.close()
