"""One controller: its parts, its loops, and what it serves."""

from __future__ import annotations

import contextlib
import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..doors.answer import Answer
from ..doors.current import CurrentReads
from ..doors.peers import IMAGES_S, MOST_TOLD, TOLD_S, PeerDoor
from ..doors.server import listen, listen_bounded, read_body, respond
from ..doors.users import UserDoor
from ..doors.workers import KEPT_S, WorkerDoor
from ..features.hooks import Features
from ..leading.knowledge import Knowledge, allowance_s
from ..leading.leadership import KEY, Fenced, Leadership
from ..leading.pen import Pen
from ..leading.term import Term
from ..limits.budget import Budget
from ..limits.collection import by_time
from ..limits.load import LOOK_S, Load
from ..limits.sockets import BATCHES, CLOUD, GREETINGS, RELAYED, STATE_REQUESTS, STATE_WATCHES, plan
from ..outside.cloud import CloudClient, CloudError
from ..outside.http import Unreachable
from ..outside.network import Network, Tcp
from ..outside.peer import Peer
from ..outside.state import StateClient, StateError
from ..reach.links import Link
from ..reach.relay import RelayDoor, RelayedStore
from ..records.finals import Finals
from ..records.jobs import OverRecord
from ..relays.receiver import Receiver
from ..relays.sender import Sender
from ..relays.spread import Other, Spread, spread_on
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from ..settings.policy import VARIABLES
from ..states import LeaderState, LinkState, LoadState, MachineState
from ..wire.jobs import JobView
from ..wire.peers import Hello, Resigned
from .handover import Handover
from .types import KnownTypes

log = logging.getLogger("grebestand.controller")

#: authority counts from the last renewal before an outage, so its life is shortened by this much at worst
RENEW_S = 0.5
#: a transaction may have so many times as many conditions as changes; one is left to spare
CONDITIONS = 3
#: the leader looks so often whether reports are to be spread, in seconds: thousands of workers may come within three;
#: and all look so often at which workers they keep
DECIDE_S, TIDY_S = 0.25, 1.0
#: while every controller answers reports, it tells so often how many, in seconds
REPORTS_TOLD_S = 20.0
#: another controller that answered a greeting so lately, in seconds, is there to answer reports
ANSWERING_S = 2.5
#: cancellations are told to the others so long after the first, in seconds
TELL_S = 0.1
#: all live jobs are looked over so often, in seconds
SWEEP_S = 5.0


