"""One term of a leader: its parts, and how they recover the state that an earlier leader left.

Each part offers steps which the loops of `controller` run; tests call them directly with a manual clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..clients.cloud import CloudClient
from ..features.hooks import Features
from ..flow_control.overload import OverloadMonitor
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
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
from .machine_reconciliation import DirectRequest, MachineReconciliation
from .machine_records import MachineRecords
from .provisioning import Provisioning
from .scheduling_loop import SchedulingLoop
from .status_broadcast import StatusBroadcast
from .task_progress import TaskProgress
from .term_context import TermContext, TermEnvironment

log = logging.getLogger(__name__)


class Term:
    """A leader's work under one fencing token, from reading the records to answering workers."""

    def __init__(
        self,
        settings: Settings,
        policy: Expressions,
        writer: FencedWriter,
        cloud: CloudClient,
        direct: DirectRequest,
        clock: Callable[[], float],
        wall: Callable[[], float],
        completed_jobs: CompletedJobs,
        machine_types: Callable[[], list[MachineType] | None],
        overload: OverloadMonitor,
        features: Features,
    ) -> None:
        """Begin a term with an empty state; `load` reads the records.

        Args:
            settings: the settings of the platform.
            policy: the policy's expressions.
            writer: the fenced writer of this term.
            cloud: the client of the cloud that rents machines out.
            direct: sends a request to a worker's own address.
            clock: a steady clock, in seconds.
            wall: the time of day, in seconds since the epoch.
            completed_jobs: this controller's memory of jobs that are over, which outlasts the term.
            machine_types: returns the cloud's machine types, or None while they are not known.
            overload: how busy this controller is.
            features: the hooks of the features that are on.
        """
        self.settings = settings
        self.writer = writer
        self.token = writer.token
        self.election = writer.election
        self.cloud = cloud
        self.direct = direct
        self.clock = clock
        self.wall = wall
        self.completed_jobs = completed_jobs
        self.machine_types = machine_types
        self.overload = overload
        self.features = features
        self._environment = TermEnvironment(
            settings=settings,
            policy=policy,
            writer=writer,
            clock=clock,
            wall=wall,
            started_at=clock(),
            features=features,
        )
        self._build_components()

    def _build_components(self) -> None:
        """Build all parts over an empty state, from which each attempt at loading starts."""
        context = self.context = TermContext(self._environment)
        self.registry, self.inventory, self.dispatch = context.registry, context.inventory, context.dispatch
        self.command_builder, self.scheduler = context.command_builder, context.scheduler
        self.machine_records = MachineRecords(context)
        self.grants = DurableGrants(context)
        self.progress = TaskProgress(context)
        self.job_completion = JobCompletion(
            context,
            grants=self.grants,
            progress=self.progress,
            completed_jobs=self.completed_jobs,
            features=self.features,
        )
        self.job_watch = JobWatch(context, self.job_completion)
        self.machine_reconciliation = MachineReconciliation(context, self.direct)
        self.provisioning = Provisioning(context, self.cloud)
        self.deprovisioning = Deprovisioning(
            context,
            cloud=self.cloud,
            provisioning=self.provisioning,
            machine_records=self.machine_records,
            machine_reconciliation=self.machine_reconciliation,
        )
        self.scheduling_loop = SchedulingLoop(context, self.machine_reconciliation, self.overload)
        self.heartbeat_handler = HeartbeatHandler(
            context,
            machine_reconciliation=self.machine_reconciliation,
            grants=self.grants,
            provisioning=self.provisioning,
            scheduling_loop=self.scheduling_loop,
        )
        self.status_broadcast = StatusBroadcast(context)
        self.job_audit = JobAudit(context, self.job_watch, self.completed_jobs)
        self.feature_records = {r.prefix: self.writer.pages(r.prefix) for r in self.features.records}
        self.loaded = False

    def load(self) -> None:
        """Recover the state from the records, from the beginning if an earlier attempt failed.

        The watch of the live jobs starts at the revision of their first page, so that no change is missed.

        Raises:
            StoreError: the store could not be reached; `load` may be called again.
        """
        self._build_components()
        now = self.clock()
        types = self.machine_types()
        if types:
            self.inventory.set_machine_types(types)
        self.machine_records.load(now)
        self.job_watch.read_all(now)
        self.progress.load()
        self.provisioning.load()
        self.grants.load()
        self._close_finished_jobs(now)
        self._load_feature_records()
        self.inventory.count_unreconciled()
        now = self.clock()
        self._restart_leases(now)
        self.job_watch.begin()
        self.loaded = True
        log.info(
            LogEvent(
                "term_loaded", token=self.token, machines=len(self.inventory.machines), jobs=len(self.registry.jobs)
            )
        )
        self.machine_reconciliation.check(now)

    def _close_finished_jobs(self, now: float) -> None:
        """Start the completion of jobs whose tasks were all done when the earlier leader ended."""
        for job in list(self.registry.jobs.values()):
            if job.unfinished_count() == 0:
                self.registry.change_job_state(job, JobState.CLOSING, now)

    def _load_feature_records(self) -> None:
        for record in self.features.records:
            pages = self.feature_records[record.prefix]
            record.load(pages, dict(pages.load(self.writer.store.pairs(record.prefix))))

    def _restart_leases(self, now: float) -> None:
        """Assume that an earlier leader answered every machine just now: their leases end at the latest from here."""
        for machine in self.inventory.machines:
            machine.last_response_at = now
        self.heartbeat_handler.restart_silence(now)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the answer to a heartbeat, or None while this controller may not answer."""
        if not self.loaded:
            # an answer would renew the leases of cancelled tasks and could not stop them (`cancellation_horizon`)
            self.heartbeat_handler.may_answer(heartbeat)
            return None
        return self.heartbeat_handler.handle(heartbeat)

    def begin_heartbeat(self, heartbeat: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """Apply a heartbeat, to be answered by `finish_heartbeat`, so that several share one wait for grants."""
        if not self.loaded:
            self.heartbeat_handler.may_answer(heartbeat)
            return None
        return self.heartbeat_handler.begin(heartbeat)

    def wait_for_grants(self, begun: Iterable[PendingResponse | HeartbeatResponse | None]) -> None:
        """Wait a short while for the grants of the tasks that these answers are to start."""
        self.heartbeat_handler.cover([response for response in begun if isinstance(response, PendingResponse)])

    def finish_heartbeat(self, pending: PendingResponse) -> HeartbeatResponse | None:
        """Return the answer to a heartbeat that was begun, or None if this controller may not answer any more."""
        return self.heartbeat_handler.finish(pending)

    def wants_heartbeat_assignment(self, machines: float) -> bool:
        """Return whether, by the policy, with so many machines every controller is to answer heartbeats."""
        evaluator = self.context.policy_evaluator
        return bool(evaluator.policy.value("spread_reports", {**evaluator.variables(), "machines": machines}))

    def step_machines(self) -> None:
        """Settle rental requests, read the cloud's list, and return and rent machines.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may not write any more.
            StoreError: the store could not be reached.
        """
        if not self.inventory.machine_types:
            types = self.machine_types()
            if types is None:
                return
            self.inventory.set_machine_types(types)
        self.provisioning.replay()
        self.deprovisioning.read_list()
        self.deprovisioning.return_idle()
        if self.context.policy_evaluator.value("rent"):
            self.provisioning.rent()

    def save_features(self) -> None:
        """Write the records that features have changed.

        Raises:
            FencedError: this term may not write any more.
            StoreError: the store could not be reached.
        """
        for pages in self.feature_records.values():
            pages.save(Urgency.PROGRESS)
