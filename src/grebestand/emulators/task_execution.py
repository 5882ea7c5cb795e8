"""What tasks do on a cluster's machines, by the protocol's rules: images, gangs, saving, leases. No clock of its own.

A simulation: nothing is computed. A task takes up its machine from when it has its image until it exits.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..wire.jobs import JobSpec, Kind, split_task
from ..wire.workers import ExitReason, TaskPhase, TaskStatus
from .worker import WorkerEmulator

T = TaskPhase


@dataclass(frozen=True)
class TaskEvent:
    """One line of a history: what a task or a user saw, and when."""

    at: float
    cluster: str
    #: "on" (has its image), "off" (with why), or what a user was told: "asked", "accepted", "done", "cancelled"
    what: str
    #: the job's class, which names the same work in every cluster
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
    """One task on a machine, beside what its worker reports of it."""

    spec: JobSpec
    index: int
    attempt: int
    state_since: float
    image_fetched_at: float
    occupies_machine: bool = False
    running_since: float = 0.0
    remaining_s: float = 0.0
    stopped_work_at: float | None = None
    save_ends_at: float = 0.0
    grace_s: float = 0.0
    #: the whole gang was told in time to save
    gang_work_saved: bool = False


@dataclass
class TaskRunner(WorkerEmulator):
    """A worker whose tasks are played: what is stopped may save first."""

    local_tasks: dict[str, LocalTask] = field(default_factory=dict)
    #: tasks that another attempt has followed before the yard saw their end
    superseded_tasks: list[LocalTask] = field(default_factory=list)
    cached_images: set[str] = field(default_factory=set)
    #: when the last answered report was sent, by the yard's clock
    lease_renewed_at: float = 0.0
    #: neither runs nor reports until then
    hung_until: float = 0.0
    heartbeat_due: bool = True

    def start_task(self, task: str, attempt: int) -> None:
        """Start fetching a task's image; what an earlier attempt left behind is kept until its end was seen."""
        self.tasks[task] = TaskStatus(task, attempt, T.FETCHING)
        old = self.local_tasks.pop(task, None)
        if old is not None:
            self.superseded_tasks.append(old)
        self.heartbeat_due = True

    def stop_task(self, held: TaskStatus, grace_s: float) -> None:
        """Stop a task: it saves first if it runs, can save, and was given the time for it."""
        more = self.local_tasks.get(held.task)
        if held.state is T.EXITED:
            return
        if more is None or held.state in (T.FETCHING, T.WAITING):
            held.state, held.why = T.EXITED, ExitReason.STOPPED
        elif held.state is T.RUNNING and more.spec.checkpoint_s > 0 and grace_s >= more.spec.save_s:
            held.state, more.grace_s = T.SAVING, grace_s
        elif held.state is T.RUNNING or grace_s < more.grace_s:
            held.state, held.why = T.EXITED, ExitReason.STOPPED
        self.heartbeat_due = True


