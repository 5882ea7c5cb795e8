"""Sends commands directly to workers over a bounded number of connections."""

from __future__ import annotations

from gevent.lock import BoundedSemaphore

from ..clients.http import UnreachableError
from ..clients.runtime import Runtime

#: Longest wait for a free connection.
CONNECTION_WAIT_S = 1.0
#: Timeout of a request; a reachable worker responds much sooner.
REQUEST_TIMEOUT_S = 3.0


class DirectCommandSender:
    """Sends requests to workers, one per connection.

    These connections are outgoing, with a limit of their own beside the limits of connections from workers and users.
    """

    def __init__(self, runtime: Runtime, max_connections: int) -> None:
        self.runtime = runtime
        self._connections = BoundedSemaphore(max_connections)

    def send(self, address: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a POST request to a worker.

        Args:
            address: Address of the worker, as `host:port`.
            path: Path of the request.
            body: Body of the request.

        Returns:
            Status and body of the response.

        Raises:
            UnreachableError: No connection became free within `CONNECTION_WAIT_S`, or the worker did not respond.
        """
        if not self._connections.acquire(timeout=CONNECTION_WAIT_S):
            raise UnreachableError("too many direct orders are under way")
        try:
            return self.runtime.request_once("POST", address, path, body, REQUEST_TIMEOUT_S)
        finally:
            self._connections.release()
