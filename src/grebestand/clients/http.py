"""HTTP requests to other services, with a limit on the whole duration of each request.

geventhttpclient keeps the connections. Its own timeouts count from packet to packet, so that a server which sends a
byte now and then could block a caller forever without the limit here.
"""

from __future__ import annotations

from http.client import HTTPException
from ssl import SSLContext
from typing import Any, Protocol

import gevent
from gevent.exceptions import ConcurrentObjectUseError
from geventhttpclient import HTTPClient

from ..errors import GrebestandError

#: connections that a transport keeps, unless its user asks for another number
DEFAULT_CONNECTIONS = 8
#: limit on the time to establish a connection
CONNECT_TIMEOUT_S = 1.5
#: geventhttpclient's limit between two packets; longer than any request may last, so that the request's limit decides
PACKET_TIMEOUT_S = 70.0


class UnreachableError(GrebestandError):
    """No response: the request may have been executed, or may be executed later.

    Attributes:
        reason: Why there is no response.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class Transport(Protocol):
    """Sends requests to one server. Simulations and tests provide their own."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its response.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Body of the request, possibly empty.
            timeout: Limit on the whole duration in seconds.

        Raises:
            UnreachableError: There was no response within the limit.
        """


class HttpTransport:
    """A `Transport` over a pool of HTTP/1.1 connections to one server."""

    def __init__(
        self,
        host: str,
        port: int,
        connections: int = DEFAULT_CONNECTIONS,
        connect_s: float = CONNECT_TIMEOUT_S,
        tls: SSLContext | None = None,
    ) -> None:
        """Prepare the pool; connections are opened on demand.

        Args:
            host: Host name or address of the server; an IPv6 address stands in brackets.
            port: TCP port of the server.
            connections: Maximum number of connections; further requests wait.
            connect_s: Limit on the time to establish a connection, in seconds.
            tls: Use TLS with this context, which alone decides which server is accepted; no host name is verified.
        """
        tls_options: dict[str, Any] = {}
        if tls is not None:
            tls_options = {"ssl": True, "insecure": True, "ssl_context_factory": lambda cafile=None: tls}
        self._client = HTTPClient(
            host.strip("[]"),
            port=port,
            concurrency=connections,
            connection_timeout=connect_s,
            network_timeout=PACKET_TIMEOUT_S,
            disable_ipv6=not host.startswith("["),
            **tls_options,
        )

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        """Send a request as `Transport.request` describes."""
        limit = gevent.Timeout(timeout)
        limit.start()
        try:
            response = self._client.request(method, path, body)
            data = bytes(response.read())
            return int(response.status_code), data
        except gevent.Timeout as error:
            if error is not limit:  # a limit that a caller has set around this request
                raise
            raise UnreachableError("timeout") from None
        except (OSError, RuntimeError, ValueError, ConcurrentObjectUseError, HTTPException) as error:
            raise UnreachableError(str(error)) from error
        finally:
            limit.close()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
