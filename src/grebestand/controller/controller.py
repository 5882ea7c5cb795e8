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

from ..api.heartbeat_api import KEPT_S, HeartbeatApi
from ..api.http_server import listen, listen_bounded, read_body, respond
from ..api.job_api import JobApi
from ..api.peer_api import IMAGES_S, MOST_TOLD, TOLD_S, PeerApi
from ..api.read_batching import BatchedReads
from ..api.response import Response
from ..clients.cloud import CloudClient, CloudError
from ..clients.http import UnreachableError
from ..clients.kv_store import KeyValueStoreClient, StoreError
from ..clients.peer import PeerClient
from ..clients.runtime import Runtime, SystemRuntime
from ..connectivity.link_health import LinkHealth
from ..connectivity.store_proxy import ProxiedStoreTransport, StoreProxyHandler
from ..features.hooks import Features
from ..flow_control.connection_limits import (
    BATCHES,
    CLOUD,
    GREETINGS,
    RELAYED,
    STATE_REQUESTS,
    STATE_WATCHES,
    plan_connections,
)
from ..flow_control.garbage_collection import collect_garbage_by_time
from ..flow_control.overload import LAG_SAMPLE_INTERVAL_S, OverloadMonitor
from ..flow_control.rate_limiter import RateLimiter
from ..heartbeat_relay.batch_receiver import BatchReceiver
from ..heartbeat_relay.forwarder import HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import PeerCapacity, WorkerAssignment, assignment_enabled
from ..leader.cancellation_horizon import CancellationHorizon, allowance_s
from ..leader.election import LEADER_KEY, FencedError, LeaderElection
from ..leader.fenced_writes import FencedWriter
from ..leader.term import Term
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from ..settings.policy import VARIABLES
from ..state_machines import LeaderState, LinkState, LoadState, MachineState
from ..storage.completed_jobs import CompletedJobs
from ..storage.job_records import CompletedJobRecord
from ..wire.jobs import JobStatus
from ..wire.peers import PeerStatus, ResignationNotice
from .leadership_transfer import LeadershipTransfer
from .machine_type_catalog import MachineTypeCatalog

