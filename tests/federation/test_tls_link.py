"""The link between clusters: keys, refused certificates, allowed networks, limits, and finding the leader."""

from __future__ import annotations

import datetime as dt
import logging
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from grebestand.api.http_server import listen
from grebestand.clients.http import HttpTransport, Transport, UnreachableError
from grebestand.emulators.controller_processes import free_port
from grebestand.federation import keys, tls_link
from grebestand.federation.allowed_networks import AllowedNetworks, NetworkListError
from grebestand.federation.keyring import CHECK_INTERVAL_S, Keyring, KeyringError
from grebestand.federation.link_server import LinkAdmission, LinkServer
from grebestand.federation.messages import (
    MAX_MESSAGE_BYTES,
    NOT_LEADING,
    Message,
    Rejection,
    Reply,
    StatusQuery,
    UncertainReply,
    decode_reply,
)
from grebestand.federation.tls_link import LINK_PATH, TlsLink, tls_connector
from grebestand.simulation.single_controller_cluster import ManualClock

NOW = dt.datetime.now(dt.UTC)
QUERY = StatusQuery("home", "j-000001", "0" * 32)


class LinkedClusters:
    """The keys of two clusters that trust each other, and the link server of the cluster `east` on loopback."""

    def __init__(self, root: Path, home_created_at: dt.datetime = NOW) -> None:
        self.home, self.east = root / "home", root / "east"
        self.clock = ManualClock()
        pems = [keys.create(self.home, "home", 2.0, home_created_at), keys.create(self.east, "east", 2.0, NOW)]
        keys.trust(self.home, pems[1])
        keys.trust(self.east, pems[0])
        self.ring = Keyring(self.east, "east", self.clock)
        self.received: list[Message] = []
        self.networks = ["127.0.0.0/8"]
        self.port = free_port()
        link_server = LinkServer(self.ring, lambda: self.answer, lambda: "east-1", self.clock)
        gate = LinkAdmission(AllowedNetworks(self.networks), self.ring, self.clock)
        self.server = listen(f"127.0.0.1:{self.port}", "listen", link_server.app, 4, gate)
        self.server.start()

    def answer(self, message: Message) -> Reply:
        self.received.append(message)
        return Rejection("received")

    def connect(self, root: Path | None = None) -> HttpTransport:
        context = Keyring(root or self.home, (root or self.home).name, self.clock).client_context("east")
        return HttpTransport("127.0.0.1", self.port, 1, tls=context)

    def request(self, transport: HttpTransport, body: bytes | None = None) -> tuple[int, bytes]:
        return transport.request("POST", LINK_PATH, msgspec.msgpack.encode(QUERY) if body is None else body, 10.0)

    def pass_check_interval(self) -> None:
        self.clock.now += CHECK_INTERVAL_S + 1.0


@pytest.fixture
def linked(tmp_path: Path) -> Iterator[LinkedClusters]:
    linked = LinkedClusters(tmp_path)
    yield linked
    linked.server.stop(timeout=0.1)


def test_peer_is_identified_by_its_certificate(linked: LinkedClusters) -> None:
    transport = linked.connect()
    status, body = linked.request(transport)
    assert status == 200 and decode_reply(body) == Rejection("received") and linked.received == [QUERY]
    # A message that names another cluster than the certificate's is refused and does not reach the guest cluster.
    status, body = linked.request(transport, msgspec.msgpack.encode(msgspec.structs.replace(QUERY, home="west")))
    assert status == 403 and b"'west'" in body and len(linked.received) == 1


def test_link_works_over_ipv6(tmp_path: Path) -> None:
    """An IPv6 address in brackets must be parsed as an address, not as a host name, by server and client."""
    linked = LinkedClusters(tmp_path)
    gate = LinkAdmission(AllowedNetworks(["::1/128"]), linked.ring, linked.clock)
    link_server = LinkServer(linked.ring, lambda: linked.answer, lambda: None, linked.clock)
    server = listen(f"[::1]:{free_port()}", "listen", link_server.app, 4, gate)
    server.start()
    context = Keyring(linked.home, "home", linked.clock).client_context("east")
    transport = HttpTransport("[::1]", server.server_port, 1, tls=context)
    assert linked.request(transport)[0] == 200
    server.stop(timeout=0.1)
    linked.server.stop(timeout=0.1)


