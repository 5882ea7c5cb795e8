"""A cluster in memory on a manual clock, for tests that call the controller's parts step by step."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from ..api.job_api import JobApi
from ..api.peer_api import PeerApi
from ..api.read_batching import BatchedReads
from ..clients.cloud import CloudClient
from ..clients.http import UnreachableError
from ..clients.kv_store import KeyValueStoreClient
from ..clients.peer import PeerClient
from ..connectivity.link_health import LinkHealth
from ..controller.leadership_transfer import LeadershipTransfer
from ..emulators.cloud import CloudEmulator
from ..emulators.kv_store import KeyValueStoreEmulator
from ..emulators.worker import WorkerEmulator
from ..features.hooks import Features
from ..flow_control.overload import OverloadMonitor
from ..flow_control.rate_limiter import RateLimiter
from ..leader.election import LeaderElection
from ..leader.fenced_writes import FencedWriter
from ..leader.term import Term
from ..settings import policy
from ..settings.platform import Settings, parse
from ..state_machines import LeaderState
from ..storage.completed_jobs import CompletedJobs
from ..wire.cloud import MachineType
from ..wire.peers import PeerStatus
from ..wire.workers import DirectCommands, HeartbeatResponse

SETTINGS = """
host_name = "node-0"
area = "a"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
count = 1
zones = ["a", "b"]
[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[[params.teams]]
name = "blue"
cpus = 8.0
cpus_max = 64.0
[params.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 50.0
[params.state]
rps = 10000.0
write_rps = 10000.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 1000.0
list_lag_s = 5.0
"""


class ManualClock:
    """A clock that changes only when a test sets `now`, in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


#: the machine types of the emulated cloud that controllers know
MACHINE_TYPES = [MachineType("m4", 16.0, 0.0, 64.0, ["a", "b"], 50.0, 1.0, 1.0, 0.4, 30.0)]


class InMemoryController:
    """One controller's parts, without servers or loops."""

    def __init__(self, cluster: InMemoryCluster, name: str, features: Features | None = None) -> None:
        self.cluster = cluster
        self.name = name
        params = cluster.settings.params
        unlimited = RateLimiter(1e9, 1e9, cluster.clock, lambda s, f: None)
        self.store = KeyValueStoreClient(cluster.store, cluster.store, unlimited, unlimited)
        self.cloud = CloudClient(cluster.cloud, unlimited)
        self.completed_jobs = CompletedJobs()
        self.features = features if features is not None else Features()
        self.job_api = JobApi(
            self.store, params.teams, int(params.state.value_kb * 1024) - 16, cluster.clock, cluster.clock,
            lambda: MACHINE_TYPES, lambda job_id: (0, 0), self.completed_jobs, self.features,
            BatchedReads(self.store, params.state.txn_ops),
        )  # fmt: skip
        self.election = LeaderElection(name, self.store, cluster.clock, 12.0)
        self.overload = OverloadMonitor(params.quota, cluster.clock)
        self.term: Term | None = None

    def leadership_transfer(self, *peers: PeerClient) -> LeadershipTransfer:
        """Return the part that decides whether this controller resigns, given its connections to peers."""
        clock = self.cluster.clock
        peer_api = PeerApi(list(peers), clock, lambda: PeerStatus(self.name, 0, 0.0), self.features)
        heartbeat_interval_s = self.cluster.settings.params.workers.report_s
        self.state_link, self.workers_link = LinkHealth("key-value store", clock), LinkHealth("workers", clock)
        return LeadershipTransfer(
            name=self.name, heartbeat_interval_s=heartbeat_interval_s, election=self.election, peer_api=peer_api,
            overload=self.overload, clock=clock, term=lambda: self.term, store_link=self.state_link,
            workers_link=self.workers_link,
        )  # fmt: skip

    def lead(self) -> Term:
        """Win the election, load the term, and return it."""
        params = self.cluster.settings.params
        self.election.read_leader_key()
        assert self.election.state is LeaderState.LOADING, self.election.state
        writer = FencedWriter(self.election, self.store, self.job_api.max_value_bytes, params.state.txn_ops)
        self.term = Term(
            self.cluster.settings, self.cluster.policy, writer, self.cloud, self.cluster.send_direct_request,
            self.cluster.clock, self.cluster.clock, self.completed_jobs, lambda: MACHINE_TYPES,
            self.overload, self.features,
        )  # fmt: skip
        self.term.load()
        self.election.change_state(LeaderState.LEADING, "test")
        return self.term


class InMemoryCluster:
    """Emulated state service, cloud and workers in memory, for controllers whose parts a test calls step by step."""

    def __init__(self, settings: str = SETTINGS, rules: str = "rent = false\n") -> None:
        self.clock = ManualClock()
        self.settings: Settings = parse(settings)
        self.policy = policy.parse(rules, "test.toml", policy.default())
        self.store = KeyValueStoreEmulator(self.clock)
        self.cloud = CloudEmulator()
        self.workers: dict[str, WorkerEmulator] = {}
        self._job_count = 0

    def add_worker(self, name: str, **fields: Any) -> WorkerEmulator:
        """Add a worker, with values for fields of `WorkerEmulator`."""
        worker = self.workers[name] = WorkerEmulator(name, **fields)
        return worker

    def send_direct_request(self, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Deliver a direct request to the worker at an address, and return the response's status and body.

        Raises:
            UnreachableError: The worker is not reachable.
        """
        worker = self.workers[addr.rpartition(":")[0]]
        if not worker.reachable:
            raise UnreachableError("cut off")
        status, heartbeat = worker.handle_direct_commands(msgspec.json.decode(body, type=DirectCommands))
        return status, msgspec.json.encode(heartbeat)

    def submission_body(self, **fields: Any) -> bytes:
        """Return the body of a submission with the next job id; keyword arguments set fields by their wire names."""
        self._job_count += 1
        spec = {
            "ref": f"j-{self._job_count:06d}", "lane": "train", "crew": "blue", "shape": "array", "rank": "standard",
            "shards": 1, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "cargo": "img", "pullGb": 1.0, "hulls": None,
            "quay": None, "samePlace": False, "scatter": False, "driftwood": True, "reckonS": 60.0, "markS": 0.0,
            "stowS": 0.0, "dueS": None,
        }  # fmt: skip
        return json.dumps({**spec, **fields}).encode()

    def records(self, prefix: str) -> dict[str, Any]:
        """Return all records on pages under a key prefix, by name."""
        pages = [value for key, (value, *_) in self.store.data.items() if key.startswith(prefix)]
        return {name: record for page in pages for name, record in page.items()}

    def submit_job(self, controller: InMemoryController, **fields: Any) -> str:
        """Submit a job to a controller, have its term load the job, and return the job's id."""
        body = self.submission_body(**fields)
        response = controller.job_api.submit(body)
        assert response.status == 201, response
        if controller.term is not None:
            controller.term.job_watch.watch()
        return str(json.loads(response.body)["ref"])

    def handle_heartbeat(self, term: Term, worker: WorkerEmulator, lose: bool = False) -> HeartbeatResponse | None:
        """Deliver a worker's heartbeat to a term, and the response to the worker unless `lose` is set."""
        response = term.handle_heartbeat(worker.next_heartbeat())
        if isinstance(response, HeartbeatResponse) and not lose:
            worker.apply_response(response)
        return response if isinstance(response, HeartbeatResponse) else None

    def run_rounds(self, term: Term, rounds: int = 4, step_s: float = 1.0) -> None:
        """Run rounds, each with a heartbeat of every reachable worker and the leader's periodic steps.

        Args:
            term: The leader's term.
            rounds: The number of rounds.
            step_s: By how many seconds the clock is advanced before each round.
        """
        for _ in range(rounds):
            self.clock.now += step_s
            term.election.renew()
            term.job_watch.watch()
            term.machine_records.record()
            for worker in self.workers.values():
                if worker.reachable:
                    self.handle_heartbeat(term, worker)
            for machine in [term.inventory.find_by_index(i) for i in term.dispatch.urgent_machines]:
                if machine is not None and self.workers[machine.name].reachable:
                    term.machine_reconciliation.send_stops(machine)
            term.dispatch.urgent_machines = set()
            for machine in term.machine_reconciliation.select_machines_to_query(self.clock.now):
                term.machine_reconciliation.query(machine)
            term.inventory.detect_silent_machines(self.clock.now)
            term.machine_reconciliation.check(self.clock.now)
            term.job_completion.complete_jobs()
            term.progress.save()
