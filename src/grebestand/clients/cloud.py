"""Client of the cloud that rents machines."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ..flow_control.rate_limiter import RateLimitedError, RateLimiter, Urgency
from ..wire.cloud import ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Rented, RentRequest
from .http import Transport, UnreachableError

T = TypeVar("T")


class CloudError(Exception):
    """No useful answer; the request may have been carried out."""


class NoCapacityError(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, transport: Transport, budget: RateLimiter) -> None:
        self._transport = transport
        self.budget = budget

    def _call(self, method: str, path: str, body: object, urgency: Urgency) -> tuple[int, bytes]:
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            self.budget.take(urgency, 1, patience_s=5.0)
            return self._transport.request(method, path, data, 5.0)
        except (RateLimitedError, UnreachableError) as e:
            raise CloudError(str(e)) from e

    @staticmethod
    def _decode(status: int, answer: bytes, kind: type[T]) -> T:
        if status != 200:
            raise CloudError(f"status {status}: {answer[:100]!r}")
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.DecodeError as e:
            raise CloudError(f"unreadable answer: {e}") from e

    def machine_types(self) -> list[MachineType]:
        return self._decode(*self._call("GET", "/flavors", None, Urgency.TAKEOVER), MachineTypes).types

    def rent(self, request: RentRequest) -> list[str]:
        status, answer = self._call("POST", "/machines", request, Urgency.ACCEPT)
        if status == 503 and b"no capacity" in answer:
            raise NoCapacityError
        return self._decode(status, answer, Rented).machines

    def remove(self, names: list[str]) -> None:
        status, answer = self._call("POST", "/machines/delete", MachineNames(machines=names), Urgency.DONE)
        if status != 200:
            raise CloudError(f"status {status}: {answer[:100]!r}")

    def machines(self) -> list[ListedMachine]:
        found: list[ListedMachine] = []
        since = ""
        while True:
            path = "/machines?page=500" + (f"&since={since}" if since else "")
            page = self._decode(*self._call("GET", path, None, Urgency.PROGRESS), MachineList)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].id
