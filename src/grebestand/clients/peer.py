"""Client of another controller of the same cluster."""

from __future__ import annotations

import logging
import math
from http import HTTPStatus
from typing import TypeVar

import msgspec

from ..log_events import LogEvent
from ..wire.peers import PeerStatus
from .http import Transport, UnreachableError

log = logging.getLogger(__name__)

Message = TypeVar("Message")

#: limit on a message, unless the caller sets another one
MESSAGE_TIMEOUT_S = 1.0


class PeerClient:
    """Sends messages to another controller, and keeps what is known of it. Times are of the steady clock, in seconds.

    Attributes:
        name: Name of the controller.
        transport: Connections to it.
        last: Its last response to a status exchange, or None if there has been none.
        last_heard_at: When that response was received.
        told_at: When the request was sent that it answered last.
        told_from: Since when its responses have followed each other so closely that every cancellation it confirmed was
            in one of them.
        hangs_since: Since when status requests time out without being refused, which means that its process or machine
            has stopped; infinite while they do not.
    """

    def __init__(self, name: str, transport: Transport) -> None:
        """Bind the client to its connections; nothing is known of the controller yet."""
        self.name = name
        self.transport = transport
        self.last: PeerStatus | None = None
        self.last_heard_at = -math.inf
        self.acknowledged_at = -math.inf
        self.acknowledged_since = math.inf
        self.unresponsive_since = math.inf

    def send(self, path: str, body: bytes, timeout: float = MESSAGE_TIMEOUT_S) -> bytes | None:
        """Send an encoded message; return the encoded response, or None if there is none within `timeout` seconds."""
        try:
            status, response = self.transport.request("POST", path, body, timeout)
        except UnreachableError as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(LogEvent("peer_request_failed", peer=self.name, path=path, reason=error))
            return None
        return response if status == HTTPStatus.OK else None

    def tell(
        self, path: str, message: msgspec.Struct, response_type: type[Message], timeout: float = MESSAGE_TIMEOUT_S
    ) -> Message | None:
        """Send a message and return the response, or None if there is none that can be decoded."""
        response = self.send(path, msgspec.msgpack.encode(message), timeout)
        try:
            return None if response is None else msgspec.msgpack.decode(response, type=response_type)
        except msgspec.DecodeError as error:
            log.debug(LogEvent("peer_response_unreadable", peer=self.name, path=path, reason=error))
            return None
