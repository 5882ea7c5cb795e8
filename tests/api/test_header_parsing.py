"""The cache of parsed HTTP header blocks, which works because a worker sends the same headers with every heartbeat."""

from __future__ import annotations

import io
from collections.abc import Iterator
from typing import Any

import pytest

from grebestand.api import http_server

BODY = b"BODY"


@pytest.fixture(autouse=True)
def no_parsed_headers() -> Iterator[None]:
    http_server._Handler._parsed_headers.clear()
    yield
    http_server._Handler._parsed_headers.clear()


def read(block: bytes) -> tuple[Any, bytes]:
    """Return the parsed headers of a block, and the bytes left to read after the block."""
    handler = http_server._Handler.__new__(http_server._Handler)
    stream = io.BytesIO(block + BODY)
    return handler.MessageClass(stream, 0), stream.read()


def test_equal_blocks_are_parsed_once() -> None:
    """Parsing takes half the time of a request, and heartbeats of the same size have equal header blocks."""
    first, rest = read(b"Host: a\r\nContent-Length: 4\r\n\r\n")
    again, _ = read(b"Host: a\r\nContent-Length: 4\r\n\r\n")
    assert rest == BODY and again is first


def test_different_blocks_are_not_mixed_up() -> None:
    first, _ = read(b"Host: a\r\nContent-Length: 4\r\n\r\n")
    other, _ = read(b"Host: a\r\nContent-Length: 5\r\n\r\n")
    assert first.get("content-length") == "4" and other.get("content-length") == "5"


def test_long_block_is_parsed_whole() -> None:
    headers, rest = read(b"Host: a\r\nX: " + b"y" * 5000 + b"\r\nContent-Length: 6\r\n\r\n")
    assert rest == BODY and headers.get("content-length") == "6" and len(headers.get("x")) == 5000


def test_number_of_cached_blocks_is_bounded() -> None:
    for number in range(2 * http_server.MAX_CACHED_HEADERS):
        read(b"Content-Length: %d\r\n\r\n" % number)
    assert len(http_server._Handler._parsed_headers) <= http_server.MAX_CACHED_HEADERS


def test_block_above_the_size_limit_has_an_error_status() -> None:
    assert read(b"X: " + b"y" * 70000 + b"\r\n\r\n")[0].status
