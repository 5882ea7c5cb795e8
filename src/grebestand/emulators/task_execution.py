"""Execution of tasks on a cluster's emulated machines: image fetches, gangs, checkpoints and leases.

Tasks compute nothing. A task occupies its machine from the end of its image fetch until it exits. The time is passed to
every step, so any clock can be used.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..wire.jobs import JobSpec, Kind, split_task
from ..wire.workers import ExitReason, TaskPhase, TaskStatus
from .worker import WorkerEmulator

#: the shortest time that a task runs, in seconds, also if all its work was saved before
MIN_WORK_S = 0.05


@dataclass(frozen=True)
class TaskEvent:
    """One line of a history: what happened to a task on a machine, or what a user was told about a job.

    Attributes:
        at: The time of the event, in seconds.
        cluster: The name of the cluster.
        what: "on" if the task occupies its machine from now on, "off" if it does so no longer, or the state of the job
            in a response to its user: "asked", "accepted", "done" or "cancelled".
        klass: The job's class, which identifies the same work in every cluster.
        job: The job's id.
        task: The index of the task, or -1 for an event of the job.
        attempt: The attempt of the task.
        machine: The name of the machine.
        why: Why the task no longer occupies the machine.
        tasks: The number of tasks of the job.
    """

    at: float
    cluster: str
    what: str
    klass: str
    job: str
    task: int = -1
    attempt: int = 0
    machine: str = ""
    why: str = ""
    tasks: int = 0


EventRecorder = Callable[[TaskEvent], None]


@dataclass
class LocalTask:
    """One task attempt on a machine, with the state that its worker doesn't report. Times are in seconds.

    Attributes:
        spec: The job's specification.
        index: The index of the task.
        attempt: The attempt of the task.
        waiting_since: When the task began to wait for the other tasks of its gang; before that, when it was started.
        image_fetched_at: When the image will have been fetched.
        occupies_machine: Whether the task occupies its machine.
        running_since: When the task began to run.
        remaining_s: How long the task has to run from `running_since` on.
        interrupted_at: When the task began to save its work or, for a gang, first lacked another task; None before
            that.
        save_ends_at: When the work will have been saved.
        grace_s: How long a stopped task may take to save its work.
        gang_work_saved: Whether the work of the whole gang was saved; set for one of the gang's tasks.
    """

    spec: JobSpec
    index: int
    attempt: int
    waiting_since: float
    image_fetched_at: float
    occupies_machine: bool = False
    running_since: float = 0.0
    remaining_s: float = 0.0
    interrupted_at: float | None = None
    save_ends_at: float = 0.0
    grace_s: float = 0.0
    gang_work_saved: bool = False


#: one task of a gang with its machine, the reported status and the local state
GangMember = tuple["TaskRunner", TaskStatus, LocalTask]


@dataclass
class TaskRunner(WorkerEmulator):
    """A worker whose tasks are advanced by `TaskExecution`; stopped tasks may save their work first.

    Attributes:
        local_tasks: The tasks on the machine by name.
        superseded_tasks: Earlier attempts that were replaced by a new start and whose end isn't recorded yet.
        cached_images: The images that needn't be fetched again.
        lease_renewed_at: When the last heartbeat that was answered had been sent, in seconds of the cluster's clock.
        hung_until: When the machine stops hanging, in seconds of the cluster's clock; until then it neither runs tasks
            nor sends heartbeats.
        heartbeat_due: Whether a heartbeat has to be sent at once, because a task's state has changed.
    """

    local_tasks: dict[str, LocalTask] = field(default_factory=dict)
    superseded_tasks: list[LocalTask] = field(default_factory=list)
    cached_images: set[str] = field(default_factory=set)
    lease_renewed_at: float = 0.0
    hung_until: float = 0.0
    heartbeat_due: bool = True

    def start_task(self, task: str, attempt: int) -> None:
        """Start to fetch a task's image; an earlier attempt is kept until its end is recorded."""
        self.tasks[task] = TaskStatus(task, attempt, TaskPhase.FETCHING)
        superseded = self.local_tasks.pop(task, None)
        if superseded is not None:
            self.superseded_tasks.append(superseded)
        self.heartbeat_due = True

    def stop_task(self, status: TaskStatus, grace_s: float) -> None:
        """Stop a task; if it runs and has checkpoints, and the grace period suffices, it saves its work first."""
        local = self.local_tasks.get(status.task)
        if status.state is TaskPhase.EXITED:
            return
        if local is None or status.state in (TaskPhase.FETCHING, TaskPhase.WAITING):
            status.state, status.why = TaskPhase.EXITED, ExitReason.STOPPED
        elif status.state is TaskPhase.RUNNING and local.spec.checkpoint_s > 0 and grace_s >= local.spec.save_s:
            status.state, local.grace_s = TaskPhase.SAVING, grace_s
        elif status.state is TaskPhase.RUNNING or grace_s < local.grace_s:
            status.state, status.why = TaskPhase.EXITED, ExitReason.STOPPED
        self.heartbeat_due = True