def test_keys_are_rotated_without_restart(linked: LinkedClusters) -> None:
    """The link works after each step: make a generation, trust it in the other cluster, activate it, revoke the old."""
    old = next(s for s in keys.list_certificates(linked.home, NOW) if s.state == "active")
    pem = keys.rotate(linked.home, 2.0, NOW)
    assert linked.request(linked.connect())[0] == 200  # the new generation exists but is not active
    keys.trust(linked.east, pem)
    linked.pass_check_interval()
    keys.activate(linked.home)
    shown = {s.file: s.state for s in keys.list_certificates(linked.home, NOW)}
    assert shown["own/0001.pem"] == "ready" and shown["own/0002.pem"] == "active"
    assert linked.request(linked.connect())[0] == 200
    keys.revoke(linked.east, old.fingerprint[:12])
    linked.pass_check_interval()
    assert linked.request(linked.connect())[0] == 200
    keys.activate(linked.home, "0001")
    with pytest.raises(UnreachableError):
        linked.request(linked.connect())


def test_open_connection_is_refused_after_its_certificate_is_revoked(linked: LinkedClusters) -> None:
    transport = linked.connect()
    assert linked.request(transport)[0] == 200
    certificate = next(s for s in keys.list_certificates(linked.east, NOW) if s.cluster == "home")
    keys.revoke(linked.east, certificate.fingerprint)
    linked.pass_check_interval()
    status, _ = linked.request(transport)
    assert status == 403 and len(linked.received) == 1


@pytest.mark.parametrize("case", ["expired", "unknown", "revoked"])
def test_refusal_of_a_certificate_is_logged_with_its_reason(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, case: str
) -> None:
    linked = LinkedClusters(tmp_path, NOW - dt.timedelta(days=30) if case == "expired" else NOW)
    root = linked.home
    if case == "unknown":
        root = tmp_path / "stranger"
        keys.create(root, "stranger", 2.0, NOW)
        keys.trust(root, linked.east / "own" / "0001.pem")
    if case == "revoked":
        keys.revoke(
            linked.east, next(s for s in keys.list_certificates(linked.east, NOW) if s.cluster == "home").fingerprint
        )
        linked.pass_check_interval()
    with caplog.at_level(logging.WARNING), pytest.raises(UnreachableError):
        linked.request(linked.connect(root))
    gevent.sleep(0)
    refused = [message for message in caplog.messages if message.startswith("link_refused host=127.0.0.1 ")]
    assert [message for message in refused if message.endswith(f'is {case}"')]
    assert not linked.received
    linked.server.stop(timeout=0.1)


def test_host_outside_the_networks_is_refused_before_the_handshake(tmp_path: Path) -> None:
    class NoHandshake:
        def accept_handshake(self, sock: Any, host: str) -> Any:
            raise AssertionError("a handshake was begun")

    gate = LinkAdmission(AllowedNetworks(["10.2.0.0/16"]), NoHandshake(), ManualClock())  # type: ignore[arg-type]
    server = listen(f"127.0.0.1:{free_port()}", "listen", lambda e, s: [], 4, gate)
    server.start()
    with gevent.socket.create_connection(("127.0.0.1", server.server_port), timeout=10.0) as sock:
        assert sock.recv(1) == b""
    server.stop(timeout=0.1)


def test_networks_of_ipv4_and_ipv6_and_their_faults() -> None:
    networks = AllowedNetworks(["10.2.0.0/16", "10.3.0.0/16", "fd00:2::/64", "192.0.2.7/32"])
    inside = ["10.2.255.1", "10.3.0.1", "192.0.2.7", "fd00:2::9", "::ffff:10.2.0.1", "fd00:2::1%eth0"]
    assert all(host in networks for host in inside)
    assert not any(host in networks for host in ["10.4.0.1", "192.0.2.8", "fd00:3::1", "nonsense", ""])
    assert str(networks).startswith("10.2.0.0/15")  # adjacent networks are merged
    for text in ["10.2.0.1", "10.2.0.1/16", "10.2/16/3", "300.0.0.0/8", "fd00::/129"]:
        with pytest.raises(NetworkListError, match=text.replace(".", r"\.")):
            AllowedNetworks([text])


def test_invalid_requests_are_refused_with_a_status(linked: LinkedClusters) -> None:
    transport = linked.connect()
    assert linked.request(transport, b"x" * (MAX_MESSAGE_BYTES + 1))[0] == 413
    assert linked.request(linked.connect(), b"\xc1")[0] == 400
    assert linked.connect().request("POST", "/federation/9", b"", 10.0)[0] == 404
    assert not linked.received


def test_keys_are_reloaded_only_when_they_can_be_used(linked: LinkedClusters, caplog: pytest.LogCaptureFixture) -> None:
    (linked.east / "trusted" / "home" / "broken.pem").write_text("no certificate")
    edition = linked.ring.edition
    linked.pass_check_interval()
    assert linked.request(linked.connect())[0] == 200 and linked.ring.edition == edition
    assert "the earlier ones stay" in caplog.text
    with pytest.raises(KeyringError, match=r"broken\.pem: not a certificate"):
        Keyring(linked.east, "east", linked.clock)
    with pytest.raises(KeyringError, match="keys of 'home', not of 'west'"):
        Keyring(linked.home, "west", linked.clock)


