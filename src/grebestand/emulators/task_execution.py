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


Tell = Callable[[TaskEvent], None]


@dataclass
class HeldTask:
    """One task on a machine, beside what its worker reports of it."""

    spec: JobSpec
    index: int
    attempt: int
    since: float
    image_at: float
    on: bool = False
    run_at: float = 0.0
    left_s: float = 0.0
    stop_at: float | None = None
    save_until: float = 0.0
    grace_s: float = 0.0
    #: the whole gang was told in time to save
    kept: bool = False


@dataclass
class TaskRunner(WorkerEmulator):
    """A worker whose tasks are played: what is stopped may save first."""

    held: dict[str, HeldTask] = field(default_factory=dict)
    #: tasks that another attempt has followed before the yard saw their end
    followed: list[HeldTask] = field(default_factory=list)
    images: set[str] = field(default_factory=set)
    #: when the last answered report was sent, by the yard's clock
    answered_at: float = 0.0
    #: neither runs nor reports until then
    hangs_until: float = 0.0
    changed: bool = True

    def begin(self, task: str, attempt: int) -> None:
        """Start fetching a task's image; what an earlier attempt left behind is kept until its end was seen."""
        self.tasks[task] = TaskStatus(task, attempt, T.FETCHING)
        old = self.held.pop(task, None)
        if old is not None:
            self.followed.append(old)
        self.changed = True

    def end(self, held: TaskStatus, grace_s: float) -> None:
        """Stop a task: it saves first if it runs, can save, and was given the time for it."""
        more = self.held.get(held.task)
        if held.state is T.EXITED:
            return
        if more is None or held.state in (T.FETCHING, T.WAITING):
            held.state, held.why = T.EXITED, ExitReason.STOPPED
        elif held.state is T.RUNNING and more.spec.checkpoint_s > 0 and grace_s >= more.spec.save_s:
            held.state, more.grace_s = T.SAVING, grace_s
        elif held.state is T.RUNNING or grace_s < more.grace_s:
            held.state, held.why = T.EXITED, ExitReason.STOPPED
        self.changed = True


