"""The inventory of all machines, and the only functions that change a machine's state or reception."""

from __future__ import annotations

import logging
import math

from ..clocks import CLOCK_MARGIN_S, MAX_CLOCK_DRIFT
from ..log_events import LogEvent
from ..state_machines import (
    MACHINE_TRANSITIONS,
    RECEPTION_TRANSITIONS,
    AllocationState,
    MachineState,
    Reception,
    check_transition,
)
from ..wire.cloud import MachineType
from .job_registry import JobRegistry
from .jobs import Allocation
from .machine import Machine
from .resources import NO_RESOURCES, Resources, machine_capacity

log = logging.getLogger(__name__)

#: What a team may use, in millionths, on machines whose capacity is not known: more than any limit.
UNKNOWN_USAGE = 1 << 60
#: A deleted machine is remembered for this many leases, so that a delayed heartbeat does not bring it back.
DELETED_MEMORY_LEASES = 6.0
#: So many deleted machines are remembered, which bounds the memory that this takes.
MAX_DELETED_REMEMBERED = 4000
#: With a longer gap between two searches for silent machines, this controller stood still, and heartbeats may wait to
#: be read.
MAX_OBSERVATION_GAP_S = 4.0
#: A machine that has not been heard for this many heartbeat intervals is silent: two lost ones, and a little delay.
SILENT_AFTER_INTERVALS = 2.2
#: After this many missed responses in a row a machine's reception is suspected; one is lost now and then.
MISSED_RESPONSES_BEFORE_SUSPICION = 2