def test_faults_of_keys_name_what_is_wrong(tmp_path: Path) -> None:
    root = tmp_path / "k"
    with pytest.raises(keys.KeyFileError, match="no keys here"):
        keys.rotate(root, 1.0, NOW)
    with pytest.raises(keys.KeyFileError, match="not a cluster's name"):
        keys.create(root, "../up", 1.0, NOW)
    pem = keys.create(root, "home", 1.0, NOW)
    assert (root / "own" / "0001.key").stat().st_mode & 0o077 == 0
    with pytest.raises(keys.KeyFileError, match="there are keys already"):
        keys.create(root, "home", 1.0, NOW)
    with pytest.raises(keys.KeyFileError, match="of this cluster itself"):
        keys.trust(root, pem)
    with pytest.raises(keys.KeyFileError, match="no generation '0007'"):
        keys.activate(root, "0007")
    with pytest.raises(keys.KeyFileError, match="names 0 certificates"):
        keys.revoke(root, "00000000")


# finding the leader of the other cluster ------------------------------------------------------------------


class FakeControllers:
    """Controllers of another cluster, of which one leads and some do not respond."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.leader = "b"
        self.unresponsive: set[str] = set()
        self.gives_hint = True
        self.received: list[str] = []
        self.connections = 0
        self.edition = 1
        names = {n: (n, 1) for n in "abc"}
        self.link = TlsLink(names, self.connect, lambda: self.edition, self.clock, random.Random(1))

    def connect(self, host: str, port: int) -> Transport | None:
        self.connections += 1
        controllers = self

        class FakeTransport:
            def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
                controllers.received.append(host)
                if host in controllers.unresponsive:
                    controllers.clock.now += timeout
                    raise UnreachableError("silent")
                reply: Reply = Rejection("yes")
                if host != controllers.leader:
                    reply = UncertainReply(NOT_LEADING, controllers.leader if controllers.gives_hint else None)
                return 200, msgspec.msgpack.encode(reply)

        return FakeTransport()


def test_leader_is_found_remembered_and_found_again() -> None:
    controllers = FakeControllers()
    assert controllers.link.send(QUERY) == Rejection("yes") and len(controllers.received) <= 2
    controllers.received.clear()
    assert controllers.link.send(QUERY) == Rejection("yes") and controllers.received == ["b"]
    controllers.leader, controllers.gives_hint = "c", False
    controllers.received.clear()
    assert (
        controllers.link.send(QUERY) == Rejection("yes")
        and controllers.received[0] == "b"
        and controllers.received[-1] == "c"
    )


def test_unanswered_message_takes_a_bounded_time() -> None:
    controllers = FakeControllers()
    controllers.unresponsive = {"a", "b", "c"}
    begin = controllers.clock.now
    assert controllers.link.send(QUERY) is None
    assert controllers.clock.now - begin <= tls_link.TOTAL_TIMEOUT_S + 1e-9 and len(controllers.received) <= 3
    controllers.unresponsive = {"b"}
    # The leader does not respond, and replies of the other controllers are uncertain.
    assert isinstance(controllers.link.send(QUERY), UncertainReply)


def test_connections_are_replaced_after_keys_change() -> None:
    controllers = FakeControllers()
    controllers.link.send(QUERY)
    before = controllers.connections
    controllers.link.send(QUERY)
    assert controllers.connections == before
    controllers.edition = 2
    controllers.link.send(QUERY)
    assert controllers.connections == before + 1
    assert tls_connector("nobody", _no_ring())("127.0.0.1", 1) is None


def _no_ring() -> Any:
    class Empty:
        def client_context(self, peer: str) -> None:
            return None

    return Empty()


def test_truncated_response_counts_as_unreachable() -> None:
    """The parser's error for a truncated response must not propagate, as it would end the leader's step."""

    def half(sock: Any, _: object) -> None:
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")

    server = StreamServer(("127.0.0.1", 0), half)
    server.start()
    transport = HttpTransport("127.0.0.1", server.server_port, 1)
    with pytest.raises(UnreachableError):
        transport.request("POST", "/", b"", 10.0)
    server.stop(timeout=0.1)


def test_connection_that_breaks_during_a_reply_logs_no_traceback(
    linked: LinkedClusters, capfd: pytest.CaptureFixture[str]
) -> None:
    """A broken connection must not fill the log with tracebacks."""
    broken = Event()

    def answer(message: Message) -> Reply:
        broken.wait(10.0)
        return Rejection("x" * 8000)

    linked.answer = answer  # type: ignore[method-assign]
    transport = linked.connect()
    with pytest.raises(UnreachableError):
        transport.request("POST", LINK_PATH, msgspec.msgpack.encode(QUERY), 0.5)
    transport.close()
    broken.set()
    gevent.sleep(0.1)
    assert "Traceback" not in capfd.readouterr().err
