"""One JSON request to an outside service, with a limit on its whole duration.

geventhttpclient keeps the connections; its own timeouts count from packet to packet, so a server that
drips would hold a caller for ever without the outer limit here.
"""

from __future__ import annotations

from http.client import HTTPException
from ssl import SSLContext
from typing import Any, Protocol

import gevent
from gevent.exceptions import ConcurrentObjectUseError
from geventhttpclient import HTTPClient


class UnreachableError(Exception):
    """No answer: the request may have been executed, or may still be."""


class Transport(Protocol):
    """What the clients need of a network; tests hand in a fake."""

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]: ...


class HttpTransport:
    def __init__(
        self, host: str, port: int, connections: int = 8, connect_s: float = 1.5, tls: SSLContext | None = None
    ) -> None:
        """With `tls`, that context alone decides who may be at the other end; no name is looked at."""
        secure: dict[str, Any] = {}
        if tls is not None:
            secure = {"ssl": True, "insecure": True, "ssl_context_factory": lambda cafile=None: tls}
        self._client = HTTPClient(
            host.strip("[]"),
            port=port,
            concurrency=connections,
            connection_timeout=connect_s,
            network_timeout=70.0,
            disable_ipv6=not host.startswith("["),
            **secure,
        )

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        limit = gevent.Timeout(timeout)
        limit.start()
        try:
            response = self._client.request(method, path, body)
            data = bytes(response.read())
            return int(response.status_code), data
        except gevent.Timeout as e:
            if e is not limit:
                raise
            raise UnreachableError("timeout") from None
        except (OSError, RuntimeError, ValueError, ConcurrentObjectUseError, HTTPException) as e:
            raise UnreachableError(str(e)) from e
        finally:
            limit.close()

    def close(self) -> None:
        self._client.close()
