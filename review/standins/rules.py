"""The rules of the protocol page, checked from what users and workers see; and the record of a run."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

#: Tolerance of sums of amounts.
TOLERANCE = 1e-6


@dataclass
class Told:
    """One answer that a user got about a job: when it was asked and told, by whom, and what."""

    asked_at: float
    told_at: float
    node: str
    status: int
    state: str


@dataclass
class JobHistory:
    """What was seen of one job.

    Attributes:
        spec: The submission.
        run_s: How long a task runs.
        submitted_at: When it was first submitted.
        accepted_at: When its user was first told that it is accepted.
        cancel_asked_at: When its user first asked to cancel it.
        cancelled_at: When its user was first told that it is cancelled.
        done_at: When its user was first told that it is done.
        answers: All answers about it.
        completed: Indices of the tasks that some worker has completed.
        places: By index of a task, since when it is on each machine.
    """

    spec: dict[str, Any]
    run_s: float
    submitted_at: float | None = None
    accepted_at: float | None = None
    cancel_asked_at: float | None = None
    cancelled_at: float | None = None
    done_at: float | None = None
    answers: list[Told] = field(default_factory=list)
    completed: set[int] = field(default_factory=set)
    places: dict[int, dict[str, float]] = field(default_factory=dict)
    starts: int = 0


class Rules:
    """Checks the rules while a run goes on, and writes down what happens.

    Attributes:
        broken: One line for each time that a rule was broken, beginning with the rule's name.
    """

    def __init__(self, teams: dict[str, tuple[float, float]], cancel_s: float, record_path: str | None) -> None:
        self.teams = teams
        self.cancel_s = cancel_s
        self.began_at = time.monotonic()
        self.broken: list[str] = []
        self.jobs: dict[str, JobHistory] = {}
        self.on_machine: dict[str, dict[str, float]] = {}
        self.zone_of: dict[str, str] = {}
        self._record = open(record_path, "w", encoding="utf-8") if record_path else None  # noqa: SIM115
        self._seen: set[tuple[str, str]] = set()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write a line with the time into the record."""
        if self._record is not None:
            self._record.write(f"{self.now():8.3f} {text}\n")
            self._record.flush()

    def break_rule(self, rule: str, text: str, key: str = "") -> None:
        """Record that a rule was broken, once for each key."""
        if (rule, key or text) in self._seen:
            return
        self._seen.add((rule, key or text))
        self.broken.append(f"{rule}: {self.now():.3f} {text}")
        self.write(f"BROKEN {rule}: {text}")

    # workers

    def task_on(self, task: str, machine: str, zone: str, hull: str, *, spot: bool) -> None:
        """A task has its image on a machine."""
        job_id, _, index = task.rpartition("/")
        job = self.jobs[job_id]
        job.starts += 1
        places = job.places.setdefault(int(index), self.on_machine.setdefault(task, {}))
        self.write(f"task {task} on {machine} ({zone})")
        if any(other != machine for other in places):
            self.break_rule("ran_twice", f"{task} starts on {machine} while it is on {sorted(places)}")
        places[machine] = self.now()
        self.zone_of[machine] = zone
        if job.cancelled_at is not None and self.now() > job.cancelled_at + self.cancel_s:
            self.break_rule("ran_cancelled", f"{task} starts on {machine}, cancelled at {job.cancelled_at:.3f}")
        self._check_place(job, int(index), machine, zone, hull, spot)
        self._check_quota(job.spec["crew"])

    def task_off(self, task: str, machine: str, why: str) -> None:
        """A task is no longer on a machine."""
        self.write(f"task {task} off {machine}: {why}")
        self.on_machine.get(task, {}).pop(machine, None)
        if why == "done":
            job_id, _, index = task.rpartition("/")
            self.jobs[job_id].completed.add(int(index))

    def _check_place(self, job: JobHistory, index: int, machine: str, zone: str, hull: str, spot: bool) -> None:
        spec = job.spec
        name = f"{spec['ref']}/{index}"
        zones = [self.zone_of[m] for i, places in job.places.items() if i != index for m in places]
        wrong = (
            (spec.get("hulls") and hull not in spec["hulls"])
            or (spec.get("quay") and zone != spec["quay"])
            or (spot and not spec["driftwood"])
            or (spec["samePlace"] and any(other != zone for other in zones))
            or (spec["scatter"] and zones.count(zone) + 1 > -(-spec["shards"] // 2))
        )
        if wrong:
            self.break_rule("wrong_place", f"{name} starts on {machine} in {zone}; its other tasks are in {zones}")

    def _check_quota(self, team: str) -> None:
        cpus = cards = 0.0
        for task, places in self.on_machine.items():
            spec = self.jobs[task.rpartition("/")[0]].spec
            if spec["crew"] == team:
                cpus += spec["cpus"] * len(places)
                cards += spec["cards"] * len(places)
        limit_cpus, limit_cards = self.teams[team]
        if (limit_cpus and cpus > limit_cpus + TOLERANCE) or cards > limit_cards + TOLERANCE:
            self.break_rule("quota", f"{team} uses {cpus:g} CPUs and {cards:g} cards", key=team)

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine for too long; to be called often."""
        for task, places in self.on_machine.items():
            job = self.jobs[task.rpartition("/")[0]]
            if places and job.cancelled_at is not None and self.now() > job.cancelled_at + self.cancel_s:
                text = f"{task} is on {sorted(places)}, cancelled at {job.cancelled_at:.3f}"
                self.break_rule("ran_cancelled", text, key=task)

    # users

    def told(self, job_id: str, what: str, asked_at: float, node: str, status: int, state: str) -> None:
        """A user got an answer in time.

        Args:
            job_id: The job.
            what: `submit`, `poll` or `abort`.
            asked_at: When the request was sent, in seconds since the run began.
            node: The controller that answered.
            status: The HTTP status.
            state: The `tide` of the answer, or empty.
        """
        now = self.now()
        self.write(f"{what} {job_id} asked {asked_at:.3f} of {node}: {status} {state}")
        job = self.jobs[job_id]
        answer = Told(asked_at, now, node, status, state)
        known_before = job.accepted_at is not None and job.accepted_at < asked_at
        if known_before and what == "poll" and status == 404:
            self.break_rule("forgotten", f"{job_id} was accepted at {job.accepted_at:.3f}; {node} answers 404")
        if known_before and what == "submit" and status in (400, 422):
            self.break_rule("forgotten", f"{job_id} was accepted at {job.accepted_at:.3f}; {node} answers {status}")
        if job.submitted_at is None and status == 200:
            self.break_rule("invented", f"{job_id} was never submitted; {node} answers 200 {state}")
        if status in (200, 201):
            self._check_state(job_id, job, answer)
            job.answers.append(answer)
            if job.accepted_at is None:
                job.accepted_at = now
            if state == "cancelled" and job.cancelled_at is None:
                job.cancelled_at = now
            if state == "done" and job.done_at is None:
                job.done_at = now

    def _check_state(self, job_id: str, job: JobHistory, answer: Told) -> None:
        if answer.state == "done" and len(job.completed) < job.spec["shards"]:
            missing = sorted(set(range(job.spec["shards"])) - job.completed)[:5]
            self.break_rule("not_done", f"{job_id}: {answer.node} says done, and tasks {missing} are not done")
        if answer.state == "cancelled" and job.cancel_asked_at is None:
            self.break_rule("went_back", f"{job_id}: {answer.node} says cancelled, and its user did not cancel it")
        for earlier in job.answers:
            if earlier.state in ("done", "cancelled") and earlier.state != answer.state:
                # an answer that was asked for before the earlier one was told may have been true when it was given
                if earlier.told_at < answer.asked_at or answer.state in ("done", "cancelled"):
                    self.break_rule(
                        "went_back",
                        f"{job_id}: {earlier.node} said {earlier.state} at {earlier.told_at:.3f}, {answer.node} says "
                        f"{answer.state}, asked at {answer.asked_at:.3f}",
                    )
                return
