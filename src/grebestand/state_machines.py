"""Explicit state machines: named states, the allowed transitions, and the error for any other transition.

Each state machine has one function that changes its state. The function calls `check_transition`, so that a transition
that is missing from the tables in this module raises an error instead of being made.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TypeVar

from .errors import GrebestandError

State = TypeVar("State", bound=Enum)


class IllegalTransitionError(GrebestandError, RuntimeError):
    """A transition was attempted that the table of the state machine does not allow, which is a bug.

    Attributes:
        subject: The name of the object whose state was to change.
        old: The current state.
        new: The requested state.
    """

    def __init__(self, subject: str, old: Enum, new: Enum) -> None:
        self.subject = subject
        self.old = old
        self.new = new
        super().__init__(f"{subject}: {old.name} -> {new.name}")


def check_transition(allowed: dict[State, frozenset[State]], old: State, new: State, subject: str) -> None:
    """Check that a transition is allowed.

    Args:
        allowed: The states that may follow each state.
        old: The current state.
        new: The requested state.
        subject: The name of the object that has the state, for the error message.

    Raises:
        IllegalTransitionError: The table does not allow the transition.
    """
    if new not in allowed[old]:
        raise IllegalTransitionError(subject, old, new)


class AllocationState(Enum):
    """State of one attempt of a task on one machine, as known to the leader."""

    QUEUED = auto()  # placed; the start command has not been sent, so the worker does not know of the task
    SENT = auto()  # the start command was sent with a heartbeat response; the next newer heartbeat confirms its arrival
    FETCHING = auto()  # the machine fetches the image
    WAITING = auto()  # the task waits for the other tasks of its gang
    RUNNING = auto()
    SAVING = auto()  # the task received a stop command and saves its checkpoint
    GONE = auto()  # the task exited, its lease expired, or the start command is known never to have arrived


#: States that a heartbeat may report for a task that has not exited.
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
    """State of a job, from its acceptance until its final record is committed."""

    WAITING = auto()  # no task has an allocation
    ACTIVE = auto()  # at least one task has an allocation
    CLOSING = auto()  # all tasks are done; the final record is not committed yet
    DONE = auto()  # the final record is committed
    CANCELLED = auto()  # the controller that received the cancellation request has committed the final record


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.WAITING: frozenset({JobState.ACTIVE, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.ACTIVE: frozenset({JobState.WAITING, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.CLOSING: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset(),
    JobState.CANCELLED: frozenset(),
}


class MachineState(Enum):
    """State of a machine, as known to the leader."""

    NEW = auto()  # sends heartbeats and has no durable record yet, so no tasks are placed there
    UNRECONCILED = auto()  # has a durable record and may run tasks that this leader does not know of
    READY = auto()
    SUSPECT = auto()  # several heartbeats are missing, or responses do not reach the machine
    LEASE_EXPIRED = auto()  # no response has renewed the lease in time, so the worker has killed all its tasks
    GONE = auto()  # deleted by the provider


MACHINE_TRANSITIONS: dict[MachineState, frozenset[MachineState]] = {
    MachineState.NEW: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.UNRECONCILED: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.READY: frozenset({MachineState.SUSPECT, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.SUSPECT: frozenset({MachineState.READY, MachineState.LEASE_EXPIRED, MachineState.GONE}),
    MachineState.LEASE_EXPIRED: frozenset({MachineState.READY, MachineState.NEW, MachineState.GONE}),
    MachineState.GONE: frozenset(),
}


class Reception(Enum):
    """Whether the leader's messages reach a machine, as known to the leader."""

    REACHABLE = auto()
    SUSPECTED = auto()  # the machine's heartbeats do not reflect the responses, so it has to be queried directly
    UNREACHABLE = auto()  # direct queries failed too: the machine's lease is left to expire, and no tasks are placed


RECEPTION_TRANSITIONS: dict[Reception, frozenset[Reception]] = {
    Reception.REACHABLE: frozenset({Reception.SUSPECTED}),
    Reception.SUSPECTED: frozenset({Reception.REACHABLE, Reception.UNREACHABLE}),
    Reception.UNREACHABLE: frozenset({Reception.REACHABLE}),
}


class LeaderState(Enum):
    """State of a controller in leader election."""

    FOLLOWING = auto()
    LOADING = auto()  # holds the leader key; reads the records, then responds to workers, but starts no tasks yet
    LEADING = auto()
    PAUSED = auto()  # may not act, as its lease or its data is too old; resumes if it still holds the leader key
    RESIGNED = auto()  # released the leader key voluntarily; waits before it campaigns again


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
    """Which controllers accept heartbeats from workers."""

    LEADER_ONLY = auto()  # followers redirect workers to the leader
    EVERY_CONTROLLER = auto()  # followers accept heartbeats as well, and forward them to the leader


ASSIGNMENT_MODE_TRANSITIONS: dict[AssignmentMode, frozenset[AssignmentMode]] = {
    AssignmentMode.LEADER_ONLY: frozenset({AssignmentMode.EVERY_CONTROLLER}),
    AssignmentMode.EVERY_CONTROLLER: frozenset({AssignmentMode.LEADER_ONLY}),
}


class ForwarderState(Enum):
    """Whether a controller forwards heartbeats to the leader."""

    OPEN = auto()
    RESTING = auto()  # the leader did not respond for some time, so workers are redirected to it


FORWARDER_TRANSITIONS: dict[ForwarderState, frozenset[ForwarderState]] = {
    ForwarderState.OPEN: frozenset({ForwarderState.RESTING}),
    ForwarderState.RESTING: frozenset({ForwarderState.OPEN}),
}


class LoadState(Enum):
    """How overloaded a controller is; a higher value is worse."""

    NORMAL = 0
    STRAINED = 1  # the controller's loops run late, so it skips optional work that only improves results
    OVERLOADED = 2  # delays are noticeable to users, so the controller also rejects most polls


LOAD_TRANSITIONS: dict[LoadState, frozenset[LoadState]] = {
    LoadState.NORMAL: frozenset({LoadState.STRAINED, LoadState.OVERLOADED}),
    LoadState.STRAINED: frozenset({LoadState.NORMAL, LoadState.OVERLOADED}),
    LoadState.OVERLOADED: frozenset({LoadState.STRAINED}),
}


class LinkState(Enum):
    """State of one of a controller's network links."""

    UP = auto()
    SUSPECT = auto()  # nothing was received for some time, or the first requests have failed
    DOWN = auto()  # all requests have failed for long enough that the controller acts on the failure


LINK_TRANSITIONS: dict[LinkState, frozenset[LinkState]] = {
    LinkState.UP: frozenset({LinkState.SUSPECT}),
    LinkState.SUSPECT: frozenset({LinkState.UP, LinkState.DOWN}),
    LinkState.DOWN: frozenset({LinkState.UP}),
}
