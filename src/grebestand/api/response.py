"""The response to an HTTP request, independent of the HTTP server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Response:
    """An HTTP response.

    Attributes:
        status: HTTP status code.
        body: JSON body.
        retry_after: Value of the `Retry-After` header in seconds, or None for no such header.
        allow: Value of the `Allow` header, or None for no such header.
        close: Whether the connection is closed after this response.
    """

    status: int
    body: bytes = b""
    retry_after: int | None = None
    allow: str | None = None
    close: bool = False
