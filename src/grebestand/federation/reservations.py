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
    home_job_id: str
    spec: JobSpec
    reservation_id: str
    expires_at: float
    machines: list[Machine]
    state: GuestState = GuestState.RESERVED

    @property
    def job_id(self) -> str:
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
            machine.reserved_for, machine.reserved_until = reservation.job_id, reservation.expires_at
        self.term.inventory.reserved_for_remote.add(reservation.job_id)
        self.by_id[reservation.reservation_id] = reservation
        log.info(
            LogEvent(
                "machines_reserved",
                home=reservation.home,
                job_id=reservation.home_job_id,
                machines=len(reservation.machines),
            )
        )

    def exists_for(self, home: str, ref: str) -> bool:
        """Return whether there is a reservation for this gang of another cluster."""
        return any(reservation.home == home and reservation.home_job_id == ref for reservation in self.by_id.values())

    def change_state(self, reservation: Reservation, new: GuestState, why: str) -> None:
        """Change the state of a reservation: the one function that does so. Released machines are free again.

        Raises:
            IllegalTransitionError: the table of transitions does not allow it.
        """
        home, ref, old = reservation.home, reservation.home_job_id, reservation.state
        check_transition(GUEST_TRANSITIONS, old, new, f"reservation of {home} for {ref}")
        log.info(LogEvent("reservation_state_changed", home=home, job_id=ref, from_=old, to=new, reason=why))
        reservation.state = new
        if new in (GuestState.RELEASED, GuestState.STARTED):
            self.by_id.pop(reservation.reservation_id, None)
            self.term.inventory.reserved_for_remote.discard(reservation.job_id)
        if new is GuestState.RELEASED:
            for machine in reservation.machines:
                if machine.reserved_for == reservation.job_id:
                    machine.reserved_for = None
            self.term.registry.changed_since_scheduling = True

    def release_expired(self, now: float) -> None:
        """Release the reservations whose time is over, except those whose gang is being taken in."""
        for reservation in list(self.by_id.values()):
            if reservation.state is GuestState.RESERVED and now >= reservation.expires_at:
                self.change_state(reservation, GuestState.RELEASED, "its time is over")
