"""What the processes of a scale run give each other as files: their plans, and what they have recorded.

All times are seconds of the steady clock that the processes of a computer share.
"""

from __future__ import annotations

import msgspec


class HollowPlan(msgspec.Struct):
    """The workers that a process plays, and what surrounds them.

    Attributes:
        machines: name, loopback host and zone of each machine.
        type: the name of their machine type.
        cpus: CPUs of each machine.
        controllers: names and addresses of the controllers.
        meeting: the address of the gang rendezvous.
        report_s: the interval between heartbeats, in seconds.
        lease_s: the time to live of a worker's lease, in seconds.
        gang_wait_s: how long a task waits for the rest of its gang, in seconds.
        gang_peer_s: how long a gang runs on without one of its tasks, in seconds.
        seed: what delays and run times are drawn from.
    """

    machines: list[tuple[str, str, str]]
    type: str
    cpus: float
    controllers: dict[str, str]
    meeting: str
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    seed: int


class LoadPlan(msgspec.Struct):
    """What users ask for.

    Attributes:
        controllers: names and addresses of the controllers.
        meeting: the address of the gang rendezvous, which keeps the descriptions of jobs.
        teams: each team's limit, in CPUs.
        rate: starts of tasks a second in the mean, by ordinary jobs.
        urgent_rate: urgent jobs a second in the mean.
        task_s: the shortest and the longest run time of a task, in seconds.
        most_tasks: no job has more tasks.
        seed: what jobs and times are drawn from.
    """

    controllers: dict[str, str]
    meeting: str
    teams: dict[str, float]
    rate: float
    urgent_rate: float
    task_s: tuple[float, float]
    most_tasks: int
    seed: int


class TaskRow(msgspec.Struct, array_like=True):
    """What happened to a task on a machine: "on" (it has its image), "run" or "off", the latter with a reason."""

    at: float
    what: str
    job: str
    index: int
    attempt: int
    machine: str
    why: str = ""


class UnservedRequest(msgspec.Struct, array_like=True):
    """A new connection over which no answer came to the first request."""

    at: float
    controller: str
    kind: str


class HollowRecords(msgspec.Struct):
    """All that a process of hollow workers has recorded.

    Attributes:
        rows: what happened to tasks.
        unserved: new connections without an answer.
        sent_at: when each answered heartbeat was sent.
        waits: for how long its worker waited for the answer, in seconds.
    """

    rows: list[TaskRow]
    unserved: list[UnservedRequest]
    sent_at: list[float]
    waits: list[float]


class JobRow(msgspec.Struct):
    """A job as its user saw it.

    Attributes:
        id: the job's id.
        team: the team that submits it.
        tasks: the number of its tasks.
        cpus: CPUs of each task.
        gang: whether its tasks run together or not at all.
        urgent: whether it counts for the objective of urgent jobs.
        asked_at: when it was submitted first.
        accepted_at: when a submission was accepted.
        done_at: when a poll showed it as done.
        last: the status of the answer to the last request, "0" for none.
        wrong: in words, an answer that contradicts an earlier one.
    """

    id: str
    team: str
    tasks: int
    cpus: float
    gang: bool
    urgent: bool
    asked_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    last: str = ""
    wrong: str = ""


class UserRecords(msgspec.Struct):
    """All that users have recorded."""

    jobs: list[JobRow]
    unserved: list[UnservedRequest]
