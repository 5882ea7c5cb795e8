"""Structures that the processes of a scale run exchange: configurations of child processes, and their records.

All times are seconds of the monotonic clock, which all processes of a host share.
"""

from __future__ import annotations

import msgspec


class HollowPlan(msgspec.Struct):
    """The configuration of a process of hollow workers.

    Attributes:
        machines: Name, loopback host and zone of each machine.
        type: The name of the machine type of all machines.
        cpus: The number of CPUs of each machine.
        controllers: The address of each controller, by its name.
        meeting: The address of the gang rendezvous.
        report_s: The interval between heartbeats, in seconds.
        lease_s: The time to live of a worker's lease, in seconds.
        gang_wait_s: How long a task waits for the other members of its gang, in seconds.
        gang_peer_s: How long the other members of a gang continue to run after one has ended early, in seconds.
        seed: The seed of delays and run times.
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
    """The configuration of the process of users: the load that they offer.

    Attributes:
        controllers: The address of each controller, by its name.
        meeting: The address of the gang rendezvous, which stores the descriptions of jobs.
        teams: The limit of each team, in CPUs.
        rate: The mean number of tasks per second that ordinary jobs start.
        urgent_rate: The mean number of urgent jobs per second.
        task_s: The shortest and the longest run time of a task, in seconds.
        most_tasks: The largest number of tasks of a job.
        seed: The seed of jobs and times.
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
    """An event of a task on a machine.

    Attributes:
        at: When the event happened, in seconds.
        what: "on" (the task has its image and occupies the machine), "run" (the task runs) or "off" (the task ended).
        job: The id of the job.
        index: The index of the task in the job.
        attempt: The number of the attempt, from 1.
        machine: The name of the machine.
        why: The reason of an "off" event, empty for others.
    """

    at: float
    what: str
    job: str
    index: int
    attempt: int
    machine: str
    why: str = ""


class UnservedRequest(msgspec.Struct, array_like=True):
    """A new connection whose first request got no response.

    Attributes:
        at: When the request failed, in seconds.
        controller: The name of the controller.
        kind: The kind of failure, as in `NoResponseError`.
    """

    at: float
    controller: str
    kind: str


class HollowRecords(msgspec.Struct):
    """The records of a process of hollow workers.

    Attributes:
        rows: The events of tasks.
        unserved: New connections whose first request got no response.
        sent_at: When each answered heartbeat was sent, in seconds.
        waits: The time from each answered heartbeat to its response, in seconds, in the order of `sent_at`.
    """

    rows: list[TaskRow]
    unserved: list[UnservedRequest]
    sent_at: list[float]
    waits: list[float]


class JobRow(msgspec.Struct):
    """A job, and the responses that its user received.

    Attributes:
        id: The id of the job.
        team: The team that submits the job.
        tasks: The number of tasks of the job.
        cpus: The number of CPUs of each task.
        gang: Whether all tasks have to run at the same time.
        urgent: Whether the waiting time of the job counts in the figures of urgent jobs.
        asked_at: When the job was first submitted, in seconds.
        accepted_at: When a submission was accepted, in seconds; None if none was.
        done_at: When a poll first showed the job as done, in seconds; None if none did.
        last: The status of the response to the last request, "0" without a response.
        wrong: A description of a response that contradicts an earlier one; empty if there was none.
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
    """The records of the process of users.

    Attributes:
        jobs: All jobs that were submitted.
        unserved: New connections whose first request got no response.
    """

    jobs: list[JobRow]
    unserved: list[UnservedRequest]
