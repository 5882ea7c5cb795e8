"""What a door answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Response:
    status: int
    body: bytes = b""
    retry_after: int | None = None
    allow: str | None = None
    #: the connection ends with this answer
    close: bool = False
