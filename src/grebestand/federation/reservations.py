"""Machines that a guest cluster reserves for gangs of other clusters until home's decision, or until a time."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from ..cluster_state.machine import Machine
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import check_transition
from ..wire.jobs import JobSpec
from .state_machines import GUEST_TRANSITIONS, GuestState

log = logging.getLogger(__name__)


@dataclass
class Reservation:
    """Machines reserved for one gang of another cluster.

    Attributes:
        home: the gang's cluster.
        ref: the gang's job id there.
        spec: the gang as a job of this cluster.
        id: the reservation's id.
        until: when it expires, by this cluster's steady clock.
        machines: the reserved machines.
        state: where it stands; only `Reservations.move` changes it.
    """

    home: str
    ref: str
    spec: JobSpec
    id: str
    until: float
    machines: list[Machine]
    state: GuestState = GuestState.RESERVED

    @property
    def job(self) -> str:
        """The gang's job id in this cluster."""
        return self.spec.id


class Reservations:
    """The reservations of one leader's term. They are in memory only: a new leader has none."""

    def __init__(self, term: Term) -> None:
        """Start without reservations."""
        self.term = term
        #: by reservation id
        self.by_id: dict[str, Reservation] = {}

    def add(self, reservation: Reservation) -> None:
        """Reserve the machines."""
        for machine in reservation.machines:
            machine.reserved_for, machine.reserved_until = reservation.job, reservation.until
        self.term.inventory.reserved_for_remote.add(reservation.job)
        self.by_id[reservation.id] = reservation
        log.info(
            LogEvent(
                "machines_reserved",
                home=reservation.home,
                job_id=reservation.ref,
                machines=len(reservation.machines),
            )
        )

    def exists_for(self, home: str, ref: str) -> bool:
        """Return whether there is a reservation for this gang of another cluster."""
        return any(reservation.home == home and reservation.ref == ref for reservation in self.by_id.values())

    def move(self, reservation: Reservation, new: GuestState, why: str) -> None:
        """Change the state of a reservation: the one function that does so. Released machines are free again.

        Raises:
            IllegalTransitionError: the table of transitions does not allow it.
        """
        home, ref, old = reservation.home, reservation.ref, reservation.state
        check_transition(GUEST_TRANSITIONS, old, new, f"reservation of {home} for {ref}")
        log.info(LogEvent("reservation_state_changed", home=home, job_id=ref, from_=old, to=new, reason=why))
        reservation.state = new
        if new in (GuestState.RELEASED, GuestState.STARTED):
            self.by_id.pop(reservation.id, None)
            self.term.inventory.reserved_for_remote.discard(reservation.job)
        if new is GuestState.RELEASED:
            for machine in reservation.machines:
                if machine.reserved_for == reservation.job:
                    machine.reserved_for = None
            self.term.registry.changed_since_scheduling = True

    def release_expired(self, now: float) -> None:
        """Release the reservations whose time is over, except those whose gang is being taken in."""
        for reservation in list(self.by_id.values()):
            if reservation.state is GuestState.RESERVED and now >= reservation.until:
                self.move(reservation, GuestState.RELEASED, "its time is over")
