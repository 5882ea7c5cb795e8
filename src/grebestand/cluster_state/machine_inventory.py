"""The inventory of all machines. Only its methods change the state or the reception of a machine."""

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

#: Assumed usage of each team on unreconciled machines if the capacity of any of them is not known, in millionths of a
#: CPU or GPU. Above every limit, so that no team with a limit starts tasks.
UNKNOWN_USAGE = 1 << 60
#: How long a deleted machine is remembered, as a multiple of the lease duration, so that a delayed heartbeat does not
#: add the machine again.
DELETED_MEMORY_LEASES = 6.0
#: Maximum number of deleted machines that are remembered, to bound memory use.
MAX_DELETED_REMEMBERED = 4000
#: A longer gap between two checks for silent machines, in seconds, shows that this controller was paused. Heartbeats
#: received meanwhile may not have been read yet.
MAX_OBSERVATION_GAP_S = 4.0
#: A machine without a heartbeat for this many intervals is silent. Tolerates two lost heartbeats and a short delay.
SILENT_AFTER_INTERVALS = 2.2
#: Number of consecutive missed responses after which a machine's reception is suspected. Single responses are lost
#: occasionally.
MISSED_RESPONSES_BEFORE_SUSPICION = 2


class MachineInventory:
    """All machines, their types, and the machines that the leader still has to query or reconcile.

    All times are in seconds of the leader's clock.
    """

    def __init__(self, registry: JobRegistry, lease_s: float, heartbeat_interval_s: float) -> None:
        """Create an inventory without machines.

        Args:
            registry: The registry of the jobs whose tasks run on the machines.
            lease_s: How long a worker keeps its tasks running without a response, in seconds.
            heartbeat_interval_s: The interval of heartbeats, in seconds.
        """
        self.registry = registry
        self.machines: list[Machine] = []
        self.by_name: dict[str, Machine] = {}
        #: Machine types by their index in the registry.
        self.machine_types: dict[int, MachineType] = {}
        #: Capacities of all machine types.
        self.capacities: list[Resources] = []
        self.lease_s = lease_s
        self.heartbeat_interval_s = heartbeat_interval_s
        #: Ids of other clusters' gangs that machines are reserved for and that are not in the registry yet.
        self.reserved_for_remote: set[str] = set()
        #: Indices of machines to query directly, since their heartbeats contradict what the leader knows of them.
        self.to_query: set[int] = set()
        #: Indices of machines reconciled since the leader last processed this list.
        self.newly_reconciled: list[int] = []
        #: When the provider deleted a machine, by machine name. Later heartbeats with the name are delayed copies.
        self._deleted_at: dict[str, float] = {}
        #: When silent machines were last checked for, and since when the checks have run without a long gap.
        self._observed_at = self._observing_since = -math.inf
        self._by_index: dict[int, Machine] = {}
        self._next_index = 0
        self.unreconciled_count = 0
        #: Number of unreconciled machines without a known capacity, and the total capacity of the other unreconciled
        #: machines in millionths of a CPU and of a GPU.
        self._unreconciled_unmeasured = 0
        self._unreconciled_capacity = [0, 0]

    # machines ---------------------------------------------------------------------------------------------

    def set_machine_types(self, types: list[MachineType]) -> None:
        """Record the machine types that the provider offers, and set the capacity of all machines accordingly."""
        for machine_type in types:
            self.machine_types[self.registry.machine_types.intern(machine_type.name)] = machine_type
        self.capacities = [machine_capacity(machine_type) for machine_type in self.machine_types.values()]
        for machine in self.by_name.values():
            self._measure(machine)
        self.count_unreconciled()

    def add_machine(
        self, name: str, addr: str, machine_type: str, zone: str, spot: bool, now: float, recorded: bool = False
    ) -> Machine:
        """Add a machine.

        Args:
            name: The name of the machine.
            addr: Host and port of the machine's worker.
            machine_type: The name of the machine type.
            zone: The name of the zone.
            spot: Whether the provider may reclaim the machine.
            now: The current time, in seconds.
            recorded: Whether the state service holds a record of the machine. Such a machine is unreconciled, as it
                may run tasks started by an earlier leader.
        """
        type_index = self.registry.machine_types.intern(machine_type)
        zone_index = self.registry.zones.intern(zone)
        machine = Machine(self._next_index, name, addr, type_index, zone_index, spot, now)
        self._by_index[self._next_index] = machine
        self._next_index += 1
        if recorded:
            machine.recorded, machine.state = True, MachineState.UNRECONCILED
        self._measure(machine)
        self.machines.append(machine)
        self.by_name[name] = machine
        return machine

    def find_by_index(self, index: int) -> Machine | None:
        """Return the machine with this index, or None if the machine is gone."""
        return self._by_index.get(index)

    def was_deleted(self, name: str, now: float) -> bool:
        """Return whether the provider has deleted the machine within the last `DELETED_MEMORY_LEASES` leases."""
        return now - self._deleted_at.get(name, -math.inf) < DELETED_MEMORY_LEASES * self.lease_s

    def counts_in_plan(self, machine: Machine) -> bool:
        """Return whether the greedy plan includes the machine, even if no tasks may be placed there right now."""
        present = (
            machine.state in (MachineState.READY, MachineState.SUSPECT)
            and machine.reception is not Reception.UNREACHABLE
        )
        return present and machine.recorded and machine.drain_reason is None and any(machine.capacity)

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Return whether tasks may be placed on the machine now."""
        return (
            machine.state is MachineState.READY
            and machine.reception is Reception.REACHABLE
            and machine.recorded
            and machine.drain_reason is None
            and now >= machine.blocked_until
            and machine.capacity != NO_RESOURCES
        )

    def record_image(self, machine: Machine, image: int, gigabytes: float) -> None:
        """Record that a machine has an image."""
        machine_type = self.machine_types.get(machine.type_index)
        machine.record_image(image, gigabytes, machine_type.cache_gb if machine_type else 0.0)

    def _measure(self, machine: Machine) -> None:
        machine_type = self.machine_types.get(machine.type_index)
        if machine_type is not None:
            machine.set_capacity(machine_capacity(machine_type))

    # state and reception ----------------------------------------------------------------------------------

    def change_state(self, machine: Machine, new: MachineState, now: float) -> None:
        """Change the state of a machine. No other function may do so.

        All allocations of a machine end once its lease has expired or the machine is gone.

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
            machine.needs_placement_attempt = True
        elif new is MachineState.SUSPECT:
            self._release_queued(machine, now)
        if new is MachineState.GONE:
            self._remove(machine, now)
        if old is MachineState.UNRECONCILED:
            self._count_reconciled(machine)
            self.newly_reconciled.append(machine.index)
        self.registry.changed_since_scheduling = True

    def _release_queued(self, machine: Machine, now: float) -> None:
        """Release the allocations that were never sent, so that their tasks can be placed on other machines."""
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
        """Change whether responses are known to reach a machine. No other function may do so.

        Args:
            machine: The machine.
            new: The new reception.
            reason: The evidence for the change, for the log.
            now: The current time.

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
            machine.needs_placement_attempt = True
        elif new is Reception.UNREACHABLE and machine.state is MachineState.READY:
            self.change_state(machine, MachineState.SUSPECT, now)
        self.registry.changed_since_scheduling = True
        if Reception.UNREACHABLE in (old, new):
            log.info(LogEvent("machine_reception_changed", machine=machine.name, from_=old, to=new, reason=reason))

    def record_missed_response(self, machine: Machine, reason: str, now: float, weight: int = 1) -> None:
        """Record a heartbeat which shows that the worker did not receive an earlier response.

        Args:
            machine: The machine.
            reason: The evidence for the missed response, for the log.
            now: The current time.
            weight: The number of missed responses that the heartbeat counts as.
        """
        machine.missed_responses += weight
        if machine.missed_responses >= MISSED_RESPONSES_BEFORE_SUSPICION and machine.reception is Reception.REACHABLE:
            self.change_reception(machine, Reception.SUSPECTED, reason, now)
        if machine.reception is not Reception.REACHABLE:
            self.to_query.add(machine.index)

    def confirm_reception(self, machine: Machine, now: float) -> None:
        """Record that the commands in responses to a machine's heartbeats took effect.

        An unreachable machine stays unreachable, since the commands may have arrived before its responses were lost.
        Only the answer to a direct query, or an epoch that lasts longer than a lease, shows that it is reachable again.
        """
        if machine.reception is not Reception.UNREACHABLE:
            machine.missed_responses = 0
            self.change_reception(machine, Reception.REACHABLE, "commands took effect", now)

    # allocations ------------------------------------------------------------------------------------------

    def add_allocation(self, machine: Machine, allocation: Allocation) -> None:
        """Add an allocation that the registry has opened to the usage of its machine."""
        machine.add_allocation(allocation)

    def release(self, machine: Machine, allocation: Allocation, now: float) -> None:
        """Remove an allocation whose task is known not to run any more, and free its resources."""
        machine.remove_allocation(allocation, now)
        self.registry.change_allocation_state(allocation, AllocationState.GONE, now)
        self.registry.remove_if_over(allocation.job)  # a job that is over may have lost its last allocation

    def release_all(self, machine: Machine, now: float) -> None:
        """Remove all allocations of a machine, whose tasks are known not to run any more."""
        for allocation in list(machine.allocations.values()):
            self.release(machine, allocation, now)

    # leases -----------------------------------------------------------------------------------------------

    def has_lease_expired(self, machine: Machine, now: float) -> bool:
        """Return whether the machine's lease has expired even by the slowest clock, so that its tasks are killed.

        The worker measures its lease from when it sent the heartbeat that was answered last, which is before the leader
        sent that response. Heartbeats received since then do not extend the lease: responses may not reach the worker.
        """
        return now - machine.last_response_at > self.lease_s * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_S

    def detect_silent_machines(self, now: float) -> list[Machine]:
        """Move silent machines to SUSPECT, and return the machines whose lease has just expired.

        A controller that was paused has read no heartbeats meanwhile, so silence is measured from the end of the pause.
        """
        if now - self._observed_at > MAX_OBSERVATION_GAP_S:
            self._observing_since = now
        self._observed_at = now
        silent_after_s = SILENT_AFTER_INTERVALS * self.heartbeat_interval_s
        expired = []
        for machine in list(self.machines):
            if (
                machine.state is MachineState.READY
                and now - max(machine.last_heard_at, self._observing_since) > silent_after_s
            ):
                self.change_state(machine, MachineState.SUSPECT, now)
            if machine.state in (
                MachineState.SUSPECT,
                MachineState.UNRECONCILED,
                MachineState.NEW,
            ) and self.has_lease_expired(machine, now):
                self.change_state(machine, MachineState.LEASE_EXPIRED, now)
                expired.append(machine)
        return expired

    # unreconciled machines --------------------------------------------------------------------------------

    def unreconciled_machines(self) -> list[Machine]:
        """Return the machines that have not been reconciled since the failover."""
        return [machine for machine in self.machines if machine.state is MachineState.UNRECONCILED]

    def count_unreconciled(self) -> None:
        """Recompute how much unreconciled machines may run, which counts against the limit of every team.

        A machine may run tasks up to its capacity. If the capacity of any machine is not known, the usage is assumed to
        be above all limits: a leader starts before it has read the machine types, and a machine that did not count
        could put a team over its limit.
        """
        unreconciled = self.unreconciled_machines()
        self.unreconciled_count = len(unreconciled)
        self._unreconciled_unmeasured = sum(1 for machine in unreconciled if machine.capacity == NO_RESOURCES)
        self._unreconciled_capacity = [
            sum(machine.capacity[0] for machine in unreconciled),
            sum(machine.capacity[1] for machine in unreconciled),
        ]
        self._set_unknown_usage()

    def _count_reconciled(self, machine: Machine) -> None:
        """Subtract one reconciled machine; a recount for each of them would be quadratic in their number."""
        self.unreconciled_count -= 1
        self._unreconciled_unmeasured -= machine.capacity == NO_RESOURCES
        self._unreconciled_capacity[0] -= machine.capacity[0]
        self._unreconciled_capacity[1] -= machine.capacity[1]
        self._set_unknown_usage()

    def _set_unknown_usage(self) -> None:
        for team in self.registry.teams:
            team.unreconciled_usage = (
                [UNKNOWN_USAGE, UNKNOWN_USAGE] if self._unreconciled_unmeasured else list(self._unreconciled_capacity)
            )
