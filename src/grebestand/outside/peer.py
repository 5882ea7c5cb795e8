"""Client of another controller."""

from __future__ import annotations

import logging
from typing import TypeVar

import msgspec

from ..wire.peers import Hello
from .http import Transport, Unreachable

log = logging.getLogger("grebestand.peer")

M = TypeVar("M")


class Peer:
    def __init__(self, name: str, transport: Transport) -> None:
        self.name = name
        self.transport = transport
        self.heard_at = float("-inf")
        self.last: Hello | None = None

    def tell(self, path: str, message: msgspec.Struct, answer: type[M], timeout: float = 1.0) -> M | None:
        try:
            status, body = self.transport.request("POST", path, msgspec.msgpack.encode(message), timeout)
            if status != 200:
                return None
            return msgspec.msgpack.decode(body, type=answer)
        except (Unreachable, msgspec.DecodeError) as e:
            log.debug("peer %s does not answer: %s", self.name, e)
            return None
