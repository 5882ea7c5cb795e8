"""The HTTP interface for workers, users and health checks."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from ..api.heartbeat_api import HeartbeatApi
from ..api.http_server import read_body, respond
from ..api.job_api import JobApi
from ..api.response import Response
from ..connectivity.link_health import LinkHealth
from ..flow_control.overload import OverloadMonitor
from ..log_events import LogEvent
from .leadership_transfer import LeadershipTransfer

log = logging.getLogger(__name__)

HEARTBEAT_PATH = "/checkin"
HEALTH_PATH = "/healthz"


class HttpFront:
    """Routes requests, and refuses those of users that this controller cannot serve now."""

    def __init__(
        self,
        *,
        users: JobApi,
        workers: HeartbeatApi,
        transfer: LeadershipTransfer,
        overload: OverloadMonitor,
        workers_link: LinkHealth,
    ) -> None:
        self.users = users
        self.workers = workers
        self.transfer = transfer
        self.overload = overload
        self.workers_link = workers_link
        #: requests of users that are being answered
        self.users_busy = 0

    def app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request (a WSGI application)."""
        try:
            response = self.answer(environ)
        except OSError:
            # the body did not come in whole or in time
            response = Response(400, b'{"error":"unreadable request"}')
        except Exception:
            log.exception(LogEvent("request_crashed", path=environ.get("PATH_INFO")))
            response = Response(503, b'{"error":"internal"}', retry_after=1)
        return respond(response, start_response)

    def answer(self, environ: dict[str, Any]) -> Response:
        """Return the response to a request; `environ` says whether its connection is a surplus one."""
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path == HEARTBEAT_PATH:
            if method != "POST":
                return Response(405, b"{}", allow="POST")
            connection = environ.get("grebestand.connection")
            return self.handle_heartbeat(read_body(environ), connection, bool(environ.get("grebestand.surplus")))
        if path == HEALTH_PATH:
            if method != "GET":
                return Response(405, b"{}", allow="GET")
            return Response(200 if self.transfer.healthy() else 503, b"{}")
        return self._answer_user(environ, method, path)

    def handle_heartbeat(self, body: bytes, connection: object = None, surplus: bool = False) -> Response:
        """Answer a worker's heartbeat. Whatever the answer is, it shows that workers reach this controller."""
        self.workers_link.record_success()
        return self.workers.handle_heartbeat(body, connection, surplus)

    def _answer_user(self, environ: dict[str, Any], method: str, path: str) -> Response:
        """Answer a user, unless connections or time are short: heartbeats go first, and users come back."""
        if environ.get("grebestand.surplus"):
            return Response(503, b'{"error":"no connection is free"}', retry_after=1, close=True)
        if not self.overload.admits(self.users_busy, poll=method == "GET"):
            return Response(503, b'{"error":"overloaded"}', retry_after=1)
        self.users_busy += 1
        try:
            return self.users.route(method, path, partial(read_body, environ))
        finally:
            self.users_busy -= 1
