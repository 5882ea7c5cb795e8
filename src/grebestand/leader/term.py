"""One term of a leader: its components, and the recovery of the state that an earlier leader stored.

Each component provides steps that the loops in `controller` run. Tests call the steps directly with a manual clock.
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
    """Everything that a leader does under one fencing token, from reading the stored records to answering workers."""

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
        """Begin a term with an empty cluster state; `load` reads the stored records.

        Args:
            settings: the settings of the platform.
            policy: the policy's expressions.
            writer: the fenced writer of this term.
            cloud: the client of the cloud API that rents and deletes machines.
            direct: sends a request to a worker's own address.
            clock: a monotonic clock, in seconds.
            wall: the time of day, in seconds since the epoch.
            completed_jobs: this controller's cache of completed jobs, which outlives the term.
            machine_types: returns the cloud's machine types, or None while the types are not known.
            overload: measures the load of this controller.
            features: the hooks of the enabled features.
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
        """Build all components over an empty cluster state, from which each attempt of `load` starts."""
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
        """Recover the cluster state from the stored records, from the beginning if an earlier attempt failed.

        The watch of the live job records starts at the revision of their first page, so that no change is missed.

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
        self.job_watch.finish_full_read()
        self.loaded = True
        log.info(
            LogEvent(
                "term_loaded", token=self.token, machines=len(self.inventory.machines), jobs=len(self.registry.jobs)
            )
        )
        self.machine_reconciliation.check(now)

    def _close_finished_jobs(self, now: float) -> None:
        """Start the completion of jobs whose tasks were all done when the earlier term ended."""
        for job in list(self.registry.jobs.values()):
            if job.unfinished_count() == 0:
                self.registry.change_job_state(job, JobState.CLOSING, now)

    def _load_feature_records(self) -> None:
        for record in self.features.records:
            pages = self.feature_records[record.prefix]
            record.load(pages, dict(pages.load(self.writer.store.pairs(record.prefix))))

    def _restart_leases(self, now: float) -> None:
        """Count the lease of every machine from `now`, as an earlier leader may have renewed it until just before."""
        for machine in self.inventory.machines:
            machine.last_response_at = now
        self.heartbeat_handler.reset_silence(now)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the response to a heartbeat, or None while this controller may not answer workers."""
        if not self.loaded:
            # before loading, a response would renew leases of cancelled tasks without stopping them; `may_answer` is
            # called for its check of the token only
            self.heartbeat_handler.may_answer(heartbeat)
            return None
        return self.heartbeat_handler.handle(heartbeat)

    def begin_heartbeat(self, heartbeat: Heartbeat) -> PendingResponse | HeartbeatResponse | None:
        """Apply a heartbeat that `finish_heartbeat` will answer, so that several heartbeats share one wait for grants.

        Returns:
            A pending response; the response itself if the heartbeat is outdated or its machine is gone; None while this
            controller may not answer workers.
        """
        if not self.loaded:
            self.heartbeat_handler.may_answer(heartbeat)
            return None
        return self.heartbeat_handler.apply(heartbeat)

    def wait_for_grants(self, begun: Iterable[PendingResponse | HeartbeatResponse | None]) -> None:
        """Wait up to a fixed limit for durable grants of the tasks that the pending responses are to start.

        Args:
            begun: what `begin_heartbeat` returned for each heartbeat.
        """
        self.heartbeat_handler.wait_for_grants(
            [response for response in begun if isinstance(response, PendingResponse)]
        )

    def finish_heartbeat(self, pending: PendingResponse) -> HeartbeatResponse | None:
        """Return the response to an applied heartbeat, or None if this controller may no longer answer workers."""
        return self.heartbeat_handler.respond(pending)

    def wants_heartbeat_assignment(self, machines: float) -> bool:
        """Return whether the policy has every controller receive heartbeats, rather than the leader alone.

        Args:
            machines: the number of machines that the policy is evaluated for.
        """
        evaluator = self.context.policy_evaluator
        return bool(evaluator.policy.value("spread_reports", {**evaluator.variables(), "machines": machines}))

    def step_machines(self) -> None:
        """Settle rental requests, read the cloud's list of machines, delete unneeded machines and rent missing ones.

        Raises:
            CloudError: the cloud could not be reached.
            FencedError: this term may no longer write.
            StoreError: the store could not be reached.
        """
        if not self.inventory.machine_types:
            types = self.machine_types()
            if types is None:
                return
            self.inventory.set_machine_types(types)
        self.provisioning.repeat_unsettled_requests()
        self.deprovisioning.read_list()
        self.deprovisioning.return_idle()
        if self.context.policy_evaluator.value("rent"):
            self.provisioning.rent()

    def save_features(self) -> None:
        """Write the records that features have changed to the store.

        Raises:
            FencedError: this term may no longer write.
            StoreError: the store could not be reached.
        """
        for pages in self.feature_records.values():
            pages.save(Urgency.PROGRESS)
