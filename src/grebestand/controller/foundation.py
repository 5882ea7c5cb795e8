"""What most parts of a controller share: clients, election, links, load and records; built before all others."""

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
    BATCHES,
    CLOUD,
    GREETINGS,
    RELAYED,
    STATE_REQUESTS,
    STATE_WATCHES,
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
from .leadership_news import LeadershipNews
from .machine_type_catalog import MachineTypeCatalog
from .peer_directory import PeerDirectory
from .store_write_budget import follower_share

#: parts of the cluster's request rates that a controller uses: its even share of reads, somewhat less than the limit,
#: and bursts of a part of a second; the cloud is asked by the leader alone
STORE_READ_SHARE, STORE_BURST_S = 0.9, 0.3
CLOUD_SHARE, CLOUD_BURST_S = 0.8, 1.0
#: of a value in the store, left free for what surrounds it, in bytes
VALUE_RESERVE_BYTES = 16
#: a connection to a peer that takes longer is given up: a status is exchanged every second
PEER_CONNECT_TIMEOUT_S = 0.8


@dataclass(frozen=True)
class Clients:
    """Ways to the key-value store, the cloud and the other controllers."""

    store_link: LinkHealth
    store_transport: ProxiedStoreTransport
    store: KeyValueStoreClient
    cloud: CloudClient
    directory: PeerDirectory


@dataclass(frozen=True)
class Foundation:
    """What most parts of a controller share."""

    settings: Settings
    policy: Expressions
    features: Features
    runtime: Runtime
    clock: Callable[[], float]
    current_term: CurrentTerm
    news: LeadershipNews
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
        """The largest value that is written to the store."""
        return max_value_bytes(self.settings)

    def is_overloaded(self) -> bool:
        """Return whether this controller is too late to take more workers."""
        return self.overload.state is LoadState.OVERLOADED

    def recall(self, job_id: str) -> None:
        """Ask the features to end a job that another cluster may run."""
        for hook in self.features.recalls:
            hook(job_id)


def max_value_bytes(settings: Settings) -> int:
    """Return the largest value that is written to the store, in bytes."""
    return int(settings.params.state.value_kb * 1024) - VALUE_RESERVE_BYTES


def build_foundation(settings: Settings, policy: Expressions, features: Features, runtime: Runtime) -> Foundation:
    """Build the parts that all others need."""
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
        news=LeadershipNews(),
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
        for connections in (STATE_REQUESTS, STATE_WATCHES)
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
        runtime.connect(settings.outside.cloud, "outside.cloud", CLOUD),
        limiter(params.cloud.rps * CLOUD_SHARE, params.cloud.rps * CLOUD_BURST_S),
    )
    return Clients(store_link, store_transport, store, cloud, directory)


def _connect_peer(peer: PeerAddress, runtime: Runtime) -> PeerClient:
    connections = GREETINGS + RELAYED + BATCHES
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
