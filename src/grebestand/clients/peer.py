"""Client of another controller."""

from __future__ import annotations

import logging
from typing import TypeVar

import msgspec

from ..wire.peers import PeerStatus
from .http import Transport, UnreachableError

log = logging.getLogger(__name__)

M = TypeVar("M")


class PeerClient:
    def __init__(self, name: str, transport: Transport) -> None:
        self.name = name
        self.transport = transport
        self.last_heard_at = float("-inf")
        self.last: PeerStatus | None = None
        #: when the greeting that it answered last had been sent; and since when each of its answers has followed the
        #: one before so soon that no cancellation it confirmed can have been left out
        self.told_at = float("-inf")
        self.told_from = float("inf")
        #: since when greetings hang there, and are not refused: its process or its machine stands still
        self.hangs_since = float("inf")

    def send(self, path: str, body: bytes, timeout: float = 1.0) -> bytes | None:
        """The answer to a message as it stands, or None."""
        try:
            status, answer = self.transport.request("POST", path, body, timeout)
        except UnreachableError as e:
            log.debug("peer %s does not answer: %s", self.name, e)
            return None
        return answer if status == 200 else None

    def tell(self, path: str, message: msgspec.Struct, answer: type[M], timeout: float = 1.0) -> M | None:
        body = self.send(path, msgspec.msgpack.encode(message), timeout)
        try:
            return None if body is None else msgspec.msgpack.decode(body, type=answer)
        except msgspec.DecodeError as e:
            log.debug("peer %s answers what cannot be read: %s", self.name, e)
            return None