class TaskExecution:
    """The machines of one cluster. `describe` finds a job's description as its users uploaded it."""

    def __init__(
        self,
        name: str,
        lease_s: float,
        gang_wait_s: float,
        gang_peer_s: float,
        describe: Callable[[str], JobSpec | None],
        tell: EventRecorder,
        fetch_gb_per_s: float = 2.0,
    ) -> None:
        self.name = name
        self.lease_s = lease_s
        self.gang_wait_s = gang_wait_s
        self.gang_peer_s = gang_peer_s
        self.find_job_spec = describe
        self.record_event = tell
        self.fetch_gb_per_s = fetch_gb_per_s
        self.workers: dict[str, TaskRunner] = {}
        #: of each job: seconds of work that are saved, and tasks whose result is kept
        self.saved_work_s: dict[str, float] = {}
        self.completed_tasks: set[str] = set()

    def add_worker(self, player: TaskRunner, now: float) -> None:
        """Take in a machine that is up from now on."""
        player.lease_renewed_at = now
        self.workers[player.name] = player

    def remove_worker(self, name: str, now: float) -> None:
        """The machine is gone, with everything on it."""
        player = self.workers.pop(name, None)
        if player is not None:
            self._remove_all_tasks(player, now, "machine gone")

    def step(self, now: float) -> None:
        """Advance every task to the given time, in seconds of the site's clock."""
        for player in self.workers.values():
            # stopped and forgotten, or followed by another attempt, between two steps
            gone = [player.local_tasks.pop(t) for t in [t for t in player.local_tasks if t not in player.tasks]]
            for past in gone + player.superseded_tasks:
                self._release_machine(player, past, now, ExitReason.STOPPED.value)
            player.superseded_tasks.clear()
        gangs: dict[tuple[str, int], list[tuple[TaskRunner, TaskStatus, LocalTask]]] = {}
        for player in list(self.workers.values()):
            if now < player.hung_until:
                continue
            if now - player.lease_renewed_at > self.lease_s:
                self._remove_all_tasks(player, now, "lease")
                player.expire_lease()
                player.lease_renewed_at, player.heartbeat_due = now, True
            for task, status in list(player.tasks.items()):
                held = self._local_task(player, task, status, now)
                if held is None:
                    continue
                self._step_task(player, status, held, now)
                if held.spec.kind is Kind.GANG:
                    gangs.setdefault((held.spec.id, status.attempt), []).append((player, status, held))
        for members in gangs.values():
            self._step_gang(members, now)

    def _local_task(self, player: TaskRunner, task: str, status: TaskStatus, now: float) -> LocalTask | None:
        found = player.local_tasks.get(task)
        if found is None and status.state is T.FETCHING:
            job, index = split_task(task)
            spec = self.find_job_spec(job)
            if spec is None:
                status.state, status.why, player.heartbeat_due = T.EXITED, ExitReason.UNKNOWN, True
                return None
            fetch = 0.0 if spec.image in player.cached_images else spec.image_gb / self.fetch_gb_per_s
            found = player.local_tasks[task] = LocalTask(spec, index, status.attempt, now, now + fetch)
        return found

    def _record_event(self, what: str, player: TaskRunner, held: LocalTask, now: float, why: str = "") -> None:
        spec = held.spec
        self.record_event(
            TaskEvent(now, self.name, what, spec.klass, spec.id, held.index, held.attempt, player.name, why, spec.tasks)
        )

    def _release_machine(self, player: TaskRunner, held: LocalTask, now: float, why: str) -> None:
        if held.occupies_machine:
            held.occupies_machine = False
            self._record_event("off", player, held, now, why)

    def _exit_task(self, player: TaskRunner, status: TaskStatus, held: LocalTask, now: float, why: ExitReason) -> None:
        status.state, status.why, player.heartbeat_due = T.EXITED, why, True
        if why is ExitReason.DONE:
            self.completed_tasks.add(status.task)
        self._release_machine(player, held, now, why.value)

    def _remove_all_tasks(self, player: TaskRunner, now: float, why: str) -> None:
        for held in (*player.local_tasks.values(), *player.superseded_tasks):
            self._release_machine(player, held, now, why)
        player.local_tasks.clear()
        player.superseded_tasks.clear()

    def _remaining_work_s(self, held: LocalTask) -> float:
        return max(0.05, held.spec.estimate_s - self.saved_work_s.get(held.spec.id, 0.0))

    def _step_task(self, player: TaskRunner, status: TaskStatus, held: LocalTask, now: float) -> None:
        if status.state is T.FETCHING and now >= held.image_fetched_at:
            player.cached_images.add(held.spec.image)
            held.occupies_machine, player.heartbeat_due = True, True
            self._record_event("on", player, held, now)
            if status.task in self.completed_tasks:
                self._exit_task(player, status, held, now, ExitReason.DONE)
            elif held.spec.kind is Kind.GANG:
                status.state, held.state_since = T.WAITING, now
            else:
                status.state, held.running_since, held.remaining_s = T.RUNNING, now, self._remaining_work_s(held)
        elif (
            status.state is T.RUNNING and held.spec.kind is Kind.ARRAY and now - held.running_since >= held.remaining_s
        ):
            self._exit_task(player, status, held, now, ExitReason.DONE)
        elif status.state is T.SAVING and held.stopped_work_at is None:
            held.stopped_work_at, held.save_ends_at = now, now + held.spec.save_s
        elif status.state is T.SAVING and now >= held.save_ends_at:
            if held.spec.kind is not Kind.GANG:
                self._save_work(held)
            status.saved = True
            self._exit_task(player, status, held, now, ExitReason.STOPPED)
        elif status.state is T.EXITED:
            self._release_machine(player, held, now, str(status.why))

    def _save_work(self, held: LocalTask) -> None:
        worked = (
            self.saved_work_s.get(held.spec.id, 0.0) + (held.stopped_work_at or held.running_since) - held.running_since
        )
        self.saved_work_s[held.spec.id] = worked - worked % held.spec.checkpoint_s

    def _step_gang(self, members: list[tuple[TaskRunner, TaskStatus, LocalTask]], now: float) -> None:
        spec = members[0][2].spec
        there = [(p, s, h) for p, s, h in members if s.state is not T.EXITED]
        waiting = [(p, s, h) for p, s, h in there if s.state is T.WAITING]
        running = [(p, s, h) for p, s, h in there if s.state is T.RUNNING]
        if len(waiting) == spec.tasks:
            for player, status, held in waiting:
                status.state, held.running_since, held.remaining_s, player.heartbeat_due = (
                    T.RUNNING,
                    now,
                    self._remaining_work_s(held),
                    True,
                )
        elif len(running) == spec.tasks and now - running[0][2].running_since >= running[0][2].remaining_s:
            for player, status, held in running:
                self._exit_task(player, status, held, now, ExitReason.DONE)
        elif not members[0][2].gang_work_saved and sum(s.state is T.SAVING for _, s, _ in there) == spec.tasks:
            members[0][2].gang_work_saved = True
            self._save_work(members[0][2])
        elif running and len(running) < spec.tasks:
            for player, status, held in running:
                if held.stopped_work_at is None:
                    held.stopped_work_at = now  # the first moment at which somebody is missing
                elif now - held.stopped_work_at >= self.gang_peer_s:
                    self._exit_task(player, status, held, now, ExitReason.PEERS)
        else:
            for player, status, held in waiting:
                if now - held.state_since >= self.gang_wait_s:
                    self._exit_task(player, status, held, now, ExitReason.ALONE)
