"""The distribution of connections: within the quota, with separate shares for surplus clients and direct commands."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket

from grebestand.api.http_server import listen_bounded, respond
from grebestand.api.response import Response
from grebestand.clients.http import UnreachableError
from grebestand.controller.controller import Controller
from grebestand.flow_control.connection_limits import ConnectionPlan, plan_connections
from grebestand.settings.platform import ProcessLimits
from grebestand.simulation.cluster import SimulatedCluster
from grebestand.simulation.virtual_time import VirtualLoop, simulated_time


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    with simulated_time() as virtual:
        yield virtual


@pytest.mark.parametrize("quota", [800, 1000, 1752, 2470])
@pytest.mark.parametrize("peer_count", [0, 2, 5])
def test_all_shares_together_stay_within_the_quota(quota: int, peer_count: int) -> None:
    plan = plan_connections(ProcessLimits(max_connections=quota), peer_count)
    not_served = plan.surplus + plan.backlog
    assert plan.serving + not_served + plan.peers + plan.from_peers + plan.direct < quota
    assert 0 < plan.workers < plan.serving


def test_surplus_connection_is_answered_once_and_closed() -> None:
    ended: list[object] = []

    def app(environ: dict[str, object], start: Callable[..., object]) -> list[bytes]:
        surplus = bool(environ["grebestand.surplus"])
        return respond(Response(503 if surplus else 200, b"{}", close=surplus), start)

    server = listen_bounded("127.0.0.1:1", "here", app, ConnectionPlan(0, 0, 0, 1, 2, 8, 1), on_end=ended.append)
    server.address = ("127.0.0.1", 0)
    server.start()
    try:
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        served, surplus = (socket.create_connection(("127.0.0.1", server.server_port)) for _ in range(2))
        served.sendall(request)
        assert served.recv(4096).startswith(b"HTTP/1.1 200")
        surplus.sendall(request)
        response = b"".join(iter(lambda: surplus.recv(4096), b""))
        assert response.startswith(b"HTTP/1.1 503") and len(ended) == 1
        served.sendall(request)
        assert served.recv(4096).startswith(b"HTTP/1.1 200")
        served.close()
    finally:
        server.stop(1)


def test_direct_commands_are_limited_to_their_connections(loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = SimulatedCluster(loop, machines=2)
    controller: Controller | None = cluster.controllers["node-0"]
    assert controller is not None
    open_connections, max_open_connections = 0, 0

    def hanging(method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        nonlocal open_connections, max_open_connections
        open_connections += 1
        max_open_connections = max(max_open_connections, open_connections)
        gevent.sleep(timeout)
        open_connections -= 1
        raise UnreachableError("timeout")

    monkeypatch.setattr(controller.runtime, "request_once", hanging)
    errors = Counter[str]()

    def send_command() -> None:
        try:
            controller.direct_commands.send("n-000000:1", "/do", b"{}")
        except UnreachableError as error:
            errors[str(error)] += 1

    gevent.joinall([gevent.spawn(send_command) for _ in range(300)])
    assert max_open_connections == controller.connections.direct
    assert errors["too many direct orders are under way"] == 300 - max_open_connections
