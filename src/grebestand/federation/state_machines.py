"""The state machines of federation: a gang at home, a gang as a guest, and how well another cluster answers."""

from __future__ import annotations

from enum import Enum, auto


class HomeState(Enum):
    """Where home's decision about one gang stands."""

    WAITING = auto()  # at home; nobody else may start it
    OFFERED = auto()  # clusters may hold room for it; still home's to start
    DECIDING = auto()  # the write that names one cluster is out: neither home nor anybody else may start it
    COMMITTED = auto()  # the write is durable; the cluster named may have the news
    ABROAD = auto()  # the cluster has said that it runs it
    RETURNING = auto()  # the cluster has proved that it will not run it any more; the write that says so is out
    OVER = auto()  # done, or cancelled for its user


HOME_TRANSITIONS: dict[HomeState, frozenset[HomeState]] = {
    HomeState.WAITING: frozenset({HomeState.OFFERED, HomeState.COMMITTED, HomeState.OVER}),
    HomeState.OFFERED: frozenset({HomeState.WAITING, HomeState.DECIDING, HomeState.OVER}),
    HomeState.DECIDING: frozenset({HomeState.WAITING, HomeState.COMMITTED, HomeState.OVER}),
    HomeState.COMMITTED: frozenset({HomeState.ABROAD, HomeState.RETURNING, HomeState.OVER}),
    HomeState.ABROAD: frozenset({HomeState.RETURNING, HomeState.OVER}),
    HomeState.RETURNING: frozenset({HomeState.WAITING, HomeState.OVER}),
    HomeState.OVER: frozenset(),
}


class GuestState(Enum):
    """Where a guest cluster stands with one reservation."""

    RESERVED = auto()  # machines are kept until a time; nothing runs
    STARTING = auto()  # home's proof is here, and the write that takes the gang in is out
    STARTED = auto()  # durable: from here on it is a job of this cluster, with a job's states
    RELEASED = auto()  # the reservation is no more: nothing can start under it


GUEST_TRANSITIONS: dict[GuestState, frozenset[GuestState]] = {
    GuestState.RESERVED: frozenset({GuestState.STARTING, GuestState.RELEASED}),
    GuestState.STARTING: frozenset({GuestState.STARTED, GuestState.RELEASED}),
    GuestState.STARTED: frozenset(),
    GuestState.RELEASED: frozenset(),
}


class BreakerState(Enum):
    """States of a circuit breaker."""

    CLOSED = auto()  # asked as usual
    OPEN = auto()  # left alone for a while
    TRYING = auto()  # asked once to see


BREAKER_TRANSITIONS: dict[BreakerState, frozenset[BreakerState]] = {
    BreakerState.CLOSED: frozenset({BreakerState.OPEN}),
    BreakerState.OPEN: frozenset({BreakerState.TRYING}),
    BreakerState.TRYING: frozenset({BreakerState.CLOSED, BreakerState.OPEN}),
}
