"""One controller process: the servers and the loops around the library's steps."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import Any, ClassVar

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer, headers_factory

from .api import Answer, Api
from .budget import Budget, Urgency
from .cloud import CloudClient, CloudError
from .http import HttpTransport, Unreachable
from .leadership import Fenced, Leadership
from .machines import LeaderState, LoadState, MachineState
from .overload import LOOK_S, Load
from .peers import CachedImages, Hello, Peer, Resigned
from .policy import VARIABLES, Policy
from .settings import Settings, parse_address
from .state import StateClient, StateError, put
from .term import Term
from .wire import MAX_BODY, Elsewhere, MachineType, MachineTypes, Report

log = logging.getLogger("grebestand.controller")
_json = msgspec.json.Encoder()
_report_decoder = msgspec.json.Decoder(Report)

TYPES_KEY = "meta/types"
#: how often the leader tells the others which images the machines have
IMAGES_S = 5.0
#: a peer's word on when it last reached the state service is as old as this at most
OUTAGE_MARGIN_S = 1.5
#: authority counts from the last renewal before an outage, so its life is shortened by this much at worst
RENEW_S = 0.5
#: a leader that is overloaded for so long gives way, where somebody is not; the next time it waits longer
SLOW_S = 6.0
REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    421: "Misdirected Request", 422: "Unprocessable Entity", 503: "Service Unavailable",
}  # fmt: skip


#: blocks of headers up to this size are remembered, and so many of them
BLOCK_BYTES, BLOCKS = 1024, 256
#: what `http.client` reads of a line of headers
LINE_BYTES = 65537


class _Replay:
    """Lines that were read already, and then the rest of what comes."""

    def __init__(self, lines: list[bytes], rest: Any) -> None:
        self._lines = iter(lines)
        self._rest = rest

    def readline(self, limit: int = LINE_BYTES) -> bytes:
        line = next(self._lines, None)
        return self._rest.readline(limit) if line is None else line


class _Handler(WSGIHandler):  # type: ignore[misc]
    """A connection that sends no complete request for long is closed: it would hold a socket for ever."""

    #: workers and users send the same few blocks again and again; parsing one took half the time of a request
    _parsed: ClassVar[dict[bytes, Any]] = {}

    def MessageClass(self, rfile: Any, *_: Any) -> Any:
        lines = []
        size = 0
        while size <= BLOCK_BYTES:
            lines.append(rfile.readline(LINE_BYTES))
            size += len(lines[-1])
            if lines[-1] in (b"\r\n", b"\n", b""):
                break
        else:
            return headers_factory(_Replay(lines, rfile))
        block = b"".join(lines)
        found = self._parsed.get(block)
        if found is None:
            found = headers_factory(_Replay(lines, rfile))
            if len(self._parsed) >= BLOCKS:
                self._parsed.pop(next(iter(self._parsed)))
            self._parsed[block] = found
        return found

    def read_requestline(self) -> Any:
        self.socket.settimeout(120.0)
        line = super().read_requestline()
        self.socket.settimeout(10.0)
        return line

    def log_request(self) -> None:
        return


class _Quiet:
    def write(self, text: str) -> None:
        if text.strip():
            log.debug("http: %s", text.strip()[:300])

    def flush(self) -> None:
        return


class Controller:
    def __init__(self, settings: Settings, policy: Policy) -> None:
        self.settings = settings
        self.policy = policy
        p = settings.params
        self.clock: Callable[[], float] = time.monotonic
        self.rng = random.Random()
        others = max(1, p.nodes - 1)
        self._leader_share, self._follower_share = 0.7, 0.3 / others
        reads = Budget(p.state.rps * 0.9 / max(1, p.nodes), p.state.rps * 0.3, self.clock, gevent.spawn_later)
        writes = Budget(
            p.state.write_rps * self._follower_share, p.state.write_rps * 0.3, self.clock, gevent.spawn_later
        )
        host, port = parse_address(settings.outside.state, "outside.state")
        self.state = StateClient(HttpTransport(host, port, 24), HttpTransport(host, port, 4), reads, writes)
        host, port = parse_address(settings.outside.cloud, "outside.cloud")
        self.cloud = CloudClient(
            HttpTransport(host, port, 4), Budget(p.cloud.rps * 0.8, p.cloud.rps, self.clock, gevent.spawn_later)
        )
        self.types: list[MachineType] | None = None
        names = {name: low for name, (low, _) in VARIABLES.items()}
        names["lease_s"] = p.workers.lease_s
        names["report_s"] = p.workers.report_s
        self.leadership = Leadership(settings.name, self.state, self.clock, policy.value("hold_s", names))
        self.leadership.on_move = self._moved
        self.api = Api(
            self.state, p.teams, p.zones, int(p.state.value_kb * 1024) - 16, time.time, self.clock,
            lambda: self.types, self._counts,
        )  # fmt: skip
        self.peers = []
        for known in settings.peers:
            host, port = parse_address(known.address, "known.address")
            self.peers.append(Peer(known.name, HttpTransport(host, port, 2, connect_s=0.8)))
        self.term: Term | None = None
        self.state_ok_at = self.clock()
        #: when the first of its requests since then that failed was sent
        self.state_failed_at: float | None = None
        self.users_busy = 0
        self.pressure = Load(p.quota, self.clock)
        self.leader_counts: dict[str, tuple[int, int]] = {}
        self.lost_workers = 0
        #: how often this controller gave way because it was late
        self.slow_terms = 0
        #: as the leader last told
        self.cached_images = CachedImages()

    # leadership -------------------------------------------------------------------------------------------

    def _moved(self, old: LeaderState, new: LeaderState) -> None:
        p = self.settings.params
        leads = new in (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)
        share = self._leader_share if leads else self._follower_share
        self.state.writes.set_rate(p.state.write_rps * share, p.state.write_rps * share)
        if new is LeaderState.LOADING and (self.term is None or self.term.token != self.leadership.token):
            term = Term(
                self.settings, self.policy, self.leadership, self.state, self.cloud, self._direct, self.clock,
                time.time, self.api, self.pressure,
            )  # fmt: skip
            self.term = term
            gevent.spawn(self._run_term, term)
        elif new in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
            self.term = None

    def _run_term(self, term: Term) -> None:
        """Loads a term's records, however often it takes, then starts its loops."""
        while self.term is term and not term.loaded:
            try:
                term.load()
            except StateError as e:
                log.info("records not read yet: %s", e)
                gevent.sleep(0.3)
        if self.term is term:
            term.learn_images(self._known_images())
        while self.term is term and self.leadership.state is LeaderState.PAUSED:
            gevent.sleep(0.1)
        if self.term is not term:
            return
        if self.leadership.state is LeaderState.LOADING:
            self.leadership.move(LeaderState.LEADING, "records read")
        for step, pause in (
            (term.watch, 0.0),
            (term.record_machines, 0.2),
            (term.close_jobs, 0.05),
            (term.save_progress, 0.4),
            (term.cover, 0.1),
            (term.clear_orphans, 1.0),
            (term.step_fleet, 1.0),
        ):
            gevent.spawn(self._repeat, term, step, pause)
        gevent.spawn(self._tick, term)

    def _repeat(self, term: Term, step: Callable[[], None], pause: float) -> None:
        """Runs one step of a term over and over until the term ends."""
        while self.term is term:
            if self.leadership.state is LeaderState.PAUSED:
                gevent.sleep(0.1)
                continue
            try:
                step()
            except Fenced:
                gevent.sleep(0.2)
            except (StateError, CloudError) as e:
                log.info("%s: %s", step.__name__, e)
                gevent.sleep(0.3 + self.rng.random() * 0.4)
            except Exception:
                log.exception("%s failed", step.__name__)
                gevent.sleep(1.0)
            if pause:
                gevent.sleep(pause)

    def _tick(self, term: Term) -> None:
        """The clock of a term: silence, placing, proofs and urgent stops."""
        swept = 0.0
        while self.term is term:
            now = self.clock()
            try:
                if self.leadership.entitled():
                    term.step_schedule(now)
                    if now - swept >= 1.5:
                        swept = now
                        term.fleet.sweep_silence(now)
                        term.check_proved(now)
                        for m in term.to_fence():
                            gevent.spawn(term.fence, m)
                    urgent, term.desk.urgent = term.desk.urgent, set()
                    for index in urgent:
                        m2 = term.fleet.at(index)
                        if m2 is not None and m2.state is MachineState.READY:
                            gevent.spawn(term.order_stops, m2)
            except Exception:
                log.exception("tick failed")
            gevent.sleep(0.1)

    def _feel_loop(self) -> None:
        """Notices how late this controller is with what it has to do."""
        while True:
            due = self.clock() + LOOK_S
            gevent.sleep(LOOK_S)
            self.pressure.felt(self.clock() - due)

    def _lead_loop(self) -> None:
        """Follows or renews, whichever applies; gives way where others can do better."""
        lead = self.leadership
        while True:
            sent = self.clock()
            try:
                lead.check_clock()
                if lead.state in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
                    lead.look()
                    self.state_answered(sent, True)
                    gevent.sleep(0.8 + 0.4 * self.rng.random())
                    continue
                if lead.renew():
                    self.state_answered(sent, True)
                    if lead.state is LeaderState.PAUSED:
                        self._resume()
                    self._check_workers()
                    if lead.state is LeaderState.LEADING:
                        self.check_pace()
                    gevent.sleep(min(RENEW_S, lead.ttl_s / 6))
                else:
                    self.state_answered(sent, False)
                    self.consider_handover()
                    gevent.sleep(0.3)
            except StateError as e:
                log.debug("leadership: %s", e)
                self.state_answered(sent, False)
                gevent.sleep(0.3 + 0.3 * self.rng.random())
            except Exception:
                log.exception("leadership loop failed")
                gevent.sleep(1.0)

    def _resume(self) -> None:
        loaded = self.term is not None and self.term.loaded
        new = LeaderState.LEADING if loaded else LeaderState.LOADING
        self.leadership.move(new, "the hold outlived the silence")

    def state_answered(self, sent: float, well: bool) -> None:
        """What became of a request to the state service that was sent then."""
        if well:
            self.state_ok_at, self.state_failed_at = self.clock(), None
        elif self.state_failed_at is None:
            self.state_failed_at = sent

    def _better_placed(self) -> Peer | None:
        """A peer that reached the state service after this controller had failed to for a while.

        That the peer's last success is recent is not enough: in an outage all are served until the same moment, and
        a leader that gave way to a peer served a second later ended its term, and its workers' leases, for nothing.
        """
        failed = self.state_failed_at
        if failed is None:
            return None
        for peer in self.peers:
            fresh = peer.last is not None and self.clock() - peer.heard_at < 2.5
            if fresh and peer.last is not None and peer.heard_at - peer.last.state_age_s > failed + OUTAGE_MARGIN_S:
                return peer
        return None

    def consider_handover(self) -> None:
        """If the state service answers others but not this leader, one of them should lead."""
        if self.clock() - self.state_ok_at < 3.0:
            return
        peer = self._better_placed()
        if peer is not None:
            token = self.leadership.resign(f"{peer.name} reaches the state service and this one does not", 10.0)
            peer.tell("/resigned", Resigned(self.settings.name, token), Hello)

    def _check_workers(self) -> None:
        """A leader that no worker can reach keeps everybody waiting: it gives way."""
        term = self.term
        if term is None or not term.loaded or not self.peers:
            return
        w = self.settings.params.workers
        limit = (3.5 * w.report_s) * (1 + self.lost_workers)
        if not term.fleet.machines or self.clock() - term.heard_worker_at < limit:
            if term.first_heard:
                self.lost_workers = 0
            return
        if not any(self.clock() - peer.heard_at < 3.0 for peer in self.peers):
            return
        self.lost_workers = min(self.lost_workers + 1, 6)
        self._give_way("no worker has reported for too long")

    def check_pace(self) -> None:
        """A leader too late to answer its workers before their leases end lets one lead that is not."""
        load, now = self.pressure, self.clock()
        if load.state is not LoadState.OVERLOADED or now - load.since < SLOW_S * (1 + self.slow_terms):
            return
        for peer in self.peers:
            if peer.last is not None and now - peer.heard_at < 3.0 and peer.last.load == LoadState.NORMAL.value:
                # if the load is what is too much, and not this controller, handing it on again and again is no help
                self.slow_terms = min(self.slow_terms + 1, 6)
                self._give_way(f"late for {now - load.since:.0f} s, and {peer.name} is not")
                return

    def _give_way(self, why: str) -> None:
        token = self.leadership.resign(why, 20.0)
        try:
            self.leadership.clear_key(token)
        except StateError:
            for peer in self.peers:
                peer.tell("/resigned", Resigned(self.settings.name, token), Hello)

    # others -----------------------------------------------------------------------------------------------

    def _hello(self) -> Hello:
        term = self.term
        leads = self.leadership.entitled() and term is not None and term.loaded
        return Hello(
            self.settings.name,
            self.leadership.token if leads else 0,
            self.clock() - self.state_ok_at,
            term.counts() if leads and term is not None else {},
            self.pressure.state.value,
        )

    def _take_hello(self, hello: Hello) -> None:
        if hello.token:
            self.leader_counts = hello.counts

    def _peer_loop(self, peer: Peer) -> None:
        while True:
            answer = peer.tell("/hello", self._hello(), Hello)
            if answer is not None:
                # answers only: they are as old as the request allows, while a message may have been held for minutes
                peer.heard_at, peer.last = self.clock(), answer
                self._take_hello(answer)
            gevent.sleep(0.9 + 0.2 * self.rng.random())

    def _known_images(self) -> CachedImages:
        """From memory, or, after a restart, from whoever was told."""
        if not self.cached_images.machines:
            for peer in self.peers:
                known = peer.tell("/images", CachedImages(), CachedImages, timeout=0.3)
                if known is not None and known.machines:
                    return known
        return self.cached_images

    def _images_loop(self) -> None:
        while True:
            gevent.sleep(IMAGES_S)
            term = self.term
            if term is not None and term.loaded and self.leadership.entitled() and self.pressure.spare:
                self.cached_images = term.cached_images()
                for peer in self.peers:
                    peer.tell("/images", self.cached_images, CachedImages)

    def _peer_app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        try:
            body = environ["wsgi.input"].read(1 << 22)
            path = environ.get("PATH_INFO")
            if path == "/hello":
                self._take_hello(msgspec.msgpack.decode(body, type=Hello))
            elif path == "/images":
                told = msgspec.msgpack.decode(body, type=CachedImages)
                if told.machines:
                    self.cached_images, told = told, CachedImages()
                else:
                    told = self.cached_images
                start("200 OK", [("Content-Type", "application/msgpack")])
                return [msgspec.msgpack.encode(told)]
            elif path == "/resigned":
                gone = msgspec.msgpack.decode(body, type=Resigned)
                gevent.spawn(self._succeed, gone)
            else:
                start("404 Not Found", [])
                return [b""]
        except (msgspec.DecodeError, OSError):
            start("400 Bad Request", [])
            return [b""]
        start("200 OK", [("Content-Type", "application/msgpack")])
        return [msgspec.msgpack.encode(self._hello())]

    def _succeed(self, gone: Resigned) -> None:
        try:
            self.leadership.clear_key(gone.token)
            if self.leadership.state is LeaderState.FOLLOWING:
                self.leadership.look()
        except StateError as e:
            log.info("the key of %s could not be cleared: %s", gone.name, e)

    def _counts(self, ident: str) -> tuple[int, int]:
        term = self.term
        if term is not None and term.loaded:
            job = term.ledger.jobs.get(ident)
            return (job.done_count, job.running()) if job is not None else (0, 0)
        return self.leader_counts.get(ident, (0, 0))

    def _direct(self, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        try:
            host, port = parse_address(addr, "addr")
        except ValueError as e:
            raise Unreachable(str(e)) from e
        transport = HttpTransport(host, port, 1)
        try:
            return transport.request("POST", path, body, 3.0)
        finally:
            transport.close()

    def _types_loop(self) -> None:
        """Machine types: from the cloud, else as last recorded, so that a cloud outage stops no submission."""
        while True:
            try:
                self.types = self.cloud.machine_types()
                if self.leadership.state is LeaderState.LEADING:
                    record = msgspec.to_builtins(MachineTypes(self.types))
                    if len(_json.encode(record)) < self.api.value_bytes:
                        self.state.commit([], [put(TYPES_KEY, record)], Urgency.PROGRESS)
                if self.term is not None:
                    self.term.fleet.learn_types(self.types)
                gevent.sleep(120 + 60 * self.rng.random())
                continue
            except (CloudError, StateError) as e:
                log.info("machine types: %s", e)
            if self.types is None:
                try:
                    found = self.state.get(TYPES_KEY)
                    if found is not None:
                        self.types = msgspec.convert(found.value, MachineTypes).types
                except (StateError, msgspec.ValidationError) as e:
                    log.info("machine types on record: %s", e)
            gevent.sleep(0.5 + self.rng.random() if self.types is None else 10.0)

    # serving ----------------------------------------------------------------------------------------------

    def healthy(self) -> bool:
        """Unhealthy only if users are better served elsewhere: this one lost the state service, others did not."""
        return self.clock() - self.state_ok_at < 4.0 or self._better_placed() is None

    def checkin(self, body: bytes) -> Answer:
        try:
            report = _report_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
            return Answer(400, _json.encode({"error": str(e)}))
        self.leadership.check_clock()
        term = self.term
        if term is not None:
            orders = term.checkin(report)
            if orders is not None:
                answer = _json.encode(orders)
                # starts that were written into an answer which does not leave are sent again, as if lost on the way
                if self.leadership.entitled():
                    return Answer(200, answer)
                self.leadership.check_clock()
        leader = self.leadership.leader
        if leader is not None and leader != self.settings.name:
            return Answer(421, _json.encode(Elsewhere(leader)))
        return Answer(503, b"{}", retry_after=1)

    @staticmethod
    def _read_body(environ: dict[str, Any]) -> bytes:
        length = environ.get("CONTENT_LENGTH")
        if length and (not length.isdigit() or int(length) > MAX_BODY):
            return b"x" * (MAX_BODY + 1)
        return bytes(environ["wsgi.input"].read(MAX_BODY + 1))

    def _answer(self, environ: dict[str, Any]) -> Answer:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path == "/checkin":
            if method != "POST":
                return Answer(405, b"{}", allow="POST")
            return self.checkin(self._read_body(environ))
        if path == "/healthz":
            if method != "GET":
                return Answer(405, b"{}", allow="GET")
            return Answer(200 if self.healthy() else 503, b"{}")
        if not self.pressure.takes(self.users_busy, poll=method == "GET"):
            # reports from workers go first; users are told at once and come back
            return Answer(503, b'{"error":"overloaded"}', retry_after=1)
        self.users_busy += 1
        try:
            return self.api.route(method, path, lambda: self._read_body(environ))
        finally:
            self.users_busy -= 1

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        try:
            answer = self._answer(environ)
        except OSError:
            answer = Answer(400, b'{"error":"unreadable request"}')
        except Exception:
            log.exception("request failed")
            answer = Answer(503, b'{"error":"internal"}', retry_after=1)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer.body)))]
        if answer.retry_after is not None:
            headers.append(("Retry-After", str(answer.retry_after)))
        if answer.allow is not None:
            headers.append(("Allow", answer.allow))
        start(f"{answer.status} {REASONS[answer.status]}", headers)
        return [answer.body]

    def serve(self) -> None:
        quiet = _Quiet()
        limit = max(50, int(self.settings.params.quota.max_connections * 0.75))
        server = WSGIServer(
            parse_address(self.settings.listen, "serve_on"), self.app, spawn=Pool(limit), log=None, error_log=quiet,
            handler_class=_Handler,
        )  # fmt: skip
        peer_server = WSGIServer(
            parse_address(self.settings.peer_listen, "peer_listen"), self._peer_app, spawn=Pool(40), log=None,
            error_log=quiet, handler_class=_Handler,
        )  # fmt: skip
        peer_server.start()
        gevent.spawn(self._lead_loop)
        gevent.spawn(self._feel_loop)
        gevent.spawn(self._types_loop)
        gevent.spawn(self._images_loop)
        for peer in self.peers:
            gevent.spawn(self._peer_loop, peer)
        log.info("%s serves on %s", self.settings.name, self.settings.listen)
        server.serve_forever()
