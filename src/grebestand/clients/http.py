"""HTTP requests to other services, with a timeout on the whole duration of each request.

Connections are pooled by geventhttpclient, whose own timeouts apply between two packets. A server that sends a byte now
and then would never exceed those timeouts and could block a caller forever, so `HttpTransport` adds a timeout on the
whole request.
"""

from __future__ import annotations

from http.client import HTTPException
from ssl import SSLContext
from typing import Any, Protocol

import gevent
from gevent.exceptions import ConcurrentObjectUseError
from geventhttpclient import HTTPClient

from ..errors import GrebestandError

#: default size of the connection pool of a transport
DEFAULT_CONNECTIONS = 8
#: default timeout for establishing a connection
CONNECT_TIMEOUT_S = 1.5
#: Timeout of geventhttpclient between two packets. Longer than the timeout of any request, so that the timeout on the
#: whole request takes effect first.
PACKET_TIMEOUT_S = 70.0


class UnreachableError(GrebestandError):
    """A server gave no response. The request may have been executed, or may be executed later.

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
            timeout: Limit on the whole duration of the request, in seconds.

        Raises:
            UnreachableError: There was no response within `timeout` seconds.
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
        """Create the pool. Connections are opened on demand.

        Args:
            host: Host name or IP address of the server; an IPv6 address is in brackets.
            port: TCP port of the server.
            connections: Maximum number of connections. Requests wait while all connections are in use.
            connect_s: Timeout for establishing a connection, in seconds.
            tls: TLS context for the connections; None for plain HTTP. Only this context decides which server
                certificates are accepted: host names are not verified.
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
        request_timeout = gevent.Timeout(timeout)
        request_timeout.start()
        try:
            response = self._client.request(method, path, body)
            data = bytes(response.read())
            return int(response.status_code), data
        except gevent.Timeout as error:
            if error is not request_timeout:  # a timeout that a caller has set around this call
                raise
            raise UnreachableError(f"timeout after {timeout:g} s: {method} {path}") from None
        except (OSError, RuntimeError, ValueError, ConcurrentObjectUseError, HTTPException) as error:
            raise UnreachableError(str(error)) from error
        finally:
            request_timeout.close()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