log = logging.getLogger(__name__)

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
        network: Runtime | None = None,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.features = features if features is not None else Features()
        p = settings.params
        self.network: Runtime = network if network is not None else SystemRuntime()
        self.clock: Callable[[], float] = self.network.clock
        self.rng = self.network.rng
        connect = self.network.connect
        others = max(1, p.nodes - 1)
        self._leader_share, self._follower_share = 0.7, 0.3 / others
        reads = RateLimiter(p.state.rps * 0.9 / max(1, p.nodes), p.state.rps * 0.3, self.clock, gevent.spawn_later)
        writes = RateLimiter(
            p.state.write_rps * self._follower_share, p.state.write_rps * 0.3, self.clock, gevent.spawn_later
        )
        self.state_link, self.workers_link = (
            LinkHealth("the state service", self.clock),
            LinkHealth("workers", self.clock),
        )
        others_ask: Callable[[], list[PeerClient]] = lambda: self.peers.peers  # noqa: E731
        store_transport, watches = (
            ProxiedStoreTransport(connect(settings.outside.state, "outside.state", n), self.state_link, others_ask)
            for n in (STATE_REQUESTS, STATE_WATCHES)
        )
        self.store_transport = store_transport
        self.store = KeyValueStoreClient(store_transport, watches, reads, writes)
        self.cloud = CloudClient(
            connect(settings.outside.cloud, "outside.cloud", CLOUD),
            RateLimiter(p.cloud.rps * 0.8, p.cloud.rps, self.clock, gevent.spawn_later),
        )
        names = {name: low for name, (low, _) in VARIABLES.items()}
        names["lease_s"] = p.workers.lease_s
        names["report_s"] = p.workers.report_s
        cancellation_horizon = CancellationHorizon(self.clock, allowance_s(p.workers))
        cancellation_horizon.tell(p.workers)
        self.election = LeaderElection(
            settings.name, self.store, self.clock, policy.value("hold_s", names), cancellation_horizon
        )
        self.election.on_move = self._moved
        self.value_bytes = int(p.state.value_kb * 1024) - 16
        self.completed_jobs = CompletedJobs()
        self.known_types = MachineTypeCatalog(self.store, self.cloud, self.value_bytes)
        self.users = JobApi(
            self.store, p.teams, p.zones, self.value_bytes, self.network.wall, self.clock,
            lambda: self.known_types.types, self._counts, self.completed_jobs, self.features,
            BatchedReads(self.store, CONDITIONS * p.state.txn_ops),
        )  # fmt: skip
        self.overload = OverloadMonitor(p.quota, self.clock)
        self.sockets = plan_connections(p.quota, len(settings.peers))
        self._directs = BoundedSemaphore(self.sockets.direct)
        self.zones = {known.name: known.zone for known in settings.peers}
        self.spread = WorkerAssignment(
            settings.name, settings.zone, self.sockets.workers, p.workers.report_s, self.clock, self._answering,
            lambda: self.overload.state is LoadState.OVERLOADED,
        )  # fmt: skip
        self.spread.followers = len(settings.peers)
        self.sender = HeartbeatForwarder(settings.name, self.clock, self._leading_peer)
        self.workers = HeartbeatApi(settings.name, self.election, self._term, self.spread, self.sender)
        peers = []
        for known in settings.peers:
            peers.append(
                PeerClient(known.name, connect(known.address, "known.address", GREETINGS + RELAYED + BATCHES, 0.8))
            )
        self.peers = PeerApi(
            peers, self.clock, self._hello, self._resigned, self.features, StoreProxyHandler(store_transport)
        )
        self.receiver = BatchReceiver(
            self.zones, self.election, self._term, self.overload, self.clock, self._while_loading
        )
        self.peers.reports, self.peers.on_greeting = self.receiver.answer, self._greeted
        self.workers.hangs, self.workers.wait = self.peers.hangs, lambda seconds: self._news.wait(seconds)
        self._news = Event()
        self.election.on_news = self.peers.on_news = self._tell_news
        self.name = settings.name
        #: of this process among all that ever had its name
        self.incarnation = self.rng.getrandbits(62)
        self.peers.ended = self.election.ended
        cancellation_horizon.cancellations_confirmed_up_to = self.peers.cancellations_confirmed_up_to
        self.users.recall = self._recall
        #: cancelled here lately, and when: told to the others, who may not hear of it otherwise
        self.cancelled: OrderedDict[str, float] = OrderedDict()
        self._telling = False
        self.users.on_cancelled, self.peers.on_cancelled = self._cancelled, self._hear_cancelled
        self.term: Term | None = None
        self.users_busy = 0
        self.leadership_transfer = LeadershipTransfer(
            settings.name, p.workers.report_s, self.election, self.peers, self.overload, self.clock, self._term,
            self.state_link, self.workers_link,
        )  # fmt: skip
        self.election.patience = self.leadership_transfer.patience

        for hook in self.features.hosts:
            hook(self)

    # what features are offered (`features.hooks.SimulatedRuntime`) ----------------------------------------------------

    def present(self) -> Term | None:
        term = self.term
        return term if term is not None and term.loaded and term.writer.is_leader() else None

    def leader(self) -> str | None:
        return self.election.leader

    def cancel(self, ref: str) -> bool:
        return self.users.cancel(ref).status == 200

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        for peer in self.peers.peers:
            if peer.last is not None and peer.last.token and peer.name == self.election.leader:
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
        self.store.writes.set_rate(p.state.write_rps * share, p.state.write_rps * share)
        if new is LeaderState.LOADING and (self.term is None or self.term.token != self.election.token):
            writer = FencedWriter(self.election, self.store, self.value_bytes, p.state.txn_ops)
            term = Term(
                self.settings, self.policy, writer, self.cloud, self._direct, self.clock, self.network.wall,
                self.completed_jobs, lambda: self.known_types.types, self.overload, self.features,
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
            except StoreError as e:
                log.info("records not read yet: %s", e)
                gevent.sleep(0.3)
        if self.term is term:
            term.status_broadcast.learn_images(self.peers.known_images())
        while self.term is term and self.election.state is LeaderState.PAUSED:
            gevent.sleep(0.1)
        if self.term is not term:
            return
        if self.election.state is LeaderState.LOADING:
            self._decide_spread(term)
            self.election.move(LeaderState.LEADING, "records read")
        steps: list[tuple[Callable[[], None], float]] = [
            (term.job_watch.watch, 0.0),
            (term.machine_records.record, 0.2),
            (term.job_completion.close_jobs, 0.05),
            (term.progress.save, 0.4),
            (term.grants.cover, 0.1),
            (term.provisioning.clear_orphans, 1.0),
            (term.step_fleet, 1.0),
            (term.job_audit.step, SWEEP_S),
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
            if self.election.state is LeaderState.PAUSED:
                gevent.sleep(0.1)
                continue
            try:
                step()
            except FencedError:
                gevent.sleep(0.2)
            except (StoreError, CloudError) as e:
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
                if self.election.is_leader():
                    term.scheduling_loop.step(now)
                    while term.scheduling_loop.busy and self.term is term:
                        gevent.sleep(0)  # reports and users in between
                        term.scheduling_loop.go_on()
                    if now - swept >= 1.5:
                        swept = now
                        term.inventory.detect_silent_machines(now)
                        term.machine_reconciliation.check(now)
                    for m in term.machine_reconciliation.to_query(now):
                        gevent.spawn(term.machine_reconciliation.ask, m)
                    urgent, term.dispatch.urgent = term.dispatch.urgent, set()
                    for index in urgent:
                        m2 = term.inventory.at(index)
                        if m2 is not None and m2.state is MachineState.READY:
                            gevent.spawn(term.machine_reconciliation.order_stops, m2)
            except Exception:
                log.exception("tick failed")
            gevent.sleep(0.1)

    def _feel_loop(self) -> None:
        """Notices how late this controller is with what it has to do."""
        while True:
            due = self.clock() + LAG_SAMPLE_INTERVAL_S
            gevent.sleep(LAG_SAMPLE_INTERVAL_S)
            self.overload.felt(self.clock() - due)

    def _probe_loop(self) -> None:
        """While the state service does not answer, and others are asked in its place, tries the direct way."""
        while True:
            gevent.sleep(0.8 + 0.4 * self.rng.random())
            if self.state_link.state is not LinkState.UP:
                with contextlib.suppress(UnreachableError):
                    self.store_transport.ask("GET", f"/store/{LEADER_KEY}", b"", 1.0)

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
            except UnreachableError as e:
                self.workers_link.failed(sent, str(e), report_s)

    def _lead_loop(self) -> None:
        """Follows or renews, whichever applies; gives way where others can do better."""
        lead = self.election
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
                    self.leadership_transfer.check_workers()
                    if lead.state is LeaderState.LEADING:
                        self.leadership_transfer.check_pace()
                    gevent.sleep(min(RENEW_S, lead.lease_ttl_s / 6))
                else:
                    self.leadership_transfer.consider_state()
                    gevent.sleep(0.3)
            except StoreError as e:
                log.debug("leadership: %s", e)
                gevent.sleep(0.3 + 0.3 * self.rng.random())
            except Exception:
                log.exception("leadership loop failed")
                gevent.sleep(1.0)

    def _resume(self) -> None:
        """Back to authority. What was cancelled meanwhile is read before anything is answered."""
        lead, term = self.election, self.term
        if term is None or not term.loaded:
            lead.move(LeaderState.LOADING, "the hold outlived the silence")
            return
        term.job_watch.catch_up()
        # the question took a while: a term may have ended meanwhile, or been asked about a higher token
        if self.term is term and lead.state is LeaderState.PAUSED and not lead.challenged:
            lead.move(LeaderState.LEADING, "the hold outlived the silence, and all cancellations are known")

    # others -----------------------------------------------------------------------------------------------

    def _hello(self) -> PeerStatus:
        term = self.term
        leads = self.election.is_leader() and term is not None and term.loaded
        return PeerStatus(
            self.settings.name,
            self.election.token if leads else 0,
            self.state_link.age_s,
            term.status_broadcast.counts() if leads and term is not None else {},
            self.overload.state.value,
            self.workers_link.age_s if self.workers_link.ok_at > -math.inf else -1.0,
            term.status_broadcast.samples(self.rng) if leads and term is not None else [],
            self.incarnation,
            self._told_lately(),
            len(self.spread.kept),
            self.spread.room if leads or self.sender.open() else -1,
            self.spread.rate,
            self.spread.machines if leads else 0,
        )

    def _greeted(self, hello: PeerStatus) -> None:
        """Another controller has said how it is; the leader, also who answers reports."""
        self.spread.heard(hello.name)
        if hello.token and self.term is None:
            self.spread.told(hello.spread)

    def _answering(self) -> list[PeerCapacity]:
        """The other controllers that answer reports, as they said lately."""
        now = self.clock()
        return [
            PeerCapacity(
                p.name,
                self.zones[p.name],
                p.last.token > 0,
                p.last.kept,
                p.last.room,
                p.last.load == LoadState.OVERLOADED.value,
                p.last.reports,
            )
            for p in self.peers.peers
            if p.last is not None and p.last.room >= 0 and now - p.last_heard_at < ANSWERING_S
        ]

    def _leading_peer(self) -> PeerClient | None:
        """The controller that leads by its own word, said lately; of two, the one with the higher token.

        The key is not asked: whoever is sent a batch says itself whether it is entitled to answer it.
        """
        now, found = self.clock(), None
        for p in self.peers.peers if self.term is None else ():
            if p.last is not None and p.last.token and now - p.last_heard_at < ANSWERING_S:
                found = p if found is None or found.last is None or p.last.token > found.last.token else found
        return found

    def _while_loading(self) -> None:
        """What came while the records are read is kept for a moment."""
        if self.election.state is LeaderState.LOADING:
            self._news.wait(KEPT_S)

    def _decide_spread(self, term: Term) -> None:
        """The leader's word on whether reports are spread, by the policy and by what its own sockets bear."""
        machines = len(term.inventory.machines) if self.peers.peers else 0
        on = assignment_enabled(term.wants_spread, self.spread.machines > 0, machines)
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
            if term is not None and term.loaded and self.election.is_leader():
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
            if self.completed_jobs.get(ident) is None:
                self.completed_jobs.remember(ident, CompletedJobRecord(JobStatus.CANCELLED, 0))
                self._stop_cancelled(ident)

    def _stop_cancelled(self, ident: str) -> None:
        term = self.term
        if term is not None and term.loaded:
            term.job_watch.removed(ident, self.clock())

    def _resigned(self, gone: ResignationNotice) -> None:
        gevent.spawn(self.leadership_transfer.succeed, gone)

    def _peer_loop(self, peer: PeerClient) -> None:
        while True:
            self.peers.greet(peer)
            gevent.sleep(0.9 + 0.2 * self.rng.random())

    def _images_loop(self) -> None:
        while True:
            gevent.sleep(IMAGES_S)
            term = self.term
            if term is not None and term.loaded and self.election.is_leader() and self.overload.spare:
                self.peers.tell_images(term.status_broadcast.cached_images())

    def _counts(self, ident: str) -> tuple[int, int]:
        term = self.term
        if term is not None and term.loaded:
            job = term.registry.jobs.get(ident)
            return (job.done_count, job.running()) if job is not None else (0, 0)
        return self.peers.leader_counts.get(ident, (0, 0))

    def _direct(self, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        """One order straight to a worker; these connections are bounded on their own."""
        if not self._directs.acquire(timeout=1.0):
            raise UnreachableError("too many direct orders are under way")
        try:
            return self.network.once("POST", addr, path, body, 3.0)
        finally:
            self._directs.release()

    def _types_loop(self) -> None:
        while True:
            if self.known_types.read(record=self.election.state is LeaderState.LEADING):
                if self.term is not None:
                    self.term.inventory.learn_types(self.known_types.types or [])
                gevent.sleep(120 + 60 * self.rng.random())
            else:
                gevent.sleep(0.5 + self.rng.random() if self.known_types.types is None else 10.0)

    # serving ----------------------------------------------------------------------------------------------

    def _answer(self, environ: dict[str, Any]) -> Response:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        if path == "/checkin":
            if method != "POST":
                return Response(405, b"{}", allow="POST")
            connection = environ.get("grebestand.connection")
            return self.handle_heartbeat(read_body(environ), connection, bool(environ.get("grebestand.surplus")))
        if path == "/healthz":
            if method != "GET":
                return Response(405, b"{}", allow="GET")
            return Response(200 if self.leadership_transfer.healthy() else 503, b"{}")
        if environ.get("grebestand.surplus"):
            return Response(503, b'{"error":"no connection is free"}', retry_after=1, close=True)
        if not self.overload.takes(self.users_busy, poll=method == "GET"):
            # reports from workers go first; users are told at once and come back
            return Response(503, b'{"error":"overloaded"}', retry_after=1)
        self.users_busy += 1
        try:
            return self.users.route(method, path, lambda: read_body(environ))
        finally:
            self.users_busy -= 1

    def handle_heartbeat(self, body: bytes, connection: object = None, surplus: bool = False) -> Response:
        """A worker's report; whatever it is answered, it shows that workers reach this controller."""
        self.workers_link.answered()
        return self.workers.handle_heartbeat(body, connection, surplus)

    def app(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        try:
            answer = self._answer(environ)
        except OSError:
            answer = Response(400, b'{"error":"unreadable request"}')
        except Exception:
            log.exception("request failed")
            answer = Response(503, b'{"error":"internal"}', retry_after=1)
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
        gevent.spawn(collect_garbage_by_time, gevent.sleep, lambda: self.overload.spare)
        log.info("%s serves on %s", self.settings.name, self.settings.listen)
        server.serve_forever()
