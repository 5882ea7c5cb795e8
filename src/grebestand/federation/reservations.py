"""Machines that a guest cluster reserves for gangs of other clusters until the home cluster's commit or a timeout."""

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
        home: Name of the gang's home cluster.
        home_job_id: The gang's job id in its home cluster.
        spec: Specification of the gang as a job of this cluster.
        reservation_id: The reservation's id.
        expires_at: When the reservation expires, by this cluster's steady clock, in seconds.
        machines: The reserved machines.
        state: State of the reservation; only `Reservations.change_state` changes it.
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
    """The reservations of one leader's term. Reservations are held in memory only, so a new leader has none."""

    def __init__(self, term: Term) -> None:
        """Start without reservations."""
        self.term = term
        #: Reservations in the states RESERVED and STARTING, by reservation id.
        self.by_id: dict[str, Reservation] = {}

    def add(self, reservation: Reservation) -> None:
        """Mark the reservation's machines as reserved."""
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

    def exists_for(self, home: str, home_job_id: str) -> bool:
        """Return whether there is a reservation for a gang of another cluster.

        Args:
            home: Name of the gang's home cluster.
            home_job_id: The gang's job id in its home cluster.
        """
        return any(found.home == home and found.home_job_id == home_job_id for found in self.by_id.values())

    def change_state(self, reservation: Reservation, new: GuestState, reason: str) -> None:
        """Change the state of a reservation; no other function does so. Machines of a released one become free.

        Args:
            reservation: The reservation.
            new: The new state.
            reason: Why the state changes, for the log.

        Raises:
            IllegalTransitionError: `GUEST_TRANSITIONS` does not allow the transition.
        """
        home, job_id, old = reservation.home, reservation.home_job_id, reservation.state
        check_transition(GUEST_TRANSITIONS, old, new, f"reservation of {home} for {job_id}")
        log.info(LogEvent("reservation_state_changed", home=home, job_id=job_id, from_=old, to=new, reason=reason))
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
        """Release expired reservations, except those whose commit has been received and is being recorded.

        Args:
            now: Time of this cluster's steady clock, in seconds.
        """
        for reservation in list(self.by_id.values()):
            if reservation.state is GuestState.RESERVED and now >= reservation.expires_at:
                self.change_state(reservation, GuestState.RELEASED, "expired")
