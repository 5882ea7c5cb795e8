"""Explicit state machines: named states, allowed steps, and the error for any other step."""

from __future__ import annotations

from enum import Enum, auto
from typing import TypeVar

E = TypeVar("E", bound=Enum)


class IllegalTransitionError(RuntimeError):
    """The program tried a change of state that its own table does not allow."""


def check_transition(allowed: dict[E, frozenset[E]], old: E, new: E, what: str) -> None:
    if new not in allowed[old]:
        raise IllegalTransitionError(f"{what}: {old.name} -> {new.name}")


class AllocationState(Enum):
    """One attempt of one task on one machine, as far as the leader can prove."""

    QUEUED = auto()  # decided, not yet sent: nobody else knows
    SENT = auto()  # rode on a check-in response; the next newer report proves it
    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    GONE = auto()  # exited, lapsed or proved never started


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
    WAITING = auto()  # no task has a place
    ACTIVE = auto()  # some task has, or may have, a place
    CLOSING = auto()  # all tasks done; the final record is not yet committed
    DONE = auto()  # committed
    CANCELLED = auto()  # committed by whichever controller was asked


JOB_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.WAITING: frozenset({JobState.ACTIVE, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.ACTIVE: frozenset({JobState.WAITING, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.CLOSING: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset(),
    JobState.CANCELLED: frozenset(),
}


class MachineState(Enum):
    NEW = auto()  # reports, but has no durable record: gets no tasks
    UNRECONCILED = auto()  # recorded; may hold tasks that this leader does not know of
    READY = auto()
    SUSPECT = auto()  # silent for longer than a report should take
    LEASE_EXPIRED = auto()  # silent for longer than its lease: whatever it held is gone
    GONE = auto()


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
    SUSPECTED = auto()  # something that answers would have changed has not changed: it is to be asked directly
    UNREACHABLE = auto()  # nor did it answer that: its lease is let run out, and it gets nothing until it answers


RECEPTION_TRANSITIONS: dict[Reception, frozenset[Reception]] = {
    Reception.REACHABLE: frozenset({Reception.SUSPECTED}),
    Reception.SUSPECTED: frozenset({Reception.REACHABLE, Reception.UNREACHABLE}),
    Reception.UNREACHABLE: frozenset({Reception.REACHABLE}),
}


class LeaderState(Enum):
    FOLLOWING = auto()
    LOADING = auto()  # holds the key; reads the records; answers workers, starts nothing
    LEADING = auto()
    PAUSED = auto()  # the hold's local time is over; may come back if a renewal proves it alive
    RESIGNED = auto()  # gave way on purpose; waits before it may try again


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
    """Who answers workers' reports."""

    LEADER_ONLY = auto()  # the others send workers to the leader
    EVERY_CONTROLLER = auto()  # the others keep workers too, and pass their reports on


ASSIGNMENT_MODE_TRANSITIONS: dict[AssignmentMode, frozenset[AssignmentMode]] = {
    AssignmentMode.LEADER_ONLY: frozenset({AssignmentMode.EVERY_CONTROLLER}),
    AssignmentMode.EVERY_CONTROLLER: frozenset({AssignmentMode.LEADER_ONLY}),
}


class ForwarderState(Enum):
    """Whether a controller passes reports on to the leader."""

    OPEN = auto()
    RESTING = auto()  # the leader has not answered for a while: workers are sent there themselves


FORWARDER_TRANSITIONS: dict[ForwarderState, frozenset[ForwarderState]] = {
    ForwarderState.OPEN: frozenset({ForwarderState.RESTING}),
    ForwarderState.RESTING: frozenset({ForwarderState.OPEN}),
}


class LoadState(Enum):
    """How far a controller is behind, the higher the worse."""

    NORMAL = 0
    STRAINED = 1  # its loops are late: it does without what only makes things better
    OVERLOADED = 2  # users would notice: most polls are sent away as well


LOAD_TRANSITIONS: dict[LoadState, frozenset[LoadState]] = {
    LoadState.NORMAL: frozenset({LoadState.STRAINED, LoadState.OVERLOADED}),
    LoadState.STRAINED: frozenset({LoadState.NORMAL, LoadState.OVERLOADED}),
    LoadState.OVERLOADED: frozenset({LoadState.STRAINED}),
}


class LinkState(Enum):
    """What a controller knows of one of its own links."""

    UP = auto()
    SUSPECT = auto()  # nothing was heard for a while, or the first requests have failed
    DOWN = auto()  # everything has failed for long enough to act on it


LINK_TRANSITIONS: dict[LinkState, frozenset[LinkState]] = {
    LinkState.UP: frozenset({LinkState.SUSPECT}),
    LinkState.SUSPECT: frozenset({LinkState.UP, LinkState.DOWN}),
    LinkState.DOWN: frozenset({LinkState.UP}),
}