class TaskExecution:
    """The machines of one cluster and the tasks on them.

    Attributes:
        workers: The machines that are up, by name.
        saved_work_s: By job, the seconds of work that were saved.
        completed_tasks: The tasks whose result is stored.
    """

    def __init__(
        self,
        name: str,
        lease_s: float,
        gang_wait_s: float,
        gang_peer_s: float,
        find_job_spec: Callable[[str], JobSpec | None],
        record_event: EventRecorder,
        fetch_gb_per_s: float = 2.0,
    ) -> None:
        """Start without machines.

        Args:
            name: The name of the cluster.
            lease_s: The lease of a machine, in seconds.
            gang_wait_s: How long a task waits for the other tasks of its gang, in seconds.
            gang_peer_s: How long a gang's running tasks continue without one of them, in seconds.
            find_job_spec: Returns the specification of a job, by its id, as it was uploaded, or None if there is none.
            record_event: Called for each event.
            fetch_gb_per_s: The speed of image fetches, in gigabytes per second.
        """
        self.name = name
        self.lease_s = lease_s
        self.gang_wait_s = gang_wait_s
        self.gang_peer_s = gang_peer_s
        self.find_job_spec = find_job_spec
        self.record_event = record_event
        self.fetch_gb_per_s = fetch_gb_per_s
        self.workers: dict[str, TaskRunner] = {}
        self.saved_work_s: dict[str, float] = {}
        self.completed_tasks: set[str] = set()

    def add_worker(self, worker: TaskRunner, now: float) -> None:
        """Add a machine that has come up."""
        worker.lease_renewed_at = now
        self.workers[worker.name] = worker

    def remove_worker(self, name: str, now: float) -> None:
        """Remove a machine with its tasks."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self._remove_all_tasks(worker, now, "machine gone")

    def step(self, now: float) -> None:
        """Advance every task to the given time, in seconds of the cluster's clock."""
        for worker in self.workers.values():
            # Between two steps a task may have been stopped and forgotten, or replaced by another attempt.
            forgotten = [task for task in worker.local_tasks if task not in worker.tasks]
            removed = [worker.local_tasks.pop(task) for task in forgotten]
            for local in removed + worker.superseded_tasks:
                self._release_machine(worker, local, now, ExitReason.STOPPED.value)
            worker.superseded_tasks.clear()
        gangs: dict[tuple[str, int], list[GangMember]] = {}
        for worker in list(self.workers.values()):
            if now < worker.hung_until:
                continue
            if now - worker.lease_renewed_at > self.lease_s:
                self._remove_all_tasks(worker, now, "lease")
                worker.expire_lease()
                worker.lease_renewed_at, worker.heartbeat_due = now, True
            for task, status in list(worker.tasks.items()):
                found = self._local_task(worker, task, status, now)
                if found is None:
                    continue
                self._step_task(worker, status, found, now)
                if found.spec.kind is Kind.GANG:
                    gangs.setdefault((found.spec.id, status.attempt), []).append((worker, status, found))
        for members in gangs.values():
            self._step_gang(members, now)

    def _local_task(self, worker: TaskRunner, task: str, status: TaskStatus, now: float) -> LocalTask | None:
        """Return the local state of a task, created for a new one; None if the task has exited or has no job."""
        local = worker.local_tasks.get(task)
        if local is None and status.state is TaskPhase.FETCHING:
            job_id, index = split_task(task)
            spec = self.find_job_spec(job_id)
            if spec is None:
                status.state, status.why, worker.heartbeat_due = TaskPhase.EXITED, ExitReason.UNKNOWN, True
                return None
            fetch_s = 0.0 if spec.image in worker.cached_images else spec.image_gb / self.fetch_gb_per_s
            local = worker.local_tasks[task] = LocalTask(spec, index, status.attempt, now, now + fetch_s)
        return local

    def _report_event(self, what: str, worker: TaskRunner, local: LocalTask, now: float, why: str = "") -> None:
        spec = local.spec
        self.record_event(
            TaskEvent(
                now, self.name, what, spec.klass, spec.id, local.index, local.attempt, worker.name, why, spec.tasks
            )
        )

    def _release_machine(self, worker: TaskRunner, local: LocalTask, now: float, why: str) -> None:
        if local.occupies_machine:
            local.occupies_machine = False
            self._report_event("off", worker, local, now, why)

    def _exit_task(
        self, worker: TaskRunner, status: TaskStatus, local: LocalTask, now: float, reason: ExitReason
    ) -> None:
        status.state, status.why, worker.heartbeat_due = TaskPhase.EXITED, reason, True
        if reason is ExitReason.DONE:
            self.completed_tasks.add(status.task)
        self._release_machine(worker, local, now, reason.value)

    def _remove_all_tasks(self, worker: TaskRunner, now: float, why: str) -> None:
        for local in (*worker.local_tasks.values(), *worker.superseded_tasks):
            self._release_machine(worker, local, now, why)
        worker.local_tasks.clear()
        worker.superseded_tasks.clear()

    def _remaining_work_s(self, local: LocalTask) -> float:
        return max(MIN_WORK_S, local.spec.estimate_s - self.saved_work_s.get(local.spec.id, 0.0))

    def _step_task(self, worker: TaskRunner, status: TaskStatus, local: LocalTask, now: float) -> None:
        if status.state is TaskPhase.FETCHING and now >= local.image_fetched_at:
            worker.cached_images.add(local.spec.image)
            local.occupies_machine, worker.heartbeat_due = True, True
            self._report_event("on", worker, local, now)
            if status.task in self.completed_tasks:
                self._exit_task(worker, status, local, now, ExitReason.DONE)
            elif local.spec.kind is Kind.GANG:
                status.state, local.waiting_since = TaskPhase.WAITING, now
            else:
                status.state = TaskPhase.RUNNING
                local.running_since, local.remaining_s = now, self._remaining_work_s(local)
        elif (
            status.state is TaskPhase.RUNNING
            and local.spec.kind is Kind.ARRAY
            and now - local.running_since >= local.remaining_s
        ):
            self._exit_task(worker, status, local, now, ExitReason.DONE)
        elif status.state is TaskPhase.SAVING and local.interrupted_at is None:
            local.interrupted_at, local.save_ends_at = now, now + local.spec.save_s
        elif status.state is TaskPhase.SAVING and now >= local.save_ends_at:
            if local.spec.kind is not Kind.GANG:
                self._save_work(local)
            status.saved = True
            self._exit_task(worker, status, local, now, ExitReason.STOPPED)
        elif status.state is TaskPhase.EXITED:
            self._release_machine(worker, local, now, str(status.why))

    def _save_work(self, local: LocalTask) -> None:
        """Save the job's work up to the last checkpoint before the interruption."""
        previous_s = self.saved_work_s.get(local.spec.id, 0.0)
        worked_s = previous_s + (local.interrupted_at or local.running_since) - local.running_since
        self.saved_work_s[local.spec.id] = worked_s - worked_s % local.spec.checkpoint_s

    def _step_gang(self, members: list[GangMember], now: float) -> None:
        """Start a gang once all tasks wait, end it once all have run, and end tasks that lack others for too long."""
        spec = members[0][2].spec
        present = [member for member in members if member[1].state is not TaskPhase.EXITED]
        waiting = [member for member in present if member[1].state is TaskPhase.WAITING]
        running = [member for member in present if member[1].state is TaskPhase.RUNNING]
        saving = [member for member in present if member[1].state is TaskPhase.SAVING]
        if len(waiting) == spec.tasks:
            for worker, status, local in waiting:
                status.state, worker.heartbeat_due = TaskPhase.RUNNING, True
                local.running_since, local.remaining_s = now, self._remaining_work_s(local)
        elif len(running) == spec.tasks and now - running[0][2].running_since >= running[0][2].remaining_s:
            for worker, status, local in running:
                self._exit_task(worker, status, local, now, ExitReason.DONE)
        elif not members[0][2].gang_work_saved and len(saving) == spec.tasks:
            members[0][2].gang_work_saved = True
            self._save_work(members[0][2])
        elif running and len(running) < spec.tasks:
            for worker, status, local in running:
                if local.interrupted_at is None:
                    local.interrupted_at = now
                elif now - local.interrupted_at >= self.gang_peer_s:
                    self._exit_task(worker, status, local, now, ExitReason.PEERS)
        else:
            for worker, status, local in waiting:
                if now - local.waiting_since >= self.gang_wait_s:
                    self._exit_task(worker, status, local, now, ExitReason.ALONE)
