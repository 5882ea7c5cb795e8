"""Explicit state machines: named states, the allowed transitions, and the error for any other transition.

Each state machine has one function that changes the state. It calls `check_transition`, so that a transition which the
tables below do not list is an error of the program and is never made.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TypeVar

from .errors import GrebestandError

State = TypeVar("State", bound=Enum)


class IllegalTransitionError(GrebestandError, RuntimeError):
    """The program tried a transition that its own table does not allow.

    Attributes:
        subject: whose state was to be changed.
        old: the present state.
        new: the state that was asked for.
    """

    def __init__(self, subject: str, old: Enum, new: Enum) -> None:
        self.subject = subject
        self.old = old
        self.new = new
        super().__init__(f"{subject}: {old.name} -> {new.name}")


def check_transition(allowed: dict[State, frozenset[State]], old: State, new: State, subject: str) -> None:
    """Check that a transition is allowed.

    Args:
        allowed: the states that may follow each state.
        old: the present state.
        new: the state that is to follow.
        subject: whose state it is, for the error's text.

    Raises:
        IllegalTransitionError: the table does not allow the transition.
    """
    if new not in allowed[old]:
        raise IllegalTransitionError(subject, old, new)


class AllocationState(Enum):
    """One attempt of one task on one machine, as far as the leader knows."""

    QUEUED = auto()  # decided and not sent yet: nobody else knows of it
    SENT = auto()  # sent with a heartbeat response; the next newer heartbeat confirms it
    FETCHING = auto()  # the machine fetches the image
    WAITING = auto()  # the task waits for the others of its gang
    RUNNING = auto()
    SAVING = auto()  # the task was told to stop and saves its checkpoint
    GONE = auto()  # it exited, its lease expired, or it certainly never started


_ON_MACHINE = frozenset(
    {AllocationState.FETCHING, AllocationState.WAITING, AllocationState.RUNNING, AllocationState.SAVING}
)


ALLOCATION_TRANSITIONS: dict[AllocationState, frozenset[AllocationState]] = {
    AllocationState.QUEUED: frozenset({AllocationState.SENT, AllocationState.GONE}) | _ON_MACHINE,
    AllocationState.SENT: frozenset({AllocationState.SENT, AllocationState.GONE}) | _ON_MACHINE,
    AllocationState.FETCHING: _ON_MACHINE | {AllocationState.GONE},
    AllocationState.WAITING: _ON_MACHINE | {AllocationState.GONE},
    AllocationState.RUNNING: _ON_MACHINE | {AllocationState.GONE},
    AllocationState.SAVING: _ON_MACHINE | {AllocationState.GONE},
    AllocationState.GONE: frozenset(),
}


class JobState(Enum):
    """A job, from its acceptance until its final record is committed."""

    WAITING = auto()  # no task is allocated
    ACTIVE = auto()  # some task is allocated
    CLOSING = auto()  # all tasks are done; the final record is not committed yet
    DONE = auto()  # the final record is committed
    CANCELLED = auto()  # the final record was committed by whichever controller was asked to cancel


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.WAITING: frozenset({JobState.ACTIVE, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.ACTIVE: frozenset({JobState.WAITING, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.CLOSING: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset(),
    JobState.CANCELLED: frozenset(),
}


class MachineState(Enum):
    """What a leader knows of a machine."""

    NEW = auto()  # sends heartbeats and has no durable record yet: gets no tasks
    UNRECONCILED = auto()  # recorded; may run tasks that this leader does not know of
    READY = auto()
    SUSPECT = auto()  # silent for longer than a heartbeat should take
    LEASE_EXPIRED = auto()  # silent for longer than its lease: whatever it ran is gone
    GONE = auto()  # deleted by the cloud


MACHINE_TRANSITIONS: dict[MachineState, frozenset[MachineState]] = {
    MachineState.NEW: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.UNRECONCILED: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.READY: frozenset({MachineState.SUSPECT, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.SUSPECT: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.LEASE_EXPIRED: frozenset({MachineState.READY, MachineState.NEW, MachineState.GONE}),
    MachineState.GONE: frozenset(),
}


class Reception(Enum):
    """Whether what is sent to a machine arrives there, as far as the leader knows."""

    REACHABLE = auto()
    SUSPECTED = auto()  # its heartbeats ignore the answers: it is to be queried directly
    UNREACHABLE = auto()  # it does not answer queries either: its lease runs out, and it gets no tasks until it answers


RECEPTION_TRANSITIONS: dict[Reception, frozenset[Reception]] = {
    Reception.REACHABLE: frozenset({Reception.SUSPECTED}),
    Reception.SUSPECTED: frozenset({Reception.REACHABLE, Reception.UNREACHABLE}),
    Reception.UNREACHABLE: frozenset({Reception.REACHABLE}),
}


class LeaderState(Enum):
    """What a controller is in the election of the leader."""

    FOLLOWING = auto()
    LOADING = auto()  # won the key; reads the records, then answers workers; starts nothing yet
    LEADING = auto()
    PAUSED = auto()  # may not act, as its lease or its knowledge is too old; resumes if the key is still its own
    RESIGNED = auto()  # gave up the key on purpose; waits before it campaigns again


LEADER_TRANSITIONS: dict[LeaderState, frozenset[LeaderState]] = {
    LeaderState.FOLLOWING: frozenset({LeaderState.LOADING}),
    LeaderState.LOADING: frozenset(
        {LeaderState.LEADING, LeaderState.PAUSED, LeaderState.FOLLOWING, LeaderState.RESIGNED}
    ),
    LeaderState.LEADING: frozenset({LeaderState.PAUSED, LeaderState.FOLLOWING, LeaderState.RESIGNED}),
    LeaderState.PAUSED: frozenset(
        {LeaderState.LOADING, LeaderState.LEADING, LeaderState.FOLLOWING, LeaderState.RESIGNED}
    ),
    LeaderState.RESIGNED: frozenset({LeaderState.FOLLOWING}),
}


class AssignmentMode(Enum):
    """Who answers workers' heartbeats."""

    LEADER_ONLY = auto()  # the others redirect workers to the leader
    EVERY_CONTROLLER = auto()  # the others keep workers too, and forward their heartbeats