class MachineInventory:
    """All machines, their types, and what the leader has to find out about them.

    Times are in seconds of the leader's clock.
    """

    def __init__(self, registry: JobRegistry, lease_s: float, report_s: float) -> None:
        """Begin without machines.

        Args:
            registry: The jobs whose allocations the machines hold.
            lease_s: How long a worker keeps its tasks without a response, in seconds.
            report_s: The interval of heartbeats, in seconds.
        """
        self.registry = registry
        self.machines: list[Machine] = []
        self.by_name: dict[str, Machine] = {}
        #: By the type's index in the registry.
        self.machine_types: dict[int, MachineType] = {}
        #: Capacity of each machine type.
        self.capacities: list[Resources] = []
        self.lease_s = lease_s
        self.report_s = report_s
        #: Jobs that machines are reserved for and that are not in the registry: other clusters' gangs that may come.
        self.reserved_for_remote: set[str] = set()
        #: Indices of machines to be queried directly: what they report, or do not, has to be explained.
        self.to_query: set[int] = set()
        #: Indices of machines reconciled since the leader last looked.
        self.newly_reconciled: list[int] = []
        #: When the provider deleted a machine, by name: what still arrives under the name is a delayed copy.
        self._deleted_at: dict[str, float] = {}
        #: When silent machines were last searched for, and since when this has gone on without a gap.
        self._observed_at = self._observing_since = -math.inf
        self._by_index: dict[int, Machine] = {}
        self._next_index = 0
        self.unreconciled_count = 0
        #: Of the unreconciled machines: how many have no known capacity, and millionths of CPUs and GPUs of the others.
        self._unreconciled_unmeasured = 0
        self._unreconciled_capacity = [0, 0]

    # machines ---------------------------------------------------------------------------------------------

    def learn_types(self, types: list[MachineType]) -> None:
        """Take the machine types that the provider offers, and with them the capacity of all machines."""
        for machine_type in types:
            self.machine_types[self.registry.machine_types.index(machine_type.name)] = machine_type
        self.capacities = [machine_capacity(machine_type) for machine_type in self.machine_types.values()]
        for machine in self.by_name.values():
            self._measure(machine)
        self.count_unreconciled()

    def add(
        self, name: str, addr: str, kind: str, zone: str, spot: bool, now: float, recorded: bool = False
    ) -> Machine:
        """Add a machine: new, or unreconciled if it is on record, as it may hold tasks of an earlier leader."""
        type_index = self.registry.machine_types.index(kind)
        zone_index = self.registry.zones.index(zone)
        machine = Machine(self._next_index, name, addr, type_index, zone_index, spot, now)
        self._by_index[self._next_index] = machine
        self._next_index += 1
        if recorded:
            machine.recorded, machine.state = True, MachineState.UNRECONCILED
        self._measure(machine)
        self.machines.append(machine)
        self.by_name[name] = machine
        return machine

    def at(self, index: int) -> Machine | None:
        """Return the machine with this index, unless it is gone."""
        return self._by_index.get(index)

    def was_deleted(self, name: str, now: float) -> bool:
        """Return whether the provider has deleted the machine a short time ago."""
        return now - self._deleted_at.get(name, -math.inf) < DELETED_MEMORY_LEASES * self.lease_s

    def counts(self, machine: Machine) -> bool:
        """Return whether a machine's template counts in the plan, even if it may not be given tasks right now."""
        present = (
            machine.state in (MachineState.READY, MachineState.SUSPECT)
            and machine.reception is not Reception.UNREACHABLE
        )
        return present and machine.recorded and machine.drain_reason is None and any(machine.capacity)

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Return whether a machine may be given tasks now."""
        return (
            machine.state is MachineState.READY
            and machine.reception is Reception.REACHABLE
            and machine.recorded
            and machine.drain_reason is None
            and now >= machine.blocked_until
            and machine.capacity != NO_RESOURCES
        )

    def note_image(self, machine: Machine, image: int, gigabytes: float) -> None:
        """Record that a machine has an image."""
        machine_type = self.machine_types.get(machine.kind)
        machine.record_image(image, gigabytes, machine_type.cache_gb if machine_type else 0.0)

    def _measure(self, machine: Machine) -> None:
        machine_type = self.machine_types.get(machine.kind)
        if machine_type is not None:
            machine.set_capacity(machine_capacity(machine_type))

    # state and reception ----------------------------------------------------------------------------------

    def move(self, machine: Machine, new: MachineState, now: float) -> None:
        """Change a machine's state; no other function does.

        A machine whose lease has expired, or that is gone, holds nothing.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if machine.state is new:
            return
        check_transition(MACHINE_TRANSITIONS, machine.state, new, machine.name)
        old, machine.state = machine.state, new
        machine.change_count += 1
        if new in (MachineState.LEASE_EXPIRED, MachineState.GONE):
            self.release_all(machine, now)
            machine.reserved_for = None
        elif new is MachineState.READY:
            machine.news = True
        elif new is MachineState.SUSPECT:
            self._release_queued(machine, now)
        if new is MachineState.GONE:
            self._remove(machine, now)
        if old is MachineState.UNRECONCILED:
            self._count_reconciled(machine)
            self.newly_reconciled.append(machine.index)
        self.registry.changed = True

    def _release_queued(self, machine: Machine, now: float) -> None:
        """Release what was decided and never sent, so that nobody else can have it."""
        queued = [a for a in machine.allocations.values() if a.state is AllocationState.QUEUED]
        for allocation in queued:
            self.release(machine, allocation, now)

    def _remove(self, machine: Machine, now: float) -> None:
        self.machines.remove(machine)
        del self.by_name[machine.name]
        del self._by_index[machine.index]
        self._deleted_at[machine.name] = now
        if len(self._deleted_at) > MAX_DELETED_REMEMBERED:
            del self._deleted_at[next(iter(self._deleted_at))]

    def change_reception(self, machine: Machine, new: Reception, reason: str, now: float) -> None:
        """Change what is known of a machine's reception of responses; no other function does.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if machine.reception is new:
            return
        check_transition(RECEPTION_TRANSITIONS, machine.reception, new, machine.name)
        old, machine.reception = machine.reception, new
        machine.change_count += 1
        machine.unreachable_since = now if new is Reception.UNREACHABLE else math.inf
        if new is Reception.REACHABLE:
            machine.missed_responses = 0
            machine.news = True
        elif new is Reception.UNREACHABLE and machine.state is MachineState.READY:
            self.move(machine, MachineState.SUSPECT, now)
        self.registry.changed = True
        if Reception.UNREACHABLE in (old, new):
            log.info(LogEvent("machine_reception_changed", machine=machine.name, from_=old, to=new, reason=reason))

    def record_missed_response(self, machine: Machine, reason: str, now: float, weight: int = 1) -> None:
        """Record a heartbeat that goes on as if the response to the one before had not arrived.

        Args:
            machine: The machine.
            reason: What shows it, for the log.
            now: The present time.
            weight: For how many missed responses it counts.
        """
        machine.missed_responses += weight
        if machine.missed_responses >= MISSED_RESPONSES_BEFORE_SUSPICION and machine.reception is Reception.REACHABLE:
            self.change_reception(machine, Reception.SUSPECTED, reason, now)
        if machine.reception is not Reception.REACHABLE:
            self.to_query.add(machine.index)

    def confirm_reception(self, machine: Machine, now: float) -> None:
        """Record that a machine does what the responses to its heartbeats said.

        For an unreachable machine this is no evidence of the present: only a direct answer or an outlived lease is.
        """
        if machine.reception is not Reception.UNREACHABLE:
            machine.missed_responses = 0
            self.change_reception(machine, Reception.REACHABLE, "commands took effect", now)

    # allocations ------------------------------------------------------------------------------------------

    def add_allocation(self, machine: Machine, allocation: Allocation) -> None:
        """Count an allocation that the registry has opened on this machine."""
        machine.add_allocation(allocation)

    def release(self, machine: Machine, allocation: Allocation, now: float) -> None:
        """End an allocation that is known to be gone, and free what it counted."""
        machine.remove_allocation(allocation, now)
        self.registry.move_allocation(allocation, AllocationState.GONE, now)
        self.registry.drop_if_settled(allocation.job)  # also where a lease or a deletion ended its last task

    def release_all(self, machine: Machine, now: float) -> None:
        """End all allocations of a machine."""
        for allocation in list(machine.allocations.values()):
            self.release(machine, allocation, now)

    # leases -----------------------------------------------------------------------------------------------

    def lease_expired(self, machine: Machine, now: float) -> bool:
        """Return whether the worker has killed its tasks by its own clock, at the latest.

        Its lease runs from when it sent the heartbeat that was answered last, which was before that response left here.
        That its heartbeats go on arriving shows nothing of that: responses may not reach it.
        """
        return now - machine.last_response_at > self.lease_s * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_S

    def detect_silent_machines(self, now: float) -> list[Machine]:
        """Suspect the machines that have fallen silent, and return those whose lease has just expired.

        While this controller stood still it read no heartbeats, so silence counts from when it goes on.
        """
        if now - self._observed_at > MAX_OBSERVATION_GAP_S:
            self._observing_since = now
        self._observed_at = now
        silent_after_s = SILENT_AFTER_INTERVALS * self.report_s
        expired = []
        for machine in list(self.machines):
            if (
                machine.state is MachineState.READY
                and now - max(machine.last_heard_at, self._observing_since) > silent_after_s
            ):
                self.move(machine, MachineState.SUSPECT, now)
            if machine.state in (
                MachineState.SUSPECT,
                MachineState.UNRECONCILED,
                MachineState.NEW,
            ) and self.lease_expired(machine, now):
                self.move(machine, MachineState.LEASE_EXPIRED, now)
                expired.append(machine)
        return expired

    # unreconciled machines --------------------------------------------------------------------------------

    def unreconciled(self) -> list[Machine]:
        """Return the machines whose state is not known since the failover."""
        return [machine for machine in self.machines if machine.state is MachineState.UNRECONCILED]

    def count_unreconciled(self) -> None:
        """Count what unreconciled machines may run, which each team's limit has to allow for.

        Each may run anything up to its capacity, and any amount if its capacity is not known yet: a leader begins
        before it has read the machine types, and a machine that counted as nothing could put a team over its limit.
        """
        unreconciled = self.unreconciled()
        self.unreconciled_count = len(unreconciled)
        self._unreconciled_unmeasured = sum(1 for machine in unreconciled if machine.capacity == NO_RESOURCES)
        self._unreconciled_capacity = [
            sum(machine.capacity[0] for machine in unreconciled),
            sum(machine.capacity[1] for machine in unreconciled),
        ]
        self._set_unknown_usage()

    def _count_reconciled(self, machine: Machine) -> None:
        """Count one unreconciled machine fewer; to count all anew each time would be quadratic in their number."""
        self.unreconciled_count -= 1
        self._unreconciled_unmeasured -= machine.capacity == NO_RESOURCES
        self._unreconciled_capacity[0] -= machine.capacity[0]
        self._unreconciled_capacity[1] -= machine.capacity[1]
        self._set_unknown_usage()

    def _set_unknown_usage(self) -> None:
        for team in self.registry.teams:
            team.unknown = (
                [UNKNOWN_USAGE, UNKNOWN_USAGE] if self._unreconciled_unmeasured else list(self._unreconciled_capacity)
            )
