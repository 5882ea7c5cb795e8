"""Builds the parts of a controller and connects them; contains no other logic.

Each part gets its dependencies in its constructor. Where two parts depend on each other, both get a third one that is
built first: `CurrentTerm`, `PeerDirectory`, `LeadershipChangeNotifier` or `CancellationRecorder`. The election and the
peer API instead call listeners, which are registered after all parts are built.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..api.heartbeat_api import HeartbeatApi
from ..api.job_api import JobApi
from ..api.peer_api import PeerApi
from ..api.read_batching import BatchedReads
from ..clients.runtime import Runtime
from ..connectivity.store_proxy import StoreProxyHandler
from ..features.hooks import Features
from ..heartbeat_relay.batch_receiver import BatchReceiver
from ..heartbeat_relay.forwarder import HeartbeatForwarder
from ..heartbeat_relay.worker_assignment import WorkerAssignment
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from .assignment_loop import AssignmentLoop
from .cancellations import CancellationBroadcaster
from .direct_commands import DirectCommandSender
from .foundation import Foundation, build_foundation
from .http_front import HttpFront
from .job_counts import TaskCounts
from .lag_monitor import LagMonitor
from .leader_loop import LeaderLoop
from .leadership_news import LoadingGate
from .leadership_transfer import LeadershipTransfer
from .link_probes import StoreLinkProbe, WorkerLinkProbe
from .machine_type_refresh import MachineTypeRefreshLoop
from .peer_events import PeerEvents
from .peer_loops import CachedImagesLoop, StatusExchangeLoop
from .peer_status import PeerStatusComposer
from .store_write_budget import StoreWriteBudget
from .term_factory import TermFactory
from .term_runner import TermRunner

#: Ratio of the number of conditions in a batched read to the number of changes that a transaction may have. The store
#: allows a higher ratio for conditions; the difference is left as a margin.
CONDITIONS_PER_CHANGE = 3


@dataclass(frozen=True)
class HeartbeatRelay:
    """Forwarding of heartbeats between controllers, and the assignment of workers to them."""

    assignment: WorkerAssignment
    forwarder: HeartbeatForwarder
    receiver: BatchReceiver
    assignment_loop: AssignmentLoop


@dataclass(frozen=True)
class ControllerParts:
    """The parts of a controller that `Controller` uses, and its loops in the order in which they are spawned."""

    foundation: Foundation
    relay: HeartbeatRelay
    peer_api: PeerApi
    job_api: JobApi
    direct_commands: DirectCommandSender
    leadership_transfer: LeadershipTransfer
    http_front: HttpFront
    loops: list[Callable[[], None]]


def build_parts(settings: Settings, policy: Expressions, features: Features, runtime: Runtime) -> ControllerParts:
    """Build all parts of a controller without starting any loop."""
    foundation = build_foundation(settings, policy, features, runtime)
    relay = _build_relay(foundation)
    peer_api = _build_peer_api(foundation, relay)
    job_api = _build_job_api(foundation, peer_api)
    heartbeat_api = HeartbeatApi(
        settings.name, foundation.election, foundation.current_term.get, relay.assignment, relay.forwarder,
        peer_api.is_unresponsive, foundation.leadership_changes.wait,
    )  # fmt: skip
    direct_commands = DirectCommandSender(runtime, foundation.connections.direct)
    transfer = _build_leadership_transfer(foundation, peer_api)
    term_runner = _build_term_runner(foundation, relay, peer_api, direct_commands)
    _subscribe_to_election(foundation, term_runner, transfer, peer_api)
    peer_api.subscribe(
        PeerEvents(
            election=foundation.election,
            leadership_changes=foundation.leadership_changes,
            assignment_loop=relay.assignment_loop,
            cancellations=foundation.cancellations,
            transfer=transfer,
        )
    )
    http_front = HttpFront(
        job_api=job_api,
        heartbeat_api=heartbeat_api,
        transfer=transfer,
        overload=foundation.overload,
        workers_link=foundation.workers_link,
    )
    return ControllerParts(
        foundation=foundation,
        relay=relay,
        peer_api=peer_api,
        job_api=job_api,
        direct_commands=direct_commands,
        leadership_transfer=transfer,
        http_front=http_front,
        loops=_build_loops(foundation, relay, peer_api, transfer),
    )


def _build_relay(foundation: Foundation) -> HeartbeatRelay:
    settings, clock, directory = foundation.settings, foundation.clock, foundation.clients.directory
    max_workers = foundation.connections.workers
    assignment = WorkerAssignment(
        settings.name, settings.zone, max_workers, settings.params.workers.report_s, clock,
        directory.accepting_workers, foundation.is_overloaded,
    )  # fmt: skip
    assignment.followers = len(settings.peers)
    forwarder = HeartbeatForwarder(settings.name, clock, directory.leading_peer)
    receiver = BatchReceiver(
        directory.zones, foundation.election, foundation.current_term.get, foundation.overload, clock,
        LoadingGate(foundation.election, foundation.leadership_changes).wait,
    )  # fmt: skip
    assignment_loop = AssignmentLoop(
        assignment=assignment,
        forwarder=forwarder,
        receiver=receiver,
        directory=directory,
        election=foundation.election,
        current_term=foundation.current_term,
        max_workers=max_workers,
        clock=clock,
    )
    return HeartbeatRelay(assignment, forwarder, receiver, assignment_loop)


def _build_peer_api(foundation: Foundation, relay: HeartbeatRelay) -> PeerApi:
    clients = foundation.clients
    status_composer = PeerStatusComposer(
        name=foundation.settings.name,
        election=foundation.election,
        current_term=foundation.current_term,
        store_link=clients.store_link,
        workers_link=foundation.workers_link,
        overload=foundation.overload,
        assignment=relay.assignment,
        forwarder=relay.forwarder,
        cancellations=foundation.cancellations,
        rng=foundation.runtime.rng,
    )
    return PeerApi(
        clients.directory.peers, foundation.clock, status_composer.compose, foundation.features,
        StoreProxyHandler(clients.store_transport), relay.receiver.answer,
    )  # fmt: skip


def _build_job_api(foundation: Foundation, peer_api: PeerApi) -> JobApi:
    params, store = foundation.settings.params, foundation.clients.store
    return JobApi(
        store, params.teams, foundation.max_value_bytes, foundation.runtime.wall, foundation.clock,
        foundation.machine_types.current, TaskCounts(foundation.current_term, peer_api).get, foundation.completed_jobs,
        foundation.features, BatchedReads(store, CONDITIONS_PER_CHANGE * params.state.txn_ops),
        CancellationBroadcaster(foundation.cancellations, peer_api).on_cancelled,
        foundation.request_remote_cancellation,
    )  # fmt: skip


def _build_leadership_transfer(foundation: Foundation, peer_api: PeerApi) -> LeadershipTransfer:
    settings = foundation.settings
    return LeadershipTransfer(
        name=settings.name,
        heartbeat_interval_s=settings.params.workers.report_s,
        election=foundation.election,
        peer_api=peer_api,
        overload=foundation.overload,
        clock=foundation.clock,
        term=foundation.current_term.get,
        store_link=foundation.clients.store_link,
        workers_link=foundation.workers_link,
    )


def _build_term_runner(
    foundation: Foundation, relay: HeartbeatRelay, peer_api: PeerApi, direct_commands: DirectCommandSender
) -> TermRunner:
    params, clients = foundation.settings.params, foundation.clients
    factory = TermFactory(
        settings=foundation.settings,
        policy=foundation.policy,
        features=foundation.features,
        runtime=foundation.runtime,
        clock=foundation.clock,
        election=foundation.election,
        store=clients.store,
        cloud=clients.cloud,
        completed_jobs=foundation.completed_jobs,
        machine_types=foundation.machine_types,
        overload=foundation.overload,
        direct_commands=direct_commands,
        max_value_bytes=foundation.max_value_bytes,
    )
    return TermRunner(
        election=foundation.election,
        current_term=foundation.current_term,
        factory=factory,
        assignment_loop=relay.assignment_loop,
        peer_api=peer_api,
        write_budget=StoreWriteBudget(clients.store.write_limiter, params.state.write_rps, params.nodes),
        features=foundation.features,
        clock=foundation.clock,
        rng=foundation.runtime.rng,
    )


def _subscribe_to_election(
    foundation: Foundation, term_runner: TermRunner, transfer: LeadershipTransfer, peer_api: PeerApi
) -> None:
    election = foundation.election
    election.on_state_changed = term_runner.on_election_state_changed
    election.on_leadership_changed = foundation.leadership_changes.notify_all
    election.campaign_delay_s = transfer.campaign_delay_s
    election.cancellation_horizon.cancellations_confirmed_up_to = peer_api.cancellations_confirmed_up_to


def _build_loops(
    foundation: Foundation, relay: HeartbeatRelay, peer_api: PeerApi, transfer: LeadershipTransfer
) -> list[Callable[[], None]]:
    runtime, election, current_term = foundation.runtime, foundation.election, foundation.current_term
    clients, interval_s = foundation.clients, foundation.settings.params.workers.report_s
    leader_loop = LeaderLoop(
        election=election,
        current_term=current_term,
        transfer=transfer,
        workers_link=foundation.workers_link,
        heartbeat_interval_s=interval_s,
        rng=runtime.rng,
    )
    worker_probe = WorkerLinkProbe(
        link=foundation.workers_link,
        current_term=current_term,
        peer_api=peer_api,
        runtime=runtime,
        heartbeat_interval_s=interval_s,
    )
    return [
        leader_loop.run,
        LagMonitor(foundation.overload, foundation.clock).run,
        StoreLinkProbe(clients.store_link, clients.store_transport, runtime.rng).run,
        worker_probe.run,
        MachineTypeRefreshLoop(foundation.machine_types, election, current_term, runtime.rng).run,
        CachedImagesLoop(peer_api, election, current_term, foundation.overload).run,
        relay.assignment_loop.run,
        relay.forwarder.run,
        *(StatusExchangeLoop(peer, peer_api, runtime.rng).run for peer in peer_api.peers),
    ]
