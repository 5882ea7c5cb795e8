"""The response to an HTTP request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Response:
    """A status, a JSON body, and the headers that depend on them."""

    status: int
    body: bytes = b""
    #: the `Retry-After` header, in seconds
    retry_after: int | None = None
    #: the `Allow` header
    allow: str | None = None
    #: the connection is closed after this response
    close: bool = False
