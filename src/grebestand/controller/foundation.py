"""The components that most parts of a controller depend on: clients, election, link health, load, caches."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ..clients.cloud import CloudClient
from ..clients.kv_store import KeyValueStoreClient
from ..clients.peer import PeerClient
from ..clients.runtime import Runtime
from ..connectivity.link_health import LinkHealth
from ..connectivity.store_proxy import ProxiedStoreTransport
from ..features.hooks import Features
from ..flow_control.connection_limits import (
    CLOUD_CONNECTIONS,
    MAX_BATCHES_IN_FLIGHT,
    MAX_PROXIED_REQUESTS,
    STATUS_CONNECTIONS_PER_PEER,
    STORE_REQUEST_CONNECTIONS,
    STORE_WATCH_CONNECTIONS,
    ConnectionPlan,
    plan_connections,
)
from ..flow_control.overload import OverloadMonitor
from ..flow_control.rate_limiter import RateLimiter
from ..leader.cancellation_horizon import CancellationHorizon, max_knowledge_age_s
from ..leader.election import LeaderElection
from ..settings.expressions import Expressions
from ..settings.platform import PeerAddress, Settings
from ..settings.policy import VARIABLES
from ..state_machines import LoadState
from ..storage.completed_jobs import CompletedJobs
from .cancellations import CancellationRecorder
from .current_term import CurrentTerm
from .leadership_news import LeadershipChangeNotifier
from .machine_type_catalog import MachineTypeCatalog
from .peer_directory import PeerDirectory
from .store_write_budget import follower_share

#: Share of the key-value store's read rate that all controllers together use, below the limit to leave a margin. Each
#: controller gets an even part of this share.
STORE_READ_SHARE = 0.9
#: Largest burst of store requests, as seconds of the cluster's whole request rate.
STORE_BURST_S = 0.3
#: Share of the cloud's request rate that a controller uses, and its largest burst as seconds of the whole rate. The
#: rate is not divided among the controllers, as nearly all cloud requests are sent by the leader.
CLOUD_SHARE, CLOUD_BURST_S = 0.8, 1.0
#: Part of the store's size limit of a value that stays unused, as the limit also covers the encoding around the value.
VALUE_RESERVE_BYTES = 16
#: Time limit for connecting to a peer; shorter than the second between two status exchanges.
PEER_CONNECT_TIMEOUT_S = 0.8


@dataclass(frozen=True)
class Clients:
    """Clients of the key-value store, the cloud and the other controllers."""

    store_link: LinkHealth
    store_transport: ProxiedStoreTransport
    store: KeyValueStoreClient
    cloud: CloudClient
    directory: PeerDirectory


@dataclass(frozen=True)
class Foundation:
    """The components that most parts of a controller depend on."""

    settings: Settings
    policy: Expressions
    features: Features
    runtime: Runtime
    clock: Callable[[], float]
    current_term: CurrentTerm
    leadership_changes: LeadershipChangeNotifier
    completed_jobs: CompletedJobs
    clients: Clients
    election: LeaderElection
    workers_link: LinkHealth
    overload: OverloadMonitor
    connections: ConnectionPlan
    machine_types: MachineTypeCatalog
    cancellations: CancellationRecorder

    @property
    def max_value_bytes(self) -> int:
        """Size limit of a value written to the store, in bytes."""
        return max_value_bytes(self.settings)

    def is_overloaded(self) -> bool:
        """Return whether this controller's event loop lags too much for it to serve more workers."""
        return self.overload.state is LoadState.OVERLOADED

    def request_remote_cancellation(self, job_id: str) -> None:
        """Request through the features that the cluster which may run a job stops this job."""
        for hook in self.features.recalls:
            hook(job_id)


def max_value_bytes(settings: Settings) -> int:
    """Return the size limit of a value written to the store, in bytes."""
    return int(settings.params.state.value_kb * 1024) - VALUE_RESERVE_BYTES


def build_foundation(settings: Settings, policy: Expressions, features: Features, runtime: Runtime) -> Foundation:
    """Build the components that most parts of a controller depend on."""
    clock, params = runtime.clock, settings.params
    current_term, completed_jobs = CurrentTerm(), CompletedJobs()
    clients = _build_clients(settings, runtime, current_term)
    return Foundation(
        settings=settings,
        policy=policy,
        features=features,
        runtime=runtime,
        clock=clock,
        current_term=current_term,
        leadership_changes=LeadershipChangeNotifier(),
        completed_jobs=completed_jobs,
        clients=clients,
        election=_build_election(settings, policy, clock, clients.store),
        workers_link=LinkHealth("workers", clock),
        overload=OverloadMonitor(params.quota, clock),
        connections=plan_connections(params.quota, len(settings.peers)),
        machine_types=MachineTypeCatalog(clients.store, clients.cloud, max_value_bytes(settings)),
        cancellations=CancellationRecorder(current_term, completed_jobs, clock),
    )


def _build_clients(settings: Settings, runtime: Runtime, current_term: CurrentTerm) -> Clients:
    clock, params = runtime.clock, settings.params

    def limiter(rate: float, burst: float) -> RateLimiter:
        return RateLimiter(rate, burst, clock, gevent.spawn_later)

    directory = PeerDirectory(
        [_connect_peer(peer, runtime) for peer in settings.peers],
        {peer.name: peer.zone for peer in settings.peers},
        clock,
        current_term,
    )
    store_link = LinkHealth("key-value store", clock)
    store_transport, watch_transport = (
        ProxiedStoreTransport(
            runtime.connect(settings.outside.state, "outside.state", connections), store_link, directory.all
        )
        for connections in (STORE_REQUEST_CONNECTIONS, STORE_WATCH_CONNECTIONS)
    )
    read_rate = params.state.rps * STORE_READ_SHARE / max(1, params.nodes)
    write_rate = params.state.write_rps * follower_share(params.nodes)
    store = KeyValueStoreClient(
        store_transport,
        watch_transport,
        limiter(read_rate, params.state.rps * STORE_BURST_S),
        limiter(write_rate, params.state.write_rps * STORE_BURST_S),
    )
    cloud = CloudClient(
        runtime.connect(settings.outside.cloud, "outside.cloud", CLOUD_CONNECTIONS),
        limiter(params.cloud.rps * CLOUD_SHARE, params.cloud.rps * CLOUD_BURST_S),
    )
    return Clients(store_link, store_transport, store, cloud, directory)


def _connect_peer(peer: PeerAddress, runtime: Runtime) -> PeerClient:
    connections = STATUS_CONNECTIONS_PER_PEER + MAX_PROXIED_REQUESTS + MAX_BATCHES_IN_FLIGHT
    return PeerClient(peer.name, runtime.connect(peer.address, "known.address", connections, PEER_CONNECT_TIMEOUT_S))


def _build_election(
    settings: Settings, policy: Expressions, clock: Callable[[], float], store: KeyValueStoreClient
) -> LeaderElection:
    workers = settings.params.workers
    variables = {name: lowest for name, (lowest, _) in VARIABLES.items()}
    variables["lease_s"] = workers.lease_s
    variables["report_s"] = workers.report_s
    cancellation_horizon = CancellationHorizon(clock, max_knowledge_age_s(workers))
    cancellation_horizon.log_settings(workers)
    return LeaderElection(settings.name, store, clock, policy.value("hold_s", variables), cancellation_horizon)