class Controller:
    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        features: Features | None = None,
        network: Network | None = None,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.features = features if features is not None else Features()
        p = settings.params
        self.network: Network = network if network is not None else Tcp()
        self.clock: Callable[[], float] = self.network.clock
        self.rng = self.network.rng
        connect = self.network.connect
        others = max(1, p.nodes - 1)
        self._leader_share, self._follower_share = 0.7, 0.3 / others
        reads = Budget(p.state.rps * 0.9 / max(1, p.nodes), p.state.rps * 0.3, self.clock, gevent.spawn_later)
        writes = Budget(
            p.state.write_rps * self._follower_share, p.state.write_rps * 0.3, self.clock, gevent.spawn_later
        )
        self.state_link, self.workers_link = Link("the state service", self.clock), Link("workers", self.clock)
        others_ask: Callable[[], list[Peer]] = lambda: self.peers.peers  # noqa: E731
        store, watches = (
            RelayedStore(connect(settings.outside.state, "outside.state", n), self.state_link, others_ask)
            for n in (STATE_REQUESTS, STATE_WATCHES)
        )
        self.store = store
        self.state = StateClient(store, watches, reads, writes)
        self.cloud = CloudClient(
            connect(settings.outside.cloud, "outside.cloud", CLOUD),
            Budget(p.cloud.rps * 0.8, p.cloud.rps, self.clock, gevent.spawn_later),
        )
        names = {name: low for name, (low, _) in VARIABLES.items()}
        names["lease_s"] = p.workers.lease_s
        names["report_s"] = p.workers.report_s
        knowledge = Knowledge(self.clock, allowance_s(p.workers))
        knowledge.tell(p.workers)
        self.leadership = Leadership(settings.name, self.state, self.clock, policy.value("hold_s", names), knowledge)
        self.leadership.on_move = self._moved
        self.value_bytes = int(p.state.value_kb * 1024) - 16
        self.finals = Finals()
        self.known_types = KnownTypes(self.state, self.cloud, self.value_bytes)
        self.users = UserDoor(
            self.state, p.teams, p.zones, self.value_bytes, self.network.wall, self.clock,
            lambda: self.known_types.types, self._counts, self.finals, self.features,
            CurrentReads(self.state, CONDITIONS * p.state.txn_ops),
        )  # fmt: skip
        self.pressure = Load(p.quota, self.clock)
        self.sockets = plan(p.quota, len(settings.peers))
        self._directs = BoundedSemaphore(self.sockets.direct)
        self.zones = {known.name: known.zone for known in settings.peers}
        self.spread = Spread(
            settings.name, settings.zone, self.sockets.workers, p.workers.report_s, self.clock, self._answering,
            lambda: self.pressure.state is LoadState.OVERLOADED,
        )  # fmt: skip
        self.spread.followers = len(settings.peers)
        self.sender = Sender(settings.name, self.clock, self._leading_peer)
        self.workers = WorkerDoor(settings.name, self.leadership, self._term, self.spread, self.sender)
        peers = []
        for known in settings.peers:
            peers.append(Peer(known.name, connect(known.address, "known.address", GREETINGS + RELAYED + BATCHES, 0.8)))
        self.peers = PeerDoor(peers, self.clock, self._hello, self._resigned, self.features, RelayDoor(store))
        self.receiver = Receiver(
            self.zones, self.leadership, self._term, self.pressure, self.clock, self._while_loading
        )
        self.peers.reports, self.peers.on_greeting = self.receiver.answer, self._greeted
        self.workers.hangs, self.workers.wait = self.peers.hangs, lambda seconds: self._news.wait(seconds)
        self._news = Event()
        self.leadership.on_news = self.peers.on_news = self._tell_news
        self.name = settings.name
        #: of this process among all that ever had its name
        self.incarnation = self.rng.getrandbits(62)
        self.peers.ended = self.leadership.ended
        knowledge.told_up_to = self.peers.told_up_to
        self.users.recall = self._recall
        #: cancelled here lately, and when: told to the others, who may not hear of it otherwise
        self.cancelled: OrderedDict[str, float] = OrderedDict()
        self._telling = False
        self.users.on_cancelled, self.peers.on_cancelled = self._cancelled, self._hear_cancelled
        self.term: Term | None = None
        self.users_busy = 0
        self.handover = Handover(
            settings.name, p.workers.report_s, self.leadership, self.peers, self.pressure, self.clock, self._term,
            self.state_link, self.workers_link,
        )  # fmt: skip
        self.leadership.patience = self.handover.patience

        for hook in self.features.hosts:
            hook(self)

    # what features are offered (`features.hooks.Host`) ----------------------------------------------------

    def present(self) -> Term | None:
        term = self.term
        return term if term is not None and term.loaded and term.pen.entitled() else None

    def leader(self) -> str | None:
        return self.leadership.leader

    def cancel(self, ref: str) -> bool:
        return self.users.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        for peer in self.peers.peers:
            if peer.last is not None and peer.last.token and peer.name == self.leadership.leader:
                return peer.send(path, body)
        return None

    def _recall(self, ref: str) -> None:
        for hook in self.features.recalls:
            hook(ref)

    # leadership -------------------------------------------------------------------------------------------

    def _tell_news(self) -> None:
        """Reports that are kept while the leader hangs are looked at again."""
        news, self._news = self._news, Event()
        news.set()

    def _term(self) -> Term | None:
        return self.term

    def _moved(self, old: LeaderState, new: LeaderState) -> None:
        p = self.settings.params
        leads = new in (LeaderState.LOADING, LeaderState.LEADING, LeaderState.PAUSED)
        share = self._leader_share if leads else self._follower_share
        self.state.writes.set_rate(p.state.write_rps * share, p.state.write_rps * share)
        if new is LeaderState.LOADING and (self.term is None or self.term.token != self.leadership.token):
            pen = Pen(self.leadership, self.state, self.value_bytes, p.state.txn_ops)
            term = Term(
                self.settings, self.policy, pen, self.cloud, self._direct, self.clock, self.network.wall, self.finals,
                lambda: self.known_types.types, self.pressure, self.features,
            )  # fmt: skip
            self.term = term
            gevent.spawn(self._run_term, term)
        elif new in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
            self.term = None

    def _run_term(self, term: Term) -> None:
        """Loads a term's records, however often it takes, then starts its loops."""
        ready = False
        while self.term is term and not ready:
            try:
                if not term.loaded:
                    term.load()
                for hook in self.features.terms:
                    hook(term)
                ready = True
            except StateError as e:
                log.info("records not read yet: %s", e)
                gevent.sleep(0.3)
        if self.term is term:
            term.gossip.learn_images(self.peers.known_images())
        while self.term is term and self.leadership.state is LeaderState.PAUSED:
            gevent.sleep(0.1)
        if self.term is not term:
            return
        if self.leadership.state is LeaderState.LOADING:
            self._decide_spread(term)
            self.leadership.move(LeaderState.LEADING, "records read")
        steps: list[tuple[Callable[[], None], float]] = [
            (term.jobs.watch, 0.0),
            (term.roster.record, 0.2),
            (term.closing.close_jobs, 0.05),
            (term.progress.save, 0.4),
            (term.grants.cover, 0.1),
            (term.rentals.clear_orphans, 1.0),
            (term.step_fleet, 1.0),
            (term.sweep.step, SWEEP_S),
        ]
        if self.features.records:
            steps.append((term.save_features, 0.4))
        steps += self.features.steps
        for step, pause in steps:
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
                    term.pace.step(now)
                    while term.pace.busy and self.term is term:
                        gevent.sleep(0)  # reports and users in between
                        term.pace.go_on()
                    if now - swept >= 1.5:
                        swept = now
                        term.fleet.sweep_silence(now)
                        term.proof.check(now)
                    for m in term.proof.to_ask(now):
                        gevent.spawn(term.proof.ask, m)
                    urgent, term.dispatch.urgent = term.dispatch.urgent, set()
                    for index in urgent:
                        m2 = term.fleet.at(index)
                        if m2 is not None and m2.state is MachineState.READY:
                            gevent.spawn(term.proof.order_stops, m2)
            except Exception:
                log.exception("tick failed")
            gevent.sleep(0.1)

    def _feel_loop(self) -> None:
        """Notices how late this controller is with what it has to do."""
        while True:
            due = self.clock() + LOOK_S
            gevent.sleep(LOOK_S)
            self.pressure.felt(self.clock() - due)

    def _probe_loop(self) -> None:
        """While the state service does not answer, and others are asked in its place, tries the direct way."""
        while True:
            gevent.sleep(0.8 + 0.4 * self.rng.random())
            if self.state_link.state is not LinkState.UP:
                with contextlib.suppress(Unreachable):
                    self.store.ask("GET", f"/store/{KEY}", b"", 1.0)

    def _look_loop(self) -> None:
        """Followers hear of workers only once their leader is lost; until then they look whether some answer."""
        report_s = self.settings.params.workers.report_s
        while True:
            gevent.sleep(report_s * (0.4 + 0.2 * self.rng.random()))
            samples = self.peers.samples
            if self.term is not None or not samples:
                continue
            samples.append(addr := samples.pop(0))
            sent = self.clock()
            try:
                self.network.once("GET", addr, "/show", b"", 1.0)
                self.workers_link.answered()
            except Unreachable as e:
                self.workers_link.failed(sent, str(e), report_s)

    def _lead_loop(self) -> None:
        """Follows or renews, whichever applies; gives way where others can do better."""
        lead = self.leadership
        while True:
            try:
                lead.check_clock()
                self.workers_link.silent(2 * self.settings.params.workers.report_s, math.inf)
                if lead.state in (LeaderState.FOLLOWING, LeaderState.RESIGNED):
                    lead.look()
                    gevent.sleep(0.8 + 0.4 * self.rng.random())
                    continue
                if lead.renew():
                    if lead.state is LeaderState.PAUSED:
                        self._resume()
                    self.handover.check_workers()
                    if lead.state is LeaderState.LEADING:
                        self.handover.check_pace()
                    gevent.sleep(min(RENEW_S, lead.ttl_s / 6))
                else:
                    self.handover.consider_state()
                    gevent.sleep(0.3)
            except StateError as e:
                log.debug("leadership: %s", e)
                gevent.sleep(0.3 + 0.3 * self.rng.random())
            except Exception:
                log.exception("leadership loop failed")
                gevent.sleep(1.0)

    def _resume(self) -> None:
        """Back to authority. What was cancelled meanwhile is read before anything is answered."""
        lead, term = self.leadership, self.term
        if term is None or not term.loaded:
            lead.move(LeaderState.LOADING, "the hold outlived the silence")
            return
        term.jobs.catch_up()
        # the question took a while: a term may have ended meanwhile, or been asked about a higher token
        if self.term is term and lead.state is LeaderState.PAUSED and not lead.challenged:
            lead.move(LeaderState.LEADING, "the hold outlived the silence, and all cancellations are known")

    # others -----------------------------------------------------------------------------------------------

    def _hello(self) -> Hello:
        term = self.term
        leads = self.leadership.entitled() and term is not None and term.loaded
        return Hello(
            self.settings.name,
            self.leadership.token if leads else 0,
            self.state_link.age_s,
            term.gossip.counts() if leads and term is not None else {},
            self.pressure.state.value,
            self.workers_link.age_s if self.workers_link.ok_at > -math.inf else -1.0,
            term.gossip.samples(self.rng) if leads and term is not None else [],
            self.incarnation,
            self._told_lately(),
            len(self.spread.kept),
            self.spread.room if leads or self.sender.open() else -1,
            self.spread.rate,
            self.spread.machines if leads else 0,
        )

    def _greeted(self, hello: Hello) -> None:
        """Another controller has said how it is; the leader, also who answers reports."""
        self.spread.heard(hello.name)
        if hello.token and self.term is None:
            self.spread.told(hello.spread)

    def _answering(self) -> list[Other]:
        """The other controllers that answer reports, as they said lately."""
        now = self.clock()
        return [
            Other(
                p.name,
                self.zones[p.name],
                p.last.token > 0,
                p.last.kept,
                p.last.room,
                p.last.load == LoadState.OVERLOADED.value,
                p.last.reports,
            )
            for p in self.peers.peers
            if p.last is not None and p.last.room >= 0 and now - p.heard_at < ANSWERING_S
        ]

    def _leading_peer(self) -> Peer | None:
        """The controller that leads by its own word, said lately; of two, the one with the higher token.

        The key is not asked: whoever is sent a batch says itself whether it is entitled to answer it.
        """
        now, found = self.clock(), None
        for p in self.peers.peers if self.term is None else ():
            if p.last is not None and p.last.token and now - p.heard_at < ANSWERING_S:
                found = p if found is None or found.last is None or p.last.token > found.last.token else found
        return found

    def _while_loading(self) -> None:
        """What came while the records are read is kept for a moment."""
        if self.leadership.state is LeaderState.LOADING:
            self._news.wait(KEPT_S)

    def _decide_spread(self, term: Term) -> None:
        """The leader's word on whether reports are spread, by the policy and by what its own sockets bear."""
        machines = len(term.fleet.machines) if self.peers.peers else 0
        on = spread_on(term.wants_spread, self.spread.machines > 0, machines)
        self.spread.told(machines if on or machines > self.sockets.workers else 0)

    def _spread_loop(self) -> None:
        """The leader decides by the policy whether reports are spread; all forget workers that went elsewhere."""
        told_at = tidied_at = self.clock()
        while True:
            gevent.sleep(DECIDE_S)
            if self.clock() - tidied_at >= TIDY_S:
                tidied_at = self.clock()
                self.spread.tidy()
            if self.spread.machines and self.clock() - told_at >= REPORTS_TOLD_S:
                told_at = self.clock()
                log.info(
                    "reports: %d of %d workers kept, %d reports passed on in %d batches, %d read from others, "
                    "%d workers sent elsewhere", len(self.spread.kept), self.spread.machines, self.sender.passed,
                    self.sender.batches, self.receiver.reports, self.spread.redirected,
                )  # fmt: skip
            term = self.term
            if term is not None and term.loaded and self.leadership.entitled():
                self._decide_spread(term)

    def _told_lately(self) -> list[str]:
        now = self.clock()
        while self.cancelled and (
            len(self.cancelled) > MOST_TOLD or now - next(iter(self.cancelled.values())) > TOLD_S
        ):
            self.cancelled.popitem(last=False)
        return list(self.cancelled)

    def _cancelled(self, ident: str) -> None:
        """A user is about to be told so: this term's books, and the others, hear of it at once."""
        self.cancelled[ident] = self.clock()
        self._stop_cancelled(ident)
        if not self._telling:
            self._telling = True
            gevent.spawn_later(TELL_S, self._tell_cancelled)

    def _tell_cancelled(self) -> None:
        """One greeting to each at a time: those that hang would take up the connections."""
        said = len(self.cancelled), next(reversed(self.cancelled), "")
        gevent.joinall([gevent.spawn(self.peers.greet, peer) for peer in self.peers.peers])
        self._telling = False
        if said != (len(self.cancelled), next(reversed(self.cancelled), "")):
            self._telling = True
            gevent.spawn_later(TELL_S, self._tell_cancelled)

    def _hear_cancelled(self, idents: list[str]) -> None:
        """A help, and never more: what is cancelled stays so, however late this came, and nothing else follows."""
        for ident in idents:
            if self.finals.get(ident) is None:
                self.finals.remember(ident, OverRecord(JobView.CANCELLED, 0))
                self._stop_cancelled(ident)

    def _stop_cancelled(self, ident: str) -> None:
        term = self.term
        if term is not None and term.loaded:
            term.jobs.removed(ident, self.clock())

    def _resigned(self, gone: Resigned) -> None:
        gevent.spawn(self.handover.succeed, gone)

    def _peer_loop(self, peer: Peer) -> None:
        while True:
            self.peers.greet(peer)
            gevent.sleep(0.9 + 0.2 * self.rng.random())

    def _images_loop(self) -> None:
        while True:
            gevent.sleep(IMAGES_S)
            term = self.term
            if term is not None and term.loaded and self.leadership.entitled() and self.pressure.spare:
                self.peers.tell_images(term.gossip.cached_images())

    def _counts(self, ident: str) -> tuple[int, int]:
        term = self.term
        if term is not None and term.loaded:
            job = term.ledger.jobs.get(ident)
            return (job.done_count, job.running()) if job is not None else (0, 0)
        return self.peers.leader_counts.get(ident, (0, 0))

    def _direct(self, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        """One order straight to a worker; these connections are bounded on their own."""
        if not self._directs.acquire(timeout=1.0):
            raise Unreachable("too many direct orders are under way")
        try:
            return self.network.once("POST", addr, path, body, 3.0)
        finally:
            self._directs.release()

    def _types_loop(self) -> None:
        while True:
            if self.known_types.read(record=self.leadership.state is LeaderState.LEADING):
                if self.term is not None:
                    self.term.fleet.learn_types(self.known_types.types or [])
                gevent.sleep(120 + 60 * self.rng.random())
            else:
                gevent.sleep(0.5 + self.rng.random() if self.known_types.types is None else 10.0)

    # serving ----------------------------------------------------------------------------------------------

    def _answer(self, environ: dict[str, Any]) -> Answer:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path == "/checkin":
            if method != "POST":
                return Answer(405, b"{}", allow="POST")
            connection = environ.get("grebestand.connection")
            return self.checkin(read_body(environ), connection, bool(environ.get("grebestand.surplus")))
        if path == "/healthz":
            if method != "GET":
                return Answer(405, b"{}", allow="GET")
            return Answer(200 if self.handover.healthy() else 503, b"{}")
        if environ.get("grebestand.surplus"):
            return Answer(503, b'{"error":"no connection is free"}', retry_after=1, close=True)
        if not self.pressure.takes(self.users_busy, poll=method == "GET"):
            # reports from workers go first; users are told at once and come back
            return Answer(503, b'{"error":"overloaded"}', retry_after=1)
        self.users_busy += 1
        try:
            return self.users.route(method, path, lambda: read_body(environ))
        finally:
            self.users_busy -= 1

    def checkin(self, body: bytes, connection: object = None, surplus: bool = False) -> Answer:
        """A worker's report; whatever it is answered, it shows that workers reach this controller."""
        self.workers_link.answered()
        return self.workers.checkin(body, connection, surplus)

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        try:
            answer = self._answer(environ)
        except OSError:
            answer = Answer(400, b'{"error":"unreadable request"}')
        except Exception:
            log.exception("request failed")
            answer = Answer(503, b'{"error":"internal"}', retry_after=1)
        return respond(answer, start)

    def begin(self) -> None:
        """Spawns the loops."""
        gevent.spawn(self._lead_loop)
        gevent.spawn(self._feel_loop)
        gevent.spawn(self._probe_loop)
        gevent.spawn(self._look_loop)
        gevent.spawn(self._types_loop)
        gevent.spawn(self._images_loop)
        gevent.spawn(self._spread_loop)
        gevent.spawn(self.sender.run)
        for peer in self.peers.peers:
            gevent.spawn(self._peer_loop, peer)

    def serve(self) -> None:
        shares = self.sockets
        server = listen_bounded(self.settings.listen, "serve_on", self.app, shares, self.spread.ended)
        listen(self.settings.peer_listen, "peer_listen", self.peers.app, max(64, shares.from_peers)).start()
        for extra in self.features.listeners:
            listen(extra.address, extra.field, extra.app, extra.connections, extra.gate).start()
        self.begin()
        gevent.spawn(by_time, gevent.sleep, lambda: self.pressure.spare)
        log.info("%s serves on %s", self.settings.name, self.settings.listen)
        server.serve_forever()
