"""Routes HTTP requests of workers, users and health checks to their handlers."""

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
    """Routes requests, and rejects requests of users for which this controller lacks capacity."""

    def __init__(
        self,
        *,
        job_api: JobApi,
        heartbeat_api: HeartbeatApi,
        transfer: LeadershipTransfer,
        overload: OverloadMonitor,
        workers_link: LinkHealth,
    ) -> None:
        self.job_api = job_api
        self.heartbeat_api = heartbeat_api
        self.transfer = transfer
        self.overload = overload
        self.workers_link = workers_link
        #: Number of user requests in progress.
        self.active_user_requests = 0

    def app(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request, as a WSGI application."""
        try:
            response = self.answer(environ)
        except OSError:
            # the body was incomplete, or did not arrive in time
            response = Response(400, b'{"error":"unreadable request"}')
        except Exception:
            log.exception(LogEvent("request_crashed", path=environ.get("PATH_INFO")))
            response = Response(503, b'{"error":"internal"}', retry_after=1)
        return respond(response, start_response)

    def answer(self, environ: dict[str, Any]) -> Response:
        """Return the response to a request.

        Args:
            environ: WSGI environment, with the entries that `api.http_server` adds for the connection.
        """
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path == HEARTBEAT_PATH:
            if method != "POST":
                return Response(405, b"{}", allow="POST")
            connection = environ.get("grebestand.connection")
            return self.handle_heartbeat(read_body(environ), connection, bool(environ.get("grebestand.surplus")))
        if path == HEALTH_PATH:
            if method != "GET":
                return Response(405, b"{}", allow="GET")
            return Response(200 if self.transfer.is_healthy() else 503, b"{}")
        return self._answer_user(environ, method, path)

    def handle_heartbeat(self, body: bytes, connection: object = None, over_limit: bool = False) -> Response:
        """Answer a worker's heartbeat, and record that workers reach this controller, whatever the response is.

        Args:
            body: Body of the request.
            connection: Connection of the worker.
            over_limit: Whether `connection` exceeds the number of connections that the server keeps.
        """
        self.workers_link.record_success()
        return self.heartbeat_api.handle_heartbeat(body, connection, over_limit)

    def _answer_user(self, environ: dict[str, Any], method: str, path: str) -> Response:
        """Answer a user's request, or reject it with status 503 if connections or processing time are short.

        Heartbeats have precedence over users, who can retry their requests.
        """
        if environ.get("grebestand.surplus"):
            return Response(503, b'{"error":"no connection is free"}', retry_after=1, close=True)
        if not self.overload.admits(self.active_user_requests, poll=method == "GET"):
            return Response(503, b'{"error":"overloaded"}', retry_after=1)
        self.active_user_requests += 1
        try:
            return self.job_api.route(method, path, partial(read_body, environ))
        finally:
            self.active_user_requests -= 1
