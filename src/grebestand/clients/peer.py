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

#: default limit on the duration of a request to a peer
MESSAGE_TIMEOUT_S = 1.0


class PeerClient:
    """Sends messages to a peer, another controller of the same cluster, and holds the last known state of the peer.

    All times are in seconds on the monotonic clock. The owner of the client updates the attributes.

    Attributes:
        name: Name of the peer.
        transport: Connections to the peer.
        last_status: Last response of the peer to a status exchange, or None if there has been no response.
        last_heard_at: Time at which the last response was received.
        answered_request_sent_at: Latest time at which a status request was sent that the peer answered.
        gapless_since: Start of the period in which status responses have arrived without a gap. Every cancellation
            that the peer confirmed in this period was in one of the responses.
        unresponsive_since: Time at which the first of the status requests was sent that have timed out since the peer
            last answered or refused a request. Requests that time out instead of being refused mean that the process or
            the machine of the peer is paused. Infinite while requests do not time out.
    """

    def __init__(self, name: str, transport: Transport) -> None:
        """Create a client of a peer whose state is not known yet."""
        self.name = name
        self.transport = transport
        self.last_status: PeerStatus | None = None
        self.last_heard_at = -math.inf
        self.answered_request_sent_at = -math.inf
        self.gapless_since = math.inf
        self.unresponsive_since = math.inf

    def send(self, path: str, body: bytes, timeout: float = MESSAGE_TIMEOUT_S) -> bytes | None:
        """Send an encoded message.

        Args:
            path: Path at the peer.
            body: Encoded message.
            timeout: Limit on the request in seconds.

        Returns:
            The encoded response, or None if the peer did not respond in time or responded with a status other than 200.
        """
        try:
            status, response = self.transport.request("POST", path, body, timeout)
        except UnreachableError as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(LogEvent("peer_request_failed", peer=self.name, path=path, reason=error))
            return None
        return response if status == HTTPStatus.OK else None

    def call(
        self, path: str, message: msgspec.Struct, response_type: type[Message], timeout: float = MESSAGE_TIMEOUT_S
    ) -> Message | None:
        """Send a message and decode the response.

        Args:
            path: Path at the peer.
            message: Message to send, which is encoded as MessagePack.
            response_type: Type of the expected response.
            timeout: Limit on the request in seconds.

        Returns:
            The response, or None if there was no response or it could not be decoded.
        """
        response = self.send(path, msgspec.msgpack.encode(message), timeout)
        try:
            return None if response is None else msgspec.msgpack.decode(response, type=response_type)
        except msgspec.DecodeError as error:
            log.debug(LogEvent("peer_response_unreadable", peer=self.name, path=path, reason=error))
            return None
