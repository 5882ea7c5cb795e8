"""One term of a leader: its parts, and how they begin from what an earlier leader left.

Every part offers steps for the loops that `process` runs; tests call them directly with a fake clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..clients.cloud import CloudClient
from ..features.hooks import Features
from ..flow_control.overload import OverloadMonitor
from ..flow_control.rate_limiter import Urgency
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from ..state_machines import JobState
from ..storage.completed_jobs import CompletedJobs
from ..wire.cloud import MachineType
from ..wire.workers import Heartbeat, HeartbeatResponse
from .deprovisioning import Deprovisioning
from .durable_grants import DurableGrants
from .fenced_writes import FencedWriter
from .heartbeat_handler import HeartbeatHandler, PendingResponse
from .job_audit import JobAudit
from .job_completion import JobCompletion
from .job_watch import JobWatch
from .machine_reconciliation import Direct, MachineReconciliation
from .machine_records import MachineRecords
from .provisioning import Provisioning
from .scheduling_loop import SchedulingLoop
from .status_broadcast import StatusBroadcast
from .task_progress import TaskProgress
from .term_context import TermContext

log = logging.getLogger(__name__)


class Term:
    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        writer: FencedWriter,
        cloud: CloudClient,
        direct: Direct,
        clock: Callable[[], float],
        wall: Callable[[], float],
        completed_jobs: CompletedJobs,
        machine_types: Callable[[], list[MachineType] | None],
        load: OverloadMonitor,
        features: Features,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.writer = writer
        self.token = writer.token
        self.election = writer.election
        self.cloud = cloud
        self.direct = direct
        self.clock = clock
        self.wall = wall
        self.completed_jobs = completed_jobs
        self.machine_types = machine_types
        self.overload = load
        self.features = features
        self.started_at = clock()
        self._begin()

    def _begin(self) -> None:
        """New parts over empty books: loading starts from these, also when it has to start again."""
        b = self.context = TermContext(
            self.settings, self.policy, self.writer, self.clock, self.wall, self.started_at, self.features
        )
        self.registry, self.inventory, self.dispatch = b.registry, b.inventory, b.dispatch
        self.command_builder, self.scheduler = b.command_builder, b.scheduler
        self.machine_records = MachineRecords(b)
        self.grants = DurableGrants(b)
        self.progress = TaskProgress(b)
        self.job_completion = JobCompletion(b, self.grants, self.progress, self.completed_jobs, self.features)
        self.job_watch = JobWatch(b, self.job_completion)
        self.machine_reconciliation = MachineReconciliation(b, self.direct)
        self.provisioning = Provisioning(b, self.cloud)
        self.deprovisioning = Deprovisioning(
            b, self.cloud, self.provisioning, self.machine_records, self.machine_reconciliation
        )
        self.scheduling_loop = SchedulingLoop(b, self.machine_reconciliation, self.overload)
        self.heartbeat_handler = HeartbeatHandler(
            b, self.machine_reconciliation, self.grants, self.provisioning, self.scheduling_loop
        )
        self.status_broadcast = StatusBroadcast(b)
        self.job_audit = JobAudit(b, self.job_watch)
        self.feature_records = {r.prefix: self.writer.pages(r.prefix) for r in self.features.records}
        self.loaded = False

    def load(self) -> None:
        """Reads all records. The watch starts at the revision before the first page, so nothing is missed."""
        self._begin()
        now = self.clock()
        types = self.machine_types()
        if types:
            self.inventory.learn_types(types)
        self.machine_records.load(now)
        self.job_watch.read_all(now)
        self.progress.load()
        self.provisioning.load()
        self.grants.load()
        for job in list(self.registry.jobs.values()):
            if job.unfinished() == 0:
                self.registry.move_job(job, JobState.CLOSING, now)
        for record in self.features.records:
            pages = self.feature_records[record.prefix]
            record.load(pages, dict(pages.load(self.writer.store.pairs(record.prefix))))
        self.inventory.count_unknown()
        now = self.clock()
        for m in self.inventory.machines:
            m.last_response_at = now
        self.heartbeat_handler.last_heard_at = now
        self.job_watch.begin()
        self.loaded = True
        log.info(
            "term %d: %d machines and %d live jobs on record",
            self.token,
            len(self.inventory.machines),
            len(self.registry.jobs),
        )
        self.machine_reconciliation.check(now)

    def handle_heartbeat(self, report: Heartbeat) -> HeartbeatResponse | None:
        """The answer to a report; None while this controller may not answer."""
        if not self.loaded:
            # an answer would renew the leases of what was cancelled, and could not stop it (`cancellation_horizon`)
            self.heartbeat_handler.may_answer(report)
            return None
        return self.heartbeat_handler.take(report)

    def begin_heartbeat(self, report: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """The same in two steps, for several reports at once, with one wait for grants between them."""
        if not self.loaded:
            self.heartbeat_handler.may_answer(report)
            return None
        return self.heartbeat_handler.begin(report)

    def cover_heartbeats(self, begun: Iterable[PendingResponse | HeartbeatResponse | None]) -> None:
        self.heartbeat_handler.cover([t for t in begun if isinstance(t, PendingResponse)])

    def finish_heartbeat(self, taken: PendingResponse) -> HeartbeatResponse | None:
        return self.heartbeat_handler.finish(taken)

    def wants_spread(self, machines: float) -> bool:
        """Whether with so many machines every controller is to answer reports, by the policy."""
        policy_evaluator = self.context.policy_evaluator
        return bool(policy_evaluator.policy.value("spread_reports", {**policy_evaluator.names(), "machines": machines}))

    def step_fleet(self) -> None:
        """Settles rentals, reads the cloud's list, returns and rents machines."""
        if not self.inventory.kinds:
            types = self.machine_types()
            if types is None:
                return
            self.inventory.learn_types(types)
        self.provisioning.replay()
        self.deprovisioning.read_list()
        self.deprovisioning.return_idle()
        if self.context.policy_evaluator.value("rent"):
            self.provisioning.rent()

    def save_features(self) -> None:
        """Writes what features have put on their pages."""
        for pages in self.feature_records.values():
            pages.save(Urgency.PROGRESS)
