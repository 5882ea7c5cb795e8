"""Sends commands directly to workers, over connections whose number is bounded."""

from __future__ import annotations

from gevent.lock import BoundedSemaphore

from ..clients.http import UnreachableError
from ..clients.runtime import Runtime

#: a request waits this long for one of the connections before it is given up
CONNECTION_WAIT_S = 1.0
#: a worker that is reachable answers well within this time
REQUEST_TIMEOUT_S = 3.0


class DirectCommandSender:
    """Sends one request per connection; these connections do not count against those of workers and users."""

    def __init__(self, runtime: Runtime, max_connections: int) -> None:
        self.runtime = runtime
        self._connections = BoundedSemaphore(max_connections)

    def send(self, address: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a request to a worker and return the status and body of its response.

        Raises:
            UnreachableError: no connection was free in time, or the worker did not answer.
        """
        if not self._connections.acquire(timeout=CONNECTION_WAIT_S):
            raise UnreachableError("too many direct orders are under way")
        try:
            return self.runtime.request_once("POST", address, path, body, REQUEST_TIMEOUT_S)
        finally:
            self._connections.release()
