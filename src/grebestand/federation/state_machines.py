"""The state machines of federation: a gang in its home cluster, a reservation in a guest cluster, a circuit breaker."""

from __future__ import annotations

from enum import Enum, auto


class HomeState(Enum):
    """State of a gang in its home cluster."""

    #: The gang waits at home; no other cluster may start it.
    WAITING = auto()
    #: Other clusters may have reserved machines for the gang; only home may start it.
    OFFERED = auto()
    #: The write that assigns the gang to one cluster has been sent: no cluster may start the gang.
    DECIDING = auto()
    #: The assignment is durable; the commit may have reached the assigned cluster, which may start the gang.
    COMMITTED = auto()
    #: The assigned cluster has confirmed that the gang is its job.
    ABROAD = auto()
    #: The assigned cluster has confirmed that it no longer runs the gang; home's record of that may not be durable yet.
    RETURNING = auto()
    #: The gang is done, or cancelled by its user.
    OVER = auto()


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
    """State of a reservation in a guest cluster."""

    #: Machines are reserved until a timeout; no task of the gang runs.
    RESERVED = auto()
    #: Home's commit has been received; the write that makes the gang a job of this cluster may have been sent.
    STARTING = auto()
    #: The write is durable: the gang is a job of this cluster, and has a job's states from here on.
    STARTED = auto()
    #: The reservation has ended: nothing can start under its id.
    RELEASED = auto()


GUEST_TRANSITIONS: dict[GuestState, frozenset[GuestState]] = {
    GuestState.RESERVED: frozenset({GuestState.STARTING, GuestState.RELEASED}),
    GuestState.STARTING: frozenset({GuestState.STARTED, GuestState.RELEASED}),
    GuestState.STARTED: frozenset(),
    GuestState.RELEASED: frozenset(),
}


class BreakerState(Enum):
    """States of a circuit breaker."""

    #: Requests are allowed.
    CLOSED = auto()
    #: No requests are allowed until the pause is over.
    OPEN = auto()
    #: One trial request is allowed after the pause; the usual name of this state is half-open.
    TRYING = auto()


BREAKER_TRANSITIONS: dict[BreakerState, frozenset[BreakerState]] = {
    BreakerState.CLOSED: frozenset({BreakerState.OPEN}),
    BreakerState.OPEN: frozenset({BreakerState.TRYING}),
    BreakerState.TRYING: frozenset({BreakerState.CLOSED, BreakerState.OPEN}),
}