class TaskExecution:
    """The machines of one cluster. `describe` finds a job's description as its users uploaded it."""

    def __init__(
        self,
        name: str,
        lease_s: float,
        gang_wait_s: float,
        gang_peer_s: float,
        describe: Callable[[str], JobSpec | None],
        tell: Tell,
        fetch_gb_per_s: float = 2.0,
    ) -> None:
        self.name = name
        self.lease_s = lease_s
        self.gang_wait_s = gang_wait_s
        self.gang_peer_s = gang_peer_s
        self.describe = describe
        self.tell = tell
        self.fetch_gb_per_s = fetch_gb_per_s
        self.players: dict[str, TaskRunner] = {}
        #: of each job: seconds of work that are saved, and tasks whose result is kept
        self.saved_s: dict[str, float] = {}
        self.results: set[str] = set()

    def add(self, player: TaskRunner, now: float) -> None:
        """Take in a machine that is up from now on."""
        player.answered_at = now
        self.players[player.name] = player

    def lose(self, name: str, now: float) -> None:
        """The machine is gone, with everything on it."""
        player = self.players.pop(name, None)
        if player is not None:
            self._clear(player, now, "machine gone")

    def step(self, now: float) -> None:
        """Advance every task to the given time, in seconds of the site's clock."""
        for player in self.players.values():
            # stopped and forgotten, or followed by another attempt, between two steps
            gone = [player.held.pop(t) for t in [t for t in player.held if t not in player.tasks]]
            for past in gone + player.followed:
                self._off(player, past, now, ExitReason.STOPPED.value)
            player.followed.clear()
        gangs: dict[tuple[str, int], list[tuple[TaskRunner, TaskStatus, HeldTask]]] = {}
        for player in list(self.players.values()):
            if now < player.hangs_until:
                continue
            if now - player.answered_at > self.lease_s:
                self._clear(player, now, "lease")
                player.lapse()
                player.answered_at, player.changed = now, True
            for task, status in list(player.tasks.items()):
                held = self._held(player, task, status, now)
                if held is None:
                    continue
                self._step_task(player, status, held, now)
                if held.spec.kind is Kind.GANG:
                    gangs.setdefault((held.spec.id, status.attempt), []).append((player, status, held))
        for members in gangs.values():
            self._step_gang(members, now)

    def _held(self, player: TaskRunner, task: str, status: TaskStatus, now: float) -> HeldTask | None:
        found = player.held.get(task)
        if found is None and status.state is T.FETCHING:
            job, index = split_task(task)
            spec = self.describe(job)
            if spec is None:
                status.state, status.why, player.changed = T.EXITED, ExitReason.UNKNOWN, True
                return None
            fetch = 0.0 if spec.image in player.images else spec.image_gb / self.fetch_gb_per_s
            found = player.held[task] = HeldTask(spec, index, status.attempt, now, now + fetch)
        return found

    def _say(self, what: str, player: TaskRunner, held: HeldTask, now: float, why: str = "") -> None:
        spec = held.spec
        self.tell(
            TaskEvent(now, self.name, what, spec.klass, spec.id, held.index, held.attempt, player.name, why, spec.tasks)
        )

    def _off(self, player: TaskRunner, held: HeldTask, now: float, why: str) -> None:
        if held.on:
            held.on = False
            self._say("off", player, held, now, why)

    def _exit(self, player: TaskRunner, status: TaskStatus, held: HeldTask, now: float, why: ExitReason) -> None:
        status.state, status.why, player.changed = T.EXITED, why, True
        if why is ExitReason.DONE:
            self.results.add(status.task)
        self._off(player, held, now, why.value)

    def _clear(self, player: TaskRunner, now: float, why: str) -> None:
        for held in (*player.held.values(), *player.followed):
            self._off(player, held, now, why)
        player.held.clear()
        player.followed.clear()

    def _run_s(self, held: HeldTask) -> float:
        return max(0.05, held.spec.estimate_s - self.saved_s.get(held.spec.id, 0.0))

    def _step_task(self, player: TaskRunner, status: TaskStatus, held: HeldTask, now: float) -> None:
        if status.state is T.FETCHING and now >= held.image_at:
            player.images.add(held.spec.image)
            held.on, player.changed = True, True
            self._say("on", player, held, now)
            if status.task in self.results:
                self._exit(player, status, held, now, ExitReason.DONE)
            elif held.spec.kind is Kind.GANG:
                status.state, held.since = T.WAITING, now
            else:
                status.state, held.run_at, held.left_s = T.RUNNING, now, self._run_s(held)
        elif status.state is T.RUNNING and held.spec.kind is Kind.ARRAY and now - held.run_at >= held.left_s:
            self._exit(player, status, held, now, ExitReason.DONE)
        elif status.state is T.SAVING and held.stop_at is None:
            held.stop_at, held.save_until = now, now + held.spec.save_s
        elif status.state is T.SAVING and now >= held.save_until:
            if held.spec.kind is not Kind.GANG:
                self._save(held)
            status.saved = True
            self._exit(player, status, held, now, ExitReason.STOPPED)
        elif status.state is T.EXITED:
            self._off(player, held, now, str(status.why))

    def _save(self, held: HeldTask) -> None:
        worked = self.saved_s.get(held.spec.id, 0.0) + (held.stop_at or held.run_at) - held.run_at
        self.saved_s[held.spec.id] = worked - worked % held.spec.checkpoint_s

    def _step_gang(self, members: list[tuple[TaskRunner, TaskStatus, HeldTask]], now: float) -> None:
        spec = members[0][2].spec
        there = [(p, s, h) for p, s, h in members if s.state is not T.EXITED]
        waiting = [(p, s, h) for p, s, h in there if s.state is T.WAITING]
        running = [(p, s, h) for p, s, h in there if s.state is T.RUNNING]
        if len(waiting) == spec.tasks:
            for player, status, held in waiting:
                status.state, held.run_at, held.left_s, player.changed = T.RUNNING, now, self._run_s(held), True
        elif len(running) == spec.tasks and now - running[0][2].run_at >= running[0][2].left_s:
            for player, status, held in running:
                self._exit(player, status, held, now, ExitReason.DONE)
        elif not members[0][2].kept and sum(s.state is T.SAVING for _, s, _ in there) == spec.tasks:
            members[0][2].kept = True
            self._save(members[0][2])
        elif running and len(running) < spec.tasks:
            for player, status, held in running:
                if held.stop_at is None:
                    held.stop_at = now  # the first moment at which somebody is missing
                elif now - held.stop_at >= self.gang_peer_s:
                    self._exit(player, status, held, now, ExitReason.PEERS)
        else:
            for player, status, held in waiting:
                if now - held.since >= self.gang_wait_s:
                    self._exit(player, status, held, now, ExitReason.ALONE)
