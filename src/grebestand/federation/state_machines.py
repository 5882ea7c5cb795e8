"""The state machines of federation: a gang at home, a reservation of a guest, and a circuit breaker."""

from __future__ import annotations

from enum import Enum, auto


class HomeState(Enum):
    """Where home's decision about one gang stands."""

    #: at home; nobody else may start it
    WAITING = auto()
    #: clusters may have reserved machines for it; only home may start it
    OFFERED = auto()
    #: the write that names one cluster has been sent: neither home nor anybody else may start it
    DECIDING = auto()
    #: the write is durable; the commit may have reached that cluster
    COMMITTED = auto()
    #: the cluster has confirmed that it runs the gang
    ABROAD = auto()
    #: the cluster has confirmed that it will not run the gang any more; the write that records this has been sent
    RETURNING = auto()
    #: done, or cancelled for its user
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
    """Where a guest cluster stands with one reservation."""

    #: machines are reserved until a time; nothing runs
    RESERVED = auto()
    #: home's commit has arrived; the write that takes the gang in has been sent
    STARTING = auto()
    #: the write is durable: from here on the gang is a job of this cluster, with a job's states
    STARTED = auto()
    #: the reservation has ended: nothing can start under it
    RELEASED = auto()


GUEST_TRANSITIONS: dict[GuestState, frozenset[GuestState]] = {
    GuestState.RESERVED: frozenset({GuestState.STARTING, GuestState.RELEASED}),
    GuestState.STARTING: frozenset({GuestState.STARTED, GuestState.RELEASED}),
    GuestState.STARTED: frozenset(),
    GuestState.RELEASED: frozenset(),
}


class BreakerState(Enum):
    """States of a circuit breaker."""

    #: requests are sent
    CLOSED = auto()
    #: no requests are sent during a pause
    OPEN = auto()
    #: one trial request is sent after the pause
    TRYING = auto()


BREAKER_TRANSITIONS: dict[BreakerState, frozenset[BreakerState]] = {
    BreakerState.CLOSED: frozenset({BreakerState.OPEN}),
    BreakerState.OPEN: frozenset({BreakerState.TRYING}),
    BreakerState.TRYING: frozenset({BreakerState.CLOSED, BreakerState.OPEN}),
}