ASSIGNMENT_MODE_TRANSITIONS: dict[AssignmentMode, frozenset[AssignmentMode]] = {
    AssignmentMode.LEADER_ONLY: frozenset({AssignmentMode.EVERY_CONTROLLER}),
    AssignmentMode.EVERY_CONTROLLER: frozenset({AssignmentMode.LEADER_ONLY}),
}


class ForwarderState(Enum):
    """Whether a controller forwards heartbeats to the leader."""

    OPEN = auto()
    RESTING = auto()  # the leader has not answered for a while: workers are redirected to it


FORWARDER_TRANSITIONS: dict[ForwarderState, frozenset[ForwarderState]] = {
    ForwarderState.OPEN: frozenset({ForwarderState.RESTING}),
    ForwarderState.RESTING: frozenset({ForwarderState.OPEN}),
}


class LoadState(Enum):
    """How far a controller is behind; a higher value is worse."""

    NORMAL = 0
    STRAINED = 1  # its loops are late: it omits work that only improves results
    OVERLOADED = 2  # users would notice: most polls are rejected as well


LOAD_TRANSITIONS: dict[LoadState, frozenset[LoadState]] = {
    LoadState.NORMAL: frozenset({LoadState.STRAINED, LoadState.OVERLOADED}),
    LoadState.STRAINED: frozenset({LoadState.NORMAL, LoadState.OVERLOADED}),
    LoadState.OVERLOADED: frozenset({LoadState.STRAINED}),
}


class LinkState(Enum):
    """What a controller knows of one of its own network links."""

    UP = auto()
    SUSPECT = auto()  # nothing was received for a while, or the first requests have failed
    DOWN = auto()  # everything has failed for long enough to act on it


LINK_TRANSITIONS: dict[LinkState, frozenset[LinkState]] = {
    LinkState.UP: frozenset({LinkState.SUSPECT}),
    LinkState.SUSPECT: frozenset({LinkState.UP, LinkState.DOWN}),
    LinkState.DOWN: frozenset({LinkState.UP}),
}
