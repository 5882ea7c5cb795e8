"""Explicit state machines: named states, allowed steps, and the error for any other step."""

from __future__ import annotations

from enum import Enum, auto
from typing import TypeVar

E = TypeVar("E", bound=Enum)


class IllegalStep(RuntimeError):
    """The program tried a change of state that its own table does not allow."""


def step(allowed: dict[E, frozenset[E]], old: E, new: E, what: str) -> None:
    if new not in allowed[old]:
        raise IllegalStep(f"{what}: {old.name} -> {new.name}")


class PlaceState(Enum):
    """One attempt of one task on one machine, as far as the leader can prove."""

    QUEUED = auto()  # decided, not yet sent: nobody else knows
    SENT = auto()  # rode on a check-in response; the next newer report proves it
    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    GONE = auto()  # exited, lapsed or proved never started


_ON = frozenset({PlaceState.FETCHING, PlaceState.WAITING, PlaceState.RUNNING, PlaceState.SAVING})


PLACE_STEPS: dict[PlaceState, frozenset[PlaceState]] = {
    PlaceState.QUEUED: frozenset({PlaceState.SENT, PlaceState.GONE}) | _ON,
    PlaceState.SENT: frozenset({PlaceState.SENT, PlaceState.GONE}) | _ON,
    PlaceState.FETCHING: _ON | {PlaceState.GONE},
    PlaceState.WAITING: _ON | {PlaceState.GONE},
    PlaceState.RUNNING: _ON | {PlaceState.GONE},
    PlaceState.SAVING: _ON | {PlaceState.GONE},
    PlaceState.GONE: frozenset(),
}


class JobState(Enum):
    WAITING = auto()  # no task has a place
    ACTIVE = auto()  # some task has, or may have, a place
    CLOSING = auto()  # all tasks done; the final record is not yet committed
    DONE = auto()  # committed
    CANCELLED = auto()  # committed by whichever controller was asked


JOB_STEPS: dict[JobState, frozenset[JobState]] = {
    JobState.WAITING: frozenset({JobState.ACTIVE, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.ACTIVE: frozenset({JobState.WAITING, JobState.CLOSING, JobState.CANCELLED, JobState.DONE}),
    JobState.CLOSING: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset(),
    JobState.CANCELLED: frozenset(),
}


class MachineState(Enum):
    NEW = auto()  # reports, but has no durable record: gets no tasks
    UNPROVED = auto()  # recorded; may hold tasks that this leader does not know of
    READY = auto()
    SUSPECT = auto()  # silent for longer than a report should take
    LAPSED = auto()  # silent for longer than its lease: whatever it held is gone
    GONE = auto()


MACHINE_STEPS: dict[MachineState, frozenset[MachineState]] = {
    MachineState.NEW: frozenset({MachineState.READY, MachineState.LAPSED, MachineState.GONE}),
    MachineState.UNPROVED: frozenset({MachineState.READY, MachineState.LAPSED, MachineState.GONE}),
    MachineState.READY: frozenset({MachineState.SUSPECT, MachineState.LAPSED, MachineState.GONE}),
    MachineState.SUSPECT: frozenset({MachineState.READY, MachineState.LAPSED, MachineState.GONE}),
    MachineState.LAPSED: frozenset({MachineState.READY, MachineState.NEW, MachineState.GONE}),
    MachineState.GONE: frozenset(),
}


class Reception(Enum):
    """Whether what is sent to a machine arrives there, as far as the leader knows."""

    HEARS = auto()
    DOUBTED = auto()  # something that answers would have changed has not changed: it is to be asked directly
    DEAF = auto()  # nor did it answer that: its lease is let run out, and it gets nothing until it answers


RECEPTION_STEPS: dict[Reception, frozenset[Reception]] = {
    Reception.HEARS: frozenset({Reception.DOUBTED}),
    Reception.DOUBTED: frozenset({Reception.HEARS, Reception.DEAF}),
    Reception.DEAF: frozenset({Reception.HEARS}),
}


class LeaderState(Enum):
    FOLLOWING = auto()
    LOADING = auto()  # holds the key; reads the records; answers workers, starts nothing
    LEADING = auto()
    PAUSED = auto()  # the hold's local time is over; may come back if a renewal proves it alive
    RESIGNED = auto()  # gave way on purpose; waits before it may try again


LEADER_STEPS: dict[LeaderState, frozenset[LeaderState]] = {
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


class SpreadState(Enum):
    """Who answers workers' reports."""

    LEADER_ONLY = auto()  # the others send workers to the leader
    EVERY_CONTROLLER = auto()  # the others keep workers too, and pass their reports on


SPREAD_STEPS: dict[SpreadState, frozenset[SpreadState]] = {
    SpreadState.LEADER_ONLY: frozenset({SpreadState.EVERY_CONTROLLER}),
    SpreadState.EVERY_CONTROLLER: frozenset({SpreadState.LEADER_ONLY}),
}


class PassageState(Enum):
    """Whether a controller passes reports on to the leader."""

    OPEN = auto()
    RESTING = auto()  # the leader has not answered for a while: workers are sent there themselves


PASSAGE_STEPS: dict[PassageState, frozenset[PassageState]] = {
    PassageState.OPEN: frozenset({PassageState.RESTING}),
    PassageState.RESTING: frozenset({PassageState.OPEN}),
}


class LoadState(Enum):
    """How far a controller is behind, the higher the worse."""

    NORMAL = 0
    STRAINED = 1  # its loops are late: it does without what only makes things better
    OVERLOADED = 2  # users would notice: most polls are sent away as well


LOAD_STEPS: dict[LoadState, frozenset[LoadState]] = {
    LoadState.NORMAL: frozenset({LoadState.STRAINED, LoadState.OVERLOADED}),
    LoadState.STRAINED: frozenset({LoadState.NORMAL, LoadState.OVERLOADED}),
    LoadState.OVERLOADED: frozenset({LoadState.STRAINED}),
}


class LinkState(Enum):
    """What a controller knows of one of its own links."""

    UP = auto()
    DOUBTFUL = auto()  # nothing was heard for a while, or the first requests have failed
    DOWN = auto()  # everything has failed for long enough to act on it


LINK_STEPS: dict[LinkState, frozenset[LinkState]] = {
    LinkState.UP: frozenset({LinkState.DOUBTFUL}),
    LinkState.DOUBTFUL: frozenset({LinkState.UP, LinkState.DOWN}),
    LinkState.DOWN: frozenset({LinkState.UP}),
}
