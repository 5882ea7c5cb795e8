"""Client of the cloud API that rents out machines."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec

from ..errors import GrebestandError
from ..flow_control.rate_limiter import RateLimitedError, RateLimiter, Urgency
from ..wire.cloud import ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Rented, RentRequest
from .http import Transport, UnreachableError

Message = TypeVar("Message")

#: Limit on the wait at the rate limiter. The request after the wait has the same limit.
REQUEST_TIMEOUT_S = 5.0
#: path of the list of rented machines, which is read in pages of 500
LIST_PATH = "/machines?page=500"
#: maximum number of bytes of an unexpected response that are quoted in an error text
MAX_QUOTED_BYTES = 100


class CloudError(GrebestandError):
    """The cloud gave no usable response. The request may have been executed.

    Attributes:
        reason: Why there is no usable response.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class NoCapacityError(GrebestandError):
    """The cloud has no machines of a type left to rent in a zone.

    Attributes:
        machine_type: Name of the machine type.
        zone: Name of the zone.
        spot: Whether spot machines were requested.
    """

    def __init__(self, machine_type: str, zone: str, spot: bool) -> None:
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        super().__init__(f"no capacity for {'spot ' if spot else ''}{machine_type} in {zone}")


class CloudClient:
    """Sends requests to the cloud, within its rate limit.

    Every method raises `CloudError` if the cloud gives no usable response.
    """

    def __init__(self, transport: Transport, rate_limiter: RateLimiter) -> None:
        """Bind the client to its connections and its rate limiter."""
        self._transport = transport
        self._rate_limiter = rate_limiter

    def machine_types(self) -> list[MachineType]:
        """Return the machine types that the cloud rents out."""
        return self._decode(*self._call("GET", "/flavors", None, Urgency.TAKEOVER), MachineTypes).types

    def rent(self, request: RentRequest) -> list[str]:
        """Rent machines and return their names.

        Repeating a request with the same request name returns the same machines and rents no further ones.

        Raises:
            NoCapacityError: The cloud has no machines of the requested type left in the requested zone.
        """
        status, body = self._call("POST", "/machines", request, Urgency.ACCEPT)
        if status == HTTPStatus.SERVICE_UNAVAILABLE and b"no capacity" in body:
            raise NoCapacityError(request.type, request.zone, request.spot)
        return self._decode(status, body, Rented).machines

    def remove(self, names: list[str]) -> None:
        """End the rental of machines. Names of machines that no longer exist are ignored."""
        status, body = self._call("POST", "/machines/delete", MachineNames(machines=names), Urgency.COMPLETION)
        self._check_status(status, body)

    def machines(self) -> list[ListedMachine]:
        """Return the rented machines as the cloud lists them. The list may lag behind recent changes."""
        listed: list[ListedMachine] = []
        since = ""
        while True:
            path = LIST_PATH + (f"&since={since}" if since else "")
            page = self._decode(*self._call("GET", path, None, Urgency.PROGRESS), MachineList)
            listed.extend(page.machines)
            if not page.more or not page.machines:
                return listed
            since = page.machines[-1].id

    def _call(self, method: str, path: str, message: msgspec.Struct | None, urgency: Urgency) -> tuple[int, bytes]:
        """Send a request within the rate limit, and return the status and the body of the response."""
        data = b"" if message is None else msgspec.json.encode(message)
        try:
            self._rate_limiter.acquire(urgency, 1, max_wait_s=REQUEST_TIMEOUT_S)
            return self._transport.request(method, path, data, REQUEST_TIMEOUT_S)
        except (RateLimitedError, UnreachableError) as error:
            raise CloudError(str(error)) from error

    @staticmethod
    def _check_status(status: int, body: bytes) -> None:
        """Raise `CloudError` unless the status is 200."""
        if status != HTTPStatus.OK:
            raise CloudError(f"expected status 200 from the cloud, got {status}: {body[:MAX_QUOTED_BYTES]!r}")

    @classmethod
    def _decode(cls, status: int, body: bytes, message_type: type[Message]) -> Message:
        """Decode the body of a response, after a check of its status."""
        cls._check_status(status, body)
        try:
            return msgspec.json.decode(body, type=message_type)
        except msgspec.DecodeError as error:
            raise CloudError(f"unreadable answer: {error}") from error
